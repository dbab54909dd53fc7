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

from hickorygate.callers import asking
from hickorygate.callers import dialog_state as states
from hickorygate.callers import retrying
from hickorygate.callers import single
from hickorygate.callers import surroundings
from hickorygate.core import errors
from hickorygate.core import operation as operations
from hickorygate.core import reply as replies
from hickorygate.core import request as request_lib
from hickorygate.upstreams import lender as lenders
from hickorygate.upstreams import member as members
from hickorygate.upstreams import request as requests
from hickorygate.upstreams import supervisor as supervisors

if TYPE_CHECKING:
    from hickorygate.callers import dialog as dialogs

__all__ = ["after_failure", "give_up", "run"]

_IDLE = replies.SessionState.IDLE
_IN_TRANSACTION = replies.SessionState.IN_TRANSACTION
_ROLLBACK_LIMIT = datetime.timedelta(seconds=1)


def give_up(
    env: surroundings.Surroundings, transaction: states.Transaction
) -> None:
    """Aborts a transaction; only COMMIT or ROLLBACK may follow.

    The rollback at the database runs in the background.
    """
    loan, transaction.loan = transaction.loan, None
    transaction.failed = True
    if loan is not None:
        env.background.start(_roll_back(loan))


async def _roll_back(loan: lenders.Loan) -> None:
    """Rolls back and returns the connection; closes it if that fails."""
    rolled_back = False
    try:
        async with asyncio.timeout(_ROLLBACK_LIMIT.total_seconds()):
            result = await loan.run(requests.Rollback())
        rolled_back = result.is_ok() and result.ok.state is _IDLE
    except TimeoutError:
        return
    finally:
        loan.end(broken=not rolled_back)


class _TransactionStep:
    """One statement of an open transaction."""

    def __init__(
        self,
        dialog: dialogs.Dialog,
        transaction: states.Transaction,
        group: supervisors.Supervisor,
        call: states.Call,
    ) -> None:
        self._dialog = dialog
        self._env = dialog.env
        self._transaction = transaction
        self._group = group
        self._call = call
        self._terms: request_lib.Request = asking.terms(call, transaction.route)

    async def statement(self, statement: asking.Statement) -> replies.Reply:
        """Runs a statement on the transaction's connection."""
        failure = await self._prepare(statement.shape)
        if failure is not None:
            return self._abort(failure)
        result = await self._run_statement(statement)
        if result.is_error():
            return self._abort(result.error)
        reply = result.ok
        if reply.result.is_error():
            return self._pass_on_error(reply)
        self._transaction.wrote = self._transaction.wrote or statement.writes
        if not statement.writes and not await self._reads_confirmed():
            reason = "its database may no longer be the primary"
            return self._abort_and_close(reason)
        return reply

    async def commit(self, statement: asking.Statement) -> replies.Reply:
        """Commits; the reply is the one that the database sent."""
        failure = await self._prepare(None)
        if failure is not None:
            return self._reject_commit(failure)
        if self._transaction.wrote:
            self._group.commit_sent()
        result = await self._run_statement(statement)
        loan = self._transaction.loan
        assert loan is not None, "_prepare() has opened a connection"
        self._dialog.state.transaction = None
        if self._transaction.wrote:
            asking.note_commit(self._group, result)
        if result.is_error():
            return self._reply_lost_commit(result, loan)
        reply = result.ok
        loan.end(broken=reply.state is not _IDLE)
        if reply.result.is_ok() and self._transaction.wrote:
            service = self._transaction.route.service
            self._dialog.state.raise_floor(service, reply.position)
        return dataclasses.replace(reply, state=_IDLE)

    async def roll_back(self) -> replies.Reply:
        """Rolls back; returns once the rollback has ended."""
        loan = self._transaction.loan
        assert loan is not None, "the session answers a rollback without one"
        self._dialog.state.transaction = None
        await _roll_back(loan)
        return self._dialog.reply(expression.Ok(replies.Answer()))

    async def _prepare(
        self, shape: operations.Shape | None
    ) -> errors.Failure | None:
        """Ensures an open transaction on a connection with the right session.

        Opens the transaction at a database before the first statement;
        afterwards only sets session values and prepared names.

        Args:
          shape: statement that must be prepared on the connection; None if
            there is none.

        Returns:
          The failure, or None on success.
        """
        if self._transaction.loan is None:
            return await self._begin(shape)
        return await asking.match(
            self._env,
            self._transaction.loan,
            self._terms,
            self._dialog.state,
            shape,
        )

    async def _begin(
        self, shape: operations.Shape | None
    ) -> errors.Failure | None:
        """Opens the transaction; retries at other databases after a failure."""
        excluded: set[members.MemberId] = set()
        number = 1
        while True:
            placed = await self._find_place(excluded)
            if placed.is_error():
                return placed.error
            failure = await self._begin_at(placed.ok, shape)
            if failure is None:
                return None
            self._group.suspect()
            delay = retrying.next_delay(
                self._env, self._terms, failure, number, True
            )
            if delay is None:
                return failure
            excluded.add(self._call.served_by)
            await self._env.clock.sleep(delay)
            number += 1

    async def _begin_at(
        self, place: single.Place, shape: operations.Shape | None
    ) -> errors.Failure | None:
        self._call.served_by = place.lender.member.id
        self._call.tries += 1
        borrowed = await asking.borrow(
            self._env,
            place.lender,
            self._terms,
            self._dialog.state,
            shape,
            lenders.Use.LONG,
        )
        if borrowed.is_error():
            return borrowed.error
        loan = borrowed.ok
        failure = await self._send_begin(loan, place)
        if failure is not None:
            loan.end(broken=failure.outcome is not errors.Outcome.NOT_RUN)
            return failure
        self._transaction.loan = loan
        self._transaction.leader = place.leader
        return None

    async def _find_place(
        self, excluded: set[members.MemberId]
    ) -> single.PlaceResult:
        if self._transaction.read_only:
            return await single.find_place(
                self._dialog,
                self._group,
                self._transaction.route,
                self._call,
                excluded,
            )
        return await self._find_primary()

    async def _find_primary(self) -> single.PlaceResult:
        """Finds the primary and the log position that its reads must see."""
        fresh = await single.fresh_floor(
            self._transaction.route.consistency, self._group, self._call
        )
        if fresh.is_error():
            return expression.Error(fresh.error)
        position = fresh.ok.position if fresh.ok else None
        return await single.at_primary(self._group, self._terms, position)

    async def _send_begin(
        self, loan: lenders.Loan, place: single.Place
    ) -> errors.Failure | None:
        request = requests.Begin(self._transaction.read_only, place.floor)
        left = self._terms.time_left(self._dialog.now()).total_seconds()
        name = loan.lender.member.id
        try:
            async with asyncio.timeout(left):
                result = await loan.run(request)
        except TimeoutError:
            return errors.AnswerLost(name, "no answer to BEGIN")
        except asyncio.CancelledError:
            loan.end(broken=True)
            raise
        if result.is_error():
            return result.error
        self._group.note(name, result.ok.position)
        if result.ok.result.is_error():
            return result.ok.result.error
        if result.ok.state is not _IN_TRANSACTION:
            return errors.AnswerLost(name, "no transaction was opened")
        return None

    async def _run_statement(
        self, statement: asking.Statement
    ) -> requests.ReplyResult:
        """Runs a statement; retries it while the database is only busy."""
        loan = self._transaction.loan
        assert loan is not None, "_prepare() has opened a connection"
        self._call.served_by = loan.lender.member.id
        request = statement.request(self._call.id)
        number = 1
        while True:
            result = await asking.ask(
                self._env, self._group, loan, request, self._terms
            )
            if not _is_retryable(result):
                return result
            delay = retrying.next_delay(
                self._env, self._terms, result.ok.result.error, number, True
            )
            if delay is None:
                return result
            await self._env.clock.sleep(delay)
            number += 1

    async def _reads_confirmed(self) -> bool:
        """Returns whether the reads are known to see all that they must.

        Only consistencies that need proof of the primary are checked, once
        for each transaction.
        """
        consistency = self._transaction.route.consistency
        if self._transaction.confirmed or not single.must_be_confirmed(
            consistency
        ):
            return True
        leader = await self._group.confirm(
            self._transaction.opened, self._terms.deadline
        )
        self._transaction.confirmed = leader == self._transaction.leader
        return self._transaction.confirmed

    def _pass_on_error(self, reply: replies.Reply) -> replies.Reply:
        """Passes on an error; the database may have ended the transaction."""
        self._group.suspect()
        loan = self._transaction.loan
        if reply.state is _IDLE and loan is not None:
            # The database has ended the transaction itself.
            self._transaction.loan = None
            self._transaction.failed = True
            loan.end()
            failed = replies.SessionState.FAILED
            return dataclasses.replace(reply, state=failed)
        if reply.state is not _IN_TRANSACTION:
            give_up(self._env, self._transaction)
        return reply

    def _abort(self, failure: errors.Failure) -> replies.Reply:
        """Aborts the transaction after a failure; none of its writes remain."""
        self._group.suspect()
        if failure.outcome is errors.Outcome.NOT_RUN:
            give_up(self._env, self._transaction)
            return self._dialog.reply(expression.Error(failure))
        return self._abort_and_close(failure.message)

    def _abort_and_close(self, reason: str) -> replies.Reply:
        """Aborts the transaction, closes its connection and says so.

        No commit has been sent, so the database rolls the transaction back.
        """
        loan, self._transaction.loan = self._transaction.loan, None
        self._transaction.failed = True
        if loan is not None:
            loan.end(broken=True)
        return self._dialog.refuse(replies.Reason.ABORTED, reason)

    def _reject_commit(self, failure: errors.Failure) -> replies.Reply:
        """Rejects a commit that was never sent to the database."""
        give_up(self._env, self._transaction)
        self._dialog.state.transaction = None
        return self._dialog.refuse(replies.Reason.ABORTED, failure.message)

    def _reply_lost_commit(
        self, result: requests.ReplyResult, loan: lenders.Loan
    ) -> replies.Reply:
        """Answers a commit whose reply was lost."""
        loan.end(broken=True)
        self._group.suspect()
        if result.error.outcome is errors.Outcome.NOT_RUN:
            return self._dialog.refuse(
                replies.Reason.ABORTED, result.error.message
            )
        return self._dialog.reply(expression.Error(result.error))


def _is_retryable(result: requests.ReplyResult) -> bool:
    """Returns whether the database was busy and the transaction is open.

    The statement did not run then and may be retried.
    """
    if result.is_error() or result.ok.result.is_ok():
        return False
    if result.ok.state is not _IN_TRANSACTION:
        return False
    match result.ok.result.error:
        case replies.Rejection(reason=replies.Reason.BUSY):
            return True
    return False


async def run(
    operation: operations.Operation,
    dialog: dialogs.Dialog,
    transaction: states.Transaction,
    call: states.Call,
) -> replies.Reply:
    """Runs an operation in an open transaction."""
    group = dialog.env.fleet.group(transaction.route.service)
    if group is None:
        transaction.failed = True
        failure = errors.NoPrimary(transaction.route.service)
        return dialog.reply(expression.Error(failure))
    return await _run_step(
        operation, _TransactionStep(dialog, transaction, group, call), dialog
    )


@functools.singledispatch
async def _run_step(
    operation: operations.Operation,
    step: _TransactionStep,
    dialog: dialogs.Dialog,
) -> replies.Reply:
    return await step.statement(asking.statement(operation, dialog.state))


@_run_step.register(operations.Commit)
async def _(
    operation: operations.Commit, step: _TransactionStep, dialog: dialogs.Dialog
) -> replies.Reply:
    return await step.commit(asking.statement(operation, dialog.state))


@_run_step.register(operations.Rollback)
async def _(
    operation: operations.Rollback,
    step: _TransactionStep,
    dialog: dialogs.Dialog,
) -> replies.Reply:
    return await step.roll_back()


@functools.singledispatch
async def after_failure(
    operation: operations.Operation,
    dialog: dialogs.Dialog,
    transaction: states.Transaction,
) -> replies.Reply:
    """Answers an operation in an aborted transaction.

    Only COMMIT and ROLLBACK are accepted. An abort between two statements is
    reported first.
    """
    if transaction.untold:
        transaction.untold = False
        return dialog.refuse(
            replies.Reason.ABORTED, "the transaction was idle for too long"
        )
    return dialog.refuse(
        replies.Reason.MALFORMED, "the transaction failed; roll it back"
    )


@after_failure.register(operations.Commit)
async def _(
    operation: operations.Commit,
    dialog: dialogs.Dialog,
    transaction: states.Transaction,
) -> replies.Reply:
    dialog.state.transaction = None
    return dialog.refuse(
        replies.Reason.ABORTED, "the transaction failed before"
    )


@after_failure.register(operations.Rollback)
async def _(
    operation: operations.Rollback,
    dialog: dialogs.Dialog,
    transaction: states.Transaction,
) -> replies.Reply:
    dialog.state.transaction = None
    return dialog.reply(expression.Ok(replies.Answer()))
