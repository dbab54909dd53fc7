"""The HTTP admin port, served by aiohttp on the event loop of the proxy."""

from __future__ import annotations

import datetime

from aiohttp import web

from hickorygate.core import settings as settings_lib
from hickorygate.operators import event_codec
from hickorygate.operators import http_listener
from hickorygate.operators import metrics
from hickorygate.operators import status as statuses

__all__ = ["Admin", "Paths"]

_SHUTDOWN_TIMEOUT = datetime.timedelta(seconds=0.5)
_JSON = "application/json"
_JSON_LINES = "application/x-ndjson"


class Paths:
    """URL paths of the admin port."""

    LIVE = "/live"
    READY = "/ready"
    METRICS = "/metrics"
    STATUS = "/status"
    TIMELINE = "/timeline"
    DRAIN = "/drain"


class Admin:
    """HTTP server for operators, health checks and metrics scrapers.

    It serves the liveness and readiness checks, the metrics, the status and
    the timeline of one proxy, and starts a graceful shutdown of it.
    """

    __slots__ = ("_listener", "_settings", "_subject")

    def __init__(
        self,
        subject: statuses.ObservedProxy,
        settings: settings_lib.AdminSettings,
    ) -> None:
        self._subject = subject
        self._settings = settings
        app = web.Application()
        app.router.add_get(Paths.LIVE, self._live)
        app.router.add_get(Paths.READY, self._ready)
        app.router.add_get(Paths.METRICS, self._metrics)
        app.router.add_get(Paths.STATUS, self._status)
        app.router.add_get(Paths.TIMELINE, self._timeline)
        app.router.add_post(Paths.DRAIN, self._drain)
        self._listener = http_listener.HttpListener(app, _SHUTDOWN_TIMEOUT)

    @property
    def address(self) -> str:
        """Listening address as `host:port`; empty before `start`."""
        return self._listener.address

    def __repr__(self) -> str:
        return f"Admin({self.address!r})"

    async def start(self) -> None:
        """Starts to listen on the configured host and port.

        Raises:
          OSError: the address can't be bound.
        """
        await self._listener.start(self._settings.host, self._settings.port)

    async def close(self) -> None:
        """Stops listening and closes all admin connections."""
        await self._listener.close()

    async def _live(self, request: web.Request) -> web.Response:
        if self._subject.crashed:
            reason = "a background task failed; replace this process\n"
            return web.Response(status=503, text=reason)
        return web.Response(text="alive\n")

    async def _ready(self, request: web.Request) -> web.Response:
        reasons = statuses.unready_reasons(self._subject)
        if reasons:
            return web.Response(status=503, text="\n".join(reasons) + "\n")
        return web.Response(text="ready\n")

    async def _metrics(self, request: web.Request) -> web.Response:
        accepts = request.headers.getall("Accept", [])
        body, headers = metrics.render(self._subject, accepts)
        return web.Response(body=body, headers=headers)

    async def _status(self, request: web.Request) -> web.Response:
        status = statuses.read(self._subject)
        return web.Response(text=status.model_dump_json(), content_type=_JSON)

    async def _timeline(self, request: web.Request) -> web.Response:
        recorded = self._subject.timeline.events
        lines = [event_codec.encode_json(event) + "\n" for event in recorded]
        return web.Response(text="".join(lines), content_type=_JSON_LINES)

    async def _drain(self, request: web.Request) -> web.Response:
        self._subject.drain()
        return web.Response(status=202, text="shutting down\n")
