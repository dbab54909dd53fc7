"""Serves callers over the line protocol."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
import datetime
import functools
from typing import cast

import expression

from hickorygate.callers import access
from hickorygate.callers import caller_session
from hickorygate.callers import session_context
from hickorygate.core import reply as replies
from hickorygate.core import workspace as workspaces
from hickorygate.platform import line_protocol
from hickorygate.platform import settings
from hickorygate.platform import sockets

__all__ = ["CallerConnection", "LineServer"]

_PENDING_LIMIT = 32
"""Number of queued messages of one caller above which reading is paused."""

_BACKLOG = 512

_CONFIGURATION_TIMEOUT = datetime.timedelta(seconds=1.8)
"""Longest time that a new session waits for the first configuration. Callers
give up after two seconds."""

_SESSION_TIMEOUT = datetime.timedelta(seconds=5)
"""Time after which a connection without a session is closed."""


class CallerConnection(asyncio.Protocol):
    """The connection of one caller; messages are answered in order."""

    def __init__(
        self,
        env: session_context.SessionContext,
        on_end: Callable[[CallerConnection], None],
    ) -> None:
        self._env = env
        self._on_end = on_end
        self._buffer = line_protocol.LineBuffer()
        self._pending: collections.deque[line_protocol.Message] = (
            collections.deque()
        )
        self._work: asyncio.Task[None] | None = None
        self._transport: asyncio.Transport | None = None
        self._session: caller_session.CallerSession | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._closing = False
        self._closes_when_quiet = False
        self._connected_at = env.clock.now()

    @property
    def session(self) -> caller_session.CallerSession | None:
        """Session of the connection; None before it is opened."""
        return self._session

    @property
    def is_idle(self) -> bool:
        """Whether no request is outstanding and no transaction is open."""
        busy = self._pending or self.is_processing
        return not busy and (self._session is None or self._session.idle)

    @property
    def env(self) -> session_context.SessionContext:
        """Dependencies that all sessions share."""
        return self._env

    @property
    def is_processing(self) -> bool:
        """Whether a request is being processed."""
        return self._work is not None and not self._work.done()

    def __repr__(self) -> str:
        return f"CallerConnection({self._session!r})"

    def expire(self, now: datetime.datetime) -> None:
        """Applies the time limits of the connection.

        Closes a connection that opened no session in time, and aborts a
        transaction that has been idle for too long.
        """
        if self._session is None:
            if now - self._connected_at >= _SESSION_TIMEOUT:
                self.close()
        elif not self.is_processing:
            self._session.expire(now)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport; called by the event loop."""
        self._transport = cast(asyncio.Transport, transport)
        sockets.enable_dead_peer_detection(transport.get_extra_info("socket"))

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the work and ends the session; called by the event loop."""
        self._closing = True
        self._writable.set()
        if self.is_processing:
            assert self._work is not None, (
                "is_processing is set but there is no task"
            )
            self._work.cancel()
        if self._session is not None:
            self._session.close()
        self._on_end(self)

    def pause_writing(self) -> None:
        """Pauses replies; called by the event loop on backpressure."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Resumes replies; called by the event loop."""
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        """Queues the received messages; called by the event loop."""
        if self._closing:
            return
        for line in self._buffer.feed(data):
            self._pending.append(line_protocol.parse_message(line))
        if self._buffer.oversized:
            self.refuse(
                replies.RejectionReason.OVERSIZED, "a message may have 1 MiB"
            )
            return
        if len(self._pending) > _PENDING_LIMIT and self._transport is not None:
            self._transport.pause_reading()
        if self._pending and not self.is_processing:
            self._work = self._env.background.start(self._answer_all())
            self._work.add_done_callback(self._close_on_error)

    def close_when_idle(self) -> None:
        """Marks the connection to be closed after a reply.

        The connection closes after the next reply that leaves no transaction
        open.
        """
        self._closes_when_quiet = True

    def check_access(self) -> None:
        """Closes the connection if its session is revoked and not in use.

        A session in the middle of an operation closes it after the answer.
        """
        if self._session is None or self._closing:
            return
        self._session.check_access()
        if self._session.is_revoked and not self._session.is_running:
            self.close()

    async def open_session(
        self, name: str, credential: workspaces.Credential | None
    ) -> None:
        """Opens a session, or refuses a database name without a route.

        A key that identifies no workspace is refused as well, unless the route
        is public.

        A process without a configuration cannot tell whether a name is
        unknown, so it waits for the first configuration. A process that stops
        soon refuses the session, so that its first request isn't cut off.
        """
        if self._env.shutdown.refuses_sessions:
            self.refuse(replies.RejectionReason.BUSY, "this proxy stops; retry")
            return
        if not await self._env.fleet.wait_for_configuration(
            _CONFIGURATION_TIMEOUT
        ):
            self.refuse(
                replies.RejectionReason.BUSY, "no configuration yet; retry"
            )
            return
        catalog = self._env.fleet.catalog
        if catalog is None or name not in catalog.routes:
            self.refuse(replies.RejectionReason.UNKNOWN_DATABASE, name)
            return
        admitted = access.admit(catalog, name, credential)
        if admitted.is_error():
            self.refuse(admitted.error.reason, admitted.error.detail)
            return
        self._session = caller_session.CallerSession(
            name, self._env, admitted.ok, credential
        )
        self._write(b"READY I -\r\n")

    def refuse(self, reason: replies.RejectionReason, detail: str) -> None:
        """Sends an error and closes the connection."""
        self._write(
            line_protocol.encode_error(replies.Rejection(reason, detail))
        )
        self.close()

    def close(self) -> None:
        """Closes the connection once the written data is sent."""
        self._closing = True
        self._pending.clear()
        if self._transport is not None:
            self._transport.close()

    async def answer(self, query: line_protocol.Query) -> None:
        """Runs a statement and sends its reply."""
        if self._session is None:
            self.refuse(replies.RejectionReason.MALFORMED, "connect first")
            return
        self._session.check_access()
        was_revoked = self._session.is_revoked
        reply = await self._session.perform(query.id, query.operation)
        self._write(line_protocol.encode_reply(reply))
        if self._session.is_revoked and (was_revoked or not self._pending):
            self.close()

    def reject_malformed(self) -> None:
        """Answers a malformed line; an open session continues."""
        failure = replies.Rejection(
            replies.RejectionReason.MALFORMED, "not a message"
        )
        if self._session is None:
            self.refuse(failure.reason, failure.detail)
            return
        reply = self._session.reply(expression.Error(failure))
        self._write(line_protocol.encode_reply(reply))

    def _close_on_error(self, work: asyncio.Task[None]) -> None:
        """Closes the connection if its task raised an exception.

        The exception is a fault of the proxy and leaves the state of the
        session unknown.
        """
        if not work.cancelled() and work.exception() is not None:
            self.close()

    async def _answer_all(self) -> None:
        while self._pending and not self._closing:
            await _handle(self._pending.popleft(), self)
            await self._writable.wait()
            if len(self._pending) <= _PENDING_LIMIT:
                self._resume_reading()
            if self._closes_when_quiet and self._may_close():
                self.close()

    def _may_close(self) -> bool:
        """Returns whether an open session is idle and has no queued message."""
        return self._session is not None and (
            self._session.idle and not self._pending
        )

    def _resume_reading(self) -> None:
        transport = self._transport
        if transport is not None and not transport.is_closing():
            transport.resume_reading()

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)


@functools.singledispatch
async def _handle(
    message: line_protocol.Message, caller: CallerConnection
) -> None:
    """Handles one message of a caller."""
    raise TypeError(f"no handler for {message!r}; register one")


@_handle.register
async def _(message: line_protocol.Connect, caller: CallerConnection) -> None:
    if caller.session is None:
        await caller.open_session(message.database, message.credential)
    else:
        caller.reject_malformed()


@_handle.register
async def _(message: line_protocol.Query, caller: CallerConnection) -> None:
    await caller.answer(message)


@_handle.register
async def _(message: line_protocol.Terminate, caller: CallerConnection) -> None:
    caller.close()


@_handle.register
async def _(
    message: line_protocol.MalformedMessage, caller: CallerConnection
) -> None:
    caller.reject_malformed()


class LineServer:
    """The listener for callers; it keeps track of their connections."""

    def __init__(self, env: session_context.SessionContext) -> None:
        self._env = env
        self._callers: set[CallerConnection] = set()
        self._server: asyncio.Server | None = None

    @property
    def callers(self) -> frozenset[CallerConnection]:
        """Connections that are open."""
        return frozenset(self._callers)

    @property
    def port(self) -> int:
        """TCP port that callers connect to; available after `start`."""
        assert self._server is not None, "not started; call start()"
        return self._server.sockets[0].getsockname()[1]

    def __repr__(self) -> str:
        return f"LineServer(callers={len(self._callers)})"

    async def start(self, address: settings.Address) -> None:
        """Starts to listen.

        Raises:
          OSError: listening on the address is not possible.
        """
        self._env.fleet.subscribe(self._check_access)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._accept, address.host, address.port, backlog=_BACKLOG
        )

    def close_when_idle(self) -> None:
        """Marks all connections to be closed after a reply.

        Each connection closes after its next reply that leaves no transaction
        open.
        """
        for caller in self._callers:
            caller.close_when_idle()

    def stop_listening(self) -> None:
        """Stops accepting connections."""
        if self._server is not None:
            self._server.close()

    def _check_access(self) -> None:
        """Closes the sessions that the configuration in force doesn't allow."""
        for caller in tuple(self._callers):
            caller.check_access()

    def _accept(self) -> CallerConnection:
        caller = CallerConnection(self._env, self._callers.discard)
        self._callers.add(caller)
        return caller
