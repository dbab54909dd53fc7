"""A stand-in for the platform: the object API over HTTP, and instances.

Objects are JSON documents with versions. Conditions travel as in RFC 9110:
`ETag` in answers, `If-Match` and `If-None-Match` in changes. A watch is a
request that waits until an object is newer than the version it names.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import datetime
import enum

from aiohttp import web

__all__ = ["Fault", "StandInPlatform"]

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

_LONGEST_WATCH = datetime.timedelta(seconds=30)
_INSTANCES = "instances"
_VALUE_LIMIT = 1_048_576


@dataclasses.dataclass(frozen=True, slots=True)
class _Stored:
    version: int
    value: object


class Fault(enum.Enum):
    """What goes wrong with one call."""

    ERROR_BEFORE_EFFECT = "503, nothing done"
    ERROR_AFTER_EFFECT = "503, but done"
    CUT_AFTER_EFFECT = "done, the connection cut"
    HANG = "no answer"
    MALFORMED = "200 with a body that is no object"


class StandInPlatform:
    """The object API of one test or demo.

    Attributes:
      down: every call gets 503 while set.
      calls: how many calls came.
    """

    def __init__(self) -> None:
        self.down = False
        self.calls = 0
        self._objects: dict[str, _Stored] = {}
        self._version = 0
        self._faults: collections.deque[Fault] = collections.deque()
        self._changed = asyncio.Event()
        self._runner: web.AppRunner | None = None

    @property
    def url(self) -> str:
        """Base address of the API."""
        assert self._runner is not None, "not started; call start()"
        host, port = self._runner.addresses[0][:2]
        return f"http://{host}:{port}"

    def __repr__(self) -> str:
        return f"StandInPlatform(objects={len(self._objects)})"

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Begins to listen."""
        app = web.Application(
            client_max_size=_VALUE_LIMIT, middlewares=[self._apply_fault]
        )
        app.router.add_get("/v1/objects/{kind}/{name}", self._get)
        app.router.add_put("/v1/objects/{kind}/{name}", self._put)
        app.router.add_get("/v1/instances", self._get)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1, access_log=None)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port).start()

    async def stop(self) -> None:
        """Stops listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    def set_instances(self, instances: Sequence[object]) -> int:
        """Replaces the list of live and leaving instances.

        Returns:
          The list's new version.
        """
        self._put_object(_INSTANCES, {"instances": list(instances)})
        return self._version

    def fail_next(self, *faults: Fault) -> None:
        """Makes the next calls fail, one fault a call."""
        self._faults.extend(faults)

    @web.middleware
    async def _apply_fault(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        fault = self._faults.popleft() if self._faults else None
        if fault is Fault.HANG:
            await asyncio.Event().wait()
        if fault is Fault.ERROR_BEFORE_EFFECT:
            raise web.HTTPServiceUnavailable
        if fault is Fault.MALFORMED:
            return web.json_response({"value": None}, headers={"ETag": '"1"'})
        answer = await handler(request)
        if fault is Fault.ERROR_AFTER_EFFECT:
            raise web.HTTPServiceUnavailable
        if fault is Fault.CUT_AFTER_EFFECT and request.transport:
            request.transport.abort()
        return answer

    def _check_up(self) -> None:
        self.calls += 1
        if self.down:
            raise web.HTTPServiceUnavailable

    def _key(self, request: web.Request) -> str:
        if "kind" not in request.match_info:
            return _INSTANCES
        return f"{request.match_info['kind']}/{request.match_info['name']}"

    async def _get(self, request: web.Request) -> web.Response:
        self._check_up()
        key = self._key(request)
        after = int(request.query.get("after", "-1"))
        wait = min(
            float(request.query.get("wait", "0")),
            _LONGEST_WATCH.total_seconds(),
        )
        if wait:
            await self._wait_for_change(key, after, wait)
            self._check_up()
        stored = self._objects.get(key)
        if stored is None:
            raise web.HTTPNotFound
        if stored.version <= after:
            return web.Response(
                status=304, headers={"ETag": f'"{stored.version}"'}
            )
        return self._answer(stored)

    async def _wait_for_change(self, key: str, after: int, wait: float) -> None:
        def newer() -> bool:
            stored = self._objects.get(key)
            return stored is not None and stored.version > after

        try:
            async with asyncio.timeout(wait):
                while not newer():
                    await self._changed.wait()
        except TimeoutError:
            return

    async def _put(self, request: web.Request) -> web.Response:
        self._check_up()
        key = self._key(request)
        value = await request.json()
        stored = self._objects.get(key)
        found = stored.version if stored else 0
        wanted = request.headers.get("If-Match")
        if wanted is not None and wanted != f'"{found}"':
            raise web.HTTPPreconditionFailed(headers={"ETag": f'"{found}"'})
        if request.headers.get("If-None-Match") == "*" and stored:
            raise web.HTTPPreconditionFailed(headers={"ETag": f'"{found}"'})
        self._put_object(key, value)
        return self._answer(self._objects[key])

    def _put_object(self, key: str, value: object) -> None:
        self._version += 1
        self._objects[key] = _Stored(self._version, value)
        self._changed.set()
        self._changed = asyncio.Event()

    def _answer(self, stored: _Stored) -> web.Response:
        return web.json_response(
            {"version": stored.version, "value": stored.value},
            headers={"ETag": f'"{stored.version}"'},
        )
