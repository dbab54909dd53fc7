"""Runs statements outside transactions.

Reads go to any database that is fresh enough, writes to the primary.
"""

from __future__ import annotations

import asyncio
import dataclasses
import functools
from typing import TYPE_CHECKING

import expression

from hickorygate.callers import asking
from hickorygate.callers import dialog_state as states
from hickorygate.callers import placing
from hickorygate.callers import retrying
from hickorygate.core import catalog as catalogs
from hickorygate.core import decisions
from hickorygate.core import errors
from hickorygate.core import operation as operations
from hickorygate.core import position as positions
from hickorygate.core import reply as replies
from hickorygate.core import request as request_lib
from hickorygate.upstreams import evidence as evidences
from hickorygate.upstreams import lender as lenders
from hickorygate.upstreams import member as members
from hickorygate.upstreams import request as requests
from hickorygate.upstreams import supervisor as supervisors

if TYPE_CHECKING:
    from hickorygate.callers import dialog as dialogs

__all__ = [
    "FloorResult",
    "Place",
    "PlaceResult",
    "at_primary",
    "find_place",
    "fresh_floor",
    "must_be_confirmed",
    "run",
]

_IDLE = replies.SessionState.IDLE


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """The database that a statement is sent to, and the conditions on it.

    Attributes:
      lender: connection pool of the database.
      floor: log position that the database must have reached; None if any
        position will do.
      leader: primary and term that the database must still have; None if it
        doesn't have to be the primary.
    """

    lender: lenders.Lender
    floor: positions.Position | None
    leader: evidences.Leader | None


PlaceResult = expression.Result[Place, errors.Failure]
FloorResult = expression.Result[evidences.Floor | None, errors.Failure]


class _StatementRunner:
    """Runs one statement and retries it where that is safe."""

    def __init__(
        self,
        dialog: dialogs.Dialog,
        group: supervisors.Supervisor,
        route: catalogs.Route,
        call: states.Call,
        statement: asking.Statement,
    ) -> None:
        self._dialog = dialog
        self._env = dialog.env
        self._group = group
        self._route = route
        self._call = call
        self._statement = statement
        self._terms = asking.terms(call, route)
        self._excluded: set[members.MemberId] = set()
        self._has_place = False

    async def read(self) -> replies.Reply:
        """Runs a read; retries at another database if one fails."""
        return await self._run_with_retries(True)

    async def write(self) -> replies.Reply:
        """Runs a write at the primary.

        A write is retried only if it is known that it did not run, so it runs
        at most once.
        """
        return await self._run_with_retries(False)

    async def _run_with_retries(self, reads: bool) -> replies.Reply:
        self._env.retries.deposit()
        number = 1
        while True:
            reply = await self._attempt(reads)
            if reply.result.is_ok():
                return reply
            failure = reply.result.error
            delay = retrying.next_delay(
                self._env, self._terms, failure, number, reads
            )
            if delay is None or not self._has_place:
                return self._final_reply(reply, reads)
            self._env.journal.record(
                decisions.RequestRetried(
                    self._call.id,
                    self._call.served_by,
                    failure.message,
                    number,
                )
            )
            self._excluded.add(self._call.served_by)
            await self._env.clock.sleep(delay)
            number += 1

    def _final_reply(self, reply: replies.Reply, reads: bool) -> replies.Reply:
        """Returns the reply of the last attempt as the caller gets it.

        A read without an answer at its deadline is reported as timed out and
        not as in doubt, since a read changes nothing.
        """
        failure = reply.result.error
        deadline_passed = not self._terms.time_left(self._dialog.now())
        lost = failure.outcome is errors.Outcome.UNKNOWN
        if reads and deadline_passed and lost:
            return self._dialog.refuse(
                replies.Reason.TIMED_OUT, failure.message
            )
        return reply

    async def _attempt(self, reads: bool) -> replies.Reply:
        placed = await self._find_place(reads)
        self._has_place = placed.is_ok()
        if placed.is_error():
            return self._dialog.reply(expression.Error(placed.error))
        place = placed.ok
        self._call.served_by = place.lender.member.id
        self._call.tries += 1
        borrowed = await asking.borrow(
            self._env,
            place.lender,
            self._terms,
            self._dialog.state,
            self._statement.shape,
        )
        if borrowed.is_error():
            self._group.suspect()
            return self._dialog.reply(expression.Error(borrowed.error))
        return await self._run_at(place, borrowed.ok, reads)

    async def _run_at(
        self, place: Place, loan: lenders.Loan, reads: bool
    ) -> replies.Reply:
        request = self._statement.request(self._call.id, place.floor)
        if not reads:
            self._group.commit_sent()
        confirming = self._start_confirmation(place) if reads else None
        try:
            result = await asking.ask(
                self._env, self._group, loan, request, self._terms
            )
            is_idle = result.is_ok() and result.ok.state is _IDLE
        except BaseException:
            if confirming is not None:
                confirming.cancel()
            loan.end(broken=True)
            raise
        _forget_lost_names(result, loan)
        loan.end(broken=not is_idle and _may_have_run(result))
        if not reads:
            self._record_write(result)
        reply = self._to_reply(result)
        if confirming is None:
            return reply
        return await self._deliver_if_confirmed(place, reply, confirming)

    def _to_reply(self, result: requests.ReplyResult) -> replies.Reply:
        if result.is_error():
            self._group.suspect()
            return self._dialog.reply(expression.Error(result.error))
        reply = result.ok
        if reply.result.is_error():
            self._group.suspect()
        return dataclasses.replace(reply, state=_IDLE)

    def _record_write(self, result: requests.ReplyResult) -> None:
        asking.note_commit(self._group, result)
        if requests.failure_of(result) is None:
            self._dialog.state.raise_floor(
                self._route.service, result.ok.position
            )

    def _start_confirmation(
        self, place: Place
    ) -> asyncio.Task[evidences.Leader | None] | None:
        """Starts to check that the database is still the primary."""
        if place.leader is None:
            return None
        return asyncio.create_task(
            self._group.confirm(self._call.arrived, self._terms.deadline)
        )

    async def _deliver_if_confirmed(
        self,
        place: Place,
        reply: replies.Reply,
        confirming: asyncio.Task[evidences.Leader | None],
    ) -> replies.Reply:
        """Returns the rows of a read only if its database was the primary."""
        if reply.result.is_error():
            confirming.cancel()
            return reply
        leader = await confirming
        if leader == place.leader:
            return reply
        newest = leader.member if leader is not None else ""
        self._env.journal.record(
            decisions.ReadDiscarded(self._call.id, self._call.served_by, newest)
        )
        # The read ran, but its rows may be stale, so they are discarded.
        failure = errors.AnswerLost(
            self._call.served_by, "it may no longer be the primary"
        )
        return self._dialog.reply(expression.Error(failure))

    async def _find_place(self, reads: bool) -> PlaceResult:
        if not reads:
            return await at_primary(self._group, self._terms, None)
        return await find_place(
            self._dialog, self._group, self._route, self._call, self._excluded
        )


def _may_have_run(result: requests.ReplyResult) -> bool:
    """Returns whether the statement may have reached the database."""
    return result.is_ok() or result.error.outcome is errors.Outcome.UNKNOWN


def _forget_lost_names(
    result: requests.ReplyResult, loan: lenders.Loan
) -> None:
    """Clears the connection's prepared names if the database lost one.

    The next borrower of the connection prepares its statement again.
    """
    match requests.failure_of(result):
        case replies.Rejection(reason=replies.Reason.UNKNOWN_STATEMENT):
            loan.forget_names()


async def at_primary(
    group: supervisors.Supervisor,
    terms: request_lib.Request,
    floor: positions.Position | None,
) -> PlaceResult:
    """Finds the primary for a statement.

    While there is no primary, this waits as long as the group's patience
    limits allow.

    Args:
      group: databases of the service.
      terms: rank and deadline of the request.
      floor: log position that the primary must have reached; None if any
        position will do.
    """
    leader = await group.wait_for_leader(terms)
    if leader is None or leader.member not in group.lenders:
        return expression.Error(group.no_leader())
    return expression.Ok(Place(group.lenders[leader.member], floor, leader))


@functools.singledispatch
def must_be_confirmed(consistency: catalogs.Consistency) -> bool:
    """Returns whether reads need proof that their database was the primary."""
    return False


@must_be_confirmed.register
def _(consistency: catalogs.Newest) -> bool:
    return True


@functools.singledispatch
async def fresh_floor(
    consistency: catalogs.Consistency,
    group: supervisors.Supervisor,
    call: states.Call,
) -> FloorResult:
    """Returns the lowest log position that the reads of a call must see.

    Returns:
      The floor, or None if the reads must see every acknowledged commit and
      therefore run at the primary.
    """
    raise TypeError(f"no fresh_floor() for {consistency!r}; register one")


@fresh_floor.register(catalogs.Newest)
async def _(
    consistency: catalogs.Newest,
    group: supervisors.Supervisor,
    call: states.Call,
) -> FloorResult:
    return expression.Ok(None)


@fresh_floor.register(catalogs.Bounded)
async def _(
    consistency: catalogs.Bounded,
    group: supervisors.Supervisor,
    call: states.Call,
) -> FloorResult:
    floor = await group.wait_for_floor(consistency, call.arrived, call.deadline)
    if floor is None:
        return expression.Error(group.no_leader())
    call.floor = floor
    return expression.Ok(floor)


async def find_place(
    dialog: dialogs.Dialog,
    group: supervisors.Supervisor,
    route: catalogs.Route,
    call: states.Call,
    excluded: set[members.MemberId],
) -> PlaceResult:
    """Finds a database that is fresh enough for a read.

    Args:
      dialog: session that the read belongs to.
      group: databases of the service.
      route: route of the database name.
      call: request that the read belongs to; its floor is set here.
      excluded: databases where the request already failed; they are used
        only if no other database is usable.
    """
    fresh = await fresh_floor(route.consistency, group, call)
    if fresh.is_error():
        return expression.Error(fresh.error)
    if fresh.ok is None:
        return await at_primary(group, asking.terms(call, route), None)
    own = placing.own_floor(
        route.consistency, dialog.state.floors, route.service
    )
    floor = fresh.ok.position
    needed = floor if own is None else max(floor, own)
    while True:
        chosen = _choose(dialog, group, needed, excluded)
        if chosen is not None:
            lender = group.lenders[chosen.member.id]
            return expression.Ok(Place(lender, needed, None))
        if not await group.next_round(call.deadline):
            return expression.Error(group.no_leader())


def _choose(
    dialog: dialogs.Dialog,
    group: supervisors.Supervisor,
    floor: positions.Position | None,
    excluded: set[members.MemberId],
) -> placing.Candidate | None:
    leader = group.leader
    now = dialog.now()
    usable = [
        placing.Candidate(
            member=lender.member,
            position=group.evidence.position(name),
            leads=leader is not None and leader.member == name,
            load=lender.load,
            near=lender.member.zone == dialog.env.zone,
            failing=lender.grade.share(now),
        )
        for name, lender in group.lenders.items()
        if not group.prober.vital(name).lost(now)
    ]
    staying = [c for c in usable if c.leads or not c.member.leaving]
    fresh = [c for c in staying if c.member.id not in excluded]
    return placing.choose(fresh or staying, floor, dialog.env.rng)


@functools.singledispatch
async def run(
    operation: operations.Operation,
    dialog: dialogs.Dialog,
    route: catalogs.Route,
    call: states.Call,
) -> replies.Reply:
    """Runs an operation outside a transaction."""
    return dialog.refuse(replies.Reason.MALFORMED, "not a statement")


@run.register(operations.Read)
@run.register(operations.Write)
@run.register(operations.Execute)
async def _(
    operation: operations.Operation,
    dialog: dialogs.Dialog,
    route: catalogs.Route,
    call: states.Call,
) -> replies.Reply:
    group = dialog.env.fleet.group(route.service)
    if group is None:
        failure = errors.NoPrimary(route.service)
        return dialog.reply(expression.Error(failure))
    statement = asking.statement(operation, dialog.state)
    runner = _StatementRunner(dialog, group, route, call, statement)
    return await (runner.write() if statement.writes else runner.read())
