"""Runs transactions at serving proxies.

All statements of a transaction go over one connection to one proxy, which
rolls the transaction back when that connection is lost.
"""

from __future__ import annotations

import dataclasses
import functools
from typing import TYPE_CHECKING

import expression

from hickorygate.callers import caller_session_state
from hickorygate.callers import serving
from hickorygate.callers import statement_io
from hickorygate.callers import transaction_statements
from hickorygate.core import errors
from hickorygate.core import operation as operations
from hickorygate.core import reply as replies
from hickorygate.core import types
from hickorygate.proxies import statement_link
from hickorygate.proxies import statement_messages as messages

if TYPE_CHECKING:
    from hickorygate.callers import caller_session

__all__ = ["run"]

_LOCAL = "local"
_FAILED = replies.TransactionState.FAILED
_IDLE = replies.TransactionState.IDLE


@dataclasses.dataclass(slots=True)
class _RemoteTransaction:
    """A transaction at a serving proxy.

    Attributes:
      connection: connection over which all its statements are sent.
      number: its number on that connection.
      workspace: workspace that it runs for; empty for none.
    """

    connection: statement_link.StatementConnection
    number: int
    workspace: types.WorkspaceName

    def abort(self) -> None:
        """Makes the proxy roll it back, without waiting for that."""
        self.connection.abort_transaction(self.number)

    def end(self) -> None:
        """Records that it has ended at the proxy."""
        self.connection.end_transaction(self.number)


class _ForwardedStep:
    """One statement of a transaction at a serving proxy."""

    def __init__(
        self,
        operation: operations.Operation,
        session: caller_session.CallerSession,
        transaction: caller_session_state.OpenTransaction,
        call: caller_session_state.CallerRequest,
    ) -> None:
        self._operation = operation
        self._session = session
        self._transaction = transaction
        self._call = call
        self._ends = isinstance(
            operation, operations.Commit | operations.Rollback
        )
        self._commits = (
            isinstance(operation, operations.Commit) and transaction.has_written
        )

    async def open(self) -> replies.Reply | None:
        """Runs the first statement, which opens the transaction at a proxy.

        Returns:
          The reply; None if this proxy has to run the transaction itself.
        """
        search = serving.ServerSearch(
            self._session, self._transaction.route.service, self._call
        )
        reply = await self._open(search)
        event = search.event(
            _LOCAL if reply is None else serving.outcome_of(reply)
        )
        if event is not None:
            self._session.env.journal.record(event)
        return reply

    async def run(self, remote: _RemoteTransaction) -> replies.Reply:
        """Runs a later statement where the transaction is open."""
        answered = await self._send(remote, messages.TransactionStart.CONTINUES)
        return self._finish(answered, remote)

    async def _open(self, search: serving.ServerSearch) -> replies.Reply | None:
        starts = messages.TransactionStart
        start = (
            starts.READ_ONLY
            if self._transaction.read_only
            else starts.READ_WRITE
        )
        connection = await search.next()
        while connection is not None:
            remote = _RemoteTransaction(
                connection, connection.next_number(), self._call.workspace
            )
            self._transaction.remote = remote
            answered = await self._send(remote, start)
            search.note(answered)
            if not serving.is_not_run(answered):
                if isinstance(answered, messages.StatementReply):
                    return self._finish(answered, remote)
                if not self._may_repeat():
                    return self._finish(answered, remote)
            self._transaction.remote = None
            remote.abort()
            connection = await search.next()
        return None

    async def _send(
        self, remote: _RemoteTransaction, start: messages.TransactionStart
    ) -> statement_link.LinkReply:
        call = self._call
        call.tries += 1
        call.served_by = remote.connection.server
        message = serving.run_message(
            remote.connection,
            self._session,
            self._operation,
            call,
            self._transaction.route.service,
            remote.number,
            start,
        )
        call.recall = functools.partial(
            remote.connection.recall, message.number
        )
        try:
            return await remote.connection.run(
                message, call.deadline, waits=self._commits
            )
        finally:
            call.recall = None

    def _may_repeat(self) -> bool:
        """Returns whether the first statement may be sent to another proxy.

        A read has no effect, and the lost transaction is rolled back. Writes
        are not repeated, so that none runs twice.
        """
        if self._ends or self._session.now() >= self._call.deadline:
            return False
        if statement_io.statement(self._operation, self._session.state).writes:
            return False
        return self._session.env.retries.withdraw()

    def _finish(
        self, answered: statement_link.LinkReply, remote: _RemoteTransaction
    ) -> replies.Reply:
        """Applies the outcome to the transaction and returns the reply."""
        if isinstance(answered, messages.StatementReply):
            if not answered.verdict.served:
                return self._abort("its proxy gave the transaction up")
            return self._to_reply(answered, remote)
        if self._commits and answered.outcome is not errors.Outcome.NOT_RUN:
            remote.end()
            self._session.state.transaction = None
            return self._session.reply(expression.Error(answered))
        return self._abort(answered.message)

    def _to_reply(
        self, answered: messages.StatementReply, remote: _RemoteTransaction
    ) -> replies.Reply:
        self._call.served_by = answered.served_by or self._call.served_by
        result = serving.to_result(answered)
        if self._ends:
            remote.end()
            self._session.state.transaction = None
            if self._commits and result.is_ok():
                self._session.state.raise_floor(
                    self._transaction.route.service, answered.position
                )
            return replies.Reply(result, _IDLE, answered.position)
        if answered.state is not replies.TransactionState.IN_TRANSACTION:
            transaction_statements.abort_transaction(
                self._session.env, self._transaction
            )
            return replies.Reply(result, _FAILED, answered.position)
        if result.is_ok():
            statement = statement_io.statement(
                self._operation, self._session.state
            )
            self._transaction.has_written |= statement.writes
        return replies.Reply(result, answered.state, answered.position)

    def _abort(self, reason: str) -> replies.Reply:
        """Aborts the transaction; none of its writes remain.

        A lost proxy rolls it back, and no commit of a write was sent.
        """
        transaction_statements.abort_transaction(
            self._session.env, self._transaction
        )
        if self._ends:
            self._session.state.transaction = None
        if isinstance(self._operation, operations.Rollback):
            return self._session.reply(expression.Ok(replies.Answer()))
        return self._session.rejection(replies.RejectionReason.ABORTED, reason)


async def run(
    operation: operations.Operation,
    session: caller_session.CallerSession,
    transaction: caller_session_state.OpenTransaction,
    call: caller_session_state.CallerRequest,
) -> replies.Reply | None:
    """Runs an operation of an open transaction at a serving proxy.

    Returns:
      The reply; None if this proxy runs the transaction itself.
    """
    remote = transaction.remote
    if isinstance(remote, _RemoteTransaction):
        step = _ForwardedStep(operation, session, transaction, call)
        return await step.run(remote)
    if session.env.serving is None or transaction.has_started:
        return None
    step = _ForwardedStep(operation, session, transaction, call)
    return await step.open()
