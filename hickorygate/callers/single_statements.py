"""Runs statements outside transactions.

Reads go to any database that is fresh enough, writes to the primary.
"""

from __future__ import annotations

import asyncio
import dataclasses
import datetime
import functools
from typing import TYPE_CHECKING

import expression

from hickorygate.callers import caller_session_state
from hickorygate.callers import read_placement
from hickorygate.callers import retry_delay
from hickorygate.callers import statement_io
from hickorygate.core import catalog
from hickorygate.core import errors
from hickorygate.core import operation as operations
from hickorygate.core import platform_events
from hickorygate.core import position
from hickorygate.core import reply as replies
from hickorygate.core import request_context
from hickorygate.upstreams import connection_pool
from hickorygate.upstreams import database_request
from hickorygate.upstreams import group_monitor
from hickorygate.upstreams import group_state
from hickorygate.upstreams import member
from hickorygate.upstreams import pooled_connection as pooled_connections
from hickorygate.upstreams import silence_watch

if TYPE_CHECKING:
    from hickorygate.callers import caller_session

__all__ = [
    "FloorResult",
    "StatementTarget",
    "StatementTargetResult",
    "find_primary_target",
    "find_read_target",
    "freshness_floor",
    "needs_confirmed_primary",
    "run",
]

_IDLE = replies.TransactionState.IDLE


@dataclasses.dataclass(frozen=True, slots=True)
class StatementTarget:
    """The database that a statement is sent to, and the conditions on it.

    Attributes:
      pool: connection pool of the database.
      floor: log position that the database must have reached; None if any
        position will do.
      leader: primary and term that the database must still have; None if it
        doesn't have to be the primary.
    """

    pool: connection_pool.ConnectionPool
    floor: position.Position | None
    leader: group_state.Leader | None


StatementTargetResult = expression.Result[StatementTarget, errors.Failure]
FloorResult = expression.Result[group_state.Floor | None, errors.Failure]


@dataclasses.dataclass(frozen=True, slots=True)
class _Exchange:
    """An exchange with a database about one statement.

    Attributes:
      reply: reply for the caller.
      answered: whether the database answered.
      confirming: checks that the database was still the primary; None if the
        reply needs no such check.
    """

    reply: replies.Reply
    answered: bool = False
    confirming: asyncio.Task[group_state.Leader | None] | None = None


class _StatementRunner:
    """Runs one statement and retries it where that is safe."""

    def __init__(
        self,
        session: caller_session.CallerSession,
        group: group_monitor.GroupMonitor,
        route: catalog.Route,
        call: caller_session_state.CallerRequest,
        statement: statement_io.Statement,
    ) -> None:
        self._session = session
        self._env = session.env
        self._group = group
        self._route = route
        self._call = call
        self._statement = statement
        self._terms = statement_io.request_terms(call, route)
        self._excluded: set[member.MemberId] = set()
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
            delay = retry_delay.next_delay(
                self._env, self._terms, failure, number, reads
            )
            if delay is None or not self._has_place:
                return self._final_reply(reply, reads)
            self._env.journal.record(
                platform_events.RequestRetried(
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
        deadline_passed = not self._terms.time_left(self._session.now())
        lost = failure.outcome is errors.Outcome.UNKNOWN
        if reads and deadline_passed and lost:
            return self._session.rejection(
                replies.RejectionReason.TIMED_OUT, failure.message
            )
        return reply

    async def _attempt(self, reads: bool) -> replies.Reply:
        placed = await self._find_place(reads)
        self._has_place = placed.is_ok()
        if placed.is_error():
            return self._session.reply(expression.Error(placed.error))
        place = placed.ok
        self._call.served_by = place.pool.member.id
        self._call.tries += 1
        if place.leader is not None:
            return await self._attempt_at(place, reads)
        try:
            async with silence_watch.SilenceWatch(
                self._group, self._call.served_by
            ):
                return await self._attempt_at(place, reads)
        except TimeoutError:
            failure = errors.AnswerLost(
                self._call.served_by, "it doesn't answer any more"
            )
            return self._session.reply(expression.Error(failure))

    async def _attempt_at(
        self, place: StatementTarget, reads: bool
    ) -> replies.Reply:
        permits = place.pool.permits
        entered = await permits.acquire(self._terms)
        if entered.is_error():
            return self._session.reply(expression.Error(entered.error))
        started = self._session.now()
        service: datetime.timedelta | None = None
        try:
            exchange = await self._exchange(place, reads)
            if exchange.answered:
                service = self._session.now() - started
        finally:
            permits.release(entered.ok, service)
        if exchange.confirming is None:
            return exchange.reply
        return await self._deliver_if_confirmed(
            place, exchange.reply, exchange.confirming
        )

    async def _exchange(self, place: StatementTarget, reads: bool) -> _Exchange:
        """Runs the statement, which has a permit, on a connection.

        The connection is borrowed after the permit was granted, so that
        statements in the queue occupy no connection.
        """
        borrowed = await statement_io.borrow(
            self._env,
            place.pool,
            self._terms,
            self._session.state,
            self._statement.prepared,
        )
        if borrowed.is_error():
            self._group.schedule_round()
            return _Exchange(
                self._session.reply(expression.Error(borrowed.error))
            )
        return await self._run_at(place, borrowed.ok, reads)

    async def _run_at(
        self,
        place: StatementTarget,
        pooled_connection: pooled_connections.PooledConnection,
        reads: bool,
    ) -> _Exchange:
        request = self._statement.request(self._call.id, place.floor)
        if not reads:
            self._group.commit_sent()
        confirming = self._start_confirmation(place) if reads else None
        try:
            result = await statement_io.run_admitted(
                self._env,
                self._group,
                pooled_connection,
                request,
                self._terms,
                commits=not reads,
            )
        except BaseException:
            if confirming is not None:
                confirming.cancel()
            raise
        finally:
            pooled_connection.give_back()
        if not reads:
            self._record_write(result)
        return _Exchange(self._to_reply(result), result.is_ok(), confirming)

    def _to_reply(self, result: database_request.ReplyResult) -> replies.Reply:
        if result.is_error():
            self._group.schedule_round()
            return self._session.reply(expression.Error(result.error))
        reply = result.ok
        if reply.result.is_error():
            self._group.schedule_round()
        return dataclasses.replace(reply, state=_IDLE)

    def _record_write(self, result: database_request.ReplyResult) -> None:
        statement_io.record_commit(self._group, result)
        if database_request.failure_of(result) is None:
            self._session.state.raise_floor(
                self._route.service, result.ok.position
            )

    def _start_confirmation(
        self, place: StatementTarget
    ) -> asyncio.Task[group_state.Leader | None] | None:
        """Starts to check that the database is still the primary."""
        if place.leader is None:
            return None
        return asyncio.create_task(
            self._group.confirmed_leader(
                self._call.arrived, self._terms.deadline
            )
        )

    async def _deliver_if_confirmed(
        self,
        place: StatementTarget,
        reply: replies.Reply,
        confirming: asyncio.Task[group_state.Leader | None],
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
            platform_events.ReadDiscarded(
                self._call.id, self._call.served_by, newest
            )
        )
        # The read ran, but its rows may be stale, so they are discarded.
        failure = errors.AnswerLost(
            self._call.served_by, "it may no longer be the primary"
        )
        return self._session.reply(expression.Error(failure))

    async def _find_place(self, reads: bool) -> StatementTargetResult:
        if not reads:
            leader = await self._group.wait_for_writable(self._terms)
            return _primary_target(self._group, leader, None)
        return await find_read_target(
            self._session, self._group, self._route, self._call, self._excluded
        )


async def find_primary_target(
    group: group_monitor.GroupMonitor,
    terms: request_context.RequestContext,
    floor: position.Position | None,
) -> StatementTargetResult:
    """Finds the primary for a statement.

    While there is no primary, the function waits for one until the request's
    deadline at the latest, and only briefly if the group's `FailoverEstimate`
    expects none before the deadline.

    Args:
      group: databases of the service.
      terms: rank and deadline of the request.
      floor: log position that the primary must have reached; None if any
        position will do.
    """
    leader = await group.wait_for_leader(terms)
    return _primary_target(group, leader, floor)


def _primary_target(
    group: group_monitor.GroupMonitor,
    leader: group_state.Leader | None,
    floor: position.Position | None,
) -> StatementTargetResult:
    if leader is None or leader.member not in group.pools:
        return expression.Error(group.no_leader_rejection())
    return expression.Ok(
        StatementTarget(group.pools[leader.member], floor, leader)
    )


@functools.singledispatch
def needs_confirmed_primary(consistency: catalog.Consistency) -> bool:
    """Returns whether reads need proof that their database was the primary."""
    return False


@needs_confirmed_primary.register
def _(consistency: catalog.StrongConsistency) -> bool:
    return True


@functools.singledispatch
async def freshness_floor(
    consistency: catalog.Consistency,
    group: group_monitor.GroupMonitor,
    call: caller_session_state.CallerRequest,
    terms: request_context.RequestContext,
) -> FloorResult:
    """Returns the lowest log position that the reads of a request must see.

    Args:
      consistency: consistency of the route.
      group: databases of the service.
      call: request that the reads belong to; this function sets its `floor`.
      terms: rank and deadline of the request.

    Returns:
      The floor, or None if the reads must see every acknowledged commit and
      therefore run at the primary.
    """
    raise TypeError(f"no freshness_floor() for {consistency!r}; register one")


@freshness_floor.register(catalog.StrongConsistency)
async def _(
    consistency: catalog.StrongConsistency,
    group: group_monitor.GroupMonitor,
    call: caller_session_state.CallerRequest,
    terms: request_context.RequestContext,
) -> FloorResult:
    return expression.Ok(None)


@freshness_floor.register(catalog.BoundedStaleness)
async def _(
    consistency: catalog.BoundedStaleness,
    group: group_monitor.GroupMonitor,
    call: caller_session_state.CallerRequest,
    terms: request_context.RequestContext,
) -> FloorResult:
    floor = await group.wait_for_floor(consistency, terms)
    if floor is None:
        return expression.Error(group.no_leader_rejection())
    call.floor = floor
    return expression.Ok(floor)


async def find_read_target(
    session: caller_session.CallerSession,
    group: group_monitor.GroupMonitor,
    route: catalog.Route,
    call: caller_session_state.CallerRequest,
    excluded: set[member.MemberId],
) -> StatementTargetResult:
    """Finds a database that is fresh enough for a read.

    Args:
      session: session that the read belongs to.
      group: databases of the service.
      route: route of the database name.
      call: request that the read belongs to; this function sets its `floor`.
      excluded: databases where the request already failed; they, and those
        that answer no status query, are used only if no other one is usable.
    """
    terms = statement_io.request_terms(call, route)
    fresh = await freshness_floor(route.consistency, group, call, terms)
    if fresh.is_error():
        return expression.Error(fresh.error)
    if fresh.ok is None:
        return await find_primary_target(group, terms, None)
    own = read_placement.session_floor(
        route.consistency, session.state.floors, route.service
    )
    floor = fresh.ok.position
    needed = floor if own is None else max(floor, own)
    began = session.now()
    while True:
        chosen = _choose(session, group, needed, excluded)
        if chosen is not None:
            pool = group.pools[chosen.member.id]
            return expression.Ok(StatementTarget(pool, needed, None))
        if not await group.next_round(group.wait_deadline(terms, began)):
            return expression.Error(group.no_leader_rejection())


def _choose(
    session: caller_session.CallerSession,
    group: group_monitor.GroupMonitor,
    floor: position.Position | None,
    excluded: set[member.MemberId],
) -> read_placement.ReadCandidate | None:
    leader = group.leader
    now = session.now()
    usable = [
        read_placement.ReadCandidate(
            member=pool.member,
            position=group.state.position(name),
            is_primary=leader is not None and leader.member == name,
            load=pool.load,
            in_same_zone=pool.member.zone == session.env.zone,
            failure_rate=pool.failure_rate.share(now),
        )
        for name, pool in group.pools.items()
        if not group.prober.is_lost(name)
    ]
    staying = [c for c in usable if c.is_primary or not c.member.leaving]
    preferred = [
        c
        for c in staying
        if c.member.id not in excluded and not group.is_silent(c.member.id)
    ]
    return read_placement.choose_database(
        preferred or staying, floor, session.env.rng
    )


@functools.singledispatch
async def run(
    operation: operations.Operation,
    session: caller_session.CallerSession,
    route: catalog.Route,
    call: caller_session_state.CallerRequest,
) -> replies.Reply:
    """Runs an operation outside a transaction."""
    return session.rejection(
        replies.RejectionReason.MALFORMED, "not a statement"
    )


@run.register(operations.Read)
@run.register(operations.Write)
@run.register(operations.Execute)
async def _(
    operation: operations.Operation,
    session: caller_session.CallerSession,
    route: catalog.Route,
    call: caller_session_state.CallerRequest,
) -> replies.Reply:
    group = session.env.fleet.group(route.service)
    if group is None:
        failure = errors.NoPrimary(route.service)
        return session.reply(expression.Error(failure))
    statement = statement_io.statement(operation, session.state)
    runner = _StatementRunner(session, group, route, call, statement)
    return await (runner.write() if statement.writes else runner.read())
