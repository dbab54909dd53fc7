"""When to ask the store for a newer document: decisions without I/O.

A relay holds a watch. The others hear of new versions from their peers; they
read on their own at long intervals, at short ones while they hold none
or hear no relay.
"""

from __future__ import annotations

import dataclasses
import datetime
import functools
import random
from typing import Protocol

from hickorygate.core import document as documents
from hickorygate.core import errors
from hickorygate.core import types
from hickorygate.store import backoff
from hickorygate.store import configuration as configurations
from hickorygate.store import failures

__all__ = [
    "Answered",
    "Document",
    "Failed",
    "Pause",
    "Read",
    "Role",
    "Step",
    "Watch",
    "WatchPlan",
]

_WATCH_WAIT = datetime.timedelta(seconds=20)
_READ_INTERVAL = datetime.timedelta(seconds=60)
"""Between the reads of a proxy that hears a relay."""
_LONE_READ_INTERVAL = datetime.timedelta(seconds=15)
"""Between the reads of one that hears of no relay that reaches the store."""
_EMPTY_READ_INTERVAL = datetime.timedelta(seconds=3)
"""Between the reads of one that holds no version."""
_FIRST_RETRY = datetime.timedelta(milliseconds=200)
_LONGEST_RETRY = datetime.timedelta(seconds=3)
_NO_SHEET_RETRY = datetime.timedelta(seconds=1)
_ROLE_CHECK = datetime.timedelta(milliseconds=250)
"""Between two looks at the role while there is nothing to ask."""


class Document(Protocol):
    """A document of the store, as far as it is held here."""

    @property
    def examined(self) -> int:
        """The newest version held or rejected."""

    @property
    def ready(self) -> bool:
        """Whether any version is held."""

    def offer(
        self, candidate: documents.Candidate
    ) -> tuple[configurations.Effect, ...]:
        """Takes a copy if it is newer and valid."""

    def compare(self, found: int) -> tuple[configurations.Effect, ...]:
        """Compares the store's version with the one held."""


@dataclasses.dataclass(frozen=True, slots=True)
class Role:
    """What the other proxies make of this one.

    Attributes:
      relay: it watches the store for its availability zone.
      hears_relay: it heard lately of a relay that reached the store.
    """

    relay: bool
    hears_relay: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """Base of what to do next."""


@dataclasses.dataclass(frozen=True, slots=True)
class Watch(Step):
    """Wait at the store for a sheet after a version."""

    after: types.SheetVersion
    wait: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class Read(Step):
    """Read a sheet after a version, without waiting for one."""

    after: types.SheetVersion


@dataclasses.dataclass(frozen=True, slots=True)
class Pause(Step):
    """Do nothing for a while."""

    duration: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The store answered; its version is 0 if it has none."""

    version: types.SheetVersion


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """A call failed."""

    failure: errors.Failure


class WatchPlan:
    """Chooses between watching, reading and pausing."""

    __slots__ = (
        "_backoff",
        "_document",
        "_generator",
        "_jitter",
        "_last_read",
        "_retry_at",
    )

    def __init__(
        self,
        document: Document,
        generator: random.Random,
    ) -> None:
        self._document = document
        self._generator = generator
        self._backoff = backoff.Backoff(_FIRST_RETRY, _LONGEST_RETRY, generator)
        self._jitter = 1.0
        self._last_read: datetime.datetime | None = None
        self._retry_at: datetime.datetime | None = None

    def __repr__(self) -> str:
        return f"WatchPlan(retry_at={self._retry_at})"

    def step(self, role: Role, now: datetime.datetime) -> Step:
        """Returns what to do now."""
        due = self._due(role)
        if due is not None and now < due:
            return Pause(min(due - now, _ROLE_CHECK))
        after = self._document.examined
        if role.relay:
            return Watch(after, _WATCH_WAIT)
        self._last_read = now
        self._jitter = self._generator.uniform(0.5, 1)
        return Read(after)

    def take(
        self, outcome: Answered | Failed, now: datetime.datetime
    ) -> tuple[configurations.Effect, ...]:
        """Takes in what a call brought."""
        return _take(outcome, self, now)

    def answered(
        self, version: types.SheetVersion, now: datetime.datetime
    ) -> tuple[configurations.Effect, ...]:
        """Ends the back-off; a store without a sheet is asked again later."""
        self._backoff.succeed()
        self._retry_at = None if version else now + _NO_SHEET_RETRY
        return self._document.compare(version)

    def failed(self, least: datetime.timedelta, now: datetime.datetime) -> None:
        """Waits at least this long before the next call."""
        self._retry_at = now + max(least, self._backoff.fail())

    def _due(self, role: Role) -> datetime.datetime | None:
        if role.relay or self._last_read is None:
            return self._retry_at
        read_at = self._last_read + self._interval(role) * self._jitter
        return max(read_at, self._retry_at or read_at)

    def _interval(self, role: Role) -> datetime.timedelta:
        if not self._document.ready:
            return _EMPTY_READ_INTERVAL
        return _READ_INTERVAL if role.hears_relay else _LONE_READ_INTERVAL


@functools.singledispatch
def _take(
    outcome: Answered | Failed, plan: WatchPlan, now: datetime.datetime
) -> tuple[configurations.Effect, ...]:
    raise TypeError(f"no way to take {outcome!r}; register one")


@_take.register
def _(
    outcome: Answered, plan: WatchPlan, now: datetime.datetime
) -> tuple[configurations.Effect, ...]:
    return plan.answered(outcome.version, now)


@_take.register
def _(
    outcome: Failed, plan: WatchPlan, now: datetime.datetime
) -> tuple[configurations.Effect, ...]:
    plan.failed(_least_wait(outcome.failure), now)
    return ()


@functools.singledispatch
def _least_wait(failure: errors.Failure) -> datetime.timedelta:
    return datetime.timedelta()


@_least_wait.register
def _(failure: failures.StoreBudgetSpent) -> datetime.timedelta:
    return failure.retry_after
