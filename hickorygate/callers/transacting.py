"""Statements inside transactions: one connection from first to last."""

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
_OPEN = replies.SessionState.IN_TRANSACTION
_ROLLBACK_LIMIT = datetime.timedelta(seconds=1)


def give_up(env: surroundings.Surroundings, open_: states.Transaction) -> None:
    """Drops what a transaction did; only its end may follow."""
    loan, open_.loan = open_.loan, None
    open_.failed = True
    if loan is not None:
        env.background.start(_roll_back(loan))


async def _roll_back(loan: lenders.Loan) -> None:
    """Rolls back and gives the connection back; closes it if that fails."""
    clean = False
    try:
        async with asyncio.timeout(_ROLLBACK_LIMIT.total_seconds()):
            result = await loan.run(requests.Rollback())
        clean = result.is_ok() and result.ok.state is _IDLE
    except TimeoutError:
        return
    finally:
        loan.end(broken=not clean)


class _Step:
    """One statement of an open transaction."""

    def __init__(
        self,
        dialog: dialogs.Dialog,
        open_: states.Transaction,
        group: supervisors.Supervisor,
        call: states.Call,
    ) -> None:
        self._dialog = dialog
        self._env = dialog.env
        self._open = open_
        self._group = group
        self._call = call
        self._terms: request_lib.Request = asking.terms(call, open_.route)

    async def statement(self, sent: asking.Statement) -> replies.Reply:
        """Runs a statement on the transaction's connection."""
        failure = await self._prepare(sent.shape)
        if failure is not None:
            return self._abort(failure)
        result = await self._ask(sent)
        if result.is_error():
            return self._abort(result.error)
        reply = result.ok
        if reply.result.is_error():
            return self._refused(reply)
        self._open.wrote = self._open.wrote or sent.writes
        if not sent.writes and not await self._is_confirmed():
            reason = "its database may no longer be the primary"
            return self._aborted(reason)
        return reply

    async def commit(self, sent: asking.Statement) -> replies.Reply:
        """Commits; the answer is the database's own."""
        failure = await self._prepare(None)
        if failure is not None:
            return self._end_here(failure)
        if self._open.wrote:
            self._group.commit_sent()
        result = await self._ask(sent)
        loan = self._open.loan
        assert loan is not None, "prepared above"
        self._dialog.state.transaction = None
        if self._open.wrote:
            asking.note_commit(self._group, result)
        if result.is_error():
            return self._lost_commit(result, loan)
        reply = result.ok
        loan.end(broken=reply.state is not _IDLE)
        if reply.result.is_ok() and self._open.wrote:
            service = self._open.route.service
            self._dialog.state.raise_floor(service, reply.position)
        return dataclasses.replace(reply, state=_IDLE)

    async def roll_back(self) -> replies.Reply:
        """Rolls back; the caller is told once that is done."""
        loan = self._open.loan
        assert loan is not None, "nothing to roll back is answered before"
        self._dialog.state.transaction = None
        await _roll_back(loan)
        return self._dialog.reply(expression.Ok(replies.Answer()))

    async def _prepare(
        self, shape: operations.Shape | None
    ) -> errors.Failure | None:
        """Makes sure of a connection in a transaction, with its session."""
        if self._open.loan is None:
            return await self._begin(shape)
        return await asking.match(
            self._env, self._open.loan, self._terms, self._dialog.state, shape
        )

    async def _begin(
        self, shape: operations.Shape | None
    ) -> errors.Failure | None:
        """Opens the transaction at a database; tries another if refused."""
        excluded: set[members.MemberId] = set()
        number = 1
        while True:
            placed = await self._place(excluded)
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
        failure = await self._open_at(loan, place)
        if failure is not None:
            loan.end(broken=failure.outcome is not errors.Outcome.NOT_RUN)
            return failure
        self._open.loan = loan
        self._open.leader = place.leader
        return None

    async def _place(
        self, excluded: set[members.MemberId]
    ) -> single.PlaceResult:
        if self._open.read_only:
            return await single.find_place(
                self._dialog,
                self._group,
                self._open.route,
                self._call,
                excluded,
            )
        return await self._primary_place()

    async def _primary_place(self) -> single.PlaceResult:
        """Finds the primary; it must hold what the reads must see."""
        fresh = await single.fresh_floor(
            self._open.route.consistency, self._group, self._call
        )
        if fresh.is_error():
            return expression.Error(fresh.error)
        position = fresh.ok.position if fresh.ok else None
        return await single.at_primary(self._group, self._terms, position)

    async def _open_at(
        self, loan: lenders.Loan, place: single.Place
    ) -> errors.Failure | None:
        request = requests.Begin(self._open.read_only, place.floor)
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
        if result.ok.state is not _OPEN:
            return errors.AnswerLost(name, "no transaction was opened")
        return None

    async def _ask(self, sent: asking.Statement) -> requests.ReplyResult:
        """Runs a statement; again while the database is only too busy."""
        loan = self._open.loan
        assert loan is not None, "begun before"
        self._call.served_by = loan.lender.member.id
        request = sent.request(self._call.id)
        number = 1
        while True:
            result = await asking.ask(
                self._env, self._group, loan, request, self._terms
            )
            if not _only_busy(result):
                return result
            delay = retrying.next_delay(
                self._env, self._terms, result.ok.result.error, number, True
            )
            if delay is None:
                return result
            await self._env.clock.sleep(delay)
            number += 1

    async def _is_confirmed(self) -> bool:
        """Whether the reads see all that they must."""
        consistency = self._open.route.consistency
        if self._open.confirmed or not single.must_be_confirmed(consistency):
            return True
        leader = await self._group.confirm(
            self._open.opened, self._terms.deadline
        )
        self._open.confirmed = leader == self._open.leader
        return self._open.confirmed

    def _refused(self, reply: replies.Reply) -> replies.Reply:
        """Passes a database's refusal on; the transaction may be over."""
        self._group.suspect()
        loan = self._open.loan
        if reply.state is _IDLE and loan is not None:
            # The database ended the transaction by itself.
            self._open.loan = None
            self._open.failed = True
            loan.end()
            failed = replies.SessionState.FAILED
            return dataclasses.replace(reply, state=failed)
        if reply.state is not _OPEN:
            give_up(self._env, self._open)
        return reply

    def _abort(self, failure: errors.Failure) -> replies.Reply:
        """Ends the transaction after a failure; nothing of it is kept."""
        self._group.suspect()
        if failure.outcome is errors.Outcome.NOT_RUN:
            give_up(self._env, self._open)
            return self._dialog.reply(expression.Error(failure))
        return self._aborted(failure.message)

    def _aborted(self, reason: str) -> replies.Reply:
        """Drops the transaction before its end was asked for."""
        loan, self._open.loan = self._open.loan, None
        self._open.failed = True
        if loan is not None:
            loan.end(broken=True)
        return self._dialog.refuse(replies.Reason.ABORTED, reason)

    def _end_here(self, failure: errors.Failure) -> replies.Reply:
        """Refuses a commit that was never sent."""
        give_up(self._env, self._open)
        self._dialog.state.transaction = None
        return self._dialog.refuse(replies.Reason.ABORTED, failure.message)

    def _lost_commit(
        self, result: requests.ReplyResult, loan: lenders.Loan
    ) -> replies.Reply:
        """Answers a commit without a database's word on it."""
        loan.end(broken=True)
        self._group.suspect()
        if result.error.outcome is errors.Outcome.NOT_RUN:
            return self._dialog.refuse(
                replies.Reason.ABORTED, result.error.message
            )
        return self._dialog.reply(expression.Error(result.error))


def _only_busy(result: requests.ReplyResult) -> bool:
    """Whether a statement was not run and its transaction goes on."""
    if result.is_error() or result.ok.result.is_ok():
        return False
    if result.ok.state is not _OPEN:
        return False
    match result.ok.result.error:
        case replies.Rejection(reason=replies.Reason.BUSY):
            return True
    return False


async def run(
    operation: operations.Operation,
    dialog: dialogs.Dialog,
    open_: states.Transaction,
    call: states.Call,
) -> replies.Reply:
    """Runs an operation of an open transaction."""
    group = dialog.env.fleet.group(open_.route.service)
    if group is None:
        open_.failed = True
        failure = errors.NoPrimary(open_.route.service)
        return dialog.reply(expression.Error(failure))
    return await _run(operation, _Step(dialog, open_, group, call), dialog)


@functools.singledispatch
async def _run(
    operation: operations.Operation, step: _Step, dialog: dialogs.Dialog
) -> replies.Reply:
    return await step.statement(asking.statement(operation, dialog.state))


@_run.register(operations.Commit)
async def _(
    operation: operations.Commit, step: _Step, dialog: dialogs.Dialog
) -> replies.Reply:
    return await step.commit(asking.statement(operation, dialog.state))


@_run.register(operations.Rollback)
async def _(
    operation: operations.Rollback, step: _Step, dialog: dialogs.Dialog
) -> replies.Reply:
    return await step.roll_back()


@functools.singledispatch
async def after_failure(
    operation: operations.Operation,
    dialog: dialogs.Dialog,
    open_: states.Transaction,
) -> replies.Reply:
    """Answers in a transaction that failed: only its end is taken."""
    if open_.untold:
        open_.untold = False
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
    open_: states.Transaction,
) -> replies.Reply:
    dialog.state.transaction = None
    return dialog.refuse(
        replies.Reason.ABORTED, "the transaction failed before"
    )


@after_failure.register(operations.Rollback)
async def _(
    operation: operations.Rollback,
    dialog: dialogs.Dialog,
    open_: states.Transaction,
) -> replies.Reply:
    dialog.state.transaction = None
    return dialog.reply(expression.Ok(replies.Answer()))
