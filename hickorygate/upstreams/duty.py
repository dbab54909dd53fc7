"""Who may order promotions: a lease in the platform's store.

Decisions without I/O. The duty is claimed when it is needed and released
after use, so a calm fleet makes no calls for it. Its number rises with each
change of holder, and with each new process of the same holder, by conditional
updates. A holder's time runs from before the call that won or renewed it; who
waits for it to lapse counts from after it saw the record, for longer.
"""

from __future__ import annotations

import dataclasses
import datetime
from typing import TypeAlias

from hickorygate.core import errors
from hickorygate.core import types

__all__ = [
    "LEASE",
    "Action",
    "Duty",
    "Overtaken",
    "Record",
    "Stored",
    "Wait",
    "Write",
]

LEASE = datetime.timedelta(seconds=4)
_SKEW = datetime.timedelta(milliseconds=500)
"""Added by who waits, against clocks that run at different speeds."""

_CALL = datetime.timedelta(seconds=1.5)
"""What must be left of the lease to make a call under it: the call's time-out
and the time to notice it."""

_POLL = datetime.timedelta(milliseconds=200)


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """Who holds the duty.

    Attributes:
      holder: name of the proxy.
      incarnation: of its process; a new process holds nothing.
      number: rises with each change of holder.
      released: whether the holder has given it back.
      renewals: by this holder; the store makes a revision only of what
        changes, and a renewal must be one.
    """

    holder: types.ProxyName
    incarnation: str
    number: int
    released: bool
    renewals: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Stored:
    """A record and the revision that guards its next change."""

    record: Record
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Overtaken(errors.Failure):
    """Another proxy changed the record first."""

    @property
    def message(self) -> str:
        """Text for a person."""
        return "another proxy changed the duty's record first; read it again"


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Another proxy may hold it; read again after this time."""

    duration: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """Store this record if the revision still stands; None creates it."""

    record: Record
    revision: int | None


Action: TypeAlias = Wait | Write


class Duty:
    """One process's view of the duty."""

    __slots__ = ("_held_until", "_incarnation", "_name", "_seen", "_seen_at")

    def __init__(self, name: types.ProxyName, incarnation: str) -> None:
        self._name = name
        self._incarnation = incarnation
        self._seen: Stored | None = None
        self._seen_at: datetime.datetime | None = None
        self._held_until: datetime.datetime | None = None

    @property
    def record(self) -> Record | None:
        """The record as it was last seen."""
        return self._seen.record if self._seen else None

    def __repr__(self) -> str:
        return f"Duty({self._name!r}, {self.record!r})"

    def may_call(self, now: datetime.datetime) -> bool:
        """Tells whether a call under the duty ends before the lease does."""
        return self._held_until is not None and now + _CALL < self._held_until

    def see(self, stored: Stored | None, now: datetime.datetime) -> None:
        """Takes in what a linearizable read returned."""
        if stored != self._seen or self._seen_at is None:
            self._seen_at = now
        self._seen = stored

    def decide(self, now: datetime.datetime) -> Action:
        """Tells how to get or renew the duty, after `see`."""
        if self._seen is None:
            return Write(self._mine(1), None)
        record = self._seen.record
        if record.incarnation == self._incarnation:
            renewed = self._mine(record.number, record.renewals + 1)
            return Write(renewed, self._seen.revision)
        own_past = record.holder == self._name
        if record.released or own_past or self._lapsed(now):
            return Write(self._mine(record.number + 1), self._seen.revision)
        return Wait(_POLL)

    def win(self, stored: Stored, sent: datetime.datetime) -> None:
        """Takes in that a record of this process was stored.

        Args:
          stored: as the store answered.
          sent: when the call began.
        """
        self.see(stored, sent)
        if stored.record.incarnation != self._incarnation:
            return
        if stored.record.released:
            self._held_until = None
        else:
            self._held_until = sent + LEASE

    def release(self) -> Write | None:
        """Tells how to give the duty back; None if it isn't held."""
        held, self._held_until = self._held_until, None
        if held is None or self._seen is None:
            return None
        record = self._seen.record
        if record.incarnation != self._incarnation:
            return None
        given = dataclasses.replace(record, released=True)
        return Write(given, self._seen.revision)

    def _mine(self, number: int, renewals: int = 0) -> Record:
        return Record(self._name, self._incarnation, number, False, renewals)

    def _lapsed(self, now: datetime.datetime) -> bool:
        since = self._seen_at
        return since is not None and now - since >= LEASE + _SKEW
