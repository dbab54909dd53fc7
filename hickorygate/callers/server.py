"""TCP server that accepts MySQL clients and serves their connections."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import datetime
import logging
import resource
import ssl
from typing import cast

import logbook
from mysql_mimic import stream as mimic_stream

from hickorygate.callers import connection as connections
from hickorygate.callers import handler
from hickorygate.callers import login
from hickorygate.callers import stream as streams
from hickorygate.core import background
from hickorygate.core import errors
from hickorygate.core import memory_budget
from hickorygate.core import types

__all__ = ["Server"]

_EXPECTED_ERRORS = (
    OSError,
    TimeoutError,
    errors.FailureError,
    mimic_stream.ConnectionClosed,
)
"""Errors that a caller or the network causes; they are not logged."""

_BACKLOG = 1_024
"""Maximum number of connections that wait to be accepted."""

_TOO_MANY_CONNECTIONS = b"\x17\x00\x00\x00\xff\x10\x04Too many connections"
"""Error 1040 as the first packet of a connection, before the greeting."""

_log = logbook.Logger(__name__)

# mysql_mimic logs a stack trace for each refused login. The proxy answers
# these logins with an error packet, so the trace is not needed.
logging.getLogger("mysql_mimic").setLevel(logging.CRITICAL)


class Server:
    """A MySQL server that gives each connection a handler of its own.

    Args:
      handler_factory: creates the handler of a new connection.
      passwords: password of each user; an empty one means no password.
      statement_limit: maximum size of a statement in bytes.
      connection_limit: maximum number of open connections; None derives it from
        the number of descriptors that the process may open.
    """

    __slots__ = (
        "_connection_limit",
        "_context",
        "_handler_factory",
        "_protocols",
        "_server",
    )

    def __init__(
        self,
        handler_factory: Callable[[], handler.Handler],
        passwords: Mapping[types.CallerName, str],
        statement_limit: int,
        connection_limit: int | None = None,
    ) -> None:
        self._handler_factory = handler_factory
        self._connection_limit = connection_limit or _default_limit()
        users = login.Users(passwords)
        self._context = connections.ServerContext(users, statement_limit)
        self._server: asyncio.Server | None = None
        self._protocols: dict[asyncio.Task[None], _CallerProtocol] = {}

    @property
    def port(self) -> int:
        """TCP port that the server listens on."""
        assert self._server is not None, "not started; call start()"
        return self._server.sockets[0].getsockname()[1]

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._protocols)

    @property
    def full(self) -> bool:
        """Whether no further connection is accepted."""
        return self.connections >= self._connection_limit

    def __repr__(self) -> str:
        return f"Server(connections={self.connections})"

    def use_tls(self, context: ssl.SSLContext, required: bool) -> None:
        """Enables TLS for new connections.

        Args:
          context: TLS context with the server's certificate.
          required: whether logins without TLS are refused.
        """
        self._context.tls = context
        self._context.tls_required = required

    async def start(self, host: str, port: int) -> None:
        """Starts listening.

        Args:
          host: address to listen on.
          port: TCP port to listen on; 0 for any free port.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _CallerProtocol(self), host, port, backlog=_BACKLOG
        )

    async def drain(self, timeout: datetime.timedelta) -> None:
        """Stops listening and lets the work in progress finish.

        Idle connections get a shutdown error at once, busy ones after their
        statement or transaction. Connections that are still open after the
        timeout are closed.

        Args:
          timeout: maximum time to wait for the open connections.
        """
        self._stop_listening()
        for protocol in self._protocols.values():
            protocol.leave()
        if self._protocols:
            await asyncio.wait(
                self._protocols.keys(), timeout=timeout.total_seconds()
            )
        await self.close()

    async def close(self) -> None:
        """Stops listening and closes all connections."""
        self._stop_listening()
        await background.cancel_until_done(self._protocols)

    def accept(
        self, protocol: _CallerProtocol, stream: streams.PacketStream
    ) -> connections.Connection:
        """Starts to serve a new connection in a task of its own.

        Args:
          protocol: asyncio protocol of the connection.
          stream: packet stream of the connection.

        Returns:
          The new connection.
        """
        connection = connections.Connection(
            stream,
            self._handler_factory(),
            self._context,
            protocol.disconnected,
        )
        task = asyncio.create_task(self._serve(connection, protocol))
        self._protocols[task] = protocol
        task.add_done_callback(self._protocols.pop)
        return connection

    @property
    def statement_limit(self) -> int:
        """Maximum size of a statement in bytes."""
        return self._context.statement_limit

    def _stop_listening(self) -> None:
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, connection: connections.Connection, protocol: _CallerProtocol
    ) -> None:
        control = self._context.control
        connection.connection_id = await control.add(connection)
        try:
            await connection.start()
        except _EXPECTED_ERRORS:
            pass
        except Exception:  # noqa: BLE001 - nobody awaits this task
            _log.exception(
                "unexpected error: caller connection {} closed",
                connection.connection_id,
            )
        finally:
            await control.remove(connection.connection_id)
            protocol.close_transport()


def _default_limit() -> int:
    """Returns the number of connections that leaves descriptors for others."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if limit == resource.RLIM_INFINITY:
        return memory_budget.BufferLimits().connections
    return memory_budget.BufferLimits.of_instance(None, limit).connections


class _CallerProtocol(asyncio.StreamReaderProtocol):
    """Protocol of one connection that detects a disconnect of the caller.

    The disconnect is noticed even while a statement runs and nothing reads
    from the connection.

    Attributes:
      disconnected: set when the caller has closed the connection.
    """

    def __init__(self, server: Server) -> None:
        super().__init__(asyncio.StreamReader(), self._accept)
        self.disconnected = asyncio.Event()
        self._server = server
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._connection: connections.Connection | None = None
        self._discard_input = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accepts the connection, or refuses it if there are too many."""
        if not self._server.full:
            super().connection_made(transport)
            return
        self._discard_input = True
        refusing = cast(asyncio.Transport, transport)
        refusing.write(_TOO_MANY_CONNECTIONS)
        refusing.close()

    def data_received(self, data: bytes) -> None:
        """Passes data on, unless the input is discarded during shutdown."""
        if not self._discard_input:
            super().data_received(data)

    def eof_received(self) -> bool | None:
        """Handles the end of the caller's input as a disconnect."""
        keep_open = super().eof_received()
        self._on_disconnect()
        return keep_open

    def connection_lost(self, exc: Exception | None) -> None:
        """Handles the loss of the connection as a disconnect."""
        super().connection_lost(exc)
        self._on_disconnect()

    def leave(self) -> None:
        """Closes the connection as soon as it has no work in progress.

        On an idle connection, the end of input is simulated to wake up the
        connection's reader, and all further input is discarded.
        """
        connection = self._connection
        if connection is None or self._reader is None:
            return
        connection.leave()
        if connection.idle:
            self._discard_input = True
            self._reader.feed_eof()

    def close_transport(self) -> None:
        """Closes the transport."""
        if self._writer is not None:
            self._writer.close()

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        limit = self._server.statement_limit
        stream = streams.PacketStream(reader, writer, limit)
        self._connection = self._server.accept(self, stream)

    def _on_disconnect(self) -> None:
        self.disconnected.set()
        if self._connection is not None:
            self._connection.on_disconnect()
