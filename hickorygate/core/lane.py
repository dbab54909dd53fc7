"""The waiting requests of one rank, and what was seen of it: no I/O."""

from __future__ import annotations

import dataclasses
import datetime
import math

from hickorygate.core import rank as ranks
from hickorygate.core import request as requests

__all__ = ["Lane", "Waiter"]

_MEMORY_SECONDS = 1.0
"""Time constant with which a measured speed is forgotten."""

_PRIOR_SECONDS = 0.1
"""Weight of the assumed speed against the measured one."""

_PRIOR_REQUESTS = 1
"""Requests added to those seen, so that a few don't prove a low demand."""

_DEVIATIONS = 3
"""Standard deviations that a demand may be above what was seen; the count of
independent arrivals deviates by its square root."""

_SERVICE_WEIGHT = 0.1
"""Weight of the newest service time in the moving average."""

_MARGIN_STEP = 0.05
"""Step of the margin, as a part of the rank's target."""

_MARGIN_RANGE = (0.2, 0.75)
"""Least and greatest margin, as parts of the rank's target."""

_FIRST_MARGIN = 0.4
"""Margin before anything was learned, as a part of the rank's target."""


@dataclasses.dataclass(frozen=True, slots=True)
class Waiter:
    """An admitted request.

    Attributes:
      number: unique in its queue.
      request: what asked to run.
      admitted: when it began to wait.
      planned: how long it was planned to take from then on.
    """

    number: int
    request: requests.Request
    admitted: datetime.datetime
    planned: datetime.timedelta

    @property
    def order(self) -> tuple[datetime.datetime, int]:
        """Sorts by deadline, then arrival."""
        return (self.request.deadline, self.number)


class Lane:
    """The waiting requests of one rank; times in seconds."""

    __slots__ = (
        "asked",
        "credit",
        "drained",
        "finished",
        "margin",
        "rank",
        "running",
        "seen",
        "service",
        "waited",
        "waiters",
    )

    def __init__(self, rank: ranks.Rank, service: float) -> None:
        self.rank = rank
        self.running = 0
        self.service = service
        self.waiters: list[Waiter] = []
        self.credit = 0.0
        self.margin = _FIRST_MARGIN * rank.target.total_seconds()
        self.asked = 0.0
        self.drained = 0.0
        self.finished = 0
        self.seen = 0.0
        self.waited = 0.0

    @property
    def owed(self) -> bool:
        """Whether it has earned the price of its next request."""
        return bool(self.waiters) and self.credit >= self.service

    def __repr__(self) -> str:
        return f"Lane({self.rank.name!r}, waiting={len(self.waiters)})"

    def advance(self, elapsed: float) -> None:
        """Lets time pass."""
        kept = math.exp(-elapsed / _MEMORY_SECONDS)
        self.asked *= kept
        self.drained *= kept
        self.waited *= kept
        self.seen = self.seen * kept + elapsed
        if self.waiters:
            self.waited += elapsed

    def speed(self, prior: float, limit: float) -> float:
        """Returns service seconds granted a second while it waits."""
        drained = self.drained + _PRIOR_SECONDS * prior
        return min(drained / (self.waited + _PRIOR_SECONDS), limit)

    @property
    def demand(self) -> float:
        """Service seconds asked for a second, at most."""
        count = self.asked / self.service
        most = count + _PRIOR_REQUESTS + _DEVIATIONS * math.sqrt(count)
        return most * self.service / (self.seen + self.service)

    def serve(self, seconds: float) -> None:
        """Takes in a service time; the first ones count for more."""
        self.finished += 1
        weight = max(_SERVICE_WEIGHT, 1 / self.finished)
        self.service += weight * (seconds - self.service)

    def learn(self, excess: float, misses: float) -> None:
        """Moves the margin after a request took longer than planned by this."""
        target = self.rank.target.total_seconds()
        if excess > self.margin:
            self.margin += _MARGIN_STEP * target * (1 - misses)
        else:
            self.margin -= _MARGIN_STEP * target * misses
        least, most = (part * target for part in _MARGIN_RANGE)
        self.margin = min(max(self.margin, least), most)
