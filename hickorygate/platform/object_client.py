"""A client of the platform's object store over HTTP."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import dataclasses
import datetime
import enum
import re
from typing import Any
import urllib.parse

import aiohttp
import expression
import orjson
import pydantic

from hickorygate.core import errors
from hickorygate.platform import http_connections
from hickorygate.platform import lenient_json
from hickorygate.platform import object_decoding
from hickorygate.store import failures
from hickorygate.store import list_watch
from hickorygate.store import objects

__all__ = [
    "CALL_TIMEOUT",
    "HttpResponse",
    "HttpResult",
    "ObjectReading",
    "ObjectStoreClient",
]

CALL_TIMEOUT = datetime.timedelta(seconds=1)
"""Time-out of a call; a watch adds the time that the store may wait."""

_ERA_HEADER = "Store-Era"
"""Header whose value rises each time that the store is restored from a copy."""

_ERA = re.compile(r"[0-9]{1,18}")

_SERVER_ERRORS = 500

_CONTROL = re.compile(r"[\x00-\x1f\x7f]")
_DIRECTORIES = ("", ".", "..")
"""Names that no path can contain: each form of them changes the path."""

_OUTDATED_QUERY = {"serializable": "1"}
"""Query parameter of a read that may miss the changes of the last seconds."""


class _Status(enum.IntEnum):
    """HTTP statuses that the store documents.

    Attributes:
      BUSY: the store made no change. After any other server error, the change
        may have been made.
    """

    OK = 200
    CREATED = 201
    NOT_FOUND = 404
    CONFLICT = 409
    GONE = 410
    BUSY = 503


class _Meta(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore")

    name: str
    revision: int


class _Object(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore")

    meta: _Meta
    spec: Any = None

    def stored(self) -> list_watch.StoredObject:
        return list_watch.StoredObject(
            self.meta.name, self.meta.revision, self.spec
        )


class _Page(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore")

    items: list[_Object]
    has_more: bool = False
    current_rev: int


class _Event(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore")

    object: _Object
    deleted: bool = False


class _Events(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore")

    events: list[_Event]
    current_rev: int


def _always() -> bool:
    return True


def _ignore_era(era: int) -> None:
    pass


class _Withheld(Exception):
    """Raised when the body of a request must no longer be sent."""


class _Body:
    """The body of one request.

    Attributes:
      withheld: whether the body was not sent because `may_send` forbade it.
    """

    __slots__ = ("_data", "_may_send", "withheld")

    def __init__(self, body: object, may_send: Callable[[], bool]) -> None:
        self._data = orjson.dumps(body)
        self._may_send = may_send
        self.withheld = False

    @property
    def size(self) -> int:
        """Size of the body in bytes."""
        return len(self._data)

    def __repr__(self) -> str:
        return f"_Body(size={self.size})"

    async def once(self) -> AsyncIterator[bytes]:
        """Yields the body as an iterator, so that aiohttp can't send it twice.

        After a broken connection, aiohttp repeats a PUT whose body can be
        sent again. The repeated request could find the effect of the first
        one and report a conflict.

        Raises:
          _Withheld: `may_send` forbids sending the body.
        """
        if not self._may_send():
            self.withheld = True
            raise _Withheld
        yield self._data


@dataclasses.dataclass(frozen=True, slots=True)
class HttpResponse:
    """The response to a call.

    Attributes:
      status: HTTP status.
      body: body of the response.
      era: number that rises each time that the store is restored from an
        older copy; 0 if the response has none.
    """

    status: int
    body: bytes
    era: int = 0

    def success_body(self) -> expression.Result[bytes, errors.Failure]:
        """Returns the body of a successful call, or a typed failure."""
        if self.status in (_Status.OK, _Status.CREATED):
            return expression.Ok(self.body)
        sent = self.status >= _SERVER_ERRORS and self.status != _Status.BUSY
        reason = f"status {self.status}"
        return expression.Error(errors.StoreUnavailable(reason, sent))


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectReading:
    """An object as of one response.

    Attributes:
      stored: the object; None if there is none.
      era: era of the store at the response; 0 if it told none.
    """

    stored: list_watch.StoredObject | None
    era: int


HttpResult = expression.Result[HttpResponse, errors.Failure]


class ObjectStoreClient:
    """Calls the object store with a time-out; doesn't repeat calls."""

    __slots__ = (
        "_calls",
        "_connections",
        "_era",
        "_on_era",
        "_timeout",
        "_url",
    )

    def __init__(
        self,
        url: str,
        timeout: datetime.timedelta = CALL_TIMEOUT,
        on_era: Callable[[int], None] = _ignore_era,
    ) -> None:
        """Initializes the client; makes no call yet.

        Args:
          url: base URL of the store.
          timeout: time after which a call counts as unanswered.
          on_era: called with the first era that the store tells, and with each
            later one, before the response is used.
        """
        self._era = 0
        self._on_era = on_era
        self._url = url
        self._timeout = timeout
        self._connections = http_connections.HttpConnections()
        self._calls = 0

    @property
    def calls(self) -> int:
        """Number of calls that were made."""
        return self._calls

    def __repr__(self) -> str:
        return f"ObjectStoreClient({self._url!r}, calls={self._calls})"

    def set_url(self, url: str) -> None:
        """Sets the base URL for later calls."""
        self._url = url

    async def close(self) -> None:
        """Closes the connections."""
        await self._connections.close()

    async def list(
        self, kind: str, may_be_outdated: bool = False
    ) -> expression.Result[list_watch.Snapshot, errors.Failure]:
        """Returns all objects of a kind, page by page.

        Args:
          kind: kind of the objects.
          may_be_outdated: whether changes of the last seconds may be missing.
            Such a call doesn't count toward the store's rate.
        """
        items: list[list_watch.StoredObject] = []
        revision: int | None = None
        era: int | None = None
        every_page = _OUTDATED_QUERY if may_be_outdated else {}
        query = dict(every_page)
        while True:
            answered = await self._get(kind, f"/-/objects/{kind}", query)
            page = answered.bind(HttpResponse.success_body).bind(_decode_page)
            if page.is_error():
                return expression.Error(page.error)
            if era is not None and answered.ok.era != era:
                found = list_watch.StoreRestored(era, answered.ok.era)
                return expression.Error(found)
            era = answered.ok.era
            items += [item.stored() for item in page.ok.items]
            # A watch from the first page's revision returns later changes.
            revision = page.ok.current_rev if revision is None else revision
            if not (page.ok.has_more and page.ok.items):
                return expression.Ok(list_watch.Snapshot(items, revision, era))
            query = every_page | {"after": page.ok.items[-1].meta.name}

    async def watch(
        self,
        kind: str,
        revision: int,
        wait: datetime.timedelta,
        may_be_outdated: bool = False,
    ) -> expression.Result[list_watch.ChangeBatch, errors.Failure]:
        """Returns the changes after a revision.

        Args:
          kind: kind of the objects.
          revision: revision after which changes are returned.
          wait: how long the store may wait for a change.
          may_be_outdated: as for `list`.

        Returns:
          The changes, or `HistoryLost` if the store no longer keeps the
          changes since the revision.
        """
        milliseconds = int(wait.total_seconds() * 1_000)
        query = {"watch": str(revision), "wait_ms": str(milliseconds)}
        query |= _OUTDATED_QUERY if may_be_outdated else {}
        answered = await self._get(kind, f"/-/objects/{kind}", query, wait)
        if answered.is_ok() and answered.ok.status == _Status.GONE:
            return expression.Error(list_watch.HistoryLost(revision))
        decoded = answered.bind(HttpResponse.success_body).bind(_decode_events)
        if decoded.is_error():
            return expression.Error(decoded.error)
        changes = [
            list_watch.Change(event.object.stored(), event.deleted)
            for event in decoded.ok.events
        ]
        return expression.Ok(
            list_watch.ChangeBatch(
                changes, decoded.ok.current_rev, answered.ok.era
            )
        )

    async def read(
        self, key: objects.Key
    ) -> expression.Result[list_watch.StoredObject | None, errors.Failure]:
        """Returns an object; None if it does not exist."""
        reading = await self.read_with_era(key)
        return reading.map(lambda found: found.stored)

    async def read_with_era(
        self, key: objects.Key
    ) -> expression.Result[ObjectReading, errors.Failure]:
        """Returns an object, if it exists, and the era of the response."""
        if key.name in _DIRECTORIES:
            return expression.Error(_unusable(key))
        answered = await self._get(key.kind, _path(key), {})
        if answered.is_ok() and answered.ok.status == _Status.NOT_FOUND:
            return expression.Ok(ObjectReading(None, answered.ok.era))
        return answered.bind(lambda found: _decode_reading(found, key))

    async def store(
        self, key: objects.Key, value: object, expected: int | None
    ) -> expression.Result[list_watch.StoredObject, errors.Failure]:
        """Creates or replaces an object.

        Args:
          key: kind and name of the object.
          value: new content.
          expected: revision that must be the current one; 0 creates the
            object, None replaces any revision.

        Returns:
          The object as stored, or `ObjectConflict` with the current revision.
        """
        written = await self.store_with_era(key, value, expected)
        return written.map(lambda found: found.stored)

    async def store_with_era(
        self, key: objects.Key, value: object, expected: int | None
    ) -> expression.Result[ObjectReading, errors.Failure]:
        """Does what `store` does, and also returns the era of the response."""
        if key.name in _DIRECTORIES:
            return expression.Error(_unusable(key))
        meta: dict[str, object] = {"name": key.name}
        if expected:
            meta["revision"] = expected
        creates = expected == 0
        answered = await self.call(
            "POST" if creates else "PUT",
            f"{self._url}/-/objects/{key.kind}"
            if creates
            else self._object_url(key),
            {"meta": meta, "spec": value},
            subject=key.kind,
        )
        if answered.is_error():
            return expression.Error(answered.error)
        match answered.ok.status:
            case _Status.CONFLICT:
                found = _decode_object(answered.ok.body, key)
                return found.bind(lambda other: _conflict(key, expected, other))
            case _Status.NOT_FOUND:
                return _conflict(key, expected, None)
        return _decode_reading(answered.ok, key)

    async def delete(
        self, key: objects.Key
    ) -> expression.Result[None, errors.Failure]:
        """Deletes an object."""
        if key.name in _DIRECTORIES:
            return expression.Error(_unusable(key))
        answered = await self.call(
            "DELETE", self._object_url(key), None, subject=key.kind
        )
        return answered.bind(HttpResponse.success_body).map(lambda _: None)

    async def list_instances(
        self,
    ) -> expression.Result[objects.ListedInstances, errors.Failure]:
        """Returns the live and leaving database instances."""
        listed = await self.list(object_decoding.SERVERS)
        return listed.map(
            lambda snapshot: objects.ListedInstances(
                object_decoding.decode_instances(snapshot.objects),
                snapshot.revision,
            )
        )

    async def watch_instances(
        self, revision: int, wait: datetime.timedelta
    ) -> expression.Result[list_watch.ChangeBatch, errors.Failure]:
        """Returns the changes of the instance list after a revision.

        Args:
          revision: revision after which changes are returned.
          wait: how long the store may wait for a change.
        """
        return await self.watch(object_decoding.SERVERS, revision, wait)

    async def call(
        self,
        method: str,
        url: str,
        body: object | None,
        headers: dict[str, str] | None = None,
        query: dict[str, str] | None = None,
        wait: datetime.timedelta = datetime.timedelta(),
        may_send: Callable[[], bool] = _always,
        subject: str = "",
    ) -> HttpResult:
        """Makes one call; a time-out aborts its connection.

        Args:
          method: HTTP method.
          url: absolute URL without the query.
          body: content that is sent as JSON; None for no body.
          headers: headers in addition to those of the body.
          query: query parameters of the URL.
          wait: how long the server may delay the response; added to the
            time-out.
          may_send: checked after connecting, right before the body is sent;
            False withholds the body.
          subject: what the call is about; a connection serves the calls on one
            subject. Empty for a connection that serves this call alone.
        """
        self._calls += 1
        limit = (self._timeout + wait).total_seconds()
        fields = dict(headers or {})
        if any(map(_CONTROL.search, fields.values())):
            failed = errors.StoreUnavailable("a header isn't one line", False)
            return expression.Error(failed)
        request_body = None if body is None else _Body(body, may_send)
        if request_body is not None:
            fields["Content-Type"] = "application/json"
            fields["Content-Length"] = str(request_body.size)
        try:
            async with (
                self._connections.session(subject) as session,
                asyncio.timeout(limit),
                session.request(
                    method,
                    url,
                    params=query,
                    data=None if request_body is None else request_body.once(),
                    headers=fields,
                    allow_redirects=False,
                ) as response,
            ):
                content = await response.read()
                era = _decode_era(response.headers.get(_ERA_HEADER, ""))
                self._note_era(era)
                return expression.Ok(
                    HttpResponse(response.status, content, era)
                )
        except (
            aiohttp.ClientConnectorError,
            http_connections.UnaskedData,
        ) as error:
            return expression.Error(errors.StoreUnavailable(str(error), False))
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            reason = str(error) or type(error).__name__
            sent = request_body is None or not request_body.withheld
            return expression.Error(errors.StoreUnavailable(reason, sent))

    async def _get(
        self,
        kind: str,
        path: str,
        query: dict[str, str],
        wait: datetime.timedelta = datetime.timedelta(),
    ) -> HttpResult:
        return await self.call(
            "GET",
            self._url + path,
            None,
            query=query,
            wait=wait,
            subject=kind,
        )

    def _note_era(self, era: int) -> None:
        if era > self._era:
            self._era = era
            self._on_era(era)

    def _object_url(self, key: objects.Key) -> str:
        return self._url + _path(key)


def _path(key: objects.Key) -> str:
    """Returns the path of an object, whose name is one part of it."""
    name = urllib.parse.quote(key.name, safe="", errors="surrogatepass")
    return f"/-/objects/{key.kind}/{name}"


def _unusable(key: objects.Key) -> errors.StoreUnavailable:
    return errors.StoreUnavailable(
        f"no object can be named {key.name!r}", False
    )


def _decode_era(text: str) -> int:
    """Returns the era of a response; 0 if it tells none."""
    return int(text) if _ERA.fullmatch(text) else 0


def _decode(
    model: type[pydantic.BaseModel], body: bytes
) -> expression.Result[Any, errors.Failure]:
    try:
        return expression.Ok(model.model_validate(lenient_json.loads(body)))
    except (ValueError, pydantic.ValidationError) as error:
        reason = f"malformed body: {str(error).splitlines()[0]}"
        return expression.Error(errors.StoreUnavailable(reason, True))


def _decode_page(body: bytes) -> expression.Result[_Page, errors.Failure]:
    return _decode(_Page, body)


def _decode_events(body: bytes) -> expression.Result[_Events, errors.Failure]:
    return _decode(_Events, body)


def _decode_object(
    body: bytes, key: objects.Key
) -> expression.Result[list_watch.StoredObject, errors.Failure]:
    """Returns the object in a body; fails if it isn't the one of the call."""
    return _decode(_Object, body).bind(
        lambda found: _named(key, found.stored())
    )


def _named(
    key: objects.Key, found: list_watch.StoredObject
) -> expression.Result[list_watch.StoredObject, errors.Failure]:
    if found.name == key.name:
        return expression.Ok(found)
    reason = f"the answer is about {found.name!r}, not {key.name!r}"
    return expression.Error(errors.StoreUnavailable(reason, True))


def _decode_reading(
    answered: HttpResponse, key: objects.Key
) -> expression.Result[ObjectReading, errors.Failure]:
    decoded = answered.success_body().bind(
        lambda body: _decode_object(body, key)
    )
    return decoded.map(lambda found: ObjectReading(found, answered.era))


def _conflict(
    key: objects.Key,
    expected: int | None,
    other: list_watch.StoredObject | None,
) -> expression.Result[Any, errors.Failure]:
    found = other.revision if other else 0
    return expression.Error(
        failures.ObjectConflict(key.text, expected or 0, found)
    )
