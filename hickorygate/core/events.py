"""The time line: typed events of one process, stamped so that they merge.

A stamp is a hybrid logical clock: it follows the wall clock, and moves past
every stamp that the process has seen in a message, so that sorting the
events of all processes by stamp never puts an effect before its cause.
Source: Kulkarni et al., "Logical Physical Clocks", 2014.
"""

from __future__ import annotations

import collections
from collections.abc import Mapping
import dataclasses
import datetime
from typing import Protocol

from hickorygate.core import clock as clocks
from hickorygate.core import position as positions
from hickorygate.core import types

__all__ = [
    "ConfigApplied",
    "ConfigRejected",
    "DatabaseFenced",
    "DatabaseFollows",
    "DatabaseLost",
    "DatabasePromoted",
    "DatabaseReturned",
    "DatabaseStopped",
    "Event",
    "FailoverEnded",
    "FailoverStarted",
    "InstancesLeaving",
    "Journal",
    "PeerJoined",
    "PeerLost",
    "PrimaryChanged",
    "PrimarySuspected",
    "ProcessDraining",
    "ProcessStarted",
    "Recorded",
    "Stamp",
    "StampClock",
    "StoreReset",
    "TimeLine",
    "WritesResumed",
    "kinds",
]

_KEPT_EVENTS = 4_096


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Stamp:
    """Hybrid logical time.

    Attributes:
      wall: the wall clock's part.
      count: orders stamps with the same wall part.
    """

    wall: datetime.datetime
    count: int


class StampClock:
    """Hands out rising stamps and takes in those of other processes."""

    __slots__ = ("_clock", "_last")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._last = Stamp(clock.now(), 0)

    def __repr__(self) -> str:
        return f"StampClock(last={self._last})"

    def next(self) -> Stamp:
        """Returns a stamp above all that were returned or seen."""
        now = self._clock.now()
        if now > self._last.wall:
            self._last = Stamp(now, 0)
        else:
            self._last = Stamp(self._last.wall, self._last.count + 1)
        return self._last

    def see(self, stamp: Stamp) -> None:
        """Takes in the stamp of a received message."""
        self._last = max(self._last, stamp)


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """Base of all events."""


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessStarted(Event):
    """The process serves."""

    version: str


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessDraining(Event):
    """The process takes no new callers."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigApplied(Event):
    """A sheet is in force here."""

    version: types.SheetVersion
    source: str


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigRejected(Event):
    """A newer sheet can't be used; the old one stays in force."""

    version: types.SheetVersion
    source: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoreReset(Event):
    """The store holds an older sheet than the one in force."""

    found: types.SheetVersion
    in_force: types.SheetVersion


@dataclasses.dataclass(frozen=True, slots=True)
class InstancesLeaving(Event):
    """These instances, and no others, get no new work here."""

    names: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerJoined(Event):
    """Another proxy was heard for the first time."""

    peer: types.ProxyName


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLost(Event):
    """Another proxy fell silent."""

    peer: types.ProxyName


@dataclasses.dataclass(frozen=True, slots=True)
class DatabaseStopped(Event):
    """A stand-in database was stopped on purpose."""

    database: types.DatabaseName


@dataclasses.dataclass(frozen=True, slots=True)
class DatabaseLost(Event):
    """A database stopped answering probes."""

    database: types.DatabaseName
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class DatabaseReturned(Event):
    """A database answers again."""

    database: types.DatabaseName


@dataclasses.dataclass(frozen=True, slots=True)
class PrimaryChanged(Event):
    """A new primary was seen."""

    group: types.GroupName
    database: types.DatabaseName
    term: types.Term


@dataclasses.dataclass(frozen=True, slots=True)
class PrimarySuspected(Event):
    """A group seems to need another primary; higher ranks go first."""

    group: types.GroupName
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class DatabaseFenced(Event):
    """A database took this process's fence, with its log at the position."""

    group: types.GroupName
    database: types.DatabaseName
    term: types.Term
    position: positions.Position


@dataclasses.dataclass(frozen=True, slots=True)
class DatabasePromoted(Event):
    """A database leads the term, whose history starts at the base."""

    group: types.GroupName
    database: types.DatabaseName
    term: types.Term
    base: types.Offset


@dataclasses.dataclass(frozen=True, slots=True)
class DatabaseFollows(Event):
    """A database was pointed at the primary of the term."""

    group: types.GroupName
    database: types.DatabaseName
    term: types.Term


@dataclasses.dataclass(frozen=True, slots=True)
class FailoverStarted(Event):
    """This process began to replace a primary."""

    group: types.GroupName
    term: types.Term
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class FailoverEnded(Event):
    """This process finished or gave up replacing a primary."""

    group: types.GroupName
    term: types.Term
    outcome: str


@dataclasses.dataclass(frozen=True, slots=True)
class WritesResumed(Event):
    """A write was answered again after a gap, as callers saw it."""

    group: types.GroupName
    gap: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class Recorded:
    """An event with its place on the time line."""

    stamp: Stamp
    process: types.ProxyName
    event: Event


class Journal(Protocol):
    """Who takes events in."""

    def record(self, event: Event) -> None:
        """Takes in an event; cheap enough for each request."""


class TimeLine:
    """Keeps the newest events of this process."""

    __slots__ = ("_clock", "_counts", "_events", "_process")

    def __init__(self, process: types.ProxyName, clock: StampClock) -> None:
        self._process = process
        self._clock = clock
        self._events: collections.deque[Recorded] = collections.deque(
            maxlen=_KEPT_EVENTS
        )
        self._counts: collections.Counter[type[Event]] = collections.Counter()

    @property
    def counts(self) -> Mapping[type[Event], int]:
        """Events of each kind since the start, kept or not."""
        return self._counts

    @property
    def process(self) -> types.ProxyName:
        """The process whose events these are."""
        return self._process

    @property
    def events(self) -> tuple[Recorded, ...]:
        """The kept events, oldest first."""
        return tuple(self._events)

    def __repr__(self) -> str:
        return f"TimeLine({self._process!r}, events={len(self._events)})"

    def record(self, event: Event) -> None:
        """Adds an event at the present."""
        self._counts[type(event)] += 1
        self._events.append(Recorded(self._clock.next(), self._process, event))


def kinds() -> tuple[type[Event], ...]:
    """Returns all kinds of event, by name."""
    exported = (globals()[name] for name in sorted(__all__))
    return tuple(
        kind
        for kind in exported
        if isinstance(kind, type) and issubclass(kind, Event)
        if kind is not Event
    )
