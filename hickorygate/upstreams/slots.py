"""Allocates the slots of a database to connections; performs no I/O.

A slot is the right to run requests on a database, one at a time. All proxies
share the slots, and the database arbitrates between them: a slot is an
advisory lock of the connection that runs statements under it. The lock is
free as soon as, and only when, that connection ends or releases it. For one
proxy, this module decides when to open a connection, which slot to try or to
queue for, when to yield a slot to other proxies, and when to release a slot
or close a connection.

A channel is a place for one connection. The number of a proxy's regular
channels is its share of the connection limit, but at most the number of slots,
so that the connections of all proxies fit within the limit. Each proxy has the
same number of spare channels, which are used only while a statement counts as
stalled, in place of its connection. While a connection of this proxy queues
behind other proxies, ordinary requests leave one of several regular channels
unused, so that an urgent request finds a connection at once.
"""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses
import datetime
import functools
import random

from hickorygate.core import pool_errors
from hickorygate.upstreams import slot_channel as channels
from hickorygate.upstreams import slot_events
from hickorygate.upstreams import slot_settings

__all__ = [
    "SharedConnections",
    "SlotAllocator",
]


@dataclasses.dataclass(frozen=True, slots=True)
class SharedConnections:
    """The connection limit of a database, and how many proxies share it.

    Attributes:
      limit: maximum number of connections for callers' statements, summed
        over all proxies.
      proxies: maximum number of proxies that share these connections.
    """

    limit: int
    proxies: int

    @property
    def per_proxy(self) -> int:
        """Number of connections that this proxy may keep."""
        return max(1, self.limit // self.proxies)


_MAX_LIMIT_REFUSALS = 3
"""Number of consecutive `ConnectionLimit` failures from which on the waiting
requests are refused, if all channels are closed. After any other failure to
open a connection, they are refused at the first one."""


class SlotAllocator:
    """Allocates the slots of one database for one proxy."""

    __slots__ = (
        "_channels",
        "_demand",
        "_leaving",
        "_limit_refusals",
        "_quota",
        "_random",
        "_settings",
        "_slots",
    )

    def __init__(
        self,
        slots: int,
        share: SharedConnections,
        settings: slot_settings.SlotSettings,
        generator: random.Random,
    ) -> None:
        self._slots = slots
        self._quota = min(slots, share.per_proxy)
        self._settings = settings
        self._random = generator
        self._channels = channels.ChannelTable(2 * self._quota)
        self._demand = slot_events.Demand(waiting=0, urgent=False)
        self._leaving = False
        self._limit_refusals = 0

    @property
    def channels(self) -> tuple[channels.Channel, ...]:
        """All channels."""
        return tuple(self._channels)

    @property
    def held_slots(self) -> int:
        """Number of slots that this proxy holds."""
        return self._channels.held_slots

    @property
    def contended(self) -> bool:
        """Whether a connection of this proxy queues for a slot."""
        return self._channels.queued > 0

    def __repr__(self) -> str:
        return f"SlotAllocator({self._channels!r})"

    def handle(
        self, event: slot_events.Event, now: datetime.datetime
    ) -> tuple[slot_events.Effect, ...]:
        """Updates the state for an event.

        Args:
          event: what happened to a channel, the demand or the database.
          now: current time.

        Returns:
          The effects that the caller has to perform, in order.
        """
        effects = list(_apply(event, self, now))
        if not self._leaving:
            effects.extend(self._lease_ready())
            effects.extend(self._seek_slots(now))
            effects.extend(self._release_unused(now))
            effects.extend(self._schedule_tick(now))
        return tuple(effects)

    def _probe_stalled_slots(
        self, now: datetime.datetime
    ) -> Iterator[slot_events.Effect]:
        """Tries the slots of stalled channels on another connection.

        An idle connection is used if there is one; otherwise a connection is
        opened.
        """
        for channel in self._channels:
            if channel.phase is channels.Phase.IDLE:
                channel.set_phase(channels.Phase.ASKING)
                yield slot_events.TryAcquire(
                    channel.number, self._channels.stalled_slots
                )
                return
        for channel in self._channels:
            if self._may_open(channel, now):
                channel.set_phase(channels.Phase.OPENING)
                yield slot_events.Open(channel.number)
                return

    def _lease_ready(self) -> Iterator[slot_events.Effect]:
        for channel in self._channels:
            if not self._demand.waiting:
                return
            if channel.phase is channels.Phase.READY:
                channel.phase = channels.Phase.LEASED
                self._decrement_waiting()
                yield slot_events.LeaseConnection(channel.number)

    def _decrement_waiting(self) -> None:
        waiting = self._demand.waiting - 1
        self._demand = dataclasses.replace(self._demand, waiting=waiting)

    def _seek_slots(
        self, now: datetime.datetime
    ) -> Iterator[slot_events.Effect]:
        """Seeks slots for the waiting requests.

        One channel seeks a slot for each waiting request. While a connection
        queues behind other proxies, the other channels queue as well, except
        the one that is kept for urgent requests.
        """
        for channel in self._channels:
            if not self._needs_slot():
                return
            if channel.phase is channels.Phase.IDLE:
                yield from self._seek_slot(channel)
            elif self._may_open(channel, now):
                channel.set_phase(channels.Phase.OPENING)
                yield slot_events.Open(channel.number)

    def _needs_slot(self) -> bool:
        """Returns whether one more channel should seek a slot."""
        if not self._demand.waiting or not self._available_slots():
            return False
        active = [c for c in self._channels if not c.stalled]
        pending = sum(c.pending for c in active)
        held = sum(c.holds_slot for c in active)
        if held + pending >= self._quota:
            return False
        if not self.contended:
            return pending < self._demand.waiting
        return self._demand.urgent or pending < max(1, self._quota - 1)

    def _may_open(
        self, channel: channels.Channel, now: datetime.datetime
    ) -> bool:
        if channel.phase is not channels.Phase.CLOSED:
            return False
        if channel.retry_at is not None and channel.retry_at > now:
            return False
        return (
            bool(self._channels.stalled_slots) or channel.number < self._quota
        )

    def _seek_slot(
        self, channel: channels.Channel
    ) -> Iterator[slot_events.Effect]:
        """Tries the available slots; queues if this proxy already queues."""
        if self.contended:
            yield from self._queue_for_slot(channel)
        else:
            channel.set_phase(channels.Phase.ASKING)
            yield slot_events.TryAcquire(
                channel.number, self._available_slots()
            )

    def _queue_for_slot(
        self, channel: channels.Channel
    ) -> Iterator[slot_events.Effect]:
        slots = self._available_slots()
        slot = self._random.choice(slots)
        others = tuple(other for other in slots if other != slot)
        channel.set_phase(channels.Phase.QUEUED, slot)
        urgent = self._demand.urgent
        yield slot_events.QueueForSlot(channel.number, slot, others, urgent)

    def _available_slots(self) -> tuple[int, ...]:
        return self._channels.available_slots(self._slots)

    def _release_unused(
        self, now: datetime.datetime
    ) -> Iterator[slot_events.Effect]:
        """Releases unused slots and closes unneeded spare connections."""
        for channel in self._channels:
            spare = (
                channel.number >= self._quota
                and not self._channels.stalled_slots
            )
            if spare and channel.phase is channels.Phase.IDLE:
                yield self._close(channel)
            if channel.phase is not channels.Phase.READY:
                continue
            if channel.contended or self._release_time(channel) <= now:
                slot = channel.slot
                channel.set_phase(channels.Phase.RELEASING, slot)
                yield slot_events.Release(channel.number, slot)

    def _release_time(self, channel: channels.Channel) -> datetime.datetime:
        """Returns the time at which an unused slot is released."""
        assert channel.idle_since is not None, "READY channel has no idle time"
        return channel.idle_since + self._settings.idle

    def _schedule_tick(
        self, now: datetime.datetime
    ) -> Iterator[slot_events.Effect]:
        """Requests a `Tick` for the time of the next decision."""
        times = [
            self._release_time(c)
            for c in self._channels
            if c.phase is channels.Phase.READY
        ]
        if self._demand.waiting:
            times.extend(
                c.retry_at
                for c in self._channels
                if c.phase is channels.Phase.CLOSED
                and c.retry_at
                and c.retry_at > now
            )
        if times:
            yield slot_events.ScheduleTick(min(times))

    def _close(self, channel: channels.Channel) -> slot_events.Close:
        channel.set_phase(channels.Phase.CLOSED)
        channel.retry_at = None
        return slot_events.Close(channel.number)

    def _hold_time(self, channel: channels.Channel) -> datetime.timedelta:
        if channel.contended:
            return self._settings.contended_hold
        return self._settings.check


@functools.singledispatch
def _apply(
    event: slot_events.Event, allocator: SlotAllocator, now: datetime.datetime
) -> Iterator[slot_events.Effect]:
    raise TypeError(f"no handler for event {event!r}; register one")


@_apply.register
def _(
    event: slot_events.Tick, allocator: SlotAllocator, now: datetime.datetime
) -> Iterator[slot_events.Effect]:
    return iter(())


@_apply.register
def _(
    event: slot_events.Demand, allocator: SlotAllocator, now: datetime.datetime
) -> Iterator[slot_events.Effect]:
    allocator._demand = event
    return iter(())


@_apply.register
def _(
    event: slot_events.DatabaseLeaving,
    allocator: SlotAllocator,
    now: datetime.datetime,
) -> Iterator[slot_events.Effect]:
    allocator._leaving = True
    for channel in allocator._channels:
        if channel.phase not in (
            channels.Phase.CLOSED,
            channels.Phase.OPENING,
            channels.Phase.LEASED,
        ):
            yield allocator._close(channel)


@_apply.register
def _(
    event: slot_events.Opened, allocator: SlotAllocator, now: datetime.datetime
) -> Iterator[slot_events.Effect]:
    channel = allocator._channels[event.channel]
    if allocator._leaving:
        yield allocator._close(channel)
    else:
        allocator._limit_refusals = 0
        channel.set_phase(channels.Phase.IDLE)


@_apply.register
def _(
    event: slot_events.OpenFailed,
    allocator: SlotAllocator,
    now: datetime.datetime,
) -> Iterator[slot_events.Effect]:
    channel = allocator._channels[event.channel]
    channel.set_phase(channels.Phase.CLOSED)
    channel.retry_at = now + allocator._settings.reopen
    limit_reached = isinstance(event.failure, pool_errors.ConnectionLimit)
    allocator._limit_refusals = (
        allocator._limit_refusals + 1 if limit_reached else 0
    )
    if limit_reached and allocator._limit_refusals < _MAX_LIMIT_REFUSALS:
        return
    if allocator._channels.all_closed:
        allocator._demand = slot_events.Demand(waiting=0, urgent=False)
        yield slot_events.RefuseWaiting(event.failure)


@_apply.register
def _(
    event: slot_events.SlotGranted,
    allocator: SlotAllocator,
    now: datetime.datetime,
) -> Iterator[slot_events.Effect]:
    channel = allocator._channels[event.channel]
    for other in allocator._channels:
        # The database granted the slot again, so the connection that held it
        # has ended.
        held = other.holds_slot and other.slot == event.slot
        if held and other is not channel:
            yield allocator._close(other)
    channel.contended = channel.phase is channels.Phase.QUEUED
    channel.set_phase(channels.Phase.READY, event.slot)
    channel.granted_at = channel.idle_since = now


@_apply.register
def _(
    event: slot_events.SlotUnavailable,
    allocator: SlotAllocator,
    now: datetime.datetime,
) -> Iterator[slot_events.Effect]:
    channel = allocator._channels[event.channel]
    channel.set_phase(channels.Phase.IDLE)
    queued = allocator._channels.queued
    may_queue = allocator._demand.urgent or queued < max(
        1, allocator._quota - 1
    )
    if allocator._demand.waiting and may_queue and allocator._available_slots():
        yield from allocator._queue_for_slot(channel)


@_apply.register
def _(
    event: slot_events.ConnectionReturned,
    allocator: SlotAllocator,
    now: datetime.datetime,
) -> Iterator[slot_events.Effect]:
    channel = allocator._channels[event.channel]
    slot, since = channel.slot, channel.granted_at
    assert slot is not None and since is not None, (
        "returned connection has no slot"
    )
    if allocator._leaving:
        yield allocator._close(channel)
    elif now - since >= allocator._hold_time(channel):
        # The slot is offered even if no request waits in this proxy:
        # requests that arrive at a steady pace would otherwise keep the slot
        # from the other proxies indefinitely.
        channel.set_phase(channels.Phase.ASKING, slot)
        yield slot_events.YieldSlot(channel.number, slot)
    else:
        channel.set_phase(channels.Phase.READY, slot)
        channel.idle_since = now


@_apply.register
def _(
    event: slot_events.SlotReleased,
    allocator: SlotAllocator,
    now: datetime.datetime,
) -> Iterator[slot_events.Effect]:
    allocator._channels[event.channel].set_phase(channels.Phase.IDLE)
    return iter(())


@_apply.register
def _(
    event: slot_events.ConnectionLost,
    allocator: SlotAllocator,
    now: datetime.datetime,
) -> Iterator[slot_events.Effect]:
    channel = allocator._channels[event.channel]
    channel.set_phase(channels.Phase.CLOSED)
    channel.retry_at = None
    return iter(())


@_apply.register
def _(
    event: slot_events.StatementStalled,
    allocator: SlotAllocator,
    now: datetime.datetime,
) -> Iterator[slot_events.Effect]:
    allocator._channels[event.channel].stalled = True
    yield from allocator._probe_stalled_slots(now)
