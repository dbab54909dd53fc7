"""The timeline: typed events of one process, with mergeable timestamps.

Timestamps come from a hybrid logical clock. It follows the wall clock, and
moves past every timestamp that the process has received in a message, so that
sorting the events of all processes by timestamp never puts an effect before
its cause. Source: Kulkarni et al., "Logical Physical Clocks", 2014.
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
    "RecordedEvent",
    "Timestamp",
    "HybridLogicalClock",
    "StoreReset",
    "TaskFailed",
    "Timeline",
    "WritesResumed",
    "event_types",
]

_KEPT_EVENTS = 4_096
"""Number of events that are kept; older ones are dropped."""

_MAX_COUNT = 2**31
"""Count above which the next timestamp has a later wall-clock part, so that a
count stays within what other processes accept."""

_MICROSECOND = datetime.timedelta(microseconds=1)


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Timestamp:
    """A hybrid logical timestamp.

    Attributes:
      wall: wall-clock part.
      count: counter that orders timestamps with the same wall-clock part.
    """

    wall: datetime.datetime
    count: int


class HybridLogicalClock:
    """A hybrid logical clock: issues strictly increasing timestamps."""

    __slots__ = ("_clock", "_last")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._last = Timestamp(clock.now(), 0)

    def __repr__(self) -> str:
        return f"HybridLogicalClock(last={self._last})"

    def next(self) -> Timestamp:
        """Returns a timestamp above all that were issued or received."""
        now = self._clock.now()
        if now > self._last.wall:
            self._last = Timestamp(now, 0)
        elif self._last.count < _MAX_COUNT:
            self._last = Timestamp(self._last.wall, self._last.count + 1)
        else:
            self._last = Timestamp(self._last.wall + _MICROSECOND, 0)
        return self._last

    def observe(self, stamp: Timestamp) -> None:
        """Advances the clock to at least the timestamp of a message."""
        self._last = max(self._last, stamp)


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """Base class of all events."""


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessStarted(Event):
    """The process began to serve callers.

    Attributes:
      version: version of the program.
    """

    version: str


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessDraining(Event):
    """The process began to shut down and will refuse new callers."""


@dataclasses.dataclass(frozen=True, slots=True)
class TaskFailed(Event):
    """An unexpected error ended a task of this process, or a callback.

    Attributes:
      problem: what it means for the task, for example that it was started
        again.
      error: class and message of the error.
      place: where the error was raised, as "file:line function".
    """

    problem: str
    error: str
    place: str


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigApplied(Event):
    """A sheet was put in force in this process.

    Attributes:
      version: version of the sheet.
      source: "platform", or the name of the proxy that sent the sheet.
    """

    version: types.SheetVersion
    source: str


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigRejected(Event):
    """A newer sheet or instance list is invalid; the old one stays in force.

    Attributes:
      version: version of the invalid document.
      source: "platform", or the name of the proxy that sent the document.
      reason: problems that were found in the document.
    """

    version: types.SheetVersion
    source: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoreReset(Event):
    """The store holds an older sheet than the one in force.

    Attributes:
      found: version in the store; 0 if the store has no sheet.
      in_force: version in force in this process.
    """

    found: types.SheetVersion
    in_force: types.SheetVersion


@dataclasses.dataclass(frozen=True, slots=True)
class InstancesLeaving(Event):
    """The set of instances that get no new work from this process changed.

    Attributes:
      names: names of all instances in the new set, sorted.
    """

    names: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerJoined(Event):
    """Another proxy joined the fleet, or came back.

    Attributes:
      peer: name of the other proxy.
    """

    peer: types.ProxyName


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLost(Event):
    """Another proxy left the fleet or stopped answering.

    Attributes:
      peer: name of the other proxy.
    """

    peer: types.ProxyName


@dataclasses.dataclass(frozen=True, slots=True)
class DatabaseStopped(Event):
    """The demo stopped a stand-in database on purpose.

    Attributes:
      database: name of the database.
    """

    database: types.DatabaseName


@dataclasses.dataclass(frozen=True, slots=True)
class DatabaseLost(Event):
    """A database stopped answering status probes.

    Attributes:
      database: name of the database.
      reason: failure of the probe.
    """

    database: types.DatabaseName
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class DatabaseReturned(Event):
    """A database answers status probes again.

    Attributes:
      database: name of the database.
    """

    database: types.DatabaseName


@dataclasses.dataclass(frozen=True, slots=True)
class PrimaryChanged(Event):
    """A group has a new primary, or its primary leads a new term.

    Attributes:
      group: name of the group.
      database: name of the primary.
      term: term that the primary leads.
    """

    group: types.GroupName
    database: types.DatabaseName
    term: types.Term


@dataclasses.dataclass(frozen=True, slots=True)
class PrimarySuspected(Event):
    """This process saw a reason to replace the primary of a group.

    The higher the number of a proxy's rank, the longer the proxy waits before
    it starts a failover.

    Attributes:
      group: name of the group.
      reason: why the primary should be replaced.
    """

    group: types.GroupName
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class DatabaseFenced(Event):
    """A database accepted this process's fence and refuses lower terms.

    Attributes:
      group: name of the group.
      database: name of the fenced database.
      term: term of the fence.
      position: end of the database's log when it was fenced.
    """

    group: types.GroupName
    database: types.DatabaseName
    term: types.Term
    position: positions.Position


@dataclasses.dataclass(frozen=True, slots=True)
class DatabasePromoted(Event):
    """A database was promoted to primary of the term.

    Attributes:
      group: name of the group.
      database: name of the new primary.
      term: term that the new primary leads.
      base: log offset at which the history of the term starts.
    """

    group: types.GroupName
    database: types.DatabaseName
    term: types.Term
    base: types.Offset


@dataclasses.dataclass(frozen=True, slots=True)
class DatabaseFollows(Event):
    """A database was configured to replicate from the primary of the term.

    Attributes:
      group: name of the group.
      database: name of the replica.
      term: term of the primary.
    """

    group: types.GroupName
    database: types.DatabaseName
    term: types.Term


@dataclasses.dataclass(frozen=True, slots=True)
class FailoverStarted(Event):
    """This process started a failover of a group.

    Attributes:
      group: name of the group.
      term: term that the new primary will lead.
      reason: why the primary is replaced.
    """

    group: types.GroupName
    term: types.Term
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class FailoverEnded(Event):
    """This process completed or gave up a failover.

    Attributes:
      group: name of the group.
      term: term of the failover.
      outcome: the database that leads, or why the failover was given up.
    """

    group: types.GroupName
    term: types.Term
    outcome: str


@dataclasses.dataclass(frozen=True, slots=True)
class WritesResumed(Event):
    """Writes succeed again after a gap without any successful write.

    Attributes:
      group: name of the group.
      gap: duration of the gap, as callers experienced it.
    """

    group: types.GroupName
    gap: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class RecordedEvent:
    """An event with its place on the timeline.

    Attributes:
      stamp: timestamp of the event.
      process: name of the process that recorded the event.
      event: the event itself.
    """

    stamp: Timestamp
    process: types.ProxyName
    event: Event


class Journal(Protocol):
    """A sink for events."""

    def record(self, event: Event) -> None:
        """Records an event; must be cheap enough to run for each request."""


class Timeline:
    """The newest events of this process, and counts of all of them."""

    __slots__ = ("_clock", "_counts", "_events", "_process")

    def __init__(
        self, process: types.ProxyName, clock: HybridLogicalClock
    ) -> None:
        self._process = process
        self._clock = clock
        self._events: collections.deque[RecordedEvent] = collections.deque(
            maxlen=_KEPT_EVENTS
        )
        self._counts: collections.Counter[type[Event]] = collections.Counter()

    @property
    def counts(self) -> Mapping[type[Event], int]:
        """Number of events of each class since the start, kept or not."""
        return self._counts

    @property
    def process(self) -> types.ProxyName:
        """Name of the process that records its events here."""
        return self._process

    @property
    def events(self) -> tuple[RecordedEvent, ...]:
        """The newest events, oldest first."""
        return tuple(self._events)

    def __repr__(self) -> str:
        return f"Timeline({self._process!r}, events={len(self._events)})"

    def record(self, event: Event) -> None:
        """Adds an event with the next timestamp of the clock."""
        self._counts[type(event)] += 1
        self._events.append(
            RecordedEvent(self._clock.next(), self._process, event)
        )


def event_types() -> tuple[type[Event], ...]:
    """Returns all event classes of this module, sorted by name."""
    exported = (globals()[name] for name in sorted(__all__))
    return tuple(
        kind
        for kind in exported
        if isinstance(kind, type) and issubclass(kind, Event)
        if kind is not Event
    )
