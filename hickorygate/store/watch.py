"""Decides when to ask the store for a newer document, without I/O.

A relay keeps a watch open at the store. The other proxies learn of new versions
from their peers, and read from the store only at long intervals. They read at
shorter intervals while they have no document, or while no relay that reaches
the store is known.
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
from hickorygate.store import failures
from hickorygate.store import sheet_state

__all__ = [
    "Answered",
    "Document",
    "Failed",
    "Pause",
    "Read",
    "RelayRole",
    "Step",
    "Watch",
    "WatchPlan",
]

_WATCH_WAIT = datetime.timedelta(seconds=20)
"""Time for which the store may hold a relay's watch open."""
_READ_INTERVAL = datetime.timedelta(seconds=60)
"""Time between reads while a relay that reaches the store is known."""
_NO_RELAY_READ_INTERVAL = datetime.timedelta(seconds=15)
"""Time between reads while no relay that reaches the store is known."""
_NO_DOCUMENT_READ_INTERVAL = datetime.timedelta(seconds=3)
"""Time between reads while there is no version of the document."""
_FIRST_RETRY_DELAY = datetime.timedelta(milliseconds=200)
_MAX_RETRY_DELAY = datetime.timedelta(seconds=3)
_EMPTY_STORE_RETRY_DELAY = datetime.timedelta(seconds=1)
"""Time until a store that has no version of the document is asked again."""
_ROLE_CHECK_INTERVAL = datetime.timedelta(milliseconds=250)
"""Time between two checks of the proxy's role while no call is due."""


class Document(Protocol):
    """This process's state of one document in the store."""

    @property
    def examined_version(self) -> int:
        """The newest version applied or rejected."""

    @property
    def ready(self) -> bool:
        """Whether this process can serve callers.

        The process serves them with its current copy of the document, or
        without one.
        """

    def offer(
        self, candidate: documents.ReceivedDocument
    ) -> tuple[sheet_state.Effect, ...]:
        """Applies a copy if it is newer and valid."""

    def compare_store_version(
        self, found: int
    ) -> tuple[sheet_state.Effect, ...]:
        """Compares the version in the store with the one in force."""


@dataclasses.dataclass(frozen=True, slots=True)
class RelayRole:
    """Whether this proxy watches the store, and whether the store is reached.

    Attributes:
      relay: whether this proxy watches the store for its availability zone.
      store_recently_reached: whether any proxy recently reached the store, as
        far as is known.
    """

    relay: bool
    store_recently_reached: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """Base class of the next steps."""


@dataclasses.dataclass(frozen=True, slots=True)
class Watch(Step):
    """Watch the store for a newer version.

    Attributes:
      after: version that the new one must exceed.
      wait: maximum time to wait for a new version.
    """

    after: types.SheetVersion
    wait: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class Read(Step):
    """Read a newer version from the store, without waiting for one.

    Attributes:
      after: version that the new one must exceed.
    """

    after: types.SheetVersion


@dataclasses.dataclass(frozen=True, slots=True)
class Pause(Step):
    """Make no call for some time.

    Attributes:
      duration: time until the next step is chosen.
    """

    duration: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The store answered.

    Attributes:
      version: version in the store; 0 if the store has none.
    """

    version: types.SheetVersion


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """A call to the store failed.

    Attributes:
      failure: why the call failed.
    """

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
        self._backoff = backoff.Backoff(
            _FIRST_RETRY_DELAY, _MAX_RETRY_DELAY, generator
        )
        self._jitter = 1.0
        self._last_read: datetime.datetime | None = None
        self._retry_at: datetime.datetime | None = None

    def __repr__(self) -> str:
        return f"WatchPlan(retry_at={self._retry_at})"

    def step(self, role: RelayRole, now: datetime.datetime) -> Step:
        """Returns the next step."""
        due = self._next_call_time(role)
        if due is not None and now < due:
            return Pause(min(due - now, _ROLE_CHECK_INTERVAL))
        after = self._document.examined_version
        if role.relay:
            return Watch(after, _WATCH_WAIT)
        self._last_read = now
        self._jitter = self._generator.uniform(0.5, 1)
        return Read(after)

    def handle(
        self, outcome: Answered | Failed, now: datetime.datetime
    ) -> tuple[sheet_state.Effect, ...]:
        """Handles the outcome of a call; returns the actions to carry out."""
        return _handle(outcome, self, now)

    def answered(
        self, version: types.SheetVersion, now: datetime.datetime
    ) -> tuple[sheet_state.Effect, ...]:
        """Handles an answer of the store.

        The backoff is reset. A store without the document is asked again after
        a fixed delay.

        Args:
          version: version in the store; 0 if the store has none.
          now: current time.

        Returns:
          The actions to carry out.
        """
        self._backoff.reset()
        self._retry_at = None if version else now + _EMPTY_STORE_RETRY_DELAY
        return self._document.compare_store_version(version)

    def failed(self, least: datetime.timedelta, now: datetime.datetime) -> None:
        """Handles a failed call by delaying the next one.

        Args:
          least: minimum delay; the backoff may ask for more.
          now: current time.
        """
        self._retry_at = now + max(least, self._backoff.record_failure())

    def _next_call_time(self, role: RelayRole) -> datetime.datetime | None:
        if role.relay or self._last_read is None:
            return self._retry_at
        read_at = self._last_read + self._read_interval(role) * self._jitter
        return max(read_at, self._retry_at or read_at)

    def _read_interval(self, role: RelayRole) -> datetime.timedelta:
        if not self._document.ready:
            return _NO_DOCUMENT_READ_INTERVAL
        return (
            _READ_INTERVAL
            if role.store_recently_reached
            else _NO_RELAY_READ_INTERVAL
        )


@functools.singledispatch
def _handle(
    outcome: Answered | Failed, plan: WatchPlan, now: datetime.datetime
) -> tuple[sheet_state.Effect, ...]:
    raise TypeError(f"no handler for {outcome!r}; register one")


@_handle.register
def _(
    outcome: Answered, plan: WatchPlan, now: datetime.datetime
) -> tuple[sheet_state.Effect, ...]:
    return plan.answered(outcome.version, now)


@_handle.register
def _(
    outcome: Failed, plan: WatchPlan, now: datetime.datetime
) -> tuple[sheet_state.Effect, ...]:
    plan.failed(_minimum_delay(outcome.failure), now)
    return ()


@functools.singledispatch
def _minimum_delay(failure: errors.Failure) -> datetime.timedelta:
    return datetime.timedelta()


@_minimum_delay.register
def _(failure: failures.StoreRateLimited) -> datetime.timedelta:
    return failure.retry_after
