"""Failures of the pools: no connection, no slot, nothing was run."""

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
    """A database has as many connections as it takes."""

    database: types.DatabaseName

    @property
    def message(self) -> str:
        """Text for a person."""
        return (
            f"{self.database!r} takes no more connections; retry in a second, "
            "or raise its limit in the sheet"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class DatabaseLeft(errors.Failure):
    """The database is leaving and gets no new work."""

    database: types.DatabaseName

    @property
    def message(self) -> str:
        """Text for a person."""
        return f"{self.database!r} is leaving; retry, another one takes over"


@dataclasses.dataclass(frozen=True, slots=True)
class ReservedLock(errors.Failure):
    """A statement names advisory locks that the proxies rely on."""

    @property
    def message(self) -> str:
        """Text for a person."""
        return (
            "RELEASE_ALL_LOCKS and locks named 'hickorygate.*' are reserved; "
            "release your own locks by name"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class TransactionIdle(errors.Failure):
    """A transaction was idle for too long and has been rolled back."""

    database: types.DatabaseName
    limit: datetime.timedelta

    @property
    def message(self) -> str:
        """Text for a person."""
        return (
            f"the transaction on {self.database!r} sent nothing for "
            f"{self.limit.total_seconds():.1f} s and was rolled back; "
            "begin again, or raise upstreams.transaction_idle_ms"
        )
