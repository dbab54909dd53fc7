"""Typed measurements of the data path.

The code that measures passes each measurement to a `Recorder` and does not
depend on how metrics are collected.
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
    "StatementRetried",
    "ServedBy",
    "StatementServed",
    "WorkKind",
]


class WorkKind(enum.Enum):
    """Kind of work that a statement did."""

    READ = "read"
    WRITE = "write"
    TRANSACTION = "transaction"


class ServedBy(enum.Enum):
    """Kind of database that answered a statement."""

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
      rank: rank of the statement.
      work: read, write, or part of a transaction.
      served_by: kind of database that answered.
      group: group that the statement was for; None if no group was found.
      arrived: time at which the proxy read the statement.
      ended: time at which the answer was known.
      failure: failure of the statement; None if it succeeded.
    """

    rank: ranks.Rank
    work: WorkKind
    served_by: ServedBy
    group: types.GroupName | None
    arrived: datetime.datetime
    ended: datetime.datetime
    failure: errors.Failure | None = None

    @property
    def latency(self) -> datetime.timedelta:
        """Time from the arrival to the answer."""
        return self.ended - self.arrived

    @property
    def answered(self) -> bool:
        """Whether a database answered, with a result or with an error."""
        if self.failure is None:
            return True
        return self.failure.outcome is errors.Outcome.RAN

    @property
    def within_target(self) -> bool:
        """Whether a database answered within the rank's target."""
        return self.answered and self.latency <= self.rank.target


@dataclasses.dataclass(frozen=True, slots=True)
class StatementRetried(Measurement):
    """A statement is retried after a failure.

    Attributes:
      rank: rank of the statement.
      failure: failure of the previous attempt.
    """

    rank: ranks.Rank
    failure: errors.Failure


class Recorder(Protocol):
    """Receiver of measurements."""

    def record(self, measurement: Measurement) -> None:
        """Records one measurement; cheap enough to call per statement."""
