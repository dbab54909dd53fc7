"""Sends the requests for a slot of a database on a connection."""

from __future__ import annotations

import datetime
import functools

from hickorygate.upstreams import connection as connections
from hickorygate.upstreams import slot_events
from hickorygate.upstreams import slot_locks

__all__ = ["SlotRequest", "send"]

SlotRequest = (
    slot_events.TryAcquire | slot_events.QueueForSlot | slot_events.YieldSlot
)
"""An effect that requests a slot, or offers one to other proxies."""

_QUEUE_WAIT = datetime.timedelta(milliseconds=500)
"""Time that one statement queues for a slot. It also bounds the time for which
a queueing connection that stopped responding goes undetected."""


@functools.singledispatch
async def send(
    request: SlotRequest,
    connection: connections.Connection,
    timeout: datetime.timedelta,
) -> slot_locks.SlotResult:
    """Sends a request and returns the slot that the connection holds then.

    Args:
      request: the request.
      connection: connection of the request's channel.
      timeout: time limit for the answer, beyond the time that it queues.
    """
    raise TypeError(f"no handler for {request!r}; register one")


@send.register
async def _(
    request: slot_events.TryAcquire,
    connection: connections.Connection,
    timeout: datetime.timedelta,
) -> slot_locks.SlotResult:
    return await slot_locks.acquire_free_slot(
        connection, request.slots, timeout
    )


@send.register
async def _(
    request: slot_events.QueueForSlot,
    connection: connections.Connection,
    timeout: datetime.timedelta,
) -> slot_locks.SlotResult:
    return await slot_locks.queue_for_slot(
        connection, request, _QUEUE_WAIT, timeout
    )


@send.register
async def _(
    request: slot_events.YieldSlot,
    connection: connections.Connection,
    timeout: datetime.timedelta,
) -> slot_locks.SlotResult:
    return await slot_locks.yield_slot(connection, request.slot, timeout)
