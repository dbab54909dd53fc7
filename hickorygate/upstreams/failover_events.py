"""Events that the failover state machine handles, and its effects."""

from __future__ import annotations

import dataclasses

from hickorygate.core import events
from hickorygate.core import position
from hickorygate.core import types

__all__ = [
    "CallSucceeded",
    "Call",
    "Effect",
    "Event",
    "Fence",
    "Follow",
    "LeavingChanged",
    "CallLost",
    "ProbeFailed",
    "Promote",
    "RankChanged",
    "RecordEvent",
    "CallRefused",
    "StatusSeen",
    "Tick",
]


@dataclasses.dataclass(frozen=True, slots=True)
class Effect:
    """Base class of the effects."""


@dataclasses.dataclass(frozen=True, slots=True)
class Call(Effect):
    """Base class of the calls to a database; each call ends with one event.

    The event is `CallSucceeded`, `CallRefused` or `CallLost`.

    Attributes:
      database: name of the database to call.
      term: term that the call belongs to.
    """

    database: types.DatabaseName
    term: types.Term


@dataclasses.dataclass(frozen=True, slots=True)
class Fence(Call):
    """A call that makes a database refuse all lower terms."""


@dataclasses.dataclass(frozen=True, slots=True)
class Promote(Call):
    """A call that makes a fenced database the primary."""


@dataclasses.dataclass(frozen=True, slots=True)
class Follow(Call):
    """A call that makes a database follow the primary of the term.

    Attributes:
      primary: name of the primary.
    """

    primary: types.DatabaseName


@dataclasses.dataclass(frozen=True, slots=True)
class RecordEvent(Effect):
    """Records an event on the timeline."""

    event: events.Event


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """Base class of the events."""


@dataclasses.dataclass(frozen=True, slots=True)
class StatusSeen(Event):
    """A database answered a probe with its status."""

    status: position.DatabaseStatus


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeFailed(Event):
    """A database didn't answer a probe."""

    database: types.DatabaseName


@dataclasses.dataclass(frozen=True, slots=True)
class CallSucceeded(Event):
    """A database carried out a call, now or at an earlier attempt.

    Attributes:
      call: the call that was answered.
      status: status of the database after the call.
    """

    call: Call
    status: position.DatabaseStatus


@dataclasses.dataclass(frozen=True, slots=True)
class CallRefused(Event):
    """A database refused a call, because it accepted another run's term."""

    call: Call


@dataclasses.dataclass(frozen=True, slots=True)
class CallLost(Event):
    """The answer to a call was lost; the call may have taken effect."""

    call: Call


@dataclasses.dataclass(frozen=True, slots=True)
class Tick(Event):
    """Time has passed; sent at regular intervals."""


@dataclasses.dataclass(frozen=True, slots=True)
class LeavingChanged(Event):
    """The set of databases that are about to stop has changed.

    Attributes:
      databases: names of all databases that are about to stop.
    """

    databases: frozenset[types.DatabaseName]


@dataclasses.dataclass(frozen=True, slots=True)
class RankChanged(Event):
    """The rank of this proxy among those that watch the group has changed.

    Attributes:
      rank: new rank; 0 is first.
    """

    rank: int
