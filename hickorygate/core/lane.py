"""The waiting requests of one rank and their measurements, without I/O."""

from __future__ import annotations

import dataclasses
import datetime
import math

from hickorygate.core import fair_order
from hickorygate.core import rank as ranks
from hickorygate.core import request_context
from hickorygate.core import types

__all__ = ["Lane", "AdmittedRequest"]

_DECAY_SECONDS = 1.0
"""Time constant of the exponential decay of past measurements."""

_ASSUMED_RATE_SECONDS = 0.1
"""Weight of the assumed drain rate: the assumed rate counts like a rate that
was measured while requests waited for this many seconds."""

_EXTRA_REQUESTS = 1
"""Number of requests added to the observed count, so that the demand isn't
underestimated when the count is small."""

_DEMAND_DEVIATIONS = 3
"""Standard deviations by which the demand may exceed the observed one. The
standard deviation of a count of independent arrivals is its square root."""

_MIN_SERVICE_WEIGHT = 0.1
"""Least weight of the newest service time in the moving average."""

_MARGIN_STEP = 0.05
"""Step of the margin, as a fraction of the rank's target."""

_MARGIN_RANGE = (0.2, 0.75)
"""Least and greatest margin, as fractions of the rank's target."""

_INITIAL_MARGIN = 0.4
"""Margin before any request has ended, as a fraction of the rank's target."""


@dataclasses.dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """An admitted request.

    Attributes:
      number: sequence number, unique in the queue.
      request: request that was admitted.
      admitted: time at which the request began to wait.
      planned_duration: planned duration from `admitted` to the end of the
        request.
    """

    number: int
    request: request_context.RequestContext
    admitted: datetime.datetime
    planned_duration: datetime.timedelta

    @property
    def workspace(self) -> types.WorkspaceName:
        """Workspace of the request; empty if it has none."""
        return self.request.workspace

    @property
    def order(self) -> tuple[datetime.datetime, int]:
        """Sort key: deadline, then order of arrival."""
        return (self.request.deadline, self.number)


class Lane:
    """The waiting requests of one rank and their measurements.

    All durations are in seconds. `offered_work`, `drained_work`,
    `observed_time` and `backlogged_time` decay exponentially with time.

    Attributes:
      offered_work: service time of the requests that were offered.
      credit: service time that the lane has earned and not used.
      drained_work: service time of the requests that were dequeued after a
        wait.
      finished: number of service times that were measured.
      margin: time that must remain between the planned end of a request and
        its deadline.
      rank: rank of the requests.
      running: number of requests that were dequeued and have not finished.
      observed_time: time over which the lane was observed.
      service: moving average of the service time of one request.
      backlogged_time: time during which at least one request waited.
      waiters: waiting requests in a fair order of their workspaces, the
        earliest deadline of each first.
      displaced: whether a request went ahead of those of other workspaces and
        may have made them late.
    """

    __slots__ = (
        "offered_work",
        "credit",
        "displaced",
        "drained_work",
        "finished",
        "margin",
        "rank",
        "running",
        "observed_time",
        "service",
        "backlogged_time",
        "waiters",
    )

    def __init__(self, rank: ranks.Rank, service: float) -> None:
        self.rank = rank
        self.running = 0
        self.service = service
        self.waiters: fair_order.FairOrder[AdmittedRequest] = (
            fair_order.FairOrder()
        )
        self.displaced = False
        self.credit = 0.0
        self.margin = _INITIAL_MARGIN * rank.target.total_seconds()
        self.offered_work = 0.0
        self.drained_work = 0.0
        self.finished = 0
        self.observed_time = 0.0
        self.backlogged_time = 0.0

    @property
    def has_enough_credit(self) -> bool:
        """Whether the credit covers the service time of a waiting request."""
        return bool(self.waiters) and self.credit >= self.service

    def __repr__(self) -> str:
        return f"Lane({self.rank.name!r}, waiting={len(self.waiters)})"

    def advance(self, elapsed: float) -> None:
        """Decays the measurements and counts the elapsed seconds."""
        decay = math.exp(-elapsed / _DECAY_SECONDS)
        self.offered_work *= decay
        self.drained_work *= decay
        self.backlogged_time *= decay
        self.observed_time = self.observed_time * decay + elapsed
        if self.waiters:
            self.backlogged_time += elapsed

    def drain_rate(self, prior: float, limit: float) -> float:
        """Returns the drain rate while requests wait.

        Args:
          prior: assumed rate, which counts until enough was measured.
          limit: upper bound of the result.

        Returns:
          Service seconds granted per second.
        """
        drained = self.drained_work + _ASSUMED_RATE_SECONDS * prior
        return min(
            drained / (self.backlogged_time + _ASSUMED_RATE_SECONDS), limit
        )

    @property
    def demand(self) -> float:
        """Upper bound of the service seconds requested per second."""
        count = self.offered_work / self.service
        greatest = (
            count + _EXTRA_REQUESTS + _DEMAND_DEVIATIONS * math.sqrt(count)
        )
        return greatest * self.service / (self.observed_time + self.service)

    def record_usage(self, workspace: types.WorkspaceName, used: float) -> None:
        """Corrects the service time that a workspace was charged.

        Args:
          workspace: workspace of a request that has ended.
          used: seconds that it used; `pop_first` charged `service` for it.
        """
        self.waiters.charge(workspace, used - self.service)

    def record_service_time(self, seconds: float) -> None:
        """Adds a service time to the average; the first ones weigh more."""
        self.finished += 1
        weight = max(_MIN_SERVICE_WEIGHT, 1 / self.finished)
        self.service += weight * (seconds - self.service)

    def adapt_margin(self, excess: float, misses: float) -> None:
        """Adapts the margin to one ended request.

        Args:
          excess: actual minus planned duration of the request.
          misses: target share of requests that are late, 0 to 1.
        """
        target = self.rank.target.total_seconds()
        if excess > self.margin:
            self.margin += _MARGIN_STEP * target * (1 - misses)
        else:
            self.margin -= _MARGIN_STEP * target * misses
        least, greatest = (fraction * target for fraction in _MARGIN_RANGE)
        self.margin = min(max(self.margin, least), greatest)
