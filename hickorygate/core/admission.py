"""Who runs next on one database, and who is refused: decisions without I/O.

A queue has a lane for each rank. The most urgent lane goes first, except
that a lane whose floor is owed goes before it: a waiting lane earns its floor
of all service time that is granted, and is owed once it has earned the price
of one request (deficit accounting, as in Shreedhar and Varghese, "Efficient
Fair Queuing using Deficit Round Robin", 1995). What a lane doesn't wait for
it doesn't earn, so unused share is lent. Inside a lane the earliest deadline
goes first.

A request is admitted only if the work ahead of it in its lane leaves time to
answer it, with a margin. A speed that a lane was seen to drain at for some time
is expected to last for as long again; beyond that the lane is only sure of its
floor, or of what the demand of more urgent lanes leaves if that is more.
The margin follows a high quantile of how much longer requests took than
planned, by steps up and down whose sizes are in the proportion of misses to
hits that is asked for (stochastic approximation, Robbins and Monro, 1951).
"""

from __future__ import annotations

import bisect
import dataclasses
import datetime
import functools
import math

import expression

from hickorygate.core import errors
from hickorygate.core import lane as lanes
from hickorygate.core import rank as ranks
from hickorygate.core import request as requests
from hickorygate.core import types

__all__ = [
    "Fifo",
    "Floors",
    "Policy",
    "QueueSettings",
    "RankQueue",
    "StrictPriority",
]

_LEAST_SHARE = 0.01
"""Share assumed for a lane without a floor behind a more urgent one."""

_PASSED_OVER = datetime.timedelta(milliseconds=500)
"""Waiting work of which nothing ran for so long is pressing."""

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
      misses: the part of what is admitted that may be late, 0 to 1.
    """

    policy: Policy = Floors()
    slots: int = 1
    capacity: float = 1.0
    depth: int = 1_024
    service: datetime.timedelta = datetime.timedelta(milliseconds=10)
    misses: float = 0.002


class RankQueue:
    """Requests that wait for one database."""

    __slots__ = ("_lanes", "_now", "_numbers", "_settings", "_taken")

    def __init__(self, settings: QueueSettings) -> None:
        self._settings = settings
        self._lanes: dict[types.RankName, lanes.Lane] = {}
        self._numbers = 0
        self._now: datetime.datetime | None = None
        self._taken: datetime.datetime | None = None

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

    def __repr__(self) -> str:
        return f"RankQueue(waiting={self.waiting}, running={self.running})"

    def pressing(self, now: datetime.datetime) -> bool:
        """Tells whether work waits that may go before other proxies' work.

        It is of the most urgent rank, or nothing was taken for long.
        """
        for lane in self._lanes.values():
            if not lane.waiters:
                continue
            first = lane.waiters[0].admitted
            since = max(first, self._taken or first)
            if lane.rank.order == 0 or now - since >= _PASSED_OVER:
                return True
        return False

    def offer(
        self, request: requests.Request, now: datetime.datetime, free: bool
    ) -> expression.Result[lanes.Waiter, errors.Failure]:
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
        lane.asked += lane.service
        planned = self._plan(lane, request)
        waiter = lanes.Waiter(self._numbers, request, now, planned)
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

    def take(self, now: datetime.datetime) -> lanes.Waiter | None:
        """Removes and returns who runs next; `finish` must follow."""
        self._advance(now)
        lane = _next_lane(self._settings.policy, self)
        if lane is None:
            return None
        waiter = lane.waiters.pop(0)
        self._taken = now
        self._charge(lane)
        if now > waiter.admitted:
            lane.drained += lane.service
        lane.running += 1
        return waiter

    def finish(
        self,
        waiter: lanes.Waiter,
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
        lane.serve(service.total_seconds())
        self._learn(lane, waiter, now)

    def withdraw(self, waiter: lanes.Waiter, now: datetime.datetime) -> bool:
        """Removes one that still waits; tells whether it did."""
        lane = self._lane(waiter.request.rank)
        if waiter not in lane.waiters:
            return False
        lane.waiters.remove(waiter)
        if now >= waiter.request.deadline:
            self._learn(lane, waiter, now)
        return True

    def late(self, now: datetime.datetime) -> tuple[lanes.Waiter, ...]:
        """Removes and returns those that can't be answered in time."""
        removed: list[lanes.Waiter] = []
        for lane in self._lanes.values():
            while lane.waiters and self._is_late(lane, now):
                waiter = lane.waiters.pop(0)
                self._learn(lane, waiter, waiter.request.deadline)
                removed.append(waiter)
        return tuple(removed)

    def clear(self) -> tuple[lanes.Waiter, ...]:
        """Removes and returns all that wait."""
        removed: list[lanes.Waiter] = []
        for lane in self._lanes.values():
            removed.extend(lane.waiters)
            lane.waiters.clear()
        return tuple(removed)

    def _is_late(self, lane: lanes.Lane, now: datetime.datetime) -> bool:
        """Tells whether the first of a lane is too late to start.

        One whose deadline never left time for the service that was measured
        may try until then, so that the service is measured anew.
        """
        waiter = lane.waiters[0]
        deadline = waiter.request.deadline
        service = datetime.timedelta(seconds=lane.service)
        hopeless = waiter.admitted + service > deadline
        if hopeless or isinstance(self._settings.policy, Fifo):
            return now >= deadline
        return now + service > deadline

    def _learn(
        self, lane: lanes.Lane, waiter: lanes.Waiter, ended: datetime.datetime
    ) -> None:
        excess = ended - waiter.admitted - waiter.planned
        lane.learn(excess.total_seconds(), self._settings.misses)

    def _lane(self, rank: ranks.Rank) -> lanes.Lane:
        lane = self._lanes.get(rank.name)
        if lane is None:
            service = self._settings.service.total_seconds()
            lane = self._lanes[rank.name] = lanes.Lane(rank, service)
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

    def _charge(self, taken: lanes.Lane) -> None:
        """Moves credit for one request of a lane."""
        price = taken.service
        for lane in self._lanes.values():
            if lane is taken or lane.waiters:
                lane.credit += lane.rank.floor * price
            else:
                lane.credit = 0.0
        taken.credit = max(0.0, taken.credit - price)

    def _prior(self, lane: lanes.Lane) -> float:
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

    def _plan(
        self, lane: lanes.Lane, request: requests.Request
    ) -> datetime.timedelta:
        """Returns how long a newcomer should take, its wait included."""
        order = (request.deadline, self._numbers)
        place = bisect.bisect(lane.waiters, order, key=lambda w: w.order)
        seconds = self._first(lane) + self._drain(lane, place)
        return datetime.timedelta(seconds=seconds)

    def _first(self, lane: lanes.Lane) -> float:
        """Returns the seconds that the first of a lane takes."""
        blocking = max(
            (other.service for other in self._lanes.values() if other.running),
            default=0.0,
        )
        return blocking + lane.service

    def _drain(self, lane: lanes.Lane, ahead: int) -> float:
        """Returns the seconds that so many ahead in a lane take."""
        speed = lane.speed(self._prior(lane), self._settings.slots)
        work = ahead * lane.service
        trusted = speed * lane.waited
        if work <= trusted:
            return work / speed
        sure = min(speed, self._sure(lane))
        return lane.waited + (work - trusted) / sure

    def _sure(self, lane: lanes.Lane) -> float:
        """Returns the speed that a lane keeps whatever waits besides."""
        others = self._lanes.values()
        urgent = sum(o.demand for o in others if o.rank.order < lane.rank.order)
        kept = self._settings.capacity * max(lane.rank.floor, _LEAST_SHARE)
        return max(kept, self._settings.capacity - urgent)

    def _lateness(
        self, lane: lanes.Lane, waiter: lanes.Waiter
    ) -> datetime.timedelta:
        """Returns how far past its deadline a newcomer is planned to be.

        A newcomer in front of others must not make them late either.
        """
        assert self._now is not None, "time passes before anything else"
        first = self._first(lane)
        place = bisect.bisect(lane.waiters, waiter.order, key=lambda w: w.order)
        worst = -math.inf
        behind = [waiter, *lane.waiters[place:]]
        for ahead, other in enumerate(behind, start=place):
            left = other.request.time_left(self._now).total_seconds()
            planned = first + self._drain(lane, ahead) + lane.margin
            worst = max(worst, planned - left)
        return datetime.timedelta(seconds=max(worst, 0.0))


@functools.singledispatch
def _next_lane(policy: Policy, queue: RankQueue) -> lanes.Lane | None:
    """Returns the lane whose first request runs next."""
    raise TypeError(f"no order for {policy!r}; register one")


@_next_lane.register
def _(policy: Fifo, queue: RankQueue) -> lanes.Lane | None:
    lanes = [lane for lane in queue._lanes.values() if lane.waiters]
    return min(lanes, key=lambda lane: lane.waiters[0].number, default=None)


@_next_lane.register
def _(policy: StrictPriority, queue: RankQueue) -> lanes.Lane | None:
    return next((la for la in queue._lanes.values() if la.waiters), None)


@_next_lane.register
def _(policy: Floors, queue: RankQueue) -> lanes.Lane | None:
    owed = next((lane for lane in queue._lanes.values() if lane.owed), None)
    if owed is not None:
        return owed
    return next((la for la in queue._lanes.values() if la.waiters), None)


@functools.singledispatch
def _lateness(
    policy: Policy, queue: RankQueue, lane: lanes.Lane, waiter: lanes.Waiter
) -> datetime.timedelta:
    """Returns how late a newcomer is planned to be; zero admits it."""
    return queue._lateness(lane, waiter)


@_lateness.register
def _(
    policy: Fifo, queue: RankQueue, lane: lanes.Lane, waiter: lanes.Waiter
) -> datetime.timedelta:
    return datetime.timedelta()
