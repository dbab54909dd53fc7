"""Who runs next on one database, and who is refused: decisions without I/O.

A queue has a lane for each rank. The most urgent lane goes first, except
that a lane whose floor is owed goes before it: a waiting lane earns its floor
of all service time that is granted, and is owed once it has earned the price
of one request (deficit accounting, as in Shreedhar and Varghese, "Efficient
Fair Queuing using Deficit Round Robin", 1995). What a lane doesn't wait for
it doesn't earn, so unused share is lent. Inside a lane the earliest deadline
goes first.

A request is admitted only if the work ahead of it in its lane, at the speed
at which that lane was seen to drain, leaves time to answer it.
"""

from __future__ import annotations

import bisect
import dataclasses
import datetime
import functools
import math

import expression

from hickorygate.core import errors
from hickorygate.core import request as requests
from hickorygate.core import sheet as sheets
from hickorygate.core import types

__all__ = [
    "Fifo",
    "Floors",
    "Policy",
    "QueueSettings",
    "RankQueue",
    "StrictPriority",
    "Waiter",
]

_MEMORY_SECONDS = 1.0
"""Time constant with which a measured speed is forgotten."""

_PRIOR_SECONDS = 0.1
"""Weight of the assumed speed against the measured one."""

_SERVICE_WEIGHT = 0.1
"""Weight of the newest service time in the moving average."""

_LEAST_SHARE = 0.01
"""Share assumed for a lane without a floor behind a more urgent one."""

_LEAST_RETRY = datetime.timedelta(milliseconds=10)


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Base of the ways to order a queue."""


@dataclasses.dataclass(frozen=True, slots=True)
class Fifo(Policy):
    """By arrival; nothing is refused before its deadline."""


@dataclasses.dataclass(frozen=True, slots=True)
class StrictPriority(Policy):
    """By rank, then deadline; floors are ignored."""


@dataclasses.dataclass(frozen=True, slots=True)
class Floors(Policy):
    """By rank, then deadline; each rank keeps its floor."""


@dataclasses.dataclass(frozen=True, slots=True)
class QueueSettings:
    """How a queue decides.

    Attributes:
      policy: the order.
      slots: requests that run at once at the most.
      capacity: those that this proxy can expect; a fraction of the slots
        where proxies share a database.
      depth: the most requests that wait in one lane.
      service: service time assumed until one was measured.
      headroom: part of the time left that may be planned for, 0 to 1.
    """

    policy: Policy = Floors()
    slots: int = 1
    capacity: float = 1.0
    depth: int = 1_024
    service: datetime.timedelta = datetime.timedelta(milliseconds=10)
    headroom: float = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class Waiter:
    """An admitted request.

    Attributes:
      number: unique in its queue.
      request: what asked to run.
      admitted: when it began to wait.
    """

    number: int
    request: requests.Request
    admitted: datetime.datetime

    @property
    def order(self) -> tuple[datetime.datetime, int]:
        """Sorts by deadline, then arrival."""
        return (self.request.deadline, self.number)


class _Lane:
    """The waiting requests of one rank; times in seconds."""

    __slots__ = (
        "credit",
        "drained",
        "rank",
        "running",
        "service",
        "waited",
        "waiters",
    )

    def __init__(self, rank: sheets.Rank, service: float) -> None:
        self.rank = rank
        self.running = 0
        self.service = service
        self.waiters: list[Waiter] = []
        self.credit = 0.0
        self.drained = 0.0
        self.waited = 0.0

    @property
    def owed(self) -> bool:
        """Whether it has earned the price of its next request."""
        return bool(self.waiters) and self.credit >= self.service

    def __repr__(self) -> str:
        return f"_Lane({self.rank.name!r}, waiting={len(self.waiters)})"

    def advance(self, elapsed: float) -> None:
        """Lets time pass."""
        kept = math.exp(-elapsed / _MEMORY_SECONDS)
        self.drained *= kept
        self.waited *= kept
        if self.waiters:
            self.waited += elapsed

    def speed(self, prior: float, limit: float) -> float:
        """Returns service seconds granted a second while it waits."""
        drained = self.drained + _PRIOR_SECONDS * prior
        return min(drained / (self.waited + _PRIOR_SECONDS), limit)


class RankQueue:
    """Requests that wait for one database."""

    __slots__ = ("_lanes", "_now", "_numbers", "_settings")

    def __init__(self, settings: QueueSettings) -> None:
        self._settings = settings
        self._lanes: dict[types.RankName, _Lane] = {}
        self._numbers = 0
        self._now: datetime.datetime | None = None

    @property
    def waiting(self) -> dict[types.RankName, int]:
        """How many wait in each lane."""
        return {n: len(lane.waiters) for n, lane in self._lanes.items()}

    @property
    def size(self) -> int:
        """How many wait."""
        return sum(len(lane.waiters) for lane in self._lanes.values())

    @property
    def running(self) -> int:
        """How many were taken and haven't finished."""
        return sum(lane.running for lane in self._lanes.values())

    @property
    def urgency(self) -> int | None:
        """The order of the most urgent rank that waits."""
        orders = [
            lane.rank.order for lane in self._lanes.values() if lane.waiters
        ]
        return min(orders, default=None)

    def __repr__(self) -> str:
        return f"RankQueue(waiting={self.waiting}, running={self.running})"

    def offer(
        self, request: requests.Request, now: datetime.datetime, free: bool
    ) -> expression.Result[Waiter, errors.Failure]:
        """Admits a request or refuses it at once.

        Args:
          request: what asks to run.
          now: the time.
          free: whether one more could run now if nothing waited.

        Returns:
          The place in the queue, or `Overloaded` or `DeadlinePassed`.
        """
        self._advance(now)
        lane = self._lane(request.rank)
        if request.deadline <= now:
            waited = now - request.arrived
            failure = errors.DeadlinePassed(request.rank.name, waited)
            return expression.Error(failure)
        waiter = Waiter(self._numbers, request, now)
        late = datetime.timedelta()
        if not (free and self.size == 0):
            late = _lateness(self._settings.policy, self, lane, waiter)
        full = len(lane.waiters) >= self._settings.depth
        if full or late > datetime.timedelta():
            failure = errors.Overloaded(
                request.rank.name, max(late, _LEAST_RETRY)
            )
            return expression.Error(failure)
        self._numbers += 1
        bisect.insort(lane.waiters, waiter, key=lambda w: w.order)
        return expression.Ok(waiter)

    def take(self, now: datetime.datetime) -> Waiter | None:
        """Removes and returns who runs next; `finish` must follow."""
        self._advance(now)
        lane = _next_lane(self._settings.policy, self)
        if lane is None:
            return None
        waiter = lane.waiters.pop(0)
        self._charge(lane)
        if now > waiter.admitted:
            lane.drained += lane.service
        lane.running += 1
        return waiter

    def finish(
        self,
        waiter: Waiter,
        service: datetime.timedelta | None,
        now: datetime.datetime,
    ) -> None:
        """Takes in that a request has ended.

        Args:
          waiter: as `take` returned it.
          service: how long it ran; None if it never ran.
          now: the time.
        """
        self._advance(now)
        lane = self._lane(waiter.request.rank)
        lane.running -= 1
        if service is None:
            return
        difference = service.total_seconds() - lane.service
        lane.service += _SERVICE_WEIGHT * difference

    def withdraw(self, waiter: Waiter) -> bool:
        """Removes one that still waits; tells whether it did."""
        lane = self._lane(waiter.request.rank)
        if waiter not in lane.waiters:
            return False
        lane.waiters.remove(waiter)
        return True

    def late(self, now: datetime.datetime) -> tuple[Waiter, ...]:
        """Removes and returns those that can't be answered in time."""
        removed: list[Waiter] = []
        for lane in self._lanes.values():
            while lane.waiters and self._is_late(lane, now):
                removed.append(lane.waiters.pop(0))
        return tuple(removed)

    def clear(self) -> tuple[Waiter, ...]:
        """Removes and returns all that wait."""
        removed: list[Waiter] = []
        for lane in self._lanes.values():
            removed.extend(lane.waiters)
            lane.waiters.clear()
        return tuple(removed)

    def _is_late(self, lane: _Lane, now: datetime.datetime) -> bool:
        """Tells whether the first of a lane is too late to start.

        One that waits alone may try until its deadline: a service time that
        has grown beyond the target must be measured anew.
        """
        deadline = lane.waiters[0].request.deadline
        if isinstance(self._settings.policy, Fifo) or len(lane.waiters) == 1:
            return now >= deadline
        return now + datetime.timedelta(seconds=lane.service) > deadline

    def _lane(self, rank: sheets.Rank) -> _Lane:
        lane = self._lanes.get(rank.name)
        if lane is None:
            service = self._settings.service.total_seconds()
            lane = self._lanes[rank.name] = _Lane(rank, service)
            by_order = sorted(
                self._lanes.items(), key=lambda item: item[1].rank.order
            )
            self._lanes = dict(by_order)
        elif lane.rank != rank:
            lane.rank = rank  # A newer sheet changed its target or floor.
        return lane

    def _advance(self, now: datetime.datetime) -> None:
        if self._now is None:
            self._now = now
        elapsed = (now - self._now).total_seconds()
        if elapsed <= 0:
            return
        self._now = now
        for lane in self._lanes.values():
            lane.advance(elapsed)

    def _charge(self, taken: _Lane) -> None:
        """Moves credit for one request of a lane."""
        price = taken.service
        for lane in self._lanes.values():
            if lane is taken or lane.waiters:
                lane.credit += lane.rank.floor * price
            else:
                lane.credit = 0.0
        taken.credit = max(0.0, taken.credit - price)

    def _prior(self, lane: _Lane) -> float:
        """Returns the speed to assume for a lane that hasn't waited."""
        waiting = [
            other
            for other in self._lanes.values()
            if other.waiters and other is not lane
        ]
        if any(other.rank.order < lane.rank.order for other in waiting):
            share = max(lane.rank.floor, _LEAST_SHARE)
        else:
            share = 1.0 - sum(other.rank.floor for other in waiting)
        return self._settings.capacity * max(share, _LEAST_SHARE)

    def _lateness(self, lane: _Lane, waiter: Waiter) -> datetime.timedelta:
        """Returns how far past its deadline a newcomer would be planned.

        A newcomer in front of others must not make them late either.
        """
        assert self._now is not None, "time passes before anything else"
        speed = lane.speed(self._prior(lane), self._settings.slots)
        blocking = max(
            (other.service for other in self._lanes.values() if other.running),
            default=0.0,
        )
        place = bisect.bisect(lane.waiters, waiter.order, key=lambda w: w.order)
        worst = -math.inf
        behind = [waiter, *lane.waiters[place:]]
        for ahead, other in enumerate(behind, start=place):
            left = other.request.time_left(self._now).total_seconds()
            planned = blocking + ahead * lane.service / speed + lane.service
            worst = max(worst, planned - left * self._settings.headroom)
        return datetime.timedelta(seconds=max(worst, 0.0))


@functools.singledispatch
def _next_lane(policy: Policy, queue: RankQueue) -> _Lane | None:
    """Returns the lane whose first request runs next."""
    raise TypeError(f"no order for {policy!r}; register one")


@_next_lane.register
def _(policy: Fifo, queue: RankQueue) -> _Lane | None:
    lanes = [lane for lane in queue._lanes.values() if lane.waiters]
    return min(lanes, key=lambda lane: lane.waiters[0].number, default=None)


@_next_lane.register
def _(policy: StrictPriority, queue: RankQueue) -> _Lane | None:
    return next((la for la in queue._lanes.values() if la.waiters), None)


@_next_lane.register
def _(policy: Floors, queue: RankQueue) -> _Lane | None:
    owed = next((lane for lane in queue._lanes.values() if lane.owed), None)
    if owed is not None:
        return owed
    return next((la for la in queue._lanes.values() if la.waiters), None)


@functools.singledispatch
def _lateness(
    policy: Policy, queue: RankQueue, lane: _Lane, waiter: Waiter
) -> datetime.timedelta:
    """Returns how late a newcomer is planned to be; zero admits it."""
    return queue._lateness(lane, waiter)


@_lateness.register
def _(
    policy: Fifo, queue: RankQueue, lane: _Lane, waiter: Waiter
) -> datetime.timedelta:
    return datetime.timedelta()
