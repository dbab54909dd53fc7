"""Follows the objects of one kind: listed once, then watched.

What varies by front end, how a store is asked, stands behind `Source`.
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
    "Feed",
    "HistoryLost",
    "News",
    "Sink",
    "Snapshot",
    "Source",
    "StoredObject",
]

_WAIT = datetime.timedelta(seconds=4)
"""How long the store holds a watch; a connection that has gone silent is
noticed within it."""

_PACE = datetime.timedelta(milliseconds=200)
"""After changes, before the next call: many in a row are fetched together."""

_FIRST_PAUSE = datetime.timedelta(milliseconds=100)
_LONGEST_PAUSE = datetime.timedelta(milliseconds=800)


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """An object of the store.

    Attributes:
      name: unique in its kind.
      revision: the store's revision at its last change.
      value: its content, not validated.
    """

    name: str
    revision: int
    value: object


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One change; `gone` if the object was removed."""

    stored: StoredObject
    gone: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """All objects of a kind, and the revision to watch from."""

    objects: Sequence[StoredObject]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class News:
    """Changes since a revision, and the revision to go on from."""

    changes: Sequence[Change]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryLost(errors.Failure):
    """The store no longer knows what changed since a revision."""

    revision: int

    @property
    def message(self) -> str:
        """Text for a person."""
        return f"history since revision {self.revision} is gone; list again"


class Source(Protocol):
    """Asks the store."""

    async def list(
        self, kind: str
    ) -> expression.Result[Snapshot, errors.Failure]:
        """Returns all objects of a kind, as new as any acknowledged change."""

    async def watch(
        self, kind: str, revision: int, wait: datetime.timedelta
    ) -> expression.Result[News, errors.Failure]:
        """Returns changes after a revision, waiting for one."""


class Sink(Protocol):
    """Takes the objects in."""

    def replace(self, objects: Sequence[StoredObject]) -> None:
        """Takes in all objects of the kind."""

    def change(self, change: Change) -> None:
        """Takes in one change."""

    def lost(self, failure: errors.Failure) -> None:
        """Takes in that the store can't be asked at the moment."""

    def regained(self) -> None:
        """Takes in that the store answers again."""


class Feed:
    """Keeps a sink up to date with one kind of objects."""

    __slots__ = (
        "_backoff",
        "_clock",
        "_connected",
        "_kind",
        "_revision",
        "_sink",
        "_source",
    )

    def __init__(
        self,
        kind: str,
        source: Source,
        sink: Sink,
        clock: clocks.Clock,
        generator: random.Random,
    ) -> None:
        self._kind = kind
        self._source = source
        self._sink = sink
        self._clock = clock
        self._backoff = backoff.Backoff(_FIRST_PAUSE, _LONGEST_PAUSE, generator)
        self._revision: int | None = None
        self._connected = True

    def __repr__(self) -> str:
        return f"Feed({self._kind!r}, revision={self._revision})"

    async def run(self) -> None:
        """Follows the store until it is cancelled."""
        while True:
            match await self._step():
                case expression.Result(tag="ok", ok=pause):
                    self._note_answer()
                    await self._clock.sleep(pause)
                case expression.Result(tag="error", error=failure):
                    await self._clock.sleep(_take_failure(failure, self))

    async def _step(
        self,
    ) -> expression.Result[datetime.timedelta, errors.Failure]:
        """Makes one call; returns how long to wait before the next."""
        if self._revision is None:
            listed = await self._source.list(self._kind)
            if listed.is_error():
                return expression.Error(listed.error)
            self._revision = listed.ok.revision
            self._sink.replace(listed.ok.objects)
            return expression.Ok(datetime.timedelta())
        news = await self._source.watch(self._kind, self._revision, _WAIT)
        if news.is_error():
            return expression.Error(news.error)
        self._revision = max(self._revision, news.ok.revision)
        for change in news.ok.changes:
            self._sink.change(change)
        pause = _PACE if news.ok.changes else datetime.timedelta()
        return expression.Ok(pause)

    def _note_answer(self) -> None:
        self._backoff.succeed()
        if not self._connected:
            self._connected = True
            self._sink.regained()

    def forget_revision(self) -> None:
        """Makes the next call list all objects."""
        self._revision = None

    def note_failure(self, failure: errors.Failure) -> datetime.timedelta:
        """Tells the sink of a lost store once; returns how long to wait."""
        if self._connected:
            self._connected = False
            self._sink.lost(failure)
        return self._backoff.fail()


@functools.singledispatch
def _take_failure(failure: errors.Failure, feed: Feed) -> datetime.timedelta:
    """Takes a failure in; returns how long to wait before the next call."""
    return feed.note_failure(failure)


@_take_failure.register
def _(failure: HistoryLost, feed: Feed) -> datetime.timedelta:
    feed.forget_revision()
    return datetime.timedelta()
