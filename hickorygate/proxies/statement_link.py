"""Links of a gateway to the serving proxies, over which statements are sent.

A connection that is lost is noticed at once, which decides whether a write is
in doubt. `link_state` decides which links can be used.
"""

from __future__ import annotations

import asyncio
import datetime
import functools
from typing import Protocol
from typing import TypeAlias
from typing import cast

from hickorygate.core import clock as clocks
from hickorygate.core import errors
from hickorygate.core import reply as replies
from hickorygate.core import types
from hickorygate.platform import sockets
from hickorygate.proxies import frame_writer
from hickorygate.proxies import link_state
from hickorygate.proxies import statement_codec
from hickorygate.proxies import statement_messages as messages

__all__ = ["LinkListener", "LinkReply", "StatementConnection", "StatementLink"]

_CONNECT_TIMEOUT = datetime.timedelta(milliseconds=300)
_IDLE_TIMEOUT = datetime.timedelta(seconds=30)
_MAX_OUTSTANDING = 1_024
_MAX_UNSENT_BYTES = 4 * 1_024 * 1_024
"""Numbers of unanswered statements and of unsent bytes from which a link takes
no more statements; they go to another candidate."""

_GIVEN_UP = replies.Rejection(
    replies.RejectionReason.TIMED_OUT, "the gateway gave it up"
)
"""The answer to a statement for which nobody waits any more."""

LinkReply: TypeAlias = messages.StatementReply | errors.Failure
"""The reply to a statement, or why there is none. Not an `expression.Result`,
since each forwarded statement makes one."""


class LinkListener(Protocol):
    """Learns what happens to the links of a gateway."""

    def link_refused(self, server: types.ProxyName) -> None:
        """Called when a link could not be opened."""

    def link_lost(
        self, server: types.ProxyName, reason: str, outstanding: int
    ) -> None:
        """Called when a link was closed, or the proxy doesn't answer."""

    def version_seen(self, version: int) -> None:
        """Called with the version of the configuration in each reply."""

    def rights_received(
        self, server: types.ProxyName, message: messages.Rights
    ) -> None:
        """Called with the answer to a request for shares of rate limits."""

    def server_leaving(self, server: types.ProxyName) -> None:
        """Called when a proxy says that it stops."""


class _Outstanding:
    """A statement without a reply."""

    __slots__ = ("deadline", "frame", "future", "sent", "waits")

    def __init__(
        self,
        future: asyncio.Future[LinkReply],
        frame: int,
        sent: datetime.datetime,
        deadline: datetime.datetime,
        waits: bool,
    ) -> None:
        self.future = future
        self.frame = frame
        self.sent = sent
        self.deadline = deadline
        self.waits = waits

    def end(self, reply: LinkReply) -> None:
        """Passes the reply on, unless nobody waits for it any more."""
        if not self.future.done():
            self.future.set_result(reply)


class StatementConnection(asyncio.Protocol):
    """An open connection to a serving proxy."""

    def __init__(
        self,
        server: types.ProxyName,
        state: link_state.LinkState,
        listener: LinkListener,
        clock: clocks.Clock,
    ) -> None:
        self._server = server
        self._state = state
        self._listener = listener
        self._clock = clock
        self._buffer = statement_codec.FrameBuffer()
        self._outstanding: dict[int, _Outstanding] = {}
        self._transactions: set[int] = set()
        self._numbers = 0
        self._transport: asyncio.Transport | None = None
        self._writer: frame_writer.FrameWriter | None = None
        self._closed = False
        self._used = clock.now()
        self._welcomed: asyncio.Future[bool] | None = None

    @property
    def server(self) -> types.ProxyName:
        """Name of the serving proxy."""
        return self._server

    @property
    def state(self) -> link_state.LinkState:
        """What is known of the serving proxy."""
        return self._state

    @property
    def closed(self) -> bool:
        """Whether the connection is closed."""
        return self._closed

    @property
    def outstanding(self) -> int:
        """Number of statements without a reply."""
        return len(self._outstanding)

    @property
    def is_full(self) -> bool:
        """Whether the connection takes no more statements at the moment."""
        if len(self._outstanding) >= _MAX_OUTSTANDING or self._writer is None:
            return True
        return self._writer.buffered >= _MAX_UNSENT_BYTES

    def __repr__(self) -> str:
        return f"StatementConnection({self._server!r}, closed={self._closed})"

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport; called by the event loop."""
        self._transport = cast(asyncio.Transport, transport)
        self._writer = frame_writer.FrameWriter(self._transport)
        sockets.enable_dead_peer_detection(transport.get_extra_info("socket"))

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the outstanding statements; called by the event loop."""
        self.close(str(exc) if exc else "closed by the proxy")

    def data_received(self, data: bytes) -> None:
        """Handles the received messages; called by the event loop."""
        now = self._clock.now()
        self._state.heard(now)
        for payload in self._buffer.feed(data):
            message = statement_codec.decode(payload)
            if isinstance(message, errors.BadPeerMessage):
                self.close(message.message)
                return
            _handle(message, self)
        if self._buffer.oversized:
            self.close("a frame is too large")

    def next_number(self) -> int:
        """Returns a number that was not used on this connection before."""
        self._numbers += 1
        return self._numbers

    async def greet(self, gateway: types.ProxyName) -> bool:
        """Sends the first message and waits for the answer.

        Returns:
          Whether the proxy accepts the link.
        """
        self._welcomed = asyncio.get_running_loop().create_future()
        self._send(messages.Hello(gateway, self._server))
        return await self._welcomed

    def run(
        self,
        message: messages.RunStatement,
        deadline: datetime.datetime,
        waits: bool,
    ) -> asyncio.Future[LinkReply]:
        """Sends a statement and returns the future of its reply.

        Args:
          message: the statement.
          deadline: time until which to wait for the reply.
          waits: whether to wait on while the proxy is silent, because the
            statement must not be repeated elsewhere.
        """
        future = asyncio.get_running_loop().create_future()
        if self._closed or self._writer is None:
            future.set_result(errors.ConnectFailed(self._server, "closed"))
            return future
        frame = statement_codec.encode(message)
        if frame is None:
            future.set_result(errors.ConnectFailed(self._server, "too large"))
            return future
        now = self._used = self._clock.now()
        number = self._writer.write(frame)
        self._outstanding[message.number] = _Outstanding(
            future, number, now, deadline, waits
        )
        if message.transaction:
            self._transactions.add(message.transaction)
        return future

    def end_transaction(self, transaction: int) -> None:
        """Records that a transaction has ended at the proxy."""
        self._transactions.discard(transaction)

    def abort_transaction(self, transaction: int) -> None:
        """Makes the proxy roll a transaction back, without waiting for it."""
        if transaction in self._transactions:
            self._transactions.discard(transaction)
            self._send(messages.AbortTransaction(transaction))

    def recall(self, number: int, rejection: replies.Rejection) -> None:
        """Makes the proxy reject a statement that it has not sent yet."""
        if number in self._outstanding:
            self._send(
                messages.RecallStatement(
                    number, rejection.reason, rejection.detail
                )
            )

    def receive_reply(self, reply: messages.StatementReply) -> None:
        """Passes a reply on; one that nobody waits for is ignored."""
        outstanding = self._outstanding.pop(reply.number, None)
        if reply.version:
            self._listener.version_seen(reply.version)
        if outstanding is not None:
            outstanding.end(reply)

    def receive_welcome(self) -> None:
        """Records that the proxy accepts the link."""
        if self._welcomed is not None and not self._welcomed.done():
            self._welcomed.set_result(True)

    def request_rights(self, message: messages.RightsRequest) -> None:
        """Asks the proxy for its shares of rate limits."""
        self._used = self._clock.now()
        self._send(message)

    def receive_rights(self, message: messages.Rights) -> None:
        """Passes on the answer to a request for shares."""
        self._listener.rights_received(self._server, message)

    def receive_leaving(self) -> None:
        """Records that the proxy stops."""
        self._state.announce_leaving()
        self._listener.server_leaving(self._server)

    def receive_pong(self, number: int) -> None:
        """Records the answer to a ping."""
        self._state.pong_received(number, self._clock.now())

    def check(self, now: datetime.datetime, late: datetime.timedelta) -> None:
        """Applies time limits and sends a ping if one is due.

        Args:
          now: current time.
          late: time by which this call is late.
        """
        if self._closed:
            return
        if self._state.check(now, late):
            self._listener.link_lost(
                self._server, "it doesn't answer", len(self._outstanding)
            )
        if self._outstanding:
            self._expire(now)
        oldest = next(iter(self._outstanding.values()), None)
        if self._state.ping_due(now, oldest.sent if oldest else None):
            number = self.next_number()
            self._state.ping_sent(number, now)
            self._send(messages.Ping(number))
        unused = now - self._used >= _IDLE_TIMEOUT
        if unused and not (self._outstanding or self._transactions):
            self.close("")

    def close(self, reason: str) -> None:
        """Closes the connection and fails its outstanding statements.

        Args:
          reason: description of the cause; empty if nothing is wrong.
        """
        if self._closed:
            return
        self._closed = True
        if self._welcomed is not None and not self._welcomed.done():
            self._welcomed.set_result(False)
            reason = ""  # Reported as a link that could not be opened.
        if reason and (self._outstanding or not self._state.leaving):
            self._listener.link_lost(
                self._server, reason, len(self._outstanding)
            )
        self._state.closed(self._clock.now())
        written = 0
        if self._writer is not None and self._transport is not None:
            written = self._writer.written
            self._writer.discard()
            if self._outstanding:
                # Unsent statements that failed here must not arrive later.
                sockets.reset_on_close(self._transport.get_extra_info("socket"))
            self._transport.abort()
        failed, self._outstanding = self._outstanding, {}
        for statement in failed.values():
            if statement.frame > written:
                statement.end(errors.ConnectFailed(self._server, reason))
            else:
                statement.end(errors.AnswerLost(self._server, reason))

    def _expire(self, now: datetime.datetime) -> None:
        """Ends the wait for replies that are overdue or not worth it.

        A proxy that was suspended finds these statements later; they are
        recalled, so that it doesn't run them for nobody.
        """
        silent = self._state.silent
        for number, statement in tuple(self._outstanding.items()):
            if now >= statement.deadline:
                reply = errors.AnswerOverdue(self._server, "timed out")
            elif silent and not statement.waits:
                reply = errors.AnswerLost(self._server, "it doesn't answer")
            elif statement.future.done():
                reply = errors.AnswerLost(self._server, "nobody waits")
            else:
                continue
            self.recall(number, _GIVEN_UP)
            del self._outstanding[number]
            statement.end(reply)

    def _send(self, message: messages.LinkMessage) -> None:
        frame = statement_codec.encode(message)
        assert frame is not None, f"{message!r} is larger than a frame"
        if self._writer is not None and not self._closed:
            self._writer.write(frame)


@functools.singledispatch
def _handle(
    message: messages.LinkMessage, connection: StatementConnection
) -> None:
    """Handles a message of a serving proxy."""
    connection.close(f"unexpected {type(message).__name__}")


@_handle.register
def _(
    message: messages.StatementReply, connection: StatementConnection
) -> None:
    connection.receive_reply(message)


@_handle.register
def _(message: messages.Welcome, connection: StatementConnection) -> None:
    connection.receive_welcome()


@_handle.register
def _(message: messages.Pong, connection: StatementConnection) -> None:
    connection.receive_pong(message.number)


@_handle.register
def _(message: messages.Leaving, connection: StatementConnection) -> None:
    connection.receive_leaving()


@_handle.register
def _(message: messages.Rights, connection: StatementConnection) -> None:
    connection.receive_rights(message)


class StatementLink:
    """The link to one serving proxy, opened when it is needed."""

    def __init__(
        self,
        gateway: types.ProxyName,
        server: types.ProxyName,
        listener: LinkListener,
        clock: clocks.Clock,
    ) -> None:
        self._gateway = gateway
        self._server = server
        self._listener = listener
        self._clock = clock
        self._state = link_state.LinkState()
        self._connection: StatementConnection | None = None
        self._opening: asyncio.Task[StatementConnection | None] | None = None

    @property
    def server(self) -> types.ProxyName:
        """Name of the serving proxy."""
        return self._server

    @property
    def state(self) -> link_state.LinkState:
        """What is known of the serving proxy."""
        return self._state

    @property
    def connection(self) -> StatementConnection | None:
        """The connection, if one is open."""
        connection = self._connection
        return None if connection is None or connection.closed else connection

    def __repr__(self) -> str:
        return f"StatementLink({self._server!r}, {self._state!r})"

    def quality(self, now: datetime.datetime) -> link_state.LinkQuality:
        """Returns how well a new statement can use the link now."""
        connection = self.connection
        if connection is not None and connection.is_full:
            return link_state.LinkQuality.UNUSABLE
        return self._state.quality(now)

    async def ready(self, address: str) -> StatementConnection | None:
        """Returns an open connection; opens one if there is none.

        After a failure, the next attempt is made in the background, so that
        statements don't wait for a proxy that is gone.

        Args:
          address: host and port of the proxy.

        Returns:
          The connection; None if the link can't be used now.
        """
        connection = self.connection
        if connection is not None:
            return connection
        self.open_if_due(address)
        if self._opening is None or self._state.has_failed:
            return None
        return await asyncio.shield(self._opening)

    def open_if_due(self, address: str) -> None:
        """Starts to open the link unless it is open or failed just now."""
        if self.connection is not None or self._opening is not None:
            return
        if self._state.may_open(self._clock.now()):
            self._opening = asyncio.create_task(self._open(address))
            self._opening.add_done_callback(self._opened)

    def close(self) -> None:
        """Closes the link."""
        if self._opening is not None:
            self._opening.cancel()
        if self._connection is not None:
            self._connection.close("")

    def _opened(self, task: asyncio.Task[StatementConnection | None]) -> None:
        self._opening = None

    async def _open(self, address: str) -> StatementConnection | None:
        host, _, port = address.rpartition(":")
        connection = StatementConnection(
            self._server, self._state, self._listener, self._clock
        )
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT.total_seconds()):
                await loop.create_connection(
                    lambda: connection, host, int(port)
                )
                accepted = await connection.greet(self._gateway)
        except (OSError, TimeoutError, ValueError):
            accepted = False
        if not accepted:
            connection.close("")
            self._state.opening_failed(self._clock.now())
            self._listener.link_refused(self._server)
            return None
        self._state.opened(self._clock.now())
        self._connection = connection
        return connection
