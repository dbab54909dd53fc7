"""A stand-in for the users' platform: object store and promotion call.

It speaks the platform's real format: objects by kind and name, lists in
pages, watches, conditional writes, and faults at will.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import enum
from typing import Any

from aiohttp import web

__all__ = ["ObjectStore", "StoreFault"]

_CONFLICT = 409
_SERVERS = "servers"
_SILENCE_SECONDS = 60

_PAGE = 500
"""Objects in one page."""

_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class StoreFault(enum.Enum):
    """What goes wrong with one call."""

    BUSY = "503, nothing done"
    BROKEN = "500, but done"
    CUT = "nothing done, the connection cut"
    TOO_MANY = "429, nothing done"
    LOST = "done, the connection cut"
    SILENT = "no answer"
    MALFORMED = "a body that can't be read"


def _cut(request: web.Request) -> None:
    """Breaks the connection of a request."""
    if request.transport is not None:
        request.transport.abort()


def _entry(instance: Mapping[str, str]) -> dict[str, str]:
    """Returns an instance as its database would announce itself."""
    state = "draining" if instance["state"] == "leaving" else "ready"
    return {
        "address": instance["address"],
        "zone": instance["zone"],
        "state": state,
    }


def _take_all(service: str, member: str) -> bool:
    """Takes every promotion."""
    return True


def _show_all(port: int, kind: str, stored: dict[str, Any]) -> Any:
    """Shows the content as it is stored."""
    return stored["spec"]


class ObjectStore:
    """The store of one test.

    Attributes:
      calls: methods and paths, in order.
      page: objects in one page of a list.
      promotions: bodies and headers of the promotions that were ordered.
      promotion_status: answered to a promotion that is taken.
      promote: carries a promotion out; tells whether it was taken.
      shown: what callers of one port see as an object's content.
      standing: what goes wrong with every call; None if nothing does.
    """

    def __init__(self) -> None:
        self.calls: list[str] = []
        self.page = _PAGE
        self.promotions: list[dict[str, str]] = []
        self.promotion_status = 200
        self.promote: Callable[[str, str], bool] = _take_all
        self.shown: Callable[[int, str, dict[str, Any]], Any] = _show_all
        self.standing: StoreFault | None = None
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._history: list[tuple[int, str, dict[str, Any], bool]] = []
        self._revision = 1
        self._oldest = 1
        self._faults: collections.deque[StoreFault] = collections.deque()
        self._changed = asyncio.Event()
        self._runner: web.AppRunner | None = None

    def __repr__(self) -> str:
        return f"ObjectStore(revision={self._revision})"

    @property
    def port(self) -> int:
        """The TCP port, after `start`."""
        assert self._runner is not None, "not started; call start()"
        return self._runner.addresses[0][1]

    @property
    def url(self) -> str:
        """Base address, after `start`."""
        return f"http://127.0.0.1:{self.port}"

    async def start(self, port: int = 0) -> None:
        """Begins to listen; on a free port if it is 0."""
        app = web.Application(middlewares=[self._apply_fault])
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
        """Listens on one more port; returns it."""
        assert self._runner is not None, "not started; call start()"
        await web.TCPSite(self._runner, "127.0.0.1", port).start()
        return self._runner.addresses[-1][1]

    async def close(self) -> None:
        """Stops."""
        if self._runner is not None:
            await self._runner.cleanup()

    def fail(self, *faults: StoreFault) -> None:
        """Makes the next calls fail, one each."""
        self._faults.extend(faults)

    def put(self, kind: str, name: str, spec: object) -> None:
        """Stores an object as its owner would."""
        self._store(kind, name, spec)

    def set_instances(self, instances: Sequence[Mapping[str, str]]) -> int:
        """Replaces the databases' entries by others.

        Args:
          instances: name, address, zone and state (live or leaving) of each.

        Returns:
          The store's revision.
        """
        wanted = {i["name"]: _entry(i) for i in instances}
        for name in self._objects.get(_SERVERS, {}).keys() - wanted.keys():
            self.remove(_SERVERS, name)
        for name, entry in wanted.items():
            self._store(_SERVERS, name, entry)
        return self._revision

    def remove(self, kind: str, name: str) -> None:
        """Removes an object as its owner would."""
        gone = self._objects[kind].pop(name)
        self._note(kind, gone, True)

    def forget_history(self) -> None:
        """Discards all that watches could ask for."""
        self._history.clear()
        self._oldest = self._revision
        self._wake()

    @web.middleware
    async def _apply_fault(
        self, request: web.Request, handler: _Handler
    ) -> web.StreamResponse:
        self.calls.append(f"{request.method} {request.path}")
        fault = self._faults.popleft() if self._faults else self.standing
        match fault:
            case StoreFault.BUSY:
                return web.Response(status=503)
            case StoreFault.TOO_MANY:
                return web.Response(status=429)
            case StoreFault.SILENT:
                await asyncio.sleep(_SILENCE_SECONDS)
            case StoreFault.CUT:
                _cut(request)
            case StoreFault.MALFORMED:
                return web.Response(text="{", content_type="application/json")
        response = await handler(request)
        if fault is StoreFault.LOST:
            _cut(request)
        if fault is StoreFault.BROKEN:
            return web.Response(status=500)
        return response

    def _store(self, kind: str, name: str, spec: object) -> dict[str, Any]:
        known = self._objects.get(kind, {}).get(name)
        if known is not None and known["spec"] == spec:
            return known  # What changes nothing makes no revision.
        self._revision += 1
        meta = {"name": name, "revision": self._revision}
        stored = {"meta": meta, "spec": spec, "status": None}
        self._objects.setdefault(kind, {})[name] = stored
        self._note(kind, stored, False)
        return stored

    def _note(self, kind: str, stored: dict[str, Any], gone: bool) -> None:
        if gone:
            self._revision += 1
        self._history.append((self._revision, kind, stored, gone))
        self._wake()

    def _wake(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _list(self, request: web.Request) -> web.Response:
        if "watch" in request.query:
            return await self._watch(request)
        objects = self._objects.get(request.match_info["kind"], {})
        after = request.query.get("after", "")
        names = sorted(name for name in objects if name > after)
        page = [
            self._show(request, objects[name]) for name in names[: self.page]
        ]
        return web.json_response(
            {
                "items": page,
                "has_more": len(names) > self.page,
                "current_rev": self._revision,
            }
        )

    async def _watch(self, request: web.Request) -> web.Response:
        kind = request.match_info["kind"]
        since = int(request.query["watch"])
        seconds = int(request.query.get("wait_ms", "0")) / 1_000
        ends = asyncio.get_running_loop().time() + seconds
        while True:
            if since < self._oldest:
                return web.Response(status=410)
            events = [
                {"object": self._show(request, stored), "deleted": gone}
                for revision, of, stored, gone in self._history
                if revision > since and of == kind
            ]
            left = ends - asyncio.get_running_loop().time()
            if events or left <= 0:
                return web.json_response(
                    {"events": events, "current_rev": self._revision}
                )
            try:
                async with asyncio.timeout(left):
                    await self._changed.wait()
            except TimeoutError:
                continue

    async def _read(self, request: web.Request) -> web.Response:
        found = self._find(request)
        if found is None:
            return web.Response(status=404)
        return web.json_response(self._show(request, found))

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

    def _show(
        self, request: web.Request, stored: dict[str, Any]
    ) -> dict[str, Any]:
        """Returns an object as the caller is to see it."""
        if request.transport is None:
            return stored  # Nobody waits for the answer any more.
        port = request.transport.get_extra_info("sockname")[1]
        kind = request.match_info["kind"]
        return {**stored, "spec": self.shown(port, kind, stored)}

    def _find(self, request: web.Request) -> dict[str, Any] | None:
        kind = self._objects.get(request.match_info["kind"], {})
        return kind.get(request.match_info["name"])
