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
import enum
import functools
import random

from hickorygate.core import pool_errors
from hickorygate.upstreams import slot_events

__all__ = [
    "Channel",
    "Phase",
    "SharedConnections",
    "SlotAllocator",
    "SlotSettings",
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


@dataclasses.dataclass(frozen=True, slots=True)
class SlotSettings:
    """Time limits for holding slots.

    Attributes:
      idle: time after which an unused slot is released, if no other
        proxy was waiting when the slot was granted.
      check: hold time of an uncontended slot; when a request
        ends after this time, the slot is offered to waiting proxies.
      contended_hold: hold time of a contended slot; when a request ends
        after this time, the slot is offered to waiting proxies.
      reopen: delay before a connection that failed to open is tried
        again.
    """

    idle: datetime.timedelta = datetime.timedelta(milliseconds=50)
    check: datetime.timedelta = datetime.timedelta(milliseconds=20)
    contended_hold: datetime.timedelta = datetime.timedelta(milliseconds=10)
    reopen: datetime.timedelta = datetime.timedelta(milliseconds=100)


class Phase(enum.Enum):
    """The state of a channel.

    Attributes:
      CLOSED: the channel has no connection.
      OPENING: the connection is being opened.
      IDLE: the connection is open and neither holds a slot nor seeks one.
      ASKING: the connection tries to take a free slot, or offers its slot to
        waiting proxies.
      QUEUED: the connection waits in the database for a slot.
      READY: the connection holds a slot and runs no request.
      LEASED: the connection holds a slot and a request runs on it.
      RELEASING: the connection releases its slot.
    """

    CLOSED = "closed"
    OPENING = "opening"
    IDLE = "idle"
    ASKING = "asking"
    QUEUED = "queued"
    READY = "ready"
    LEASED = "leased"
    RELEASING = "releasing"


_HOLDING = frozenset({Phase.READY, Phase.LEASED})
_PENDING = frozenset(
    {Phase.OPENING, Phase.ASKING, Phase.QUEUED, Phase.RELEASING}
)
_MAX_LIMIT_REFUSALS = 3
"""Number of consecutive `ConnectionLimit` failures from which on the waiting
requests are refused, if all channels are closed. After any other failure to
open a connection, they are refused at the first one."""


@dataclasses.dataclass(slots=True)
class Channel:
    """State of one connection, open or not, and of its slot.

    Attributes:
      number: index of the channel; spare channels have the higher numbers.
      phase: state of the channel.
      slot: slot that the connection holds or queues for.
      granted_at: time at which the slot was granted.
      retry_at: earliest time at which the channel may be opened again.
      idle_since: time at which the last request ended, or at which the slot
        was granted.
      contended: whether the connection had to queue for its slot, so that
        other proxies may be waiting too.
      stalled: whether the running statement has made no progress for at least
        the stall time.
    """

    number: int
    phase: Phase = Phase.CLOSED
    slot: int | None = None
    granted_at: datetime.datetime | None = None
    retry_at: datetime.datetime | None = None
    idle_since: datetime.datetime | None = None
    contended: bool = False
    stalled: bool = False

    def set_phase(self, phase: Phase, slot: int | None = None) -> None:
        """Switches to another phase and clears the stalled flag."""
        self.phase = phase
        self.slot = slot
        self.stalled = False


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
        settings: SlotSettings,
        generator: random.Random,
    ) -> None:
        self._slots = slots
        self._quota = min(slots, share.per_proxy)
        self._settings = settings
        self._random = generator
        self._channels = [Channel(number) for number in range(2 * self._quota)]
        self._demand = slot_events.Demand(waiting=0, urgent=False)
        self._leaving = False
        self._limit_refusals = 0

    @property
    def channels(self) -> tuple[Channel, ...]:
        """All channels."""
        return tuple(self._channels)

    @property
    def held_slots(self) -> int:
        """Number of slots that this proxy holds."""
        return sum(channel.phase in _HOLDING for channel in self._channels)

    @property
    def contended(self) -> bool:
        """Whether a connection of this proxy queues for a slot."""
        return any(c.phase is Phase.QUEUED for c in self._channels)

    def __repr__(self) -> str:
        phases = [channel.phase.value for channel in self._channels]
        return f"SlotAllocator({phases})"

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
            if channel.phase is Phase.IDLE:
                channel.set_phase(Phase.ASKING)
                yield slot_events.TryAcquire(
                    channel.number, self._stalled_slots
                )
                return
        for channel in self._channels:
            if channel.phase is Phase.CLOSED and self._may_open(channel, now):
                channel.set_phase(Phase.OPENING)
                yield slot_events.Open(channel.number)
                return

    def _lease_ready(self) -> Iterator[slot_events.Effect]:
        for channel in self._channels:
            if not self._demand.waiting:
                return
            if channel.phase is Phase.READY:
                channel.phase = Phase.LEASED
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
            if channel.phase is Phase.IDLE:
                yield from self._seek_slot(channel)
            elif channel.phase is Phase.CLOSED and self._may_open(channel, now):
                channel.set_phase(Phase.OPENING)
                yield slot_events.Open(channel.number)

    def _needs_slot(self) -> bool:
        """Returns whether one more channel should seek a slot."""
        if not self._demand.waiting or not self._available_slots():
            return False
        active = [c for c in self._channels if not c.stalled]
        pending = sum(c.phase in _PENDING for c in active)
        held = sum(c.phase in _HOLDING for c in active)
        if held + pending >= self._quota:
            return False
        if not self.contended:
            return pending < self._demand.waiting
        return self._demand.urgent or pending < max(1, self._quota - 1)

    def _may_open(self, channel: Channel, now: datetime.datetime) -> bool:
        if channel.retry_at is not None and channel.retry_at > now:
            return False
        return bool(self._stalled_slots) or channel.number < self._quota

    def _seek_slot(self, channel: Channel) -> Iterator[slot_events.Effect]:
        """Tries the available slots; queues if this proxy already queues."""
        if self.contended:
            yield from self._queue_for_slot(channel)
        else:
            channel.set_phase(Phase.ASKING)
            yield slot_events.TryAcquire(
                channel.number, self._available_slots()
            )

    def _queue_for_slot(self, channel: Channel) -> Iterator[slot_events.Effect]:
        slots = self._available_slots()
        slot = self._random.choice(slots)
        others = tuple(other for other in slots if other != slot)
        channel.set_phase(Phase.QUEUED, slot)
        urgent = self._demand.urgent
        yield slot_events.QueueForSlot(channel.number, slot, others, urgent)

    def _available_slots(self) -> tuple[int, ...]:
        """Returns the slots that no healthy channel holds or queues for.

        The slots of stalled channels come first: if such a slot turns out to
        be free, the stalled connection has ended.
        """
        taken = {c.slot for c in self._channels if not c.stalled}
        free = [s for s in range(self._slots) if s not in taken]
        return tuple(sorted(free, key=lambda s: s not in self._stalled_slots))

    @property
    def _stalled_slots(self) -> tuple[int, ...]:
        return tuple(c.slot for c in self._channels if c.stalled)

    def _release_unused(
        self, now: datetime.datetime
    ) -> Iterator[slot_events.Effect]:
        """Releases unused slots and closes unneeded spare connections."""
        for channel in self._channels:
            spare = channel.number >= self._quota and not self._stalled_slots
            if spare and channel.phase is Phase.IDLE:
                yield self._close(channel)
            if channel.phase is not Phase.READY:
                continue
            if channel.contended or self._release_time(channel) <= now:
                slot = channel.slot
                channel.set_phase(Phase.RELEASING, slot)
                yield slot_events.Release(channel.number, slot)

    def _release_time(self, channel: Channel) -> datetime.datetime:
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
            if c.phase is Phase.READY
        ]
        if self._demand.waiting:
            times.extend(
                c.retry_at
                for c in self._channels
                if c.phase is Phase.CLOSED and c.retry_at and c.retry_at > now
            )
        if times:
            yield slot_events.ScheduleTick(min(times))

    def _close(self, channel: Channel) -> slot_events.Close:
        channel.set_phase(Phase.CLOSED)
        channel.retry_at = None
        return slot_events.Close(channel.number)

    def _hold_time(self, channel: Channel) -> datetime.timedelta:
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
        if channel.phase not in (Phase.CLOSED, Phase.OPENING, Phase.LEASED):
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
        channel.set_phase(Phase.IDLE)


@_apply.register
def _(
    event: slot_events.OpenFailed,
    allocator: SlotAllocator,
    now: datetime.datetime,
) -> Iterator[slot_events.Effect]:
    channel = allocator._channels[event.channel]
    channel.set_phase(Phase.CLOSED)
    channel.retry_at = now + allocator._settings.reopen
    limit_reached = isinstance(event.failure, pool_errors.ConnectionLimit)
    allocator._limit_refusals = (
        allocator._limit_refusals + 1 if limit_reached else 0
    )
    if limit_reached and allocator._limit_refusals < _MAX_LIMIT_REFUSALS:
        return
    if all(c.phase is Phase.CLOSED for c in allocator._channels):
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
        held = other.phase in _HOLDING and other.slot == event.slot
        if held and other is not channel:
            yield allocator._close(other)
    channel.contended = channel.phase is Phase.QUEUED
    channel.set_phase(Phase.READY, event.slot)
    channel.granted_at = channel.idle_since = now


@_apply.register
def _(
    event: slot_events.SlotUnavailable,
    allocator: SlotAllocator,
    now: datetime.datetime,
) -> Iterator[slot_events.Effect]:
    channel = allocator._channels[event.channel]
    channel.set_phase(Phase.IDLE)
    queued = sum(c.phase is Phase.QUEUED for c in allocator._channels)
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
        channel.set_phase(Phase.ASKING, slot)
        yield slot_events.YieldSlot(channel.number, slot)
    else:
        channel.set_phase(Phase.READY, slot)
        channel.idle_since = now


@_apply.register
def _(
    event: slot_events.SlotReleased,
    allocator: SlotAllocator,
    now: datetime.datetime,
) -> Iterator[slot_events.Effect]:
    allocator._channels[event.channel].set_phase(Phase.IDLE)
    return iter(())


@_apply.register
def _(
    event: slot_events.ConnectionLost,
    allocator: SlotAllocator,
    now: datetime.datetime,
) -> Iterator[slot_events.Effect]:
    channel = allocator._channels[event.channel]
    channel.set_phase(Phase.CLOSED)
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
