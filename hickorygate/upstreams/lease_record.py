"""The promotion lease: decides which proxy may order promotions, without I/O.

The lease is a record in the platform's store. A proxy acquires the lease when
it needs it and releases it after use, so no calls are made while all groups
are healthy. Each change of holder, and each new process of the same holder,
increments the fencing token in a conditional update.

A holder measures the lease duration from the time before the call that
acquired or renewed the lease. A proxy that waits for the lease to expire
measures from the time after it read the record, and waits longer than the
lease duration.
"""

from __future__ import annotations

import dataclasses
import datetime
from typing import TypeAlias

from hickorygate.core import errors
from hickorygate.core import types

__all__ = [
    "LEASE_DURATION",
    "Action",
    "LeaseState",
    "LeaseConflict",
    "LeaseRecord",
    "StoredLeaseRecord",
    "Wait",
    "Write",
]

LEASE_DURATION = datetime.timedelta(seconds=4)
"""Duration of the lease."""

_CLOCK_SKEW_MARGIN = datetime.timedelta(milliseconds=500)
"""Added to the lease duration by waiting proxies, because clocks can run at
different speeds."""

_CALL_MARGIN = datetime.timedelta(seconds=1.5)
"""Minimum remaining lease time to start a call under the lease: the timeout
of the call plus the time to detect it."""

_POLL_INTERVAL = datetime.timedelta(milliseconds=200)
"""Interval at which a waiting proxy reads the record."""


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRecord:
    """The stored record of the lease.

    Attributes:
      holder: name of the proxy that holds the lease.
      incarnation: identity of the holder's process; a new process of the same
        proxy does not hold the lease.
      number: fencing token; incremented with each change of holder.
      released: whether the holder has released the lease.
      renewals: number of renewals by this holder. The store creates a new
        revision only if the content changes, and each renewal must create
        one.
    """

    holder: types.ProxyName
    incarnation: str
    number: int
    released: bool
    renewals: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StoredLeaseRecord:
    """A stored record of the lease.

    Attributes:
      record: content of the record.
      revision: store revision that the next conditional update must match.
    """

    record: LeaseRecord
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseConflict(errors.Failure):
    """Failure of an update because another proxy changed the record first."""

    @property
    def message(self) -> str:
        """The description of the failure for people."""
        return "another proxy changed the duty's record first; read it again"


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Wait, because another proxy may hold the lease.

    Attributes:
      duration: time after which to read the record again.
    """

    duration: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """Store a record by a conditional update.

    Attributes:
      record: record to store.
      revision: revision that the stored record must still have; None to
        create the record.
    """

    record: LeaseRecord
    revision: int | None


Action: TypeAlias = Wait | Write


class LeaseState:
    """One process's view of the promotion lease."""

    __slots__ = (
        "_held_until",
        "_incarnation",
        "_name",
        "_stored",
        "_unchanged_since",
    )

    def __init__(self, name: types.ProxyName, incarnation: str) -> None:
        self._name = name
        self._incarnation = incarnation
        self._stored: StoredLeaseRecord | None = None
        self._unchanged_since: datetime.datetime | None = None
        self._held_until: datetime.datetime | None = None

    @property
    def name(self) -> types.ProxyName:
        """The name of this process."""
        return self._name

    @property
    def record(self) -> LeaseRecord | None:
        """The record as last read; None if there was none."""
        return self._stored.record if self._stored else None

    def __repr__(self) -> str:
        return f"LeaseState({self._name!r}, {self.record!r})"

    def may_call(self, now: datetime.datetime) -> bool:
        """Returns whether a call would end before the held lease expires."""
        return (
            self._held_until is not None
            and now + _CALL_MARGIN < self._held_until
        )

    def record_read(
        self, stored: StoredLeaseRecord | None, now: datetime.datetime
    ) -> None:
        """Records the result of a linearizable read of the record.

        Args:
          stored: record that was read; None if there is none.
          now: time after the read.
        """
        if stored != self._stored or self._unchanged_since is None:
            self._unchanged_since = now
        self._stored = stored

    def decide(self, now: datetime.datetime) -> Action:
        """Returns how to acquire or renew the lease.

        `record_read` must be called before.
        """
        if self._stored is None:
            return Write(self._own_record(1), None)
        record = self._stored.record
        if record.incarnation == self._incarnation:
            renewed = self._own_record(record.number, record.renewals + 1)
            return Write(renewed, self._stored.revision)
        # The name is no proof: a replacement may start while the process that
        # it replaces still runs.
        if record.released or self._expired(now):
            return Write(
                self._own_record(record.number + 1), self._stored.revision
            )
        return Wait(_POLL_INTERVAL)

    def record_write(
        self, stored: StoredLeaseRecord, sent: datetime.datetime
    ) -> None:
        """Records that the store accepted an update of this process.

        Args:
          stored: record and revision that the store returned.
          sent: time at which the call was started.
        """
        self.record_read(stored, sent)
        if stored.record.incarnation != self._incarnation:
            return
        if stored.record.released:
            self._held_until = None
        else:
            self._held_until = sent + LEASE_DURATION

    def release(self) -> Write | None:
        """Returns the update that releases the lease; None if not held."""
        held, self._held_until = self._held_until, None
        if held is None or self._stored is None:
            return None
        record = self._stored.record
        if record.incarnation != self._incarnation:
            return None
        released_record = dataclasses.replace(record, released=True)
        return Write(released_record, self._stored.revision)

    def _own_record(self, number: int, renewals: int = 0) -> LeaseRecord:
        return LeaseRecord(
            self._name, self._incarnation, number, False, renewals
        )

    def _expired(self, now: datetime.datetime) -> bool:
        since = self._unchanged_since
        return (
            since is not None
            and now - since >= LEASE_DURATION + _CLOCK_SKEW_MARGIN
        )
