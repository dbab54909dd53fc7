"""Serves the platform's readiness check and the metrics."""

from __future__ import annotations

from collections.abc import Callable
import datetime

from aiohttp import web

from hickorygate.operators import http_listener
from hickorygate.platform import settings

__all__ = ["ManagementServer"]

_READINESS = "/-/readiness"
_METRICS = "/metrics"
_READY = 200
_NOT_READY = 503
_CLOSE_TIMEOUT = datetime.timedelta(milliseconds=50)
"""Time that open connections get when a server stops. Readiness checks may
leave connections open, and closing them loses nothing."""


class ManagementServer:
    """HTTP servers for the readiness check and the metrics."""

    def __init__(
        self, ready: Callable[[], bool], metrics: Callable[[], bytes]
    ) -> None:
        self._ready = ready
        self._metrics = metrics
        self._listeners: list[http_listener.HttpListener] = []

    def __repr__(self) -> str:
        return f"ManagementServer(sites={len(self._listeners)})"

    async def serve_readiness(self, address: settings.Address) -> None:
        """Starts to answer readiness checks.

        Raises:
          OSError: listening on the address is not possible.
        """
        await self._serve(address, _READINESS, self._answer_readiness)

    async def serve_metrics(self, address: settings.Address) -> None:
        """Starts to serve the metrics.

        Raises:
          OSError: listening on the address is not possible.
        """
        await self._serve(address, _METRICS, self._answer_metrics)

    async def close(self) -> None:
        """Stops the servers."""
        for listener in self._listeners:
            await listener.close()

    async def _serve(
        self, address: settings.Address, path: str, handler: object
    ) -> None:
        app = web.Application()
        app.router.add_get(path, handler)
        listener = http_listener.HttpListener(app, _CLOSE_TIMEOUT)
        self._listeners.append(listener)
        await listener.start(address.host, address.port)

    async def _answer_readiness(self, request: web.Request) -> web.Response:
        return web.Response(status=_READY if self._ready() else _NOT_READY)

    async def _answer_metrics(self, request: web.Request) -> web.Response:
        return web.Response(
            body=self._metrics(), content_type="text/plain", charset="utf-8"
        )
