"""Finds the database that a statement is sent to.

Reads go to any database that is fresh enough for the route's consistency,
everything else to the primary.
"""

from __future__ import annotations

import dataclasses
import functools
from typing import TYPE_CHECKING

import expression

from hickorygate.callers import caller_session_state
from hickorygate.callers import read_placement
from hickorygate.callers import statement_io
from hickorygate.core import catalog
from hickorygate.core import errors
from hickorygate.core import position
from hickorygate.core import request_context
from hickorygate.upstreams import connection_pool
from hickorygate.upstreams import group_monitor
from hickorygate.upstreams import group_state
from hickorygate.upstreams import member

if TYPE_CHECKING:
    from hickorygate.callers import caller_session

__all__ = [
    "FloorResult",
    "StatementTarget",
    "StatementTargetResult",
    "find_primary_target",
    "find_read_target",
    "find_writable_target",
    "freshness_floor",
    "needs_confirmed_primary",
]


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


async def find_writable_target(
    group: group_monitor.GroupMonitor, terms: request_context.RequestContext
) -> StatementTargetResult:
    """Finds a primary that acknowledges commits, for a write."""
    leader = await group.wait_for_writable(terms)
    return _primary_target(group, leader, None)


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
            unit_cost=pool.capacity and pool.capacity.unit_cost(now),
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
