"""Failures of the connection pools; the statement was not run."""

from __future__ import annotations

import dataclasses
import datetime

from hickorygate.core import errors
from hickorygate.core import types

__all__ = [
    "ConnectionLimit",
    "DatabaseLeft",
    "ReservedLock",
    "TransactionIdle",
]


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionLimit(errors.Failure):
    """A database has reached its maximum number of connections."""

    database: types.DatabaseName

    @property
    def message(self) -> str:
        """Human-readable message."""
        return (
            f"{self.database!r} takes no more connections; retry in a second, "
            "or raise its limit in the sheet"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class DatabaseLeft(errors.Failure):
    """The database is leaving its group and gets no new work."""

    database: types.DatabaseName

    @property
    def message(self) -> str:
        """Human-readable message."""
        return f"{self.database!r} is leaving; retry, another one takes over"


@dataclasses.dataclass(frozen=True, slots=True)
class ReservedLock(errors.Failure):
    """A statement uses advisory locks that are reserved for the proxies."""

    @property
    def message(self) -> str:
        """Human-readable message."""
        return (
            "RELEASE_ALL_LOCKS and locks named 'hickorygate.*' are reserved; "
            "release your own locks by name"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class TransactionIdle(errors.Failure):
    """A transaction was idle for too long and has been rolled back.

    Attributes:
      database: database that the transaction was open on.
      limit: maximum idle time.
    """

    database: types.DatabaseName
    limit: datetime.timedelta

    @property
    def message(self) -> str:
        """Human-readable message."""
        return (
            f"the transaction on {self.database!r} sent nothing for "
            f"{self.limit.total_seconds():.1f} s and was rolled back; "
            "begin again, or raise upstreams.transaction_idle_ms"
        )
