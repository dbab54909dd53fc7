"""A stand-in for the users' platform: object store and promotion call.

The server implements the platform's wire format: objects by kind and name,
paginated lists, watches and conditional writes. Tests can inject faults.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import enum
import json
from typing import Any
import weakref

from aiohttp import web

__all__ = ["ObjectStore", "StoreFault"]

_CONFLICT = 409
_SERVERS = "servers"
_SILENCE_SECONDS = 60

_PAGE_SIZE = 500
"""Number of objects in one page."""

_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class StoreFault(enum.Enum):
    """A fault that is injected into a call."""

    BUSY = "503, nothing done"
    BROKEN = "500, but done"
    CUT = "nothing done, the connection cut"
    TOO_MANY = "429, nothing done"
    LOST = "done, the connection cut"
    SILENT = "no answer"
    MALFORMED = "a body that can't be read"


def _abort_connection(request: web.Request) -> None:
    """Aborts the connection of a request."""
    if request.transport is not None:
        request.transport.abort()


def _entry(instance: Mapping[str, str]) -> dict[str, str]:
    """Returns the entry with which an instance's database announces itself."""
    state = "draining" if instance["state"] == "leaving" else "ready"
    return {
        "address": instance["address"],
        "zone": instance["zone"],
        "state": state,
    }


def _accept_promotion(service: str, member: str) -> bool:
    """Accepts every promotion."""
    return True


def _stored_spec(port: int, kind: str, stored: dict[str, Any]) -> Any:
    """Returns an object's content as stored."""
    return stored["spec"]


@dataclasses.dataclass(frozen=True, slots=True)
class _Copy:
    """An earlier state of the store.

    Attributes:
      revision: revision of the store.
      objects: objects by kind and name.
      history: revision, kind, object and deletion of each change.
    """

    revision: int
    objects: dict[str, dict[str, dict[str, Any]]]
    history: list[tuple[int, str, dict[str, Any], bool]]


class ObjectStore:
    """The HTTP server of the stand-in platform.

    Attributes:
      calls: method and path of each call, in order.
      page: number of objects in one page of a list.
      promotions: body and headers of each promotion call.
      promotion_status: HTTP status of the answer to an accepted promotion.
      promote: function that promotes a database of a service and returns
        whether the promotion was accepted.
      content_view: function that returns the content of an object as seen
        through one port.
      persistent_fault: fault that is injected into every call without a fault
        of its own; None for no fault.
      outdated_revision: newest revision that reads see which accept outdated
        data; None for the current one.
    """

    def __init__(self) -> None:
        self.calls: list[str] = []
        self.page = _PAGE_SIZE
        self.promotions: list[dict[str, str]] = []
        self.promotion_status = 200
        self.promote: Callable[[str, str], bool] = _accept_promotion
        self.content_view: Callable[[int, str, dict[str, Any]], Any] = (
            _stored_spec
        )
        self.persistent_fault: StoreFault | None = None
        self.outdated_revision: int | None = None
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._history: list[tuple[int, str, dict[str, Any], bool]] = []
        self._revision = 1
        self._texts: dict[str, str] = {}
        self._era = 1
        self._copy = _Copy(1, {}, [])
        self._oldest_revision = 1
        self._faults: collections.deque[StoreFault] = collections.deque()
        self._changed = asyncio.Event()
        self._transports: weakref.WeakSet[asyncio.BaseTransport] = (
            weakref.WeakSet()
        )
        self._silent: weakref.WeakSet[asyncio.BaseTransport] = weakref.WeakSet()
        self._runner: web.AppRunner | None = None

    def __repr__(self) -> str:
        return f"ObjectStore(revision={self._revision})"

    @property
    def port(self) -> int:
        """The TCP port; available after `start`."""
        assert self._runner is not None, "not started; call start()"
        return self._runner.addresses[0][1]

    @property
    def url(self) -> str:
        """The base URL; available after `start`."""
        return f"http://127.0.0.1:{self.port}"

    async def start(self, port: int = 0) -> None:
        """Starts to listen; port 0 stands for any free port."""
        app = web.Application(
            middlewares=[self._apply_silence, self._apply_fault]
        )
        app.router.add_get("/-/objects/{kind}", self._list)
        app.router.add_post("/-/objects/{kind}", self._create)
        app.router.add_get("/-/objects/{kind}/{name}", self._read)
        app.router.add_put("/-/objects/{kind}/{name}", self._replace)
        app.router.add_delete("/-/objects/{kind}/{name}", self._delete)
        app.router.add_post("/promotion", self._promote)
        self._runner = web.AppRunner(
            app, shutdown_timeout=0.05, access_log=None
        )
        await self._runner.setup()
        await self.listen(port)

    async def listen(self, port: int = 0) -> int:
        """Listens on an additional port and returns its number."""
        assert self._runner is not None, "not started; call start()"
        await web.TCPSite(self._runner, "127.0.0.1", port).start()
        return self._runner.addresses[-1][1]

    async def close(self) -> None:
        """Stops the server."""
        if self._runner is not None:
            await self._runner.cleanup()

    def inject_faults(self, *faults: StoreFault) -> None:
        """Injects one fault into each of the next calls."""
        self._faults.extend(faults)

    def put(self, kind: str, name: str, spec: object) -> None:
        """Stores an object without a call to the API."""
        self._store(kind, name, spec)

    def set_instances(self, instances: Sequence[Mapping[str, str]]) -> int:
        """Replaces the entries of all databases.

        Args:
          instances: name, address, zone and state (live or leaving) of each
            instance.

        Returns:
          The revision of the store after the change.
        """
        wanted = {i["name"]: _entry(i) for i in instances}
        for name in self._objects.get(_SERVERS, {}).keys() - wanted.keys():
            self.remove(_SERVERS, name)
        for name, entry in wanted.items():
            self._store(_SERVERS, name, entry)
        return self._revision

    def put_text(self, kind: str, name: str, text: str) -> None:
        """Stores an object whose content is sent as the given text."""
        placeholder = f"text of {kind}/{name}"
        self._texts[json.dumps(placeholder)] = text
        self._store(kind, name, placeholder)

    def _dump(self, body: object) -> str:
        text = json.dumps(body)
        for placeholder, replacement in self._texts.items():
            text = text.replace(placeholder, replacement)
        return text

    def remove(self, kind: str, name: str) -> None:
        """Removes an object without a call to the API."""
        removed = self._objects[kind].pop(name)
        self._record_change(kind, removed, True)

    def forget_history(self) -> None:
        """Discards the history, so that watches of older revisions get 410."""
        self._history.clear()
        self._oldest_revision = self._revision
        self._notify_watches()

    def copy(self) -> None:
        """Makes the copy that a restore brings back."""
        self._copy = _Copy(
            self._revision,
            {kind: dict(found) for kind, found in self._objects.items()},
            list(self._history),
        )

    def restore(self) -> None:
        """Goes back to the copy and begins a new era."""
        self._revision = self._copy.revision
        self._objects = {k: dict(f) for k, f in self._copy.objects.items()}
        self._history = list(self._copy.history)
        self._era += 1

    def silence_connections(self) -> None:
        """Answers nothing more on the connections that were used so far."""
        self._silent |= self._transports

    @web.middleware
    async def _apply_silence(
        self, request: web.Request, handler: _Handler
    ) -> web.StreamResponse:
        transport = request.transport
        if transport is None:
            return await handler(request)
        self._transports.add(transport)
        response = await handler(request)
        response.headers["Store-Era"] = str(self._era)
        if transport in self._silent:
            await asyncio.sleep(_SILENCE_SECONDS)
        return response

    @web.middleware
    async def _apply_fault(
        self, request: web.Request, handler: _Handler
    ) -> web.StreamResponse:
        self.calls.append(f"{request.method} {request.path}")
        fault = (
            self._faults.popleft() if self._faults else self.persistent_fault
        )
        match fault:
            case StoreFault.BUSY:
                return web.Response(status=503)
            case StoreFault.TOO_MANY:
                return web.Response(status=429)
            case StoreFault.SILENT:
                await asyncio.sleep(_SILENCE_SECONDS)
            case StoreFault.CUT:
                _abort_connection(request)
            case StoreFault.MALFORMED:
                return web.Response(text="{", content_type="application/json")
        response = await handler(request)
        if fault is StoreFault.LOST:
            _abort_connection(request)
        if fault is StoreFault.BROKEN:
            return web.Response(status=500)
        return response

    def _store(self, kind: str, name: str, spec: object) -> dict[str, Any]:
        existing = self._objects.get(kind, {}).get(name)
        if existing is not None and existing["spec"] == spec:
            return existing  # An unchanged object gets no new revision.
        self._revision += 1
        meta = {"name": name, "revision": self._revision}
        stored = {"meta": meta, "spec": spec, "status": None}
        self._objects.setdefault(kind, {})[name] = stored
        self._record_change(kind, stored, False)
        return stored

    def _record_change(
        self, kind: str, stored: dict[str, Any], deleted: bool
    ) -> None:
        if deleted:
            self._revision += 1
        self._history.append((self._revision, kind, stored, deleted))
        self._notify_watches()

    def _notify_watches(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _list(self, request: web.Request) -> web.Response:
        if "watch" in request.query:
            return await self._watch(request)
        objects = self._objects.get(request.match_info["kind"], {})
        after = request.query.get("after", "")
        names = sorted(name for name in objects if name > after)
        page = [
            self._render(request, objects[name]) for name in names[: self.page]
        ]
        return web.json_response(
            {
                "items": page,
                "has_more": len(names) > self.page,
                "current_rev": self._revision,
            },
            dumps=self._dump,
        )

    async def _watch(self, request: web.Request) -> web.Response:
        kind = request.match_info["kind"]
        since = int(request.query["watch"])
        seconds = int(request.query.get("wait_ms", "0")) / 1_000
        deadline = asyncio.get_running_loop().time() + seconds
        while True:
            if not self._oldest_revision <= since <= self._revision:
                return web.Response(status=410)
            events = [
                {"object": self._render(request, stored), "deleted": deleted}
                for revision, changed_kind, stored, deleted in self._history
                if since < revision <= self._visible_revision(request)
                and changed_kind == kind
            ]
            remaining = deadline - asyncio.get_running_loop().time()
            if events or remaining <= 0:
                return web.json_response(
                    {
                        "events": events,
                        "current_rev": self._visible_revision(request),
                    },
                    dumps=self._dump,
                )
            try:
                async with asyncio.timeout(remaining):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _visible_revision(self, request: web.Request) -> int:
        """Returns the newest revision that a read sees."""
        outdated = "serializable" in request.query
        if outdated and self.outdated_revision is not None:
            return self.outdated_revision
        return self._revision

    async def _read(self, request: web.Request) -> web.Response:
        found = self._find(request)
        if found is None:
            return web.Response(status=404)
        return web.json_response(self._render(request, found))

    async def _create(self, request: web.Request) -> web.Response:
        body = await request.json()
        kind, name = request.match_info["kind"], body["meta"]["name"]
        existing = self._objects.get(kind, {}).get(name)
        if existing is not None:
            return web.json_response(existing, status=409)
        return web.json_response(self._store(kind, name, body["spec"]))

    async def _replace(self, request: web.Request) -> web.Response:
        body = await request.json()
        found = self._find(request)
        if found is None:
            return web.Response(status=404)
        revision = body["meta"].get("revision")
        if revision not in (None, found["meta"]["revision"]):
            return web.json_response(found, status=409)
        name = request.match_info["name"]
        stored = self._store(request.match_info["kind"], name, body["spec"])
        return web.json_response(stored)

    async def _delete(self, request: web.Request) -> web.Response:
        if self._find(request) is None:
            return web.Response(status=404)
        self.remove(request.match_info["kind"], request.match_info["name"])
        return web.json_response({})

    async def _promote(self, request: web.Request) -> web.Response:
        body = await request.json()
        body["holder"] = request.headers["X-Duty-Holder"]
        body["number"] = request.headers["X-Fencing-Token"]
        self.promotions.append(body)
        if not self.promote(body["service"], body["id"]):
            return web.json_response({}, status=_CONFLICT)
        return web.json_response({}, status=self.promotion_status)

    def _render(
        self, request: web.Request, stored: dict[str, Any]
    ) -> dict[str, Any]:
        """Returns an object as seen through the port of the request."""
        if request.transport is None:
            return stored  # The client has disconnected.
        port = request.transport.get_extra_info("sockname")[1]
        kind = request.match_info["kind"]
        return {**stored, "spec": self.content_view(port, kind, stored)}

    def _find(self, request: web.Request) -> dict[str, Any] | None:
        kind = self._objects.get(request.match_info["kind"], {})
        return kind.get(request.match_info["name"])
