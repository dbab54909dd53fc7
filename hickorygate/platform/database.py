"""Connections to databases over the line protocol."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import dataclasses
import datetime
from typing import TypeAlias
from typing import cast

import expression

from hickorygate.core import answer_fault
from hickorygate.core import errors
from hickorygate.core import events
from hickorygate.core import platform_events
from hickorygate.core import reply as replies
from hickorygate.core import types
from hickorygate.platform import line_protocol
from hickorygate.platform import sockets
from hickorygate.upstreams import database_request
from hickorygate.upstreams import member as members
from hickorygate.upstreams import reply_order

__all__ = ["DatabaseConnection", "DatabaseConnector"]

_CONNECT_TIMEOUT = datetime.timedelta(seconds=0.5)
_SESSION_TIMEOUT = datetime.timedelta(seconds=1)
"""Time for the database to open the session, which needs a free slot."""

_Receiver: TypeAlias = "asyncio.Future[database_request.ReplyResult] | None"
"""Who gets a reply; None if only its place in the order matters."""


class DatabaseConnection(asyncio.Protocol):
    """A connection to a database; replies arrive in request order."""

    def __init__(self, member: members.Member, journal: events.Journal) -> None:
        self._member = member
        self._buffer = line_protocol.LineBuffer()
        self._parser = line_protocol.ReplyParser()
        self._journal = journal
        self._order: reply_order.ReplyOrder[_Receiver] = (
            reply_order.ReplyOrder()
        )
        self._transport: asyncio.Transport | None = None
        self._closed = False

    @property
    def closed(self) -> bool:
        """Whether the connection is closed."""
        return self._closed

    def __repr__(self) -> str:
        return (
            f"DatabaseConnection({self._member.id!r}, closed={self._closed!r})"
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport; called by the event loop."""
        self._transport = cast(asyncio.Transport, transport)
        sockets.enable_dead_peer_detection(transport.get_extra_info("socket"))

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the outstanding requests; called by the event loop."""
        self._close_with_reason(
            f"closed: {exc}" if exc else "closed by the database"
        )

    def data_received(self, data: bytes) -> None:
        """Parses the received replies; called by the event loop."""
        try:
            for line in self._buffer.feed(data):
                reply = self._parser.parse_line(line)
                if reply is not None and not self._closed:
                    self._accept(reply)
        except ValueError as error:
            self._discard(answer_fault.AnswerFault.MALFORMED, str(error))
        if self._buffer.oversized:
            self._discard(
                answer_fault.AnswerFault.LENGTH,
                "an answer is longer than a message",
            )

    async def open_session(
        self, workspace: types.WorkspaceName
    ) -> database_request.ReplyResult:
        """Opens the session at the database for a workspace.

        The database checks that its service and id are the expected ones.
        """
        member = self._member
        return (
            await self.ask(
                database_request.OpenSession(
                    member.service, workspace, member.id
                )
            )
        )[0]

    async def ask(
        self, *batch: database_request.Request
    ) -> list[database_request.ReplyResult]:
        """Sends a batch of requests at once and returns their replies.

        A batch with a request that no message can hold isn't sent.
        """
        if self._closed or self._transport is None:
            failure = errors.ConnectFailed(self._member.id, "closed before")
            return [expression.Error(failure) for _ in batch]
        loop = asyncio.get_running_loop()
        futures = [loop.create_future() for _ in batch]
        try:
            self._send(reply_order.with_checks(batch, futures))
        except ValueError as error:
            rejection = replies.Rejection(
                replies.RejectionReason.MALFORMED, str(error)
            )
            return [expression.Error(rejection) for _ in batch]
        return [await future for future in futures]

    def close(self) -> None:
        """Closes the connection; its open requests fail with `AnswerLost`."""
        self._close_with_reason("closed here")

    def _send(
        self, sent: list[tuple[database_request.Request, _Receiver]]
    ) -> None:
        assert self._transport is not None, "not connected"
        encoded = [line_protocol.encode_request(request) for request, _ in sent]
        for request, receiver in sent:
            self._order.send(request, receiver)
        self._transport.write(b"".join(encoded))

    def _accept(self, reply: replies.Reply) -> None:
        """Passes on the replies that are known to be in order."""
        request = self._order.next_request
        if isinstance(request, database_request.StatusRequest):
            status = line_protocol.parse_status(reply)
            reply = dataclasses.replace(reply, group=status)
        match self._order.receive(reply):
            case reply_order.Misfit(reason=reason):
                self._discard(answer_fault.AnswerFault.ORDER, reason)
            case received:
                if received.repeated:
                    self._journal.record(
                        platform_events.AnswerRepeated(self._member.id)
                    )
                for settled in received.settled:
                    _resolve(settled.receiver, expression.Ok(settled.reply))
                if received.check is not None:
                    self._send([(received.check, None)])

    def _discard(self, fault: answer_fault.AnswerFault, reason: str) -> None:
        """Closes the connection because of what the database sent."""
        if self._closed:
            return
        self._journal.record(
            platform_events.AnswerDiscarded(
                database=self._member.id,
                fault=fault,
                reason=reason,
                requests=" ".join(
                    type(request).__name__
                    for request in self._order.outstanding
                ),
            )
        )
        self._close_with_reason(f"{fault.value}: {reason}")

    def _close_with_reason(self, reason: str) -> None:
        """Closes the connection and fails its outstanding requests.

        Their outcome is unknown, since the database may have run them.
        """
        if self._closed:
            return
        self._closed = True
        if self._transport is not None:
            if self._order.receivers:
                # Unsent requests that failed here must not arrive later.
                sockets.reset_on_close(self._transport.get_extra_info("socket"))
            self._transport.abort()
        failure = errors.AnswerLost(self._member.id, reason)
        for receiver in self._order.receivers:
            _resolve(receiver, expression.Error(failure))


def _resolve(receiver: _Receiver, result: database_request.ReplyResult) -> None:
    if receiver is not None and not receiver.done():
        receiver.set_result(result)


class DatabaseConnector:
    """Opens connections to databases.

    Args:
      journal: records what databases send that isn't an answer.
    """

    def __init__(self, journal: events.Journal) -> None:
        self._journal = journal

    async def open(
        self,
        member: members.Member,
        on_connect: Callable[[], None],
        workspace: types.WorkspaceName = "",
    ) -> expression.Result[database_request.Connection, errors.Failure]:
        """Connects to a database and verifies its service and id."""
        connection = DatabaseConnection(member, self._journal)
        try:
            connected = await _connect(connection, member)
            if connected.is_error():
                return connected
            on_connect()
            greeted = await _open_session(connection, member, workspace)
        except asyncio.CancelledError:
            connection.close()
            raise
        if greeted.is_error():
            return expression.Error(greeted.error)
        failure = database_request.failure_of(greeted)
        if failure is not None:
            connection.close()
            return expression.Error(failure)
        return expression.Ok(connection)


async def _connect(
    connection: DatabaseConnection, member: members.Member
) -> expression.Result[None, errors.Failure]:
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(_CONNECT_TIMEOUT.total_seconds()):
            await loop.create_connection(
                lambda: connection, member.host, member.port
            )
    except (OSError, TimeoutError, ValueError, OverflowError) as error:
        # The last two: the address is none that the system takes.
        connection.close()
        reason = str(error) or type(error).__name__
        return expression.Error(errors.ConnectFailed(member.id, reason))
    return expression.Ok(None)


async def _open_session(
    connection: DatabaseConnection,
    member: members.Member,
    workspace: types.WorkspaceName,
) -> database_request.ReplyResult:
    """Opens the session on a new connection.

    No statement was sent, so no failure leaves the outcome of one in doubt.
    """
    try:
        async with asyncio.timeout(_SESSION_TIMEOUT.total_seconds()):
            greeted = await connection.open_session(workspace)
    except TimeoutError:
        connection.close()
        reason = "the session was not opened in time"
        return expression.Error(errors.SessionRefused(member.id, reason))
    if greeted.is_error():
        reason = f"session refused: {greeted.error.message}"
        return expression.Error(errors.SessionRefused(member.id, reason))
    return greeted
