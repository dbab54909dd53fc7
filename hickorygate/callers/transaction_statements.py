"""Runs statements inside transactions.

All statements of a transaction run on one database connection.
"""

from __future__ import annotations

import asyncio
import dataclasses
import datetime
import functools
from typing import TYPE_CHECKING

import expression

from hickorygate.callers import caller_session_state
from hickorygate.callers import retry_delay
from hickorygate.callers import session_context
from hickorygate.callers import statement_io
from hickorygate.callers import statement_target
from hickorygate.callers import transaction_opening
from hickorygate.core import errors
from hickorygate.core import operation as operations
from hickorygate.core import reply as replies
from hickorygate.core import request_context
from hickorygate.upstreams import database_request
from hickorygate.upstreams import group_monitor
from hickorygate.upstreams import pooled_connection as pooled_connections

if TYPE_CHECKING:
    from hickorygate.callers import caller_session

__all__ = ["answer_after_abort", "abort_transaction", "run"]

_IDLE = replies.TransactionState.IDLE
_IN_TRANSACTION = replies.TransactionState.IN_TRANSACTION
_ROLLBACK_LIMIT = datetime.timedelta(seconds=1)


def abort_transaction(
    env: session_context.SessionContext,
    transaction: caller_session_state.OpenTransaction,
) -> None:
    """Aborts a transaction; only COMMIT or ROLLBACK may follow.

    The rollback at the database runs in the background.
    """
    pooled_connection, transaction.pooled_connection = (
        transaction.pooled_connection,
        None,
    )
    remote, transaction.remote = transaction.remote, None
    transaction.failed = True
    if remote is not None:
        remote.abort()
    if pooled_connection is not None:
        env.background.start(_roll_back(pooled_connection))


async def _roll_back(
    pooled_connection: pooled_connections.PooledConnection,
) -> None:
    """Rolls back and returns the connection; it is closed if that fails."""
    try:
        async with asyncio.timeout(_ROLLBACK_LIMIT.total_seconds()):
            await pooled_connection.run(database_request.Rollback())
    except TimeoutError:
        return
    finally:
        pooled_connection.give_back()


class _TransactionStep:
    """One statement of an open transaction."""

    def __init__(
        self,
        session: caller_session.CallerSession,
        transaction: caller_session_state.OpenTransaction,
        group: group_monitor.GroupMonitor,
        call: caller_session_state.CallerRequest,
    ) -> None:
        self._session = session
        self._env = session.env
        self._transaction = transaction
        self._group = group
        self._call = call
        self._terms: request_context.RequestContext = (
            statement_io.request_terms(call, transaction.route)
        )

    async def statement(
        self, statement: statement_io.Statement
    ) -> replies.Reply:
        """Runs a statement on the transaction's connection."""
        failure = await self._prepare(statement.prepared)
        if failure is not None:
            return self._abort(failure)
        result = await self._run_statement(statement, commits=False)
        if result.is_error():
            return self._abort(result.error)
        reply = result.ok
        if reply.result.is_error():
            return self._pass_on_error(reply)
        self._transaction.has_written = (
            self._transaction.has_written or statement.writes
        )
        if not statement.writes and not await self._reads_confirmed():
            reason = "its database may no longer be the primary"
            return self._abort_and_close(reason)
        return reply

    async def commit(self, statement: statement_io.Statement) -> replies.Reply:
        """Commits; the reply is the one that the database sent."""
        failure = await self._prepare(None)
        if failure is None and self._transaction.has_written:
            failure = await self._wait_until_writable()
        if failure is not None:
            return self._reject_commit(failure)
        if self._transaction.has_written:
            self._group.commit_sent()
        result = await self._run_commit(statement)
        pooled_connection = self._transaction.pooled_connection
        assert pooled_connection is not None, (
            "_prepare() has opened a connection"
        )
        self._session.state.transaction = None
        if self._transaction.has_written:
            statement_io.record_commit(self._group, result)
        if result.is_error():
            return self._reply_lost_commit(result, pooled_connection)
        reply = result.ok
        pooled_connection.give_back()
        if reply.result.is_ok() and self._transaction.has_written:
            service = self._transaction.route.service
            self._session.state.raise_floor(service, reply.position)
            failure = await self._confirm_commit(reply)
            if failure is not None:
                return self._session.reply(expression.Error(failure))
        return dataclasses.replace(reply, state=_IDLE)

    async def _confirm_commit(
        self, reply: replies.Reply
    ) -> errors.Failure | None:
        """Returns why it isn't known that the commit is kept; None if it is."""
        leader = self._transaction.leader
        assert leader is not None, "transactions that write have a primary"
        return await statement_io.confirm_commit(
            self._env, self._group, leader, reply.position, self._call
        )

    async def _run_commit(
        self, statement: statement_io.Statement
    ) -> database_request.ReplyResult:
        """Runs the commit; one that is given up in the queue wasn't sent."""
        commits = self._transaction.has_written
        try:
            return await self._run_statement(statement, commits)
        except asyncio.CancelledError:
            if commits and not self._call.in_flight:
                self._group.stall.drop_commit()
            raise

    async def roll_back(self) -> replies.Reply:
        """Rolls back; returns once the rollback has ended."""
        pooled_connection = self._transaction.pooled_connection
        assert pooled_connection is not None, (
            "no connection; CallerSession answers such a ROLLBACK itself"
        )
        self._session.state.transaction = None
        await _roll_back(pooled_connection)
        return self._session.reply(expression.Ok(replies.Answer()))

    async def _wait_until_writable(self) -> errors.Failure | None:
        """Waits until the transaction's primary acknowledges commits.

        Returns:
          The failure if it doesn't in time, or another database leads; None
          on success.
        """
        leader = await self._group.wait_for_writable(self._terms)
        if leader is not None and leader == self._transaction.leader:
            return None
        return self._group.no_leader_rejection()

    async def _prepare(
        self, prepared: operations.PreparedStatement | None
    ) -> errors.Failure | None:
        """Ensures an open transaction on a connection with the right session.

        Opens the transaction at a database before the first statement;
        afterwards only sets session values and prepares the statement if
        needed.

        Args:
          prepared: statement that must be prepared on the connection; None if
            there is none.

        Returns:
          The failure, or None on success.
        """
        if self._transaction.pooled_connection is None:
            opening = transaction_opening.TransactionOpening(
                self._session,
                self._transaction,
                self._group,
                self._call,
                self._terms,
            )
            return await opening.open(prepared)
        return await statement_io.sync_session(
            self._env,
            self._transaction.pooled_connection,
            self._terms,
            self._session.state,
            prepared,
        )

    async def _run_statement(
        self, statement: statement_io.Statement, commits: bool
    ) -> database_request.ReplyResult:
        """Runs a statement; retries it while the database is only busy."""
        pooled_connection = self._transaction.pooled_connection
        assert pooled_connection is not None, (
            "_prepare() has opened a connection"
        )
        self._call.served_by = pooled_connection.pool.member.id
        request = statement.request(self._call.id)
        number = 1
        while True:
            result = await statement_io.run_statement(
                self._env,
                self._group,
                pooled_connection,
                request,
                self._terms,
                commits,
                self._call,
            )
            if not _is_retryable(result):
                return result
            delay = retry_delay.next_delay(
                self._env, self._terms, result.ok.result.error, number, True
            )
            if delay is None:
                return result
            self._call.in_flight = False
            await self._env.clock.sleep(delay)
            number += 1

    async def _reads_confirmed(self) -> bool:
        """Returns whether the database is known to have been the primary.

        The proof must be newer than the start of the transaction. If the
        route's consistency needs no such proof, the result is True. Once
        the proof succeeded, the transaction is not checked again.
        """
        consistency = self._transaction.route.consistency
        if (
            self._transaction.confirmed
            or not statement_target.needs_confirmed_primary(consistency)
        ):
            return True
        leader = await self._group.confirmed_leader(
            self._transaction.opened, self._terms.deadline
        )
        self._transaction.confirmed = leader == self._transaction.leader
        return self._transaction.confirmed

    def _pass_on_error(self, reply: replies.Reply) -> replies.Reply:
        """Returns an error reply and adapts the transaction's state to it.

        The database may have ended the transaction.
        """
        self._group.schedule_round()
        pooled_connection = self._transaction.pooled_connection
        if reply.state is _IDLE and pooled_connection is not None:
            # The database has ended the transaction itself.
            self._transaction.pooled_connection = None
            self._transaction.failed = True
            pooled_connection.give_back()
            failed = replies.TransactionState.FAILED
            return dataclasses.replace(reply, state=failed)
        if reply.state is not _IN_TRANSACTION:
            abort_transaction(self._env, self._transaction)
        return reply

    def _abort(self, failure: errors.Failure) -> replies.Reply:
        """Aborts the transaction after a failure; none of its writes remain."""
        self._group.schedule_round()
        if failure.outcome is errors.Outcome.NOT_RUN:
            abort_transaction(self._env, self._transaction)
            return self._session.reply(expression.Error(failure))
        return self._abort_and_close(failure.message)

    def _abort_and_close(self, reason: str) -> replies.Reply:
        """Aborts the transaction, closes its connection, returns the rejection.

        No commit has been sent, so the database rolls the transaction back.
        """
        pooled_connection, self._transaction.pooled_connection = (
            self._transaction.pooled_connection,
            None,
        )
        self._transaction.failed = True
        if pooled_connection is not None:
            pooled_connection.give_back()
        return self._session.rejection(replies.RejectionReason.ABORTED, reason)

    def _reject_commit(self, failure: errors.Failure) -> replies.Reply:
        """Rejects a commit that was never sent to the database."""
        abort_transaction(self._env, self._transaction)
        self._session.state.transaction = None
        return self._session.rejection(
            replies.RejectionReason.ABORTED, failure.message
        )

    def _reply_lost_commit(
        self,
        result: database_request.ReplyResult,
        pooled_connection: pooled_connections.PooledConnection,
    ) -> replies.Reply:
        """Answers a commit that got no reply from the database.

        The answer is an ABORTED rejection if the commit did not run, otherwise
        the failure.
        """
        pooled_connection.give_back()
        self._group.schedule_round()
        if result.error.outcome is errors.Outcome.NOT_RUN:
            return self._session.rejection(
                replies.RejectionReason.ABORTED, result.error.message
            )
        return self._session.reply(expression.Error(result.error))


def _is_retryable(result: database_request.ReplyResult) -> bool:
    """Returns whether the database was busy and the transaction is open.

    The statement did not run then and may be retried.
    """
    if result.is_error() or result.ok.result.is_ok():
        return False
    if result.ok.state is not _IN_TRANSACTION:
        return False
    match result.ok.result.error:
        case replies.Rejection(reason=replies.RejectionReason.BUSY):
            return True
    return False


async def run(
    operation: operations.Operation,
    session: caller_session.CallerSession,
    transaction: caller_session_state.OpenTransaction,
    call: caller_session_state.CallerRequest,
) -> replies.Reply:
    """Runs an operation in an open transaction."""
    group = session.env.fleet.group(transaction.route.service)
    if group is None:
        transaction.failed = True
        failure = errors.NoPrimary(transaction.route.service)
        return session.reply(expression.Error(failure))
    return await _run_step(
        operation, _TransactionStep(session, transaction, group, call), session
    )


@functools.singledispatch
async def _run_step(
    operation: operations.Operation,
    step: _TransactionStep,
    session: caller_session.CallerSession,
) -> replies.Reply:
    return await step.statement(
        statement_io.statement(operation, session.state)
    )


@_run_step.register(operations.Commit)
async def _(
    operation: operations.Commit,
    step: _TransactionStep,
    session: caller_session.CallerSession,
) -> replies.Reply:
    return await step.commit(statement_io.statement(operation, session.state))


@_run_step.register(operations.Rollback)
async def _(
    operation: operations.Rollback,
    step: _TransactionStep,
    session: caller_session.CallerSession,
) -> replies.Reply:
    return await step.roll_back()


@functools.singledispatch
async def answer_after_abort(
    operation: operations.Operation,
    session: caller_session.CallerSession,
    transaction: caller_session_state.OpenTransaction,
) -> replies.Reply:
    """Answers an operation in an aborted transaction.

    Only COMMIT and ROLLBACK are accepted. An abort between two statements is
    reported first.
    """
    if transaction.abort_unreported:
        transaction.abort_unreported = False
        return session.rejection(
            replies.RejectionReason.ABORTED,
            "the transaction was idle for too long",
        )
    return session.rejection(
        replies.RejectionReason.MALFORMED,
        "the transaction failed; roll it back",
    )


@answer_after_abort.register(operations.Commit)
async def _(
    operation: operations.Commit,
    session: caller_session.CallerSession,
    transaction: caller_session_state.OpenTransaction,
) -> replies.Reply:
    session.state.transaction = None
    return session.rejection(
        replies.RejectionReason.ABORTED, "the transaction failed before"
    )


@answer_after_abort.register(operations.Rollback)
async def _(
    operation: operations.Rollback,
    session: caller_session.CallerSession,
    transaction: caller_session_state.OpenTransaction,
) -> replies.Reply:
    session.state.transaction = None
    return session.reply(expression.Ok(replies.Answer()))
