"""Listens for MySQL clients and serves each until it leaves."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import datetime
import logging
import ssl

import logbook
from mysql_mimic import stream as mimic_stream

from hickorygate.callers import connection as connections
from hickorygate.callers import handler as handlers
from hickorygate.callers import login as logins
from hickorygate.callers import stream as streams
from hickorygate.core import errors
from hickorygate.core import types

__all__ = ["Server"]

_ENDINGS = (
    OSError,
    TimeoutError,
    errors.FailureError,
    mimic_stream.ConnectionClosed,
)
_BACKLOG = 1_024

_log = logbook.Logger(__name__)

# The library logs each refused login with a trace; ours are answered.
logging.getLogger("mysql_mimic").setLevel(logging.CRITICAL)


class Server:
    """Listens for MySQL clients."""

    __slots__ = ("_callers", "_handler_factory", "_server", "_terms")

    def __init__(
        self,
        handler_factory: Callable[[], handlers.Handler],
        passwords: Mapping[types.CallerName, str],
        statement_limit: int,
    ) -> None:
        self._handler_factory = handler_factory
        users = logins.Users(passwords)
        self._terms = connections.Terms(users, statement_limit)
        self._server: asyncio.Server | None = None
        self._callers: dict[asyncio.Task[None], _Protocol] = {}

    @property
    def port(self) -> int:
        """The TCP port that it listens on."""
        assert self._server is not None, "not started; call start()"
        return self._server.sockets[0].getsockname()[1]

    @property
    def connections(self) -> int:
        """Callers that are connected."""
        return len(self._callers)

    def __repr__(self) -> str:
        return f"Server(connections={self.connections})"

    def use_tls(self, context: ssl.SSLContext, required: bool) -> None:
        """Offers TLS to the callers that connect from now on."""
        self._terms.tls = context
        self._terms.tls_required = required

    async def start(self, host: str, port: int) -> None:
        """Begins to listen."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Protocol(self), host, port, backlog=_BACKLOG
        )

    async def drain(self, timeout: datetime.timedelta) -> None:
        """Stops listening and lets the work in progress end.

        Idle callers are sent away at once, the others after their statement
        or transaction; who takes longer than the time limit is cut off.
        """
        self._stop_listening()
        for protocol in self._callers.values():
            protocol.leave()
        if self._callers:
            await asyncio.wait(
                self._callers.keys(), timeout=timeout.total_seconds()
            )
        await self.close()

    async def close(self) -> None:
        """Stops listening and cuts off all callers."""
        self._stop_listening()
        tasks = list(self._callers)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def accept(
        self, protocol: _Protocol, stream: streams.Stream
    ) -> connections.Connection:
        """Takes in a connection and serves it."""
        connection = connections.Connection(
            stream, self._handler_factory(), self._terms, protocol.gone
        )
        task = asyncio.create_task(self._serve(connection, protocol))
        self._callers[task] = protocol
        task.add_done_callback(self._callers.pop)
        return connection

    @property
    def statement_limit(self) -> int:
        """Bytes of the longest statement."""
        return self._terms.limit

    def _stop_listening(self) -> None:
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, connection: connections.Connection, protocol: _Protocol
    ) -> None:
        control = self._terms.control
        connection.connection_id = await control.add(connection)
        try:
            await connection.start()
        except _ENDINGS:
            pass
        except Exception:  # noqa: BLE001 - nobody awaits this task
            _log.exception("a connection ended unexpectedly")
        finally:
            await control.remove(connection.connection_id)
            protocol.hang_up()


class _Protocol(asyncio.StreamReaderProtocol):
    """Notices that a caller hangs up, also while its statement runs."""

    def __init__(self, server: Server) -> None:
        super().__init__(asyncio.StreamReader(), self._accept)
        self.gone = asyncio.Event()
        self._server = server
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._connection: connections.Connection | None = None
        self._deaf = False

    def data_received(self, data: bytes) -> None:
        """Passes data on, unless the caller was sent away."""
        if not self._deaf:
            super().data_received(data)

    def eof_received(self) -> bool | None:
        """The caller sends no more."""
        keep_open = super().eof_received()
        self._caller_left()
        return keep_open

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is closed."""
        super().connection_lost(exc)
        self._caller_left()

    def leave(self) -> None:
        """Sends the caller away, at once if it is idle."""
        connection = self._connection
        if connection is None or self._reader is None:
            return
        connection.leave()
        if connection.idle:
            self._deaf = True
            self._reader.feed_eof()

    def hang_up(self) -> None:
        """Closes the connection."""
        if self._writer is not None:
            self._writer.close()

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        limit = self._server.statement_limit
        stream = streams.Stream(reader, writer, limit)
        self._connection = self._server.accept(self, stream)

    def _caller_left(self) -> None:
        self.gone.set()
        if self._connection is not None:
            self._connection.caller_left()
