"""Follows the objects of one kind: lists them once, then watches for changes.

The calls to the store are made through `Source`, which hides its protocol.
"""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses
import datetime
import functools
import random
from typing import Protocol

import expression

from hickorygate.core import clock as clocks
from hickorygate.core import errors
from hickorygate.store import backoff

__all__ = [
    "Change",
    "ListWatch",
    "HistoryLost",
    "ChangeBatch",
    "Sink",
    "Snapshot",
    "Source",
    "StoreRestored",
    "StoredObject",
    "WatchSettings",
]

_MIN_BATCH_DELAY = datetime.timedelta(milliseconds=200)
"""Delay before the next call after changes, so that changes in quick succession
are fetched together."""

_MAX_BATCH_DELAY = datetime.timedelta(milliseconds=800)
"""Longest such delay; it doubles while each call returns changes at once."""

_FIRST_RETRY_DELAY = datetime.timedelta(milliseconds=100)
_MAX_RETRY_DELAY = datetime.timedelta(milliseconds=800)


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """An object of the store.

    Attributes:
      name: name, unique among objects of its kind.
      revision: revision of the store at the object's last change.
      value: content of the object, not validated.
    """

    name: str
    revision: int
    value: object


@dataclasses.dataclass(frozen=True, slots=True)
class WatchSettings:
    """What a `ListWatch` follows.

    Attributes:
      kind: kind of the objects.
      wait: time for which the store may hold a watch open. A watch whose answer
        gets lost is noticed one call time-out later, so `wait` and the time-out
        bound the delay of a change.
      may_be_outdated: whether changes may arrive some seconds late, which
        makes the watches cheap. The list is never outdated.
    """

    kind: str
    wait: datetime.timedelta
    may_be_outdated: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One change of an object.

    Attributes:
      stored: the object after the change.
      deleted: whether the object was removed.
    """

    stored: StoredObject
    deleted: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """All objects of a kind.

    Attributes:
      objects: the objects.
      revision: revision of the store to watch from.
      era: number that rises each time that the store is restored from an older
        copy; 0 if unknown.
    """

    objects: Sequence[StoredObject]
    revision: int
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeBatch:
    """Changes of objects of a kind since a revision.

    Attributes:
      changes: the changes, the newest last.
      revision: revision of the store to continue the watch from.
      era: as in `Snapshot`.
    """

    changes: Sequence[Change]
    revision: int
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryLost(errors.Failure):
    """The store no longer has the changes since a revision.

    Attributes:
      revision: revision that the watch was to start from.
    """

    revision: int

    @property
    def message(self) -> str:
        """Human-readable message."""
        return f"history since revision {self.revision} is gone; list again"


@dataclasses.dataclass(frozen=True, slots=True)
class StoreRestored(errors.Failure):
    """The store was restored from an older copy, which gives revisions again.

    Attributes:
      known: era whose revisions are known.
      found: present era of the store.
    """

    known: int
    found: int

    @property
    def message(self) -> str:
        """Human-readable message."""
        return (
            f"the store went from era {self.known} to {self.found}; list again"
        )


class Source(Protocol):
    """A store whose objects can be listed and watched."""

    async def list(
        self, kind: str
    ) -> expression.Result[Snapshot, errors.Failure]:
        """Returns all objects of a kind, including all acknowledged changes."""

    async def watch(
        self, settings: WatchSettings, revision: int
    ) -> expression.Result[ChangeBatch, errors.Failure]:
        """Returns the changes after a revision; waits for one if needed.

        Args:
          settings: kind of the objects, and how to watch them.
          revision: revision of the store after which changes are wanted.
        """


class Sink(Protocol):
    """The receiver of the objects and their changes."""

    def replace(self, objects: Sequence[StoredObject]) -> None:
        """Replaces all objects of the kind."""

    def change(self, change: Change) -> None:
        """Applies one change."""

    def failed(self, failure: errors.Failure, took: datetime.timedelta) -> None:
        """Reports each call without a usable answer, and how long it took."""

    def lost(self, failure: errors.Failure) -> None:
        """Reports that the store stopped answering; called once per outage."""

    def regained(self) -> None:
        """Reports that the store answers again after an outage."""


class ListWatch:
    """Keeps a sink up to date with the objects of one kind."""

    __slots__ = (
        "_backoff",
        "_batch_delay",
        "_clock",
        "_connected",
        "_era",
        "_revision",
        "_settings",
        "_sink",
        "_source",
    )

    def __init__(
        self,
        settings: WatchSettings,
        source: Source,
        sink: Sink,
        clock: clocks.Clock,
        generator: random.Random,
    ) -> None:
        self._settings = settings
        self._source = source
        self._sink = sink
        self._clock = clock
        self._backoff = backoff.Backoff(
            _FIRST_RETRY_DELAY, _MAX_RETRY_DELAY, generator
        )
        self._revision: int | None = None
        self._era = 0
        self._connected = True
        self._batch_delay = _MIN_BATCH_DELAY

    def __repr__(self) -> str:
        kind = self._settings.kind
        return f"ListWatch({kind!r}, revision={self._revision})"

    async def run(self) -> None:
        """Follows the store until the task is cancelled."""
        while True:
            began = self._clock.now()
            match await self._step():
                case expression.Result(tag="ok", ok=pause):
                    self._record_success()
                    await self._clock.sleep(pause)
                case expression.Result(tag="error", error=failure):
                    self._sink.failed(failure, self._clock.now() - began)
                    await self._clock.sleep(_handle_failure(failure, self))

    async def _step(
        self,
    ) -> expression.Result[datetime.timedelta, errors.Failure]:
        """Makes one call and returns the delay before the next one."""
        if self._revision is None:
            listed = await self._source.list(self._settings.kind)
            if listed.is_error():
                return expression.Error(listed.error)
            if listed.ok.era < self._era:
                return expression.Ok(_MIN_BATCH_DELAY)
            self._revision = listed.ok.revision
            self._era = listed.ok.era
            self._sink.replace(listed.ok.objects)
            return expression.Ok(datetime.timedelta())
        began = self._clock.now()
        batch = await self._source.watch(self._settings, self._revision)
        if batch.is_error():
            return expression.Error(batch.error)
        if batch.ok.era > self._era:
            return expression.Error(StoreRestored(self._era, batch.ok.era))
        if batch.ok.era < self._era:
            # An outdated view from before the restore.
            return expression.Ok(_MIN_BATCH_DELAY)
        self._apply(batch.ok, self._revision)
        if not batch.ok.changes:
            return expression.Ok(datetime.timedelta())
        return expression.Ok(self._next_batch_delay(began))

    def _apply(self, batch: ChangeBatch, known: int) -> None:
        """Applies the changes that are newer than what is known.

        An outdated view may report states from before the list, for example an
        object that was removed since. A removal keeps the revision of the
        object's last change, so it is always applied.

        Args:
          batch: changes that the store returned.
          known: revision up to which all changes were applied before.
        """
        for change in batch.changes:
            if _is_newer(change, known):
                self._sink.change(change)
        self._revision = max(known, batch.revision)

    def _next_batch_delay(self, began: datetime.datetime) -> datetime.timedelta:
        """Returns the delay after a watch that returned changes.

        Args:
          began: time at which the watch was sent.
        """
        if self._clock.now() - began < _MIN_BATCH_DELAY:
            self._batch_delay = min(2 * self._batch_delay, _MAX_BATCH_DELAY)
        else:
            self._batch_delay = _MIN_BATCH_DELAY
        return self._batch_delay

    def _record_success(self) -> None:
        self._backoff.reset()
        if not self._connected:
            self._connected = True
            self._sink.regained()

    def forget_revision(self) -> None:
        """Makes the next call list all objects instead of watching."""
        self._revision = None

    def note_failure(self, failure: errors.Failure) -> datetime.timedelta:
        """Records a failed call and returns the delay before the next one.

        The sink is notified of the first failure of an outage only.
        """
        if self._connected:
            self._connected = False
            self._sink.lost(failure)
        return self._backoff.record_failure()


def _is_newer(change: Change, revision: int) -> bool:
    """Returns whether a change may be one after a revision."""
    return change.deleted or change.stored.revision > revision


@functools.singledispatch
def _handle_failure(
    failure: errors.Failure, feed: ListWatch
) -> datetime.timedelta:
    """Handles a failed call and returns the delay before the next one."""
    return feed.note_failure(failure)


@_handle_failure.register
def _(failure: HistoryLost, feed: ListWatch) -> datetime.timedelta:
    feed.forget_revision()
    return datetime.timedelta()


@_handle_failure.register
def _(failure: StoreRestored, feed: ListWatch) -> datetime.timedelta:
    feed.forget_revision()
    return datetime.timedelta()
