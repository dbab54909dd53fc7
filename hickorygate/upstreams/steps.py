"""What the failover decision takes in and asks for: events and effects."""

from __future__ import annotations

import dataclasses

from hickorygate.core import events
from hickorygate.core import position as positions
from hickorygate.core import types

__all__ = [
    "Answered",
    "Call",
    "Effect",
    "Event",
    "Fence",
    "Follow",
    "LeavingChanged",
    "Lost",
    "ProbeLost",
    "Promote",
    "RankChanged",
    "Record",
    "Refused",
    "StatusSeen",
    "Tick",
]


@dataclasses.dataclass(frozen=True, slots=True)
class Effect:
    """Base of the effects."""


@dataclasses.dataclass(frozen=True, slots=True)
class Call(Effect):
    """Base of the calls to a database; each gets one answer event.

    Attributes:
      database: which is called.
      term: the term that the call belongs to.
    """

    database: types.DatabaseName
    term: types.Term


@dataclasses.dataclass(frozen=True, slots=True)
class Fence(Call):
    """Make a database refuse all lower terms."""


@dataclasses.dataclass(frozen=True, slots=True)
class Promote(Call):
    """Make a fenced database the primary."""


@dataclasses.dataclass(frozen=True, slots=True)
class Follow(Call):
    """Point a database at the primary of the term."""

    primary: types.DatabaseName


@dataclasses.dataclass(frozen=True, slots=True)
class Record(Effect):
    """Put an event on the time line."""

    event: events.Event


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """Base of the events."""


@dataclasses.dataclass(frozen=True, slots=True)
class StatusSeen(Event):
    """A probe was answered."""

    status: positions.DatabaseStatus


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeLost(Event):
    """A probe was not answered."""

    database: types.DatabaseName


@dataclasses.dataclass(frozen=True, slots=True)
class Answered(Event):
    """A call took effect, now or before."""

    call: Call
    status: positions.DatabaseStatus


@dataclasses.dataclass(frozen=True, slots=True)
class Refused(Event):
    """A database refused a call: it has promised itself to another."""

    call: Call


@dataclasses.dataclass(frozen=True, slots=True)
class Lost(Event):
    """The answer to a call was lost; it may have taken effect."""

    call: Call


@dataclasses.dataclass(frozen=True, slots=True)
class Tick(Event):
    """Time has passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class LeavingChanged(Event):
    """The databases that are about to stop."""

    databases: frozenset[types.DatabaseName]


@dataclasses.dataclass(frozen=True, slots=True)
class RankChanged(Event):
    """This proxy's place among those that look after the group; 0 is first."""

    rank: int
