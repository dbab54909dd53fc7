"""Which connection holds which slot of a database: decisions without I/O.

The database arbitrates: a slot is an advisory lock, held by the connection
that runs statements on it, so it is free as soon as, and only when, that
connection has ended or has given it back. This module decides for one proxy
when to open a connection, which slot to try or to queue for, when to let the
others have a turn, and when to give back or close.

A channel is one place for a connection. There are as many as this proxy's
share of the limit, so that the shares of all proxies fit in it, and as many
again that only replace connections which seem to have gone silent. While
others wait, one channel stays out of the queue of ordinary work, so that
pressing work finds a connection at once.
"""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses
import datetime
import enum
import functools
import random

from hickorygate.core import pool_errors
from hickorygate.upstreams import slot_events as events

__all__ = ["Channel", "Phase", "Share", "SlotKeeper", "SlotSettings"]


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """What a proxy may use of a database's connections.

    Attributes:
      limit: connections for callers' statements over all proxies.
      proxies: the most proxies that share them.
    """

    limit: int
    proxies: int

    @property
    def own(self) -> int:
        """Connections that this proxy may keep."""
        return max(1, self.limit // self.proxies)


@dataclasses.dataclass(frozen=True, slots=True)
class SlotSettings:
    """How slots are held.

    Attributes:
      idle: how long an unused slot is kept where nobody else was waiting.
      check: how long a slot is held before asking whether others wait.
      turn: how long it is held, at the end of a request, if others do.
      reopen: time until a connection that failed to open is tried again.
    """

    idle: datetime.timedelta = datetime.timedelta(milliseconds=50)
    check: datetime.timedelta = datetime.timedelta(milliseconds=20)
    turn: datetime.timedelta = datetime.timedelta(milliseconds=10)
    reopen: datetime.timedelta = datetime.timedelta(milliseconds=100)


class Phase(enum.Enum):
    """What a channel does."""

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
_LIMIT_TRIES = 3
"""Refusals by a full database until those that wait are refused too."""


@dataclasses.dataclass(slots=True)
class Channel:
    """One place for a connection.

    Attributes:
      number: its place.
      phase: what it does.
      slot: held, or queued for.
      since: when it got the slot.
      retry: when it may be opened again.
      idle_since: when its last request ended.
      contended: another proxy was waiting when it got the slot.
      stalled: its statement has been silent for long.
    """

    number: int
    phase: Phase = Phase.CLOSED
    slot: int | None = None
    since: datetime.datetime | None = None
    retry: datetime.datetime | None = None
    idle_since: datetime.datetime | None = None
    contended: bool = False
    stalled: bool = False

    def enter(self, phase: Phase, slot: int | None = None) -> None:
        """Moves to another phase."""
        self.phase = phase
        self.slot = slot
        self.stalled = False


class SlotKeeper:
    """One proxy's hold on one database's slots."""

    __slots__ = (
        "_channels",
        "_demand",
        "_left",
        "_limited",
        "_own",
        "_random",
        "_settings",
        "_slots",
    )

    def __init__(
        self,
        slots: int,
        share: Share,
        settings: SlotSettings,
        choice: random.Random,
    ) -> None:
        self._slots = slots
        self._own = min(slots, share.own)
        self._settings = settings
        self._random = choice
        self._channels = [Channel(number) for number in range(2 * self._own)]
        self._demand = events.Demand(waiting=0, pressing=False)
        self._left = False
        self._limited = 0

    @property
    def channels(self) -> tuple[Channel, ...]:
        """All channels."""
        return tuple(self._channels)

    @property
    def held(self) -> int:
        """Slots held."""
        return sum(channel.phase in _HOLDING for channel in self._channels)

    @property
    def contended(self) -> bool:
        """Whether a connection queues behind other proxies."""
        return any(c.phase is Phase.QUEUED for c in self._channels)

    def __repr__(self) -> str:
        phases = [channel.phase.value for channel in self._channels]
        return f"SlotKeeper({phases})"

    def handle(
        self, event: events.Event, now: datetime.datetime
    ) -> tuple[events.Effect, ...]:
        """Takes in an event and returns what has to be done."""
        effects = list(_apply(event, self, now))
        if not self._left:
            effects.extend(self._lend())
            effects.extend(self._ask(now))
            effects.extend(self._give_back(now))
            effects.extend(self._wake(now))
        return tuple(effects)

    def _look_into_stalls(
        self, now: datetime.datetime
    ) -> Iterator[events.Effect]:
        """Tries the slots of stalled channels on another connection."""
        for channel in self._channels:
            if channel.phase is Phase.IDLE:
                channel.enter(Phase.ASKING)
                yield events.Try(channel.number, self._stalled)
                return
        for channel in self._channels:
            if channel.phase is Phase.CLOSED and self._may_open(channel, now):
                channel.enter(Phase.OPENING)
                yield events.Open(channel.number)
                return

    def _lend(self) -> Iterator[events.Effect]:
        for channel in self._channels:
            if not self._demand.waiting:
                return
            if channel.phase is Phase.READY:
                channel.phase = Phase.LEASED
                self._take_one()
                yield events.Lend(channel.number)

    def _take_one(self) -> None:
        waiting = self._demand.waiting - 1
        self._demand = dataclasses.replace(self._demand, waiting=waiting)

    def _ask(self, now: datetime.datetime) -> Iterator[events.Effect]:
        """Seeks slots for what waits: one each, or all where others wait."""
        for channel in self._channels:
            if not self._wanted():
                return
            if channel.phase is Phase.IDLE:
                yield from self._seek(channel)
            elif channel.phase is Phase.CLOSED and self._may_open(channel, now):
                channel.enter(Phase.OPENING)
                yield events.Open(channel.number)

    def _wanted(self) -> bool:
        """Tells whether one more channel should seek a slot."""
        if not self._demand.waiting or not self._seekable():
            return False
        active = [c for c in self._channels if not c.stalled]
        pending = sum(c.phase in _PENDING for c in active)
        held = sum(c.phase in _HOLDING for c in active)
        if held + pending >= self._own:
            return False
        if not self.contended:
            return pending < self._demand.waiting
        return self._demand.pressing or pending < max(1, self._own - 1)

    def _may_open(self, channel: Channel, now: datetime.datetime) -> bool:
        if channel.retry is not None and channel.retry > now:
            return False
        return bool(self._stalled) or channel.number < self._own

    def _seek(self, channel: Channel) -> Iterator[events.Effect]:
        """Tries what may be free; queues where others are waiting."""
        if self.contended:
            yield from self._queue(channel)
        else:
            channel.enter(Phase.ASKING)
            yield events.Try(channel.number, self._seekable())

    def _queue(self, channel: Channel) -> Iterator[events.Effect]:
        slots = self._seekable()
        slot = self._random.choice(slots)
        others = tuple(other for other in slots if other != slot)
        channel.enter(Phase.QUEUED, slot)
        pressing = self._demand.pressing
        yield events.Await(channel.number, slot, others, pressing)

    def _seekable(self) -> tuple[int, ...]:
        """Returns the slots that no healthy channel holds or queues for.

        Those of stalled channels come first: one that is free shows that the
        connection there has ended.
        """
        taken = {c.slot for c in self._channels if not c.stalled}
        free = [s for s in range(self._slots) if s not in taken]
        return tuple(sorted(free, key=lambda s: s not in self._stalled))

    @property
    def _stalled(self) -> tuple[int, ...]:
        return tuple(c.slot for c in self._channels if c.stalled)

    def _give_back(self, now: datetime.datetime) -> Iterator[events.Effect]:
        """Gives back unused slots and closes replaced connections' spares."""
        for channel in self._channels:
            spare = channel.number >= self._own and not self._stalled
            if spare and channel.phase is Phase.IDLE:
                yield self._close(channel)
            if channel.phase is not Phase.READY:
                continue
            if channel.contended or self._due(channel) <= now:
                slot = channel.slot
                channel.enter(Phase.RELEASING, slot)
                yield events.Release(channel.number, slot)

    def _due(self, channel: Channel) -> datetime.datetime:
        """Returns when an unused slot is given back."""
        assert channel.idle_since is not None, "a ready channel was used"
        return channel.idle_since + self._settings.idle

    def _wake(self, now: datetime.datetime) -> Iterator[events.Effect]:
        """Asks for a `Tick` when the next decision is due."""
        times = [self._due(c) for c in self._channels if c.phase is Phase.READY]
        if self._demand.waiting:
            times.extend(
                c.retry
                for c in self._channels
                if c.phase is Phase.CLOSED and c.retry and c.retry > now
            )
        if times:
            yield events.Wake(min(times))

    def _close(self, channel: Channel) -> events.Close:
        channel.enter(Phase.CLOSED)
        channel.retry = None
        return events.Close(channel.number)

    def _turn(self, channel: Channel) -> datetime.timedelta:
        if channel.contended:
            return self._settings.turn
        return self._settings.check


@functools.singledispatch
def _apply(
    event: events.Event, keeper: SlotKeeper, now: datetime.datetime
) -> Iterator[events.Effect]:
    raise TypeError(f"no way to take in {event!r}; register one")


@_apply.register
def _(
    event: events.Tick, keeper: SlotKeeper, now: datetime.datetime
) -> Iterator[events.Effect]:
    return iter(())


@_apply.register
def _(
    event: events.Demand, keeper: SlotKeeper, now: datetime.datetime
) -> Iterator[events.Effect]:
    keeper._demand = event
    return iter(())


@_apply.register
def _(
    event: events.Leave, keeper: SlotKeeper, now: datetime.datetime
) -> Iterator[events.Effect]:
    keeper._left = True
    for channel in keeper._channels:
        if channel.phase not in (Phase.CLOSED, Phase.OPENING, Phase.LEASED):
            yield keeper._close(channel)


@_apply.register
def _(
    event: events.Opened, keeper: SlotKeeper, now: datetime.datetime
) -> Iterator[events.Effect]:
    channel = keeper._channels[event.channel]
    if keeper._left:
        yield keeper._close(channel)
    else:
        keeper._limited = 0
        channel.enter(Phase.IDLE)


@_apply.register
def _(
    event: events.OpenFailed, keeper: SlotKeeper, now: datetime.datetime
) -> Iterator[events.Effect]:
    channel = keeper._channels[event.channel]
    channel.enter(Phase.CLOSED)
    channel.retry = now + keeper._settings.reopen
    full = isinstance(event.failure, pool_errors.ConnectionLimit)
    keeper._limited = keeper._limited + 1 if full else 0
    if full and keeper._limited < _LIMIT_TRIES:
        return
    if all(c.phase is Phase.CLOSED for c in keeper._channels):
        keeper._demand = events.Demand(waiting=0, pressing=False)
        yield events.Refuse(event.failure)


@_apply.register
def _(
    event: events.Granted, keeper: SlotKeeper, now: datetime.datetime
) -> Iterator[events.Effect]:
    channel = keeper._channels[event.channel]
    for other in keeper._channels:
        # The database freed the slot, so the connection there has ended.
        held = other.phase in _HOLDING and other.slot == event.slot
        if held and other is not channel:
            yield keeper._close(other)
    channel.contended = channel.phase is Phase.QUEUED
    channel.enter(Phase.READY, event.slot)
    channel.since = channel.idle_since = now


@_apply.register
def _(
    event: events.NotFree, keeper: SlotKeeper, now: datetime.datetime
) -> Iterator[events.Effect]:
    channel = keeper._channels[event.channel]
    channel.enter(Phase.IDLE)
    queued = sum(c.phase is Phase.QUEUED for c in keeper._channels)
    room = keeper._demand.pressing or queued < max(1, keeper._own - 1)
    if keeper._demand.waiting and room and keeper._seekable():
        yield from keeper._queue(channel)


@_apply.register
def _(
    event: events.Returned, keeper: SlotKeeper, now: datetime.datetime
) -> Iterator[events.Effect]:
    channel = keeper._channels[event.channel]
    slot, since = channel.slot, channel.since
    assert slot is not None and since is not None, "it was lent"
    if keeper._left:
        yield keeper._close(channel)
    elif now - since >= keeper._turn(channel):
        # Also where nothing waits here: work that comes at a steady pace
        # would otherwise keep the slot from the other proxies for good.
        channel.enter(Phase.ASKING, slot)
        yield events.Yield(channel.number, slot)
    else:
        channel.enter(Phase.READY, slot)
        channel.idle_since = now


@_apply.register
def _(
    event: events.Released, keeper: SlotKeeper, now: datetime.datetime
) -> Iterator[events.Effect]:
    keeper._channels[event.channel].enter(Phase.IDLE)
    return iter(())


@_apply.register
def _(
    event: events.Lost, keeper: SlotKeeper, now: datetime.datetime
) -> Iterator[events.Effect]:
    channel = keeper._channels[event.channel]
    channel.enter(Phase.CLOSED)
    channel.retry = None
    return iter(())


@_apply.register
def _(
    event: events.Stalled, keeper: SlotKeeper, now: datetime.datetime
) -> Iterator[events.Effect]:
    keeper._channels[event.channel].stalled = True
    yield from keeper._look_into_stalls(now)
