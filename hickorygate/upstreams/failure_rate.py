"""Computes the recent failure rate of a database, without I/O.

A database can fail or leave unanswered a part of its requests although it
answers status queries.
"""

from __future__ import annotations

import datetime
import math

__all__ = ["FailureRate"]

_DECAY_TIME = datetime.timedelta(seconds=3)
"""Time constant of the exponential decay of past results."""

_PRIOR_ANSWERS = 3.0
"""Number of successful requests that is added to the observed ones, so that
few results do not yield an extreme rate."""


class FailureRate:
    """The recent failure rate of one database, weighted by recency."""

    __slots__ = ("_answers", "_failures", "_updated")

    def __init__(self) -> None:
        self._answers = 0.0
        self._failures = 0.0
        self._updated: datetime.datetime | None = None

    def __repr__(self) -> str:
        return f"FailureRate({self._failures:.1f} of {self._answers:.1f})"

    def note(self, failed: bool, now: datetime.datetime) -> None:
        """Records whether a request failed."""
        self._decay(now)
        self._answers += 1
        self._failures += failed

    def share(self, now: datetime.datetime) -> float:
        """Returns the fraction of recent requests that failed, 0 to 1."""
        self._decay(now)
        return self._failures / (self._answers + _PRIOR_ANSWERS)

    def _decay(self, now: datetime.datetime) -> None:
        if self._updated is not None:
            factor = math.exp(-((now - self._updated) / _DECAY_TIME))
            self._answers *= factor
            self._failures *= factor
        self._updated = now
