"""An HTTP listener whose connections are bounded in number, size and time."""

from __future__ import annotations

import asyncio
import datetime

from aiohttp import web

__all__ = ["HttpListener"]

_CONNECTIONS = 64
"""Number of open connections; a further one replaces the oldest, so idle ones
never keep a readiness check out."""

_IDLE_TIMEOUT = datetime.timedelta(seconds=5)
"""Time after which a connection without a complete request is closed."""

_LINE_BYTES = 2_048
_FIELD_BYTES = 4_096
_HEADERS = 32


class HttpListener:
    """Serves an application on one address.

    Args:
      app: application to serve.
      close_timeout: time that open connections get when the listener stops.
    """

    def __init__(
        self, app: web.Application, close_timeout: datetime.timedelta
    ) -> None:
        self._runner = web.AppRunner(
            app,
            access_log=None,
            shutdown_timeout=close_timeout.total_seconds(),
            keepalive_timeout=_IDLE_TIMEOUT.total_seconds(),
            max_line_size=_LINE_BYTES,
            max_field_size=_FIELD_BYTES,
            max_headers=_HEADERS,
        )
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """Listening address as `host:port`; empty before `start`."""
        if self._server is None or not self._server.sockets:
            return ""
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    def __repr__(self) -> str:
        return f"HttpListener({self.address!r})"

    async def start(self, host: str, port: int) -> None:
        """Starts to listen.

        Raises:
          OSError: listening on the address is not possible.
        """
        await self._runner.setup()
        self._server = await asyncio.get_running_loop().create_server(
            self._accept, host, port, reuse_address=True
        )

    async def close(self) -> None:
        """Stops listening and closes all connections."""
        if self._server is not None:
            self._server.close()
        await self._runner.cleanup()

    def _accept(self) -> asyncio.Protocol:
        server = self._runner.server
        assert server is not None, "not started; call start()"
        opened = [c for c in server.connections if c.transport is not None]
        if len(opened) >= _CONNECTIONS:
            opened[0].force_close()
        return server()
