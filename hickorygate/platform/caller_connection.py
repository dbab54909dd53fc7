"""One caller's connection over the line protocol, and what it may hold."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
import datetime
import functools
from typing import Protocol
from typing import cast

import expression

from hickorygate.callers import access
from hickorygate.callers import caller_session
from hickorygate.callers import session_context
from hickorygate.core import errors
from hickorygate.core import memory_budget
from hickorygate.core import progress_watch
from hickorygate.core import reply as replies
from hickorygate.core import workspace as workspaces
from hickorygate.platform import answer_writer
from hickorygate.platform import line_protocol
from hickorygate.platform import sockets

__all__ = ["CallerConnection", "ConnectionOwner", "RejectedConnection"]

_CONFIGURATION_TIMEOUT = datetime.timedelta(seconds=1.8)
"""Longest time that a new session waits for the first configuration. Callers
give up after two seconds."""

_SESSION_TIMEOUT = datetime.timedelta(seconds=5)
"""Time after which a connection without a session is closed."""

_UNREAD_TIMEOUT = datetime.timedelta(seconds=10)
"""Time after which a connection whose answer isn't read is closed."""

_CLOSE_TIMEOUT = datetime.timedelta(seconds=5)
"""Time in which a closing connection must accept the unsent data."""

_NO_PAUSE = datetime.timedelta()
_LONGEST_PAUSE = datetime.timedelta(seconds=1)
"""Longest time between two pipelined messages after a rejection."""


class ConnectionOwner(Protocol):
    """The listener that a connection belongs to."""

    @property
    def budget(self) -> memory_budget.MemoryBudget:
        """The account of all connections."""

    def apply(self, effects: Iterable[memory_budget.Effect]) -> None:
        """Applies decisions, which may concern other connections."""

    def record_closed(self, cause: memory_budget.Cause) -> None:
        """Counts a connection that is closed because of a limit."""

    def record_malformed(self, in_session: bool) -> None:
        """Counts a message that was not understood."""

    def forget(self, caller: CallerConnection) -> None:
        """Forgets a connection that has ended."""


class RejectedConnection(asyncio.Protocol):
    """A connection that is refused and closed at once."""

    def __init__(self, cause: memory_budget.Cause) -> None:
        self._cause = cause

    def __repr__(self) -> str:
        return f"RejectedConnection({self._cause.value!r})"

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends an error and closes; called by the event loop."""
        failure = replies.Rejection(
            replies.RejectionReason.BUSY, f"{self._cause.value}; retry"
        )
        writing = cast(asyncio.Transport, transport)
        writing.write(line_protocol.encode_error(failure))
        writing.close()


class CallerConnection(asyncio.Protocol):
    """The connection of one caller; messages are answered in order."""

    def __init__(
        self, env: session_context.SessionContext, owner: ConnectionOwner
    ) -> None:
        self._env = env
        self._owner = owner
        self._budget = owner.budget
        self._holding = self._budget.open()
        self._buffer = line_protocol.LineBuffer()
        self._work: asyncio.Task[None] | None = None
        self._transport: asyncio.Transport | None = None
        self._session: caller_session.CallerSession | None = None
        self._writer = answer_writer.AnswerWriter()
        self._turn: asyncio.Event | None = None
        self._closing = False
        self._closes_when_quiet = False
        self._connected_at = env.clock.now()
        self._closing_since: datetime.datetime | None = None
        self._received = 0
        self._messages = 0
        self._pause = _NO_PAUSE
        self._incomplete_watch = progress_watch.ProgressWatch(
            env.fleet.message_idle
        )
        self._unread_watch = progress_watch.ProgressWatch(_UNREAD_TIMEOUT)

    @property
    def session(self) -> caller_session.CallerSession | None:
        """Session of the connection; None before it is opened."""
        return self._session

    @property
    def is_idle(self) -> bool:
        """Whether no request is outstanding and no transaction is open."""
        busy = self._buffer.has_line or self.is_processing
        return not busy and (self._session is None or self._session.idle)

    @property
    def env(self) -> session_context.SessionContext:
        """Dependencies that all sessions share."""
        return self._env

    @property
    def holding(self) -> memory_budget.Holding:
        """Account of what the connection holds."""
        return self._holding

    @property
    def is_processing(self) -> bool:
        """Whether a request is being processed."""
        return self._work is not None and not self._work.done()

    def __repr__(self) -> str:
        return f"CallerConnection({self._session!r})"

    def expire(self, now: datetime.datetime) -> None:
        """Applies the time limits of the connection; called regularly.

        Closes a connection that opened no session in time, sends no rest of a
        message or reads no answer, and aborts a transaction that has been idle
        for too long.
        """
        self._update_holding()
        if self._closing:
            self._expire_closing(now)
        elif self._session is None and (
            now - self._connected_at >= _SESSION_TIMEOUT
        ):
            self._give_up_message(memory_budget.Cause.NO_SESSION)
        elif self._unread_watch.is_stalled(now, *self._writer.progress):
            self._owner.record_closed(memory_budget.Cause.UNREAD)
            self.abort()
        elif self._incomplete_watch.is_stalled(
            now, self._incomplete_message(), self._received
        ):
            self._give_up_message(memory_budget.Cause.INCOMPLETE)
        elif self._session is not None and not self.is_processing:
            self._session.expire(now)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport; called by the event loop."""
        self._transport = cast(asyncio.Transport, transport)
        self._writer.attach(self._transport)
        sockets.enable_dead_peer_detection(transport.get_extra_info("socket"))

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the work and ends the session; called by the event loop."""
        self._closing = True
        self._writer.resume()
        self._buffer.clear()
        if self.is_processing:
            assert self._work is not None, (
                "is_processing is set but there is no task"
            )
            self._work.cancel()
        if self._session is not None:
            self._session.close()
        self._owner.apply(self._budget.close(self._holding))
        self._owner.forget(self)

    def pause_writing(self) -> None:
        """Pauses replies; called by the event loop on backpressure."""
        self._writer.pause()

    def resume_writing(self) -> None:
        """Resumes replies; called by the event loop."""
        self._writer.resume()
        self._update_holding()

    def data_received(self, data: bytes) -> None:
        """Queues the received messages; called by the event loop."""
        if self._closing:
            return
        self._received += len(data)
        self._buffer.append(data)
        if self._buffer.oversized:
            self._owner.record_closed(memory_budget.Cause.OVERSIZED)
            self.refuse(
                replies.RejectionReason.OVERSIZED, "a message may have 1 MiB"
            )
            return
        if self._buffer.has_line and not self.is_processing:
            self._work = self._env.background.start(self._answer_all())
            self._work.add_done_callback(self._close_on_error)
        self._update_holding()

    def pause_reading(self) -> None:
        """Stops reading from the caller."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Reads from the caller again."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def start_message(self) -> None:
        """Lets the message run that waits for other large ones."""
        if self._turn is not None:
            self._turn.set()

    def abort(self) -> None:
        """Closes the connection at once and discards what it holds."""
        self._closing = True
        self._buffer.clear()
        if self._work is not None:
            self._work.cancel()
        if self._transport is not None:
            self._transport.abort()

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
            self.refuse(
                replies.RejectionReason.UNKNOWN_DATABASE, replies.shorten(name)
            )
            return
        admitted = access.admit(catalog, name, credential)
        if admitted.is_error():
            self.refuse(admitted.error.reason, admitted.error.detail)
            return
        self._session = caller_session.CallerSession(
            name, self._env, admitted.ok, credential
        )
        self._writer.write(b"READY I -\r\n")

    def refuse(self, reason: replies.RejectionReason, detail: str) -> None:
        """Sends an error and closes the connection."""
        self._writer.write(
            line_protocol.encode_error(replies.Rejection(reason, detail))
        )
        self.close()

    def close(self) -> None:
        """Closes the connection once the written data is sent."""
        self._closing = True
        self._buffer.clear()
        if self._transport is not None:
            self._transport.close()
        self._update_holding()

    async def answer(self, query: line_protocol.Query) -> None:
        """Runs a statement and sends its reply."""
        if self._session is None:
            self.refuse(replies.RejectionReason.MALFORMED, "connect first")
            return
        self._session.check_access()
        was_revoked = self._session.is_revoked
        reply = await self._session.perform(query.id, query.operation)
        if reply.result.is_error():
            self._pause = _pause_after(reply.result.error)
        self._writer.write(line_protocol.encode_reply(reply))
        if self._session.is_revoked and (
            was_revoked or not self._buffer.has_line
        ):
            self.close()

    def reject_malformed(self) -> None:
        """Answers a malformed line; an open session continues."""
        self._owner.record_malformed(self._session is not None)
        failure = replies.Rejection(
            replies.RejectionReason.MALFORMED, "not a message"
        )
        if self._session is None:
            self.refuse(failure.reason, failure.detail)
            return
        reply = self._session.reply(expression.Error(failure))
        self._writer.write(line_protocol.encode_reply(reply))

    def _close_on_error(self, work: asyncio.Task[None]) -> None:
        """Closes the connection if its task raised an exception.

        The exception is a fault of the proxy and leaves the state of the
        session unknown.
        """
        if not work.cancelled() and work.exception() is not None:
            self.close()

    def _give_up_message(self, cause: memory_budget.Cause) -> None:
        """Closes a connection that has completed no message in time.

        A caller that has sent a part is told why: it may end its messages in
        another way than with CR LF. To one that has sent nothing, nothing is
        sent.
        """
        self._owner.record_closed(cause)
        if self._holding.waits_for_rest:
            self.refuse(
                replies.RejectionReason.MALFORMED,
                f"{cause.value}; CR LF ends a message",
            )
        else:
            self.abort()

    def _expire_closing(self, now: datetime.datetime) -> None:
        """Aborts a closing connection that doesn't accept the unsent data."""
        if self._closing_since is None:
            self._closing_since = now
        if now - self._closing_since >= _CLOSE_TIMEOUT:
            self.abort()

    async def _answer_all(self) -> None:
        while self._buffer.has_line and not self._closing:
            try:
                await self._answer_next(self._buffer.pop())
            finally:
                self._owner.apply(self._budget.finish(self._holding))
            self._update_holding(processing=self._buffer.has_line)
            await self._writer.wait()
            if self._buffer.has_line:
                await self._let_others_run()
            if self._closes_when_quiet and self._may_close():
                self.close()

    async def _let_others_run(self) -> None:
        """Lets other callers run between two pipelined messages.

        After a rejection for overload the next message waits, since a pipeline
        of rejected requests would otherwise take every place that becomes free.
        """
        pause, self._pause = self._pause, _NO_PAUSE
        if pause:
            await self._env.clock.sleep(min(pause, _LONGEST_PAUSE))
        else:
            await asyncio.sleep(0)

    async def _answer_next(self, line: bytes) -> None:
        """Answers one message, after other large ones if it is large."""
        self._messages += 1
        size, cost = len(line), line_protocol.decoding_cost(line)
        self._turn = asyncio.Event()
        started = self._budget.start(self._holding, size, cost)
        if size > memory_budget.SMALL:
            self._update_holding()
        if not started:
            await self._turn.wait()
        self._turn = None
        message = line_protocol.parse_message(line)
        del line
        await _handle(message, self)

    def _may_close(self) -> bool:
        """Returns whether an open session is idle and has no queued message."""
        return self._session is not None and (
            self._session.idle and not self._buffer.has_line
        )

    def _incomplete_message(self) -> int:
        """Returns the number of the incomplete message; -1 for none.

        A message whose reading is paused doesn't count as incomplete.
        """
        waits = self._holding.waits_for_rest and not self._holding.paused
        return self._messages if waits else -1

    def _update_holding(self, processing: bool | None = None) -> None:
        if processing is None:
            processing = self.is_processing
        self._owner.apply(
            self._budget.hold(
                self._holding,
                self._buffer.size,
                self._writer.unsent,
                processing or self._buffer.has_line,
            )
        )


@functools.singledispatch
def _pause_after(failure: errors.Failure) -> datetime.timedelta:
    """Returns how long a pipeline waits after a failed request."""
    return _NO_PAUSE


@_pause_after.register
def _(failure: errors.Overloaded) -> datetime.timedelta:
    return failure.retry_after


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
