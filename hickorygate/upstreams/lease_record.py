"""The promotion lease: decides which proxy may order promotions, without I/O.

The lease is a record in the platform's store. A proxy acquires the lease when
it needs it and releases it after use, so no calls are made while all groups
are healthy. Each change of holder, and each new process of the same holder,
increments the fencing token in a conditional update.

The store may be restored from an older copy, which begins a new era: records
that were written since the copy are gone, and revisions repeat. A record of an
earlier era therefore proves nothing about the present holder. An order is sent
only shortly after the store confirmed the lease, so soon after a restore no
order of an earlier era is under way. Only then the record is replaced, or by a
holder whom the store confirmed that recently. Fencing tokens begin anew in each
era, above those of all earlier ones.

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
    "LeaseReading",
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

_NUMBERS_PER_ERA = 1_000_000
"""Fencing tokens of one era; more than there can be holders in it."""

_CONFIRMATION_AGE = datetime.timedelta(seconds=1)
"""Time since the call that acquired or renewed the lease within which an order
may be started; later, the lease is renewed first. A call that is answered takes
no longer."""

_ORDER_TIME = _CONFIRMATION_AGE + _CALL_MARGIN
"""Time since that call after which no order under the lease is under way."""

_ERA_MARGIN = datetime.timedelta(milliseconds=250)
"""Added to `_ORDER_TIME` by other proxies, because clocks can run at different
speeds."""

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
      era: era of the store in which the record was written.
    """

    holder: types.ProxyName
    incarnation: str
    number: int
    released: bool
    renewals: int = 0
    era: int = 0


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
class LeaseReading:
    """The state of the lease in the store.

    Attributes:
      stored: the record; None if there is none.
      era: era of the store from which the state is.
    """

    stored: StoredLeaseRecord | None
    era: int = 0


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
        "_confirmed_at",
        "_era",
        "_era_since",
        "_held_until",
        "_incarnation",
        "_name",
        "_number",
        "_stored",
        "_tenure",
        "_unchanged_since",
    )

    def __init__(self, name: types.ProxyName, incarnation: str) -> None:
        self._name = name
        self._incarnation = incarnation
        self._stored: StoredLeaseRecord | None = None
        self._unchanged_since: datetime.datetime | None = None
        self._held_until: datetime.datetime | None = None
        self._confirmed_at: datetime.datetime | None = None
        self._era = 0
        self._era_since: datetime.datetime | None = None
        self._number = 0
        self._tenure = 0

    @property
    def name(self) -> types.ProxyName:
        """The name of this process."""
        return self._name

    @property
    def record(self) -> LeaseRecord | None:
        """The record as last read; None if there was none."""
        return self._stored.record if self._stored else None

    @property
    def tenure(self) -> int:
        """A number that rises if another process may have held the lease.

        What this process learned under one tenure may be outdated in the next.
        """
        return self._tenure

    def __repr__(self) -> str:
        return f"LeaseState({self._name!r}, {self.record!r})"

    def may_call(self, now: datetime.datetime) -> bool:
        """Returns whether a call would end before the held lease expires.

        False while the present era of the store has no record of this holder.
        """
        return (
            self._held_until is not None
            and now + _CALL_MARGIN < self._held_until
            and self._owns(self._stored)
        )

    def may_order(self, now: datetime.datetime) -> bool:
        """Returns whether the lease was confirmed recently enough to order."""
        return (
            self._confirmed_at is not None
            and now - self._confirmed_at < _CONFIRMATION_AGE
            and self.may_call(now)
        )

    def record_era(self, era: int, now: datetime.datetime) -> None:
        """Records that the store told its era.

        Args:
          era: the era.
          now: time after the response that told it.
        """
        if era > self._era:
            self._era = era
            self._era_since = now
            self._stored = None

    def record_read(
        self, reading: LeaseReading, now: datetime.datetime
    ) -> bool:
        """Records the result of a linearizable read of the record.

        Args:
          reading: what was read.
          now: time after the read.

        Returns:
          Whether the reading is of the present era; otherwise it is dropped.
        """
        self.record_era(reading.era, now)
        if reading.era < self._era:
            return False
        stored = reading.stored
        if stored != self._stored or self._unchanged_since is None:
            self._unchanged_since = now
        self._stored = stored
        if stored is not None:
            self._number = max(self._number, stored.record.number)
        return True

    def decide(self, now: datetime.datetime) -> Action:
        """Returns how to acquire or renew the lease.

        `record_read` must be called before.
        """
        stored = self._stored
        if stored is None or stored.record.era != self._era:
            return self._decide_in_new_era(now)
        record = stored.record
        if record.incarnation == self._incarnation:
            renewed = self._own_record(record.number, record.renewals + 1)
            return Write(renewed, stored.revision)
        # The name is no proof: a replacement may start while the process that
        # it replaces still runs.
        if record.released or self._expired(now):
            return Write(self._own_record(record.number + 1), stored.revision)
        return Wait(_POLL_INTERVAL)

    def _decide_in_new_era(self, now: datetime.datetime) -> Action:
        """Returns how to write the first record of the present era."""
        if not self._may_resume(now) and self._may_be_ordering(now):
            return Wait(_POLL_INTERVAL)
        number = max(self._number, self._era * _NUMBERS_PER_ERA) + 1
        revision = self._stored.revision if self._stored else None
        return Write(self._own_record(number), revision)

    def record_write(
        self, reading: LeaseReading, sent: datetime.datetime
    ) -> None:
        """Records that the store accepted an update of this process.

        An update that was accepted in another era than the one for which it
        was made doesn't acquire the lease.

        Args:
          reading: record, revision and era that the store returned.
          sent: time at which the call was started.
        """
        continued = self._owns(self._stored) or self._may_resume(sent)
        if not self.record_read(reading, sent) or reading.stored is None:
            return
        if not self._owns(reading.stored):
            return
        if not continued:
            self._tenure += 1
        if reading.stored.record.released:
            self._held_until = None
        else:
            self._held_until = sent + LEASE_DURATION
            self._confirmed_at = sent

    def release(self) -> Write | None:
        """Returns the update that releases the lease; None if not held."""
        held, self._held_until = self._held_until, None
        if held is None or self._stored is None or not self._owns(self._stored):
            return None
        released_record = dataclasses.replace(
            self._stored.record, released=True
        )
        return Write(released_record, self._stored.revision)

    def _owns(self, stored: StoredLeaseRecord | None) -> bool:
        """Returns whether a record is this holder's, of the present era."""
        return (
            stored is not None
            and stored.record.incarnation == self._incarnation
            and stored.record.era == self._era
        )

    def _own_record(self, number: int, renewals: int = 0) -> LeaseRecord:
        return LeaseRecord(
            self._name, self._incarnation, number, False, renewals, self._era
        )

    def _may_resume(self, now: datetime.datetime) -> bool:
        """Returns whether no other proxy can hold the lease in a new era."""
        return (
            self._held_until is not None
            and self._confirmed_at is not None
            and now - self._confirmed_at < _ORDER_TIME
        )

    def _may_be_ordering(self, now: datetime.datetime) -> bool:
        """Returns whether an order of an earlier era may be under way."""
        return (
            self._era_since is not None
            and now - self._era_since < _ORDER_TIME + _ERA_MARGIN
        )

    def _expired(self, now: datetime.datetime) -> bool:
        since = self._unchanged_since
        return (
            since is not None
            and now - since >= LEASE_DURATION + _CLOCK_SKEW_MARGIN
        )
