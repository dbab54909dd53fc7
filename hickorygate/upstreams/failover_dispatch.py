"""Passes each event of a failover to the state machine of the group."""

from __future__ import annotations

import datetime
import functools

from hickorygate.core import position as positions
from hickorygate.upstreams import failover
from hickorygate.upstreams import failover_events

__all__ = ["handle"]


@functools.singledispatch
def handle(
    event: failover_events.Event,
    machine: failover.Failover,
    now: datetime.datetime,
) -> list[failover_events.Effect]:
    """Handles an event and returns the effects to apply."""
    raise TypeError(f"no handler for {event!r}; register one")


@handle.register
def _(
    event: failover_events.StatusSeen,
    machine: failover.Failover,
    now: datetime.datetime,
) -> list[failover_events.Effect]:
    machine.record_status(event.status, now)
    return machine.tick(now)


@handle.register
def _(
    event: failover_events.ProbeFailed,
    machine: failover.Failover,
    now: datetime.datetime,
) -> list[failover_events.Effect]:
    machine.record_probe_failure(event.database)
    return machine.tick(now)


@handle.register
def _(
    event: failover_events.Tick,
    machine: failover.Failover,
    now: datetime.datetime,
) -> list[failover_events.Effect]:
    return machine.tick(now)


@handle.register
def _(
    event: failover_events.LeavingChanged,
    machine: failover.Failover,
    now: datetime.datetime,
) -> list[failover_events.Effect]:
    machine.set_leaving(event.databases)
    return machine.tick(now)


@handle.register
def _(
    event: failover_events.RankChanged,
    machine: failover.Failover,
    now: datetime.datetime,
) -> list[failover_events.Effect]:
    machine.set_rank(event.rank)
    return []


@handle.register
def _(
    event: failover_events.CallSucceeded,
    machine: failover.Failover,
    now: datetime.datetime,
) -> list[failover_events.Effect]:
    own = machine.complete_call(event.call)
    machine.record_status(event.status, now)
    return _handle_answer(event.call, machine, event.status, now) if own else []


@handle.register
def _(
    event: failover_events.CallRefused,
    machine: failover.Failover,
    now: datetime.datetime,
) -> list[failover_events.Effect]:
    if machine.complete_call(event.call):
        return machine.handle_refusal(event.call.database, now)
    return []


@handle.register
def _(
    event: failover_events.CallLost,
    machine: failover.Failover,
    now: datetime.datetime,
) -> list[failover_events.Effect]:
    machine.complete_call(event.call)
    return []


@functools.singledispatch
def _handle_answer(
    call: failover_events.Call,
    machine: failover.Failover,
    status: positions.DatabaseStatus,
    now: datetime.datetime,
) -> list[failover_events.Effect]:
    raise TypeError(f"no handler for an answer to {call!r}; register one")


@_handle_answer.register
def _(
    call: failover_events.Fence,
    machine: failover.Failover,
    status: positions.DatabaseStatus,
    now: datetime.datetime,
) -> list[failover_events.Effect]:
    return machine.handle_fenced(status, now)


@_handle_answer.register
def _(
    call: failover_events.Promote,
    machine: failover.Failover,
    status: positions.DatabaseStatus,
    now: datetime.datetime,
) -> list[failover_events.Effect]:
    return machine.handle_promoted(status, now)


@_handle_answer.register
def _(
    call: failover_events.Follow,
    machine: failover.Failover,
    status: positions.DatabaseStatus,
    now: datetime.datetime,
) -> list[failover_events.Effect]:
    return machine.handle_following(call.database, now)
