"""The usual response time of each class of statements, without I/O.

Statements of different classes differ in work, so a response time is judged by
its deviation from the baseline of its class. A deviation is the natural
logarithm of the ratio of the two: statement times vary by factors, and the
median of the logarithms isn't moved by a few statements that take several
times as long.
"""

from __future__ import annotations

import dataclasses
import datetime
import math

from hickorygate.core import types

__all__ = ["LatencyBaseline", "StatementClass"]

_MIN_SAMPLES = 15
"""Number of response times before a class has a baseline."""

_TIME_CONSTANT = datetime.timedelta(seconds=60)
"""Time constant of a baseline. It is so long that a load of some seconds, under
which all databases are slow, hardly moves the baseline."""

_MAX_STEP = 1.0
"""Deviation beyond which a response time moves the baseline no further."""

_MIN_SECONDS = 1e-4
"""Lower bound of a response time, so that its logarithm is finite."""


@dataclasses.dataclass(frozen=True, slots=True)
class StatementClass:
    """A class of statements whose response times are comparable.

    Attributes:
      rank: name of the rank.
      prepared: whether the statement is prepared.
      commits: whether the statement may commit, and then waits for replicas.
    """

    rank: types.RankName
    prepared: bool
    commits: bool


@dataclasses.dataclass(slots=True)
class _ClassBaseline:
    log_seconds: float = 0.0
    samples: int = 0
    updated: datetime.datetime | None = None


class LatencyBaseline:
    """The usual response times at the databases of one service."""

    __slots__ = ("_classes",)

    def __init__(self) -> None:
        self._classes: dict[StatementClass, _ClassBaseline] = {}

    @property
    def classes(self) -> tuple[StatementClass, ...]:
        """The classes of which any response time was learned."""
        return tuple(self._classes)

    def __repr__(self) -> str:
        return f"LatencyBaseline({len(self._classes)} classes)"

    def seconds(self, kind: StatementClass) -> float | None:
        """Returns the usual response time of a class.

        None until `_MIN_SAMPLES` response times were learned.
        """
        known = self._classes.get(kind)
        if known is None or known.samples < _MIN_SAMPLES:
            return None
        return math.exp(known.log_seconds)

    def deviation(self, kind: StatementClass, seconds: float) -> float | None:
        """Returns the logarithm of a response time's ratio to the usual one."""
        usual = self.seconds(kind)
        if usual is None:
            return None
        return math.log(max(seconds, _MIN_SECONDS) / usual)

    def learn(
        self, kind: StatementClass, seconds: float, now: datetime.datetime
    ) -> None:
        """Adds a response time; the first ones of a class weigh more."""
        known = self._classes.setdefault(kind, _ClassBaseline())
        elapsed = now - (known.updated or now)
        known.updated = now
        known.samples += 1
        weight = max(elapsed / _TIME_CONSTANT, 1 / known.samples)
        step = math.log(max(seconds, _MIN_SECONDS)) - known.log_seconds
        if known.samples > _MIN_SAMPLES:
            step = min(max(step, -_MAX_STEP), _MAX_STEP)
        known.log_seconds += min(weight, 1.0) * step
