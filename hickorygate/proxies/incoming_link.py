"""The link of one gateway at a serving proxy.

Each statement or open transaction has a `CallerSession` of its own, which
never forwards. It queues and runs like those of the proxy's own callers.
"""

from __future__ import annotations

import asyncio
import dataclasses
import datetime
import functools
from typing import TYPE_CHECKING
from typing import cast

import expression

from hickorygate.callers import caller_session
from hickorygate.core import errors
from hickorygate.core import operation as operations
from hickorygate.core import reply as replies
from hickorygate.core import types
from hickorygate.platform import sockets
from hickorygate.proxies import frame_writer
from hickorygate.proxies import served_sessions
from hickorygate.proxies import statement_codec
from hickorygate.proxies import statement_messages as messages

if TYPE_CHECKING:
    from hickorygate.proxies import statement_server

__all__ = ["IncomingLink"]

_MAX_RUNNING = 1_024
"""Number of statements in progress on one link from which it isn't read."""

_MAX_UNREAD_BYTES = 4 * 1_024 * 1_024
"""Bytes of replies that a gateway has not read, from which its link isn't read
either."""

_IDLE_MARGIN = datetime.timedelta(milliseconds=500)
"""Time beyond the idle limit of transactions after which this proxy aborts one.
The gateway does so at the limit, unless it was suspended or cut off."""

_HELLO_TIMEOUT = datetime.timedelta(seconds=5)
"""Time after which a link without a first message is closed."""


@dataclasses.dataclass(slots=True)
class _ServedTransaction:
    """An open transaction of a gateway.

    Attributes:
      session: session that runs its statements.
      work: statement that runs; None between two statements.
      commits: whether that statement is a commit.
      ended: whether the gateway gave it up while a statement ran.
    """

    session: caller_session.CallerSession
    work: asyncio.Task[None] | None = None
    commits: bool = False
    ended: bool = False


@dataclasses.dataclass(slots=True)
class _RunningStatement:
    """A statement in progress.

    Attributes:
      session: session that runs it.
      transaction: number of its transaction, if it has one.
      served: its transaction; None if it has none.
      work: task that runs it.
    """

    session: caller_session.CallerSession
    transaction: int
    served: _ServedTransaction | None
    work: asyncio.Task[None]


class IncomingLink(asyncio.Protocol):
    """The link of one gateway."""

    def __init__(self, server: statement_server.StatementServer) -> None:
        self._server = server
        self._buffer = statement_codec.FrameBuffer()
        self._transport: asyncio.Transport | None = None
        self._writer: frame_writer.FrameWriter | None = None
        self._gateway = ""
        self._opened = server.env.clock.now()
        self._transactions: dict[int, _ServedTransaction] = {}
        self._running: dict[int, _RunningStatement] = {}
        self._newest = 0
        self._paused = False
        self._unread = False
        self._closed = False

    @property
    def gateway(self) -> types.ProxyName:
        """Name of the gateway; empty before its first message."""
        return self._gateway

    @property
    def running(self) -> int:
        """Number of statements in progress."""
        return len(self._running)

    @property
    def transactions(self) -> int:
        """Number of open transactions."""
        return len(self._transactions)

    def __repr__(self) -> str:
        return f"IncomingLink({self._gateway!r}, running={self.running})"

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport; called by the event loop."""
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=_MAX_UNREAD_BYTES)
        self._writer = frame_writer.FrameWriter(self._transport)
        sockets.enable_dead_peer_detection(transport.get_extra_info("socket"))

    def connection_lost(self, exc: Exception | None) -> None:
        """Rolls the transactions back; called by the event loop.

        Single statements and a commit that run are left to their end: their
        outcome is in doubt at the gateway, and a statement that is cut off
        costs its database connection.
        """
        self._closed = True
        self._server.link_closed(self)
        for number in tuple(self._transactions):
            self.abort_transaction(number)

    def pause_writing(self) -> None:
        """Stops reading too; called by the event loop on backpressure."""
        self._unread = True
        self._adjust_reading()

    def resume_writing(self) -> None:
        """Reads again; called by the event loop."""
        self._unread = False
        self._adjust_reading()

    def data_received(self, data: bytes) -> None:
        """Handles the received messages; called by the event loop."""
        for payload in self._buffer.feed(data):
            if self._closed:
                return
            message = statement_codec.decode(payload)
            if isinstance(message, errors.BadPeerMessage):
                self.close()
                return
            _handle(message, self)
        if self._buffer.oversized:
            self.close()

    def send(self, message: messages.LinkMessage) -> None:
        """Sends a message unless the link is closed."""
        if self._closed or self._writer is None:
            return
        frame = statement_codec.encode(message)
        if frame is None:
            # More rows than a caller could get; the statement has run.
            self.close()
            return
        self._writer.write(frame)

    def close(self) -> None:
        """Closes the link."""
        self._closed = True
        if self._transport is not None:
            self._transport.close()

    def greet(self, message: messages.Hello) -> None:
        """Accepts the gateway if it means this proxy."""
        if self._gateway or message.server != self._server.name:
            self.close()
            return
        self._gateway = message.gateway
        self.send(messages.Welcome())
        if self._server.leaving:
            self.send(messages.Leaving())

    def run(self, message: messages.RunStatement) -> None:
        """Starts to run a statement.

        A gateway numbers its statements in the order in which it sends them.
        One with an older number has come before, and may have run.
        """
        if not self._gateway or message.number <= self._newest:
            self.close()
            return
        self._newest = message.number
        transaction = message.transaction
        if not transaction:
            self._run_new(message, None)
            return
        served = self._transactions.get(transaction)
        starts = message.start is not messages.TransactionStart.CONTINUES
        if served is None and starts:
            self._run_new(message, message.start)
        elif served is None:
            self._send_reply(served_sessions.reply_to_unknown(message))
        elif starts or served.work is not None:
            self.close()  # A gateway has one statement of it outstanding.
        else:
            self._run_in(message, served)

    def recall(self, message: messages.RecallStatement) -> None:
        """Rejects a statement unless it was sent to a database already.

        One that has not started yet, as after a suspension of this process,
        isn't started any more.
        """
        running = self._running.get(message.number)
        if running is None:
            return
        rejection = replies.Rejection(message.reason, message.detail)
        if running.session.is_running:
            running.session.interrupt(rejection)
            return
        running.work.cancel()
        if running.served is not None:
            running.served.ended = True
            self._transactions.pop(running.transaction, None)
        self._server.note_served(
            running.session.reply(expression.Error(rejection))
        )
        self._send_reply(
            messages.StatementReply(
                number=message.number,
                verdict=messages.Verdict.REJECTED,
                reason=message.reason,
                detail=message.detail,
            )
        )

    def check_access(self) -> None:
        """Applies the configuration in force to all sessions."""
        transactions = [t.session for t in self._transactions.values()]
        running = [r.session for r in self._running.values()]
        for session in {*transactions, *running}:
            session.check_access()

    def answer_rights(self, message: messages.RightsRequest) -> None:
        """Answers a request for shares of rate limits."""
        if not self._gateway:
            self.close()
            return
        self.send(self._server.rights(self._gateway, message))

    def abort_transaction(self, transaction: int) -> None:
        """Rolls a transaction back; a commit that runs is left to its end."""
        served = self._transactions.pop(transaction, None)
        if served is None:
            return
        served.ended = True
        if served.work is None:
            served.session.close()
        elif not served.commits:
            served.work.cancel()

    def abort_idle_transactions(self) -> None:
        """Aborts the transactions of which no statement runs."""
        for served in self._transactions.values():
            if served.work is None:
                served.session.abort_open_transaction()

    def expire(self, now: datetime.datetime) -> None:
        """Aborts transactions that are idle for too long.

        Also closes a link without a first message.
        """
        if not self._gateway and now - self._opened >= _HELLO_TIMEOUT:
            self.close()
        for served in self._transactions.values():
            if served.work is None:
                served.session.expire(now - _IDLE_MARGIN)

    def _run_new(
        self,
        message: messages.RunStatement,
        start: messages.TransactionStart | None,
    ) -> None:
        """Runs a single statement or the first one of a transaction."""
        verdict = self._server.refusal(message)
        if verdict is not None:
            self._send_reply(messages.StatementReply(message.number, verdict))
            return
        session = served_sessions.open_session(message, start, self._server.env)
        if start is None or session.state.transaction is None:
            self._start(message, session, None)
            return
        served = _ServedTransaction(session)
        self._transactions[message.transaction] = served
        self._start(message, session, served)

    def _run_in(
        self, message: messages.RunStatement, served: _ServedTransaction
    ) -> None:
        served_sessions.set_state(served.session.state, message)
        self._start(message, served.session, served)

    def _start(
        self,
        message: messages.RunStatement,
        session: caller_session.CallerSession,
        served: _ServedTransaction | None,
    ) -> None:
        work = self._server.env.background.start(self._serve(message, session))
        self._running[message.number] = _RunningStatement(
            session, message.transaction, served, work
        )
        if len(self._running) >= _MAX_RUNNING:
            self._adjust_reading()
        if served is not None:
            served.work = work
            served.commits = isinstance(message.operation, operations.Commit)
        work.add_done_callback(
            functools.partial(self._note_end, message, served)
        )

    async def _serve(
        self,
        message: messages.RunStatement,
        session: caller_session.CallerSession,
    ) -> None:
        call = served_sessions.make_call(message, self._server.env)
        reply = await session.process(message.operation, call)
        self._server.note_served(reply)
        self.send(
            served_sessions.to_message(
                message, reply, call, self._server.version
            )
        )

    def _note_end(
        self,
        message: messages.RunStatement,
        served: _ServedTransaction | None,
        work: asyncio.Task[None],
    ) -> None:
        """Records the end of a statement, and of a transaction with it.

        Closes the link after a fault of this proxy, which sent no reply.
        """
        del self._running[message.number]
        if self._paused:
            self._adjust_reading()
        if served is not None:
            served.work = None
            if served.ended:
                served.session.close()
            elif served.session.state.transaction is None:
                self._transactions.pop(message.transaction, None)
        if not work.cancelled() and work.exception() is not None:
            self.close()

    def _send_reply(self, reply: messages.StatementReply) -> None:
        """Replies to a statement that was not run."""
        version = self._server.version
        self.send(dataclasses.replace(reply, version=version))

    def _adjust_reading(self) -> None:
        wanted = self._unread or len(self._running) >= _MAX_RUNNING
        transport = self._transport
        if wanted == self._paused or transport is None:
            return
        self._paused = wanted
        if transport.is_closing():
            return
        if wanted:
            transport.pause_reading()
        else:
            transport.resume_reading()


@functools.singledispatch
def _handle(message: messages.LinkMessage, link: IncomingLink) -> None:
    """Handles a message of a gateway."""
    link.close()


@_handle.register
def _(message: messages.Hello, link: IncomingLink) -> None:
    link.greet(message)


@_handle.register
def _(message: messages.RunStatement, link: IncomingLink) -> None:
    link.run(message)


@_handle.register
def _(message: messages.AbortTransaction, link: IncomingLink) -> None:
    link.abort_transaction(message.transaction)


@_handle.register
def _(message: messages.RecallStatement, link: IncomingLink) -> None:
    link.recall(message)


@_handle.register
def _(message: messages.RightsRequest, link: IncomingLink) -> None:
    link.answer_rights(message)


@_handle.register
def _(message: messages.Ping, link: IncomingLink) -> None:
    link.send(messages.Pong(message.number))
