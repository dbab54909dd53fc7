"""The platform's object store and its promotion call, over HTTP."""

from __future__ import annotations

import asyncio
import datetime
from typing import Annotated
from typing import Any

import aiohttp
import expression
import orjson
import pydantic

from hickorygate.core import errors
from hickorygate.core import types
from hickorygate.platform import settings as settings_lib
from hickorygate.store import feed as feeds
from hickorygate.upstreams import duty as duties
from hickorygate.upstreams import member as members

__all__ = ["PlatformStore"]

_CALL_TIMEOUT = datetime.timedelta(seconds=1)
_DUTY_KIND = "hickorygate-duties"
_DUTY_NAME = "promotion"
_PROXY_KIND = "hickorygate-proxies"
_OK = 200
_CREATED = 201
_NOT_FOUND = 404
_CONFLICT = 409
_GONE = 410
_SERVER_ERRORS = 500
_BUSY = 503
"""The one server error that says that nothing was done."""


class _Meta(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore")

    name: str
    revision: int


class _Object(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore")

    meta: _Meta
    spec: Any = None

    def stored(self) -> feeds.StoredObject:
        return feeds.StoredObject(self.meta.name, self.meta.revision, self.spec)


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


class _Duty(pydantic.BaseModel):
    """The record of who holds a duty, as it is stored."""

    model_config = pydantic.ConfigDict(extra="ignore")

    holder: str
    incarnation: str
    number: Annotated[int, pydantic.Field(ge=0)]
    released: bool


class PlatformStore:
    """Makes calls; each has a time-out, and none is repeated."""

    def __init__(self, settings: settings_lib.PlatformSettings) -> None:
        self._settings = settings
        self._http: aiohttp.ClientSession | None = None
        self._calls = 0

    @property
    def calls(self) -> int:
        """Calls that were made."""
        return self._calls

    def __repr__(self) -> str:
        return f"PlatformStore({self._settings.store})"

    def use(self, settings: settings_lib.PlatformSettings) -> None:
        """Takes in changed settings."""
        self._settings = settings

    async def close(self) -> None:
        """Closes what is open."""
        if self._http is not None:
            await self._http.close()

    async def list(
        self, kind: str
    ) -> expression.Result[feeds.Snapshot, errors.Failure]:
        """Returns all objects of a kind, page by page."""
        objects: list[feeds.StoredObject] = []
        revision: int | None = None
        query: dict[str, str] = {}
        while True:
            answered = await self._get(f"/-/objects/{kind}", query)
            page = answered.bind(lambda body: _decode(_Page, body))
            if page.is_error():
                return expression.Error(page.error)
            objects += [item.stored() for item in page.ok.items]
            # What changes while pages are read comes again with the watch.
            revision = page.ok.current_rev if revision is None else revision
            if not (page.ok.has_more and page.ok.items):
                return expression.Ok(feeds.Snapshot(objects, revision))
            query = {"after": page.ok.items[-1].meta.name}

    async def watch(
        self, kind: str, revision: int, wait: datetime.timedelta
    ) -> expression.Result[feeds.News, errors.Failure]:
        """Returns changes after a revision, waiting for one."""
        milliseconds = int(wait.total_seconds() * 1_000)
        query = {"watch": str(revision), "wait_ms": str(milliseconds)}
        answered = await self._get(f"/-/objects/{kind}", query, wait)
        decoded = answered.bind(lambda body: _decode(_Events, body))
        if decoded.is_error():
            if decoded.error == _status_failure(_GONE):
                return expression.Error(feeds.HistoryLost(revision))
            return expression.Error(decoded.error)
        changes = [
            feeds.Change(event.object.stored(), event.deleted)
            for event in decoded.ok.events
        ]
        return expression.Ok(feeds.News(changes, decoded.ok.current_rev))

    async def read_duty(
        self,
    ) -> expression.Result[duties.Stored | None, errors.Failure]:
        """Returns who holds the duty of promotion; None if nobody ever did."""
        path = f"/-/objects/{_DUTY_KIND}/{_DUTY_NAME}"
        answered = await self._get(path, {})
        if answered.is_error():
            if answered.error == _status_failure(_NOT_FOUND):
                return expression.Ok(None)
            return expression.Error(answered.error)
        return _decode(_Object, answered.ok).bind(_stored_duty)

    async def write_duty(
        self, record: duties.Record, revision: int | None
    ) -> expression.Result[duties.Stored, errors.Failure]:
        """Stores a record on condition of a revision; None creates it."""
        meta: dict[str, object] = {"name": _DUTY_NAME}
        path = f"/-/objects/{_DUTY_KIND}"
        if revision is not None:
            meta["revision"] = revision
            path += f"/{_DUTY_NAME}"
        spec = _Duty(
            holder=record.holder,
            incarnation=record.incarnation,
            number=record.number,
            released=record.released,
        )
        answered = await self._call(
            "POST" if revision is None else "PUT",
            f"http://{self._settings.store}{path}",
            {"meta": meta, "spec": spec.model_dump()},
        )
        if answered.is_error():
            if answered.error == _status_failure(_CONFLICT):
                return expression.Error(duties.Overtaken())
            return expression.Error(answered.error)
        return _decode(_Object, answered.ok).bind(_stored_duty)

    async def announce(
        self, name: types.ProxyName, beat: int, exists: bool
    ) -> expression.Result[None, errors.Failure]:
        """Creates or renews this proxy's object; `beat` must change."""
        path = f"/-/objects/{_PROXY_KIND}" + (f"/{name}" if exists else "")
        answered = await self._call(
            "PUT" if exists else "POST",
            f"http://{self._settings.store}{path}",
            {"meta": {"name": name}, "spec": {"beat": beat}},
        )
        return answered.map(lambda _: None)

    async def withdraw(
        self, name: types.ProxyName
    ) -> expression.Result[None, errors.Failure]:
        """Removes a proxy's object."""
        url = f"http://{self._settings.store}/-/objects/{_PROXY_KIND}/{name}"
        answered = await self._call("DELETE", url, None)
        return answered.map(lambda _: None)

    async def proxies(
        self,
    ) -> expression.Result[dict[types.ProxyName, int], errors.Failure]:
        """Returns the revisions of all proxies' objects."""
        listed = await self.list(_PROXY_KIND)
        return listed.map(
            lambda snapshot: {o.name: o.revision for o in snapshot.objects}
        )

    async def promote(
        self,
        service: types.ServiceName,
        member: members.MemberId,
        record: duties.Record,
    ) -> expression.Result[None, errors.Failure]:
        """Orders that a database takes over, under the duty's number."""
        headers = {
            "X-Duty-Holder": record.holder,
            "X-Fencing-Token": str(record.number),
        }
        answered = await self._call(
            "POST",
            f"http://{self._settings.duties}/promotion",
            {"service": service, "id": member},
            headers,
        )
        return answered.map(lambda _: None)

    async def _get(
        self,
        path: str,
        query: dict[str, str],
        wait: datetime.timedelta = datetime.timedelta(),
    ) -> expression.Result[bytes, errors.Failure]:
        url = f"http://{self._settings.store}{path}"
        return await self._call("GET", url, None, {}, query, wait)

    async def _call(
        self,
        method: str,
        url: str,
        body: object | None,
        headers: dict[str, str] | None = None,
        query: dict[str, str] | None = None,
        wait: datetime.timedelta = datetime.timedelta(),
    ) -> expression.Result[bytes, errors.Failure]:
        """Makes one call; a time-out aborts its connection."""
        self._calls += 1
        limit = (_CALL_TIMEOUT + wait).total_seconds()
        fields = dict(headers or {})
        data = None
        if body is not None:
            data = orjson.dumps(body)
            fields["Content-Type"] = "application/json"
        try:
            async with (
                asyncio.timeout(limit),
                self._session().request(
                    method, url, params=query, data=data, headers=fields
                ) as response,
            ):
                content = await response.read()
                if response.status in (_OK, _CREATED):
                    return expression.Ok(content)
                return expression.Error(_status_failure(response.status))
        except aiohttp.ClientConnectorError as error:
            return expression.Error(errors.StoreUnavailable(str(error), False))
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            reason = str(error) or type(error).__name__
            return expression.Error(errors.StoreUnavailable(reason, True))

    def _session(self) -> aiohttp.ClientSession:
        if self._http is None:
            # A connection that is used again may have gone silent meanwhile.
            connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=15)
            self._http = aiohttp.ClientSession(connector=connector)
        return self._http


def _status_failure(status: int) -> errors.StoreUnavailable:
    sent = status >= _SERVER_ERRORS and status != _BUSY
    return errors.StoreUnavailable(f"status {status}", sent)


def _decode(
    model: type[pydantic.BaseModel], body: bytes
) -> expression.Result[Any, errors.Failure]:
    try:
        return expression.Ok(model.model_validate(orjson.loads(body)))
    except (ValueError, pydantic.ValidationError) as error:
        reason = f"malformed body: {str(error).splitlines()[0]}"
        return expression.Error(errors.StoreUnavailable(reason, True))


def _stored_duty(
    found: _Object,
) -> expression.Result[duties.Stored, errors.Failure]:
    try:
        duty = _Duty.model_validate(found.spec)
    except pydantic.ValidationError:
        # Whoever wrote this holds nothing that we understand; its revision
        # still guards the next change.
        duty = _Duty(holder="", incarnation="", number=0, released=False)
    record = duties.Record(
        duty.holder, duty.incarnation, duty.number, duty.released
    )
    return expression.Ok(duties.Stored(record, found.meta.revision))
