"""Admission control and scheduling for one database: decisions without I/O.

Decides which request runs next and which requests are refused.

A queue has one lane for each rank. The most urgent lane with waiting requests
goes first, except that a lane with enough credit goes before it. While requests
wait in a lane, the lane earns credit: its floor (a share from 0 to 1) of all
service time that is granted. The credit is enough once it covers the service
time of one request (deficit accounting, as in Shreedhar and Varghese,
"Efficient Fair Queuing using Deficit Round Robin", 1995). A lane without
waiting requests earns no credit, so the other lanes use its share. Within a
lane, workspaces share the service time evenly (`core/fair_order.py`), and the
earliest deadline of a workspace goes first.

A request is admitted if it can run at once. Otherwise it is admitted only if
the lane isn't full and the work ahead of the request in its lane leaves time to
answer the request, with a margin; the requests behind it must not become late
either. `Fifo` ignores lateness. The drain rate that a lane was observed to have
over some time is expected to last for as long again. Beyond that, the lane can
rely only on its floor, or on the capacity that the demand of more urgent lanes
leaves if that is more. The margin tracks a high quantile of the difference
between actual and planned durations: it grows after a miss and shrinks after
a hit, and the ratio of the two step sizes is set by the target share of misses
(stochastic approximation, Robbins and Monro, 1951).
"""

from __future__ import annotations

import dataclasses
import datetime
import functools
import math

import expression

from hickorygate.core import errors
from hickorygate.core import lane as lanes
from hickorygate.core import rank as ranks
from hickorygate.core import request_context
from hickorygate.core import types

__all__ = [
    "Fifo",
    "Floors",
    "SchedulingPolicy",
    "QueueSettings",
    "RankQueue",
    "StrictPriority",
]

_MIN_SHARE = 0.01
"""Least share of capacity assumed for a lane, such as a lane that has no floor
and waits behind a more urgent one."""

_STARVATION_TIMEOUT = datetime.timedelta(milliseconds=500)
"""Waiting work may go ahead of other proxies' work once nothing was dequeued
for this long."""

_MIN_RETRY_DELAY = datetime.timedelta(milliseconds=10)
"""Shortest retry delay that a refusal suggests."""


@dataclasses.dataclass(frozen=True, slots=True)
class SchedulingPolicy:
    """Base of the scheduling policies of a queue."""


@dataclasses.dataclass(frozen=True, slots=True)
class Fifo(SchedulingPolicy):
    """Order of arrival; no request is refused before its deadline.

    A lane in which `QueueSettings.max_waiting` requests wait still refuses new
    ones.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class StrictPriority(SchedulingPolicy):
    """Order by rank, then by deadline; floors are ignored."""


@dataclasses.dataclass(frozen=True, slots=True)
class Floors(SchedulingPolicy):
    """Order by rank, then by deadline; each rank is guaranteed its floor."""


@dataclasses.dataclass(frozen=True, slots=True)
class QueueSettings:
    """Settings of a queue.

    Attributes:
      policy: scheduling policy.
      slots: maximum number of requests that run at once.
      capacity: number of slots that this proxy can expect to use; a fraction
        of the slots where several proxies share the database.
      max_waiting: maximum number of requests that wait in one lane.
      service: service time assumed until one is measured.
      target_miss_rate: target share of admitted requests that are late, 0 to 1.
    """

    policy: SchedulingPolicy = Floors()
    slots: int = 1
    capacity: float = 1.0
    max_waiting: int = 1_024
    service: datetime.timedelta = datetime.timedelta(milliseconds=10)
    target_miss_rate: float = 0.002


class RankQueue:
    """Queue of the requests that wait for one database."""

    __slots__ = (
        "_lanes",
        "_last_advance",
        "_last_dequeue",
        "_next_number",
        "_settings",
    )

    def __init__(self, settings: QueueSettings) -> None:
        self._settings = settings
        self._lanes: dict[types.RankName, lanes.Lane] = {}
        self._next_number = 0
        self._last_advance: datetime.datetime | None = None
        self._last_dequeue: datetime.datetime | None = None

    @property
    def waiting(self) -> dict[types.RankName, int]:
        """Number of waiting requests by rank."""
        return {n: len(lane.waiters) for n, lane in self._lanes.items()}

    @property
    def size(self) -> int:
        """Number of waiting requests."""
        return sum(len(lane.waiters) for lane in self._lanes.values())

    @property
    def running(self) -> int:
        """Number of requests that were dequeued and have not finished."""
        return sum(lane.running for lane in self._lanes.values())

    def __repr__(self) -> str:
        return f"RankQueue(waiting={self.waiting}, running={self.running})"

    def has_urgent_work(self, now: datetime.datetime) -> bool:
        """Returns whether waiting work may go ahead of other proxies' work.

        Waiting work may do so if a request of the most urgent rank waits, or if
        a request has waited for at least `_STARVATION_TIMEOUT` and nothing was
        dequeued in that time.
        """
        for lane in self._lanes.values():
            if not lane.waiters:
                continue
            first = lane.waiters.first.admitted
            since = max(first, self._last_dequeue or first)
            if lane.rank.order == 0 or now - since >= _STARVATION_TIMEOUT:
                return True
        return False

    def offer(
        self,
        request: request_context.RequestContext,
        now: datetime.datetime,
        free: bool,
    ) -> expression.Result[lanes.AdmittedRequest, errors.Failure]:
        """Admits a request or refuses it at once.

        Args:
          request: request to run.
          now: current time.
          free: whether one more request could run now if nothing waited.

        Returns:
          The queued request, or `Overloaded` or `DeadlinePassed`.
        """
        self._advance(now)
        lane = self._lane_of(request.rank)
        if request.deadline <= now:
            waited = now - request.arrived
            failure = errors.DeadlinePassed(request.rank.name, waited)
            return expression.Error(failure)
        lane.offered_work += lane.service
        waiter = self._plan(lane, request, now)
        late = datetime.timedelta()
        if not (free and self.size == 0):
            late = _expected_lateness(self._settings.policy, self, lane, waiter)
        if self._is_full(lane, waiter) or late > datetime.timedelta():
            failure = errors.Overloaded(
                request.rank.name, max(late, _MIN_RETRY_DELAY)
            )
            return expression.Error(failure)
        self._next_number += 1
        lane.waiters.add(waiter)
        lane.displaced = lane.waiters.workspaces > 1
        return expression.Ok(waiter)

    def dequeue(self, now: datetime.datetime) -> lanes.AdmittedRequest | None:
        """Removes and returns the request that runs next.

        The caller must call `finish` for it. Returns None if none waits.
        """
        self._advance(now)
        lane = _next_lane(self._settings.policy, self)
        if lane is None:
            return None
        waiter = lane.waiters.pop_first(lane.service)
        self._last_dequeue = now
        self._update_credits(lane)
        if now > waiter.admitted:
            lane.drained_work += lane.service
        lane.running += 1
        return waiter

    def finish(
        self,
        waiter: lanes.AdmittedRequest,
        service: datetime.timedelta | None,
        now: datetime.datetime,
    ) -> None:
        """Records that a dequeued request has ended.

        Args:
          waiter: request as `dequeue` returned it.
          service: time that the request ran; None if it never ran.
          now: current time.
        """
        self._advance(now)
        lane = self._lane_of(waiter.request.rank)
        lane.running -= 1
        used = service.total_seconds() if service is not None else 0.0
        lane.record_usage(waiter.workspace, used)
        if service is None:
            return
        lane.record_service_time(service.total_seconds())
        self._adapt_margin(lane, waiter, now)

    def withdraw(
        self, waiter: lanes.AdmittedRequest, now: datetime.datetime
    ) -> bool:
        """Removes a request and returns whether it was still waiting."""
        lane = self._lane_of(waiter.request.rank)
        if waiter not in lane.waiters:
            return False
        lane.waiters.remove(waiter)
        if now >= waiter.request.deadline:
            self._adapt_margin(lane, waiter, now)
        return True

    def remove_late(
        self, now: datetime.datetime
    ) -> tuple[lanes.AdmittedRequest, ...]:
        """Removes and returns the requests that can't be answered in time."""
        removed: list[lanes.AdmittedRequest] = []
        for lane in self._lanes.values():
            while True:
                late = [
                    waiter
                    for waiter in lane.waiters.heads
                    if self._starts_too_late(lane, waiter, now)
                ]
                if not late:
                    break
                for waiter in late:
                    lane.waiters.remove(waiter)
                    self._adapt_margin(lane, waiter, waiter.request.deadline)
                removed.extend(late)
        return tuple(removed)

    def remove_displaced(
        self, now: datetime.datetime
    ) -> tuple[lanes.AdmittedRequest, ...]:
        """Removes and returns requests that others have made late.

        A request goes ahead of those of workspaces that used more. Those that
        can't be answered in time any more are refused at once, the last ones
        of the workspace that used most first.
        """
        self._advance(now)
        removed: list[lanes.AdmittedRequest] = []
        for lane in self._lanes.values():
            while lane.displaced:
                waiter = self._displaced(lane, now)
                if waiter is None:
                    lane.displaced = False
                else:
                    lane.waiters.remove(waiter)
                    removed.append(waiter)
        return tuple(removed)

    def _displaced(
        self, lane: lanes.Lane, now: datetime.datetime
    ) -> lanes.AdmittedRequest | None:
        """Returns a request that others have made late; None if none is."""
        if lane.waiters.workspaces < 2:
            return None
        if len(lane.waiters) > self._settings.max_waiting:
            return lane.waiters.last_of_longest()
        if isinstance(self._settings.policy, Fifo):
            return None
        first = self._first_ends_after(lane)

        def is_late(waiter: lanes.AdmittedRequest) -> bool:
            ahead = lane.waiters.ahead(waiter, lane.service)
            left = waiter.request.time_left(now).total_seconds()
            return first + self._drain_time(lane, ahead) > left

        return lane.waiters.last_where(is_late)

    def _is_full(self, lane: lanes.Lane, waiter: lanes.AdmittedRequest) -> bool:
        """Returns whether no more requests of a workspace may wait.

        A full lane admits one more of a workspace that doesn't have most of
        the waiting requests; `remove_displaced` makes room for it.
        """
        if len(lane.waiters) < self._settings.max_waiting:
            return False
        if not lane.waiters:
            return True
        return lane.waiters.last_of_longest().workspace == waiter.workspace

    def clear(self) -> tuple[lanes.AdmittedRequest, ...]:
        """Removes and returns all waiting requests."""
        removed: list[lanes.AdmittedRequest] = []
        for lane in self._lanes.values():
            removed.extend(lane.waiters.clear())
        return tuple(removed)

    def _starts_too_late(
        self,
        lane: lanes.Lane,
        waiter: lanes.AdmittedRequest,
        now: datetime.datetime,
    ) -> bool:
        """Returns whether a request of a lane is too late to start.

        A request that was admitted with less time left than the measured
        service time may start until its deadline, so that the service time is
        measured again.
        """
        deadline = waiter.request.deadline
        service = datetime.timedelta(seconds=lane.service)
        never_fitted = waiter.admitted + service > deadline
        if never_fitted or isinstance(self._settings.policy, Fifo):
            return now >= deadline
        return now + service > deadline

    def _adapt_margin(
        self,
        lane: lanes.Lane,
        waiter: lanes.AdmittedRequest,
        ended: datetime.datetime,
    ) -> None:
        """Adapts the lane's margin to the duration of an ended request."""
        excess = ended - waiter.admitted - waiter.planned_duration
        lane.adapt_margin(
            excess.total_seconds(), self._settings.target_miss_rate
        )

    def _lane_of(self, rank: ranks.Rank) -> lanes.Lane:
        """Returns the lane of a rank; creates it if needed.

        The lanes are kept in the order of urgency.
        """
        lane = self._lanes.get(rank.name)
        if lane is None:
            service = self._settings.service.total_seconds()
            lane = self._lanes[rank.name] = lanes.Lane(rank, service)
            by_order = sorted(
                self._lanes.items(), key=lambda item: item[1].rank.order
            )
            self._lanes = dict(by_order)
        elif lane.rank != rank:
            lane.rank = rank  # A newer sheet changed the target or the floor.
        return lane

    def _advance(self, now: datetime.datetime) -> None:
        """Advances the measurements of all lanes to the current time."""
        if self._last_advance is None:
            self._last_advance = now
        elapsed = (now - self._last_advance).total_seconds()
        if elapsed <= 0:
            return
        self._last_advance = now
        for lane in self._lanes.values():
            lane.advance(elapsed)

    def _update_credits(self, dequeued_lane: lanes.Lane) -> None:
        """Updates the credit of all lanes for one dequeued request.

        The lane of the request and each waiting lane earn their floor's share
        of the request's service time; then the lane of the request pays that
        time. A lane without waiting requests loses its credit.
        """
        cost = dequeued_lane.service
        for lane in self._lanes.values():
            if lane is dequeued_lane or lane.waiters:
                lane.credit += lane.rank.floor * cost
            else:
                lane.credit = 0.0
        dequeued_lane.credit = max(0.0, dequeued_lane.credit - cost)

    def _assumed_rate(self, lane: lanes.Lane) -> float:
        """Returns the drain rate to assume for a lane that hasn't waited."""
        waiting = [
            other
            for other in self._lanes.values()
            if other.waiters and other is not lane
        ]
        if any(other.rank.order < lane.rank.order for other in waiting):
            share = max(lane.rank.floor, _MIN_SHARE)
        else:
            share = 1.0 - sum(other.rank.floor for other in waiting)
        return self._settings.capacity * max(share, _MIN_SHARE)

    def _plan(
        self,
        lane: lanes.Lane,
        request: request_context.RequestContext,
        now: datetime.datetime,
    ) -> lanes.AdmittedRequest:
        """Returns a new request with its planned duration, wait included."""
        waiter = lanes.AdmittedRequest(
            self._next_number, request, now, datetime.timedelta()
        )
        ahead = lane.waiters.ahead(waiter, lane.service)
        seconds = self._first_ends_after(lane) + self._drain_time(lane, ahead)
        return dataclasses.replace(
            waiter, planned_duration=datetime.timedelta(seconds=seconds)
        )

    def _first_ends_after(self, lane: lanes.Lane) -> float:
        """Returns the seconds until the first request of a lane has ended.

        A request that runs in any lane may block it for its service time.
        """
        blocking = max(
            (other.service for other in self._lanes.values() if other.running),
            default=0.0,
        )
        return blocking + lane.service

    def _drain_time(self, lane: lanes.Lane, ahead: int) -> float:
        """Returns the seconds until the requests ahead in a lane are served.

        Args:
          lane: lane in which a request waits.
          ahead: number of requests ahead of that request.
        """
        rate = lane.drain_rate(self._assumed_rate(lane), self._settings.slots)
        work = ahead * lane.service
        expected = rate * lane.backlogged_time
        if work <= expected:
            return work / rate
        guaranteed = min(rate, self._guaranteed_rate(lane))
        return lane.backlogged_time + (work - expected) / guaranteed

    def _guaranteed_rate(self, lane: lanes.Lane) -> float:
        """Returns the drain rate that a lane has whatever else waits."""
        others = self._lanes.values()
        urgent = sum(o.demand for o in others if o.rank.order < lane.rank.order)
        floor_rate = self._settings.capacity * max(lane.rank.floor, _MIN_SHARE)
        return max(floor_rate, self._settings.capacity - urgent)

    def _expected_lateness(
        self, lane: lanes.Lane, waiter: lanes.AdmittedRequest
    ) -> datetime.timedelta:
        """Returns by how much a new request would miss its deadline.

        The result also covers the requests of its workspace behind the new
        one: it must not make them late either. Requests of other workspaces
        are behind it because those used more.
        """
        assert self._last_advance is not None, "_advance must run first"
        first = self._first_ends_after(lane)
        most_late = -math.inf
        behind = lane.waiters.behind_in_workspace(waiter)
        for other in [waiter, *behind]:
            added = int(other is not waiter)
            ahead = lane.waiters.ahead(other, lane.service, added)
            left = other.request.time_left(self._last_advance).total_seconds()
            planned = first + self._drain_time(lane, ahead) + lane.margin
            most_late = max(most_late, planned - left)
        return datetime.timedelta(seconds=max(most_late, 0.0))


@functools.singledispatch
def _next_lane(policy: SchedulingPolicy, queue: RankQueue) -> lanes.Lane | None:
    """Returns the lane whose first request runs next."""
    raise TypeError(f"no scheduling order for {policy!r}; register one")


@_next_lane.register
def _(policy: Fifo, queue: RankQueue) -> lanes.Lane | None:
    lanes = [lane for lane in queue._lanes.values() if lane.waiters]
    return min(lanes, key=lambda lane: lane.waiters.first.number, default=None)


@_next_lane.register
def _(policy: StrictPriority, queue: RankQueue) -> lanes.Lane | None:
    return next((la for la in queue._lanes.values() if la.waiters), None)


@_next_lane.register
def _(policy: Floors, queue: RankQueue) -> lanes.Lane | None:
    owed = next(
        (lane for lane in queue._lanes.values() if lane.has_enough_credit), None
    )
    if owed is not None:
        return owed
    return next((la for la in queue._lanes.values() if la.waiters), None)


@functools.singledispatch
def _expected_lateness(
    policy: SchedulingPolicy,
    queue: RankQueue,
    lane: lanes.Lane,
    waiter: lanes.AdmittedRequest,
) -> datetime.timedelta:
    """Returns by how much a new request would be late; zero admits it."""
    return queue._expected_lateness(lane, waiter)


@_expected_lateness.register
def _(
    policy: Fifo,
    queue: RankQueue,
    lane: lanes.Lane,
    waiter: lanes.AdmittedRequest,
) -> datetime.timedelta:
    return datetime.timedelta()
