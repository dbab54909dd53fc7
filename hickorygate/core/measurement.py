"""What the data path reports of its work, as typed measurements.

A part that measures hands each to a `Recorder` and knows nothing of metrics.
"""

from __future__ import annotations

import dataclasses
import datetime
import enum
from typing import Protocol

from hickorygate.core import errors
from hickorygate.core import rank as ranks
from hickorygate.core import types

__all__ = [
    "Measurement",
    "Recorder",
    "Retried",
    "ServedBy",
    "StatementServed",
    "Work",
]


class Work(enum.Enum):
    """What kind of work a statement was."""

    READ = "read"
    WRITE = "write"
    TRANSACTION = "transaction"


class ServedBy(enum.Enum):
    """Who answered a statement."""

    REPLICA = "replica"
    PRIMARY = "primary"
    NOBODY = "nobody"


@dataclasses.dataclass(frozen=True, slots=True)
class Measurement:
    """Base of all measurements."""


@dataclasses.dataclass(frozen=True, slots=True)
class StatementServed(Measurement):
    """A statement was answered or refused.

    Attributes:
      rank: its rank of work.
      work: read, write, or part of a transaction.
      served_by: who answered.
      group: the group it was for; None if no group was found.
      arrived: when the proxy read it.
      ended: when its answer was known.
      failure: why it failed; None if it was served.
    """

    rank: ranks.Rank
    work: Work
    served_by: ServedBy
    group: types.GroupName | None
    arrived: datetime.datetime
    ended: datetime.datetime
    failure: errors.Failure | None = None

    @property
    def latency(self) -> datetime.timedelta:
        """Time from its arrival to its answer."""
        return self.ended - self.arrived

    @property
    def answered(self) -> bool:
        """Whether a database settled it, be it with an error of its own."""
        if self.failure is None:
            return True
        return self.failure.outcome is errors.Outcome.RAN

    @property
    def within_target(self) -> bool:
        """Whether it was settled within its rank's target."""
        return self.answered and self.latency <= self.rank.target


@dataclasses.dataclass(frozen=True, slots=True)
class Retried(Measurement):
    """A statement is tried again after a failure."""

    rank: ranks.Rank
    failure: errors.Failure


class Recorder(Protocol):
    """Who takes measurements in."""

    def record(self, measurement: Measurement) -> None:
        """Takes in one measurement; cheap enough for each statement."""
