"""Runs statements for gateways: the listener of a serving proxy.

Each statement or open transaction has a `CallerSession` of its own, which
never forwards. It queues and runs like those of the proxy's own callers.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import datetime
import functools
from typing import cast

import expression

from hickorygate.callers import caller_session
from hickorygate.callers import caller_session_state
from hickorygate.callers import session_context
from hickorygate.core import errors
from hickorygate.core import operation as operations
from hickorygate.core import reply as replies
from hickorygate.core import types
from hickorygate.platform import sockets
from hickorygate.proxies import frame_writer
from hickorygate.proxies import statement_codec
from hickorygate.proxies import statement_messages as messages

__all__ = ["IncomingLink", "StatementServer"]

_BACKLOG = 512
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

_MILLISECOND = datetime.timedelta(milliseconds=1)


def _ignore_version(version: int) -> None:
    pass


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


class IncomingLink(asyncio.Protocol):
    """The link of one gateway."""

    def __init__(self, server: StatementServer) -> None:
        self._server = server
        self._buffer = statement_codec.FrameBuffer()
        self._transport: asyncio.Transport | None = None
        self._writer: frame_writer.FrameWriter | None = None
        self._gateway = ""
        self._opened = server.env.clock.now()
        self._transactions: dict[int, _ServedTransaction] = {}
        self._sessions: dict[int, caller_session.CallerSession] = {}
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
        return len(self._sessions)

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
        """Starts to run a statement."""
        if not self._gateway:
            self.close()
            return
        transaction = message.transaction
        if not transaction:
            self._run_new(message, None)
            return
        served = self._transactions.get(transaction)
        starts = message.start is not messages.TransactionStart.CONTINUES
        if served is None and starts:
            self._run_new(message, message.start)
        elif served is None:
            self._send_reply(_reply_to_unknown(message))
        elif starts or served.work is not None:
            self.close()  # A gateway has one statement of it outstanding.
        else:
            self._run_in(message, served)

    def answer_rights(self, message: messages.RightsRequest) -> None:
        """Answers a request for shares of rate limits."""
        if not self._gateway:
            self.close()
            return
        self.send(self._server.rights(self._gateway, message))

    def recall(self, message: messages.RecallStatement) -> None:
        """Rejects a statement unless it was sent to a database already."""
        session = self._sessions.get(message.number)
        if session is not None:
            # The task of a statement that was just received starts first.
            asyncio.get_running_loop().call_soon(
                session.interrupt,
                replies.Rejection(message.reason, message.detail),
            )

    def check_access(self) -> None:
        """Applies the configuration in force to all sessions."""
        transactions = [t.session for t in self._transactions.values()]
        for session in {*transactions, *self._sessions.values()}:
            session.check_access()

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
        session = self._server.open_session(message, start)
        if start is None or session.state.transaction is None:
            self._start(message, session, None)
            return
        served = _ServedTransaction(session)
        self._transactions[message.transaction] = served
        self._start(message, session, served)

    def _run_in(
        self, message: messages.RunStatement, served: _ServedTransaction
    ) -> None:
        _set_state(served.session.state, message)
        self._start(message, served.session, served)

    def _start(
        self,
        message: messages.RunStatement,
        session: caller_session.CallerSession,
        served: _ServedTransaction | None,
    ) -> None:
        if message.number in self._sessions:
            self.close()
            return
        self._sessions[message.number] = session
        if len(self._sessions) >= _MAX_RUNNING:
            self._adjust_reading()
        work = self._server.env.background.start(self._serve(message, session))
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
        call = self._server.call(message)
        reply = await session.process(message.operation, call)
        self._server.note_served(reply)
        self.send(_to_message(message, reply, call, self._server.version))

    def _note_end(
        self,
        message: messages.RunStatement,
        served: _ServedTransaction | None,
        work: asyncio.Task[None],
    ) -> None:
        """Records the end of a statement, and of a transaction with it.

        Closes the link after a fault of this proxy, which sent no reply.
        """
        del self._sessions[message.number]
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
        wanted = self._unread or len(self._sessions) >= _MAX_RUNNING
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
def _(message: messages.RightsRequest, link: IncomingLink) -> None:
    link.answer_rights(message)


@_handle.register
def _(message: messages.RecallStatement, link: IncomingLink) -> None:
    link.recall(message)


@_handle.register
def _(message: messages.Ping, link: IncomingLink) -> None:
    link.send(messages.Pong(message.number))


def _set_state(
    state: caller_session_state.CallerSessionState,
    message: messages.RunStatement,
) -> None:
    """Gives a session the state of the gateway's session."""
    state.values = dict(message.values)
    state.raise_floor(message.service, message.floor)
    match message.operation:
        case operations.Execute(name=name):
            assert message.prepared is not None, "the codec has checked it"
            state.prepared_statements[name] = message.prepared


def _reply_to_unknown(
    message: messages.RunStatement,
) -> messages.StatementReply:
    """Answers a statement of a transaction that is not open here."""
    match message.operation:
        case operations.Rollback():
            return messages.StatementReply(
                message.number, messages.Verdict.ANSWERED
            )
        case operations.Commit():
            state = replies.TransactionState.IDLE
        case _:
            state = replies.TransactionState.FAILED
    return messages.StatementReply(
        number=message.number,
        verdict=messages.Verdict.REJECTED,
        reason=replies.RejectionReason.ABORTED,
        detail="the transaction has ended",
        state=state,
    )


def _to_message(
    message: messages.RunStatement,
    reply: replies.Reply,
    call: caller_session_state.CallerRequest,
    version: int,
) -> messages.StatementReply:
    match reply.result:
        case expression.Result(tag="ok", ok=answer):
            return messages.StatementReply(
                number=message.number,
                verdict=messages.Verdict.ANSWERED,
                rows=answer.rows,
                signature=answer.signature,
                state=reply.state,
                position=reply.position,
                served_by=call.served_by,
                version=version,
            )
    rejection = replies.as_rejection(reply.result.error)
    return messages.StatementReply(
        number=message.number,
        verdict=messages.Verdict.REJECTED,
        reason=rejection.reason,
        detail=rejection.detail,
        state=reply.state,
        position=reply.position,
        served_by=call.served_by,
        version=version,
    )


class StatementServer:
    """The listener for gateways; it keeps track of their links."""

    def __init__(
        self,
        name: types.ProxyName,
        env: session_context.SessionContext,
        on_version: Callable[[int], None] = _ignore_version,
    ) -> None:
        """Creates the server; `start` opens the listener.

        Args:
          name: name of this proxy.
          env: dependencies of the sessions; they never forward statements.
          on_version: called with the configuration version of a statement that
            is newer than this proxy's.
        """
        self._name = name
        self._env = dataclasses.replace(env, serving=None, forwarder=None)
        self._on_version = on_version
        self._links: set[IncomingLink] = set()
        self._server: asyncio.Server | None = None
        self._leaving = False
        self._answer_rights: (
            Callable[[types.ProxyName, messages.RightsRequest], messages.Rights]
            | None
        ) = None
        self._served: collections.Counter[str] = collections.Counter()

    @property
    def name(self) -> types.ProxyName:
        """Name of this proxy."""
        return self._name

    @property
    def env(self) -> session_context.SessionContext:
        """Dependencies of the sessions."""
        return self._env

    @property
    def version(self) -> int:
        """Version of the configuration in force."""
        return self._env.fleet.version

    @property
    def links(self) -> frozenset[IncomingLink]:
        """Links that are open."""
        return frozenset(self._links)

    @property
    def busy(self) -> bool:
        """Whether a statement runs or a transaction is open."""
        return any(link.running or link.transactions for link in self._links)

    @property
    def leaving(self) -> bool:
        """Whether this proxy stops and accepts no new work."""
        return self._leaving

    @property
    def served(self) -> collections.Counter[str]:
        """Number of statements by outcome."""
        return self._served

    @property
    def port(self) -> int:
        """TCP port of the listener; 0 before `start`."""
        if self._server is None or not self._server.sockets:
            return 0
        return self._server.sockets[0].getsockname()[1]

    def __repr__(self) -> str:
        return f"StatementServer({self._name!r}, links={len(self._links)})"

    async def start(self, host: str, ports: Iterable[int]) -> None:
        """Starts to listen on the first port that is free.

        Raises:
          OSError: no port is free.
        """
        self._env.fleet.subscribe(self._check_access)
        loop = asyncio.get_running_loop()
        failure = OSError("no port is configured")
        for port in ports:
            try:
                self._server = await loop.create_server(
                    self._accept, host, port, backlog=_BACKLOG
                )
                return
            except OSError as error:
                failure = error
        raise failure

    def leave(self) -> None:
        """Tells all gateways that this proxy stops; refuses new work."""
        self._leaving = True
        for link in self._links:
            link.send(messages.Leaving())

    def abort_idle_transactions(self) -> None:
        """Aborts the transactions of which no statement runs."""
        for link in self._links:
            link.abort_idle_transactions()

    def expire(self, now: datetime.datetime) -> None:
        """Aborts transactions that are idle for too long."""
        for link in tuple(self._links):
            link.expire(now)

    def close(self) -> None:
        """Stops listening and closes all links."""
        if self._server is not None:
            self._server.close()
        for link in tuple(self._links):
            link.close()

    def refusal(
        self, message: messages.RunStatement
    ) -> messages.Verdict | None:
        """Returns why new work isn't accepted; None if it is."""
        if self._leaving:
            return messages.Verdict.LEAVING
        if message.version > self.version:
            self._on_version(message.version)
            return messages.Verdict.OUTDATED
        route = self._env.fleet.route(message.database)
        if route is not None and route.service != message.service:
            # The gateway's floor belongs to another service.
            return messages.Verdict.OUTDATED
        return None

    def open_session(
        self,
        message: messages.RunStatement,
        start: messages.TransactionStart | None,
    ) -> caller_session.CallerSession:
        """Returns a session in the state of the gateway's session.

        Args:
          message: first statement of the session.
          start: kind of the transaction; None for a single statement.
        """
        session = caller_session.CallerSession(
            message.database, self._env, message.workspace
        )
        _set_state(session.state, message)
        route = session.route()
        if start is not None and route is not None:
            now = session.now()
            read_only = start is messages.TransactionStart.READ_ONLY
            session.state.transaction = caller_session_state.OpenTransaction(
                route, read_only, now, now
            )
        return session

    def call(
        self, message: messages.RunStatement
    ) -> caller_session_state.CallerRequest:
        """Returns the request of a statement; it arrives now."""
        now = self._env.clock.now()
        time_left = message.time_left_ms * _MILLISECOND
        return caller_session_state.CallerRequest(
            message.request_id,
            now,
            self._env.shutdown.limit(now + time_left),
            workspace=message.workspace,
        )

    def answer_rights_with(
        self,
        answer: Callable[
            [types.ProxyName, messages.RightsRequest], messages.Rights
        ],
    ) -> None:
        """Sets the function that answers requests for shares."""
        self._answer_rights = answer

    def rights(
        self, sender: types.ProxyName, message: messages.RightsRequest
    ) -> messages.Rights:
        """Returns the answer to a request for shares of rate limits."""
        if self._answer_rights is None:
            return messages.Rights(message.number, (), ())
        return self._answer_rights(sender, message)

    def note_served(self, reply: replies.Reply) -> None:
        """Counts a statement that was served."""
        if reply.result.is_ok():
            self._served["ok"] += 1
        else:
            rejection = replies.as_rejection(reply.result.error)
            self._served[rejection.reason.value] += 1

    def link_closed(self, link: IncomingLink) -> None:
        """Forgets a link."""
        self._links.discard(link)

    def _check_access(self) -> None:
        """Ends what the configuration in force doesn't allow."""
        for link in tuple(self._links):
            link.check_access()

    def _accept(self) -> IncomingLink:
        link = IncomingLink(self)
        self._links.add(link)
        return link
