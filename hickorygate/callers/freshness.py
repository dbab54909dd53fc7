"""Which databases are fresh enough for a read: decisions without I/O.

A read sees at least its session's own writes, and data no older than the
staleness that it accepts. Three rules follow:

- A floor of a newer term than this proxy has seen means that the proxy's
  view is old; it serves nothing before it has caught up.
- A session whose floor is not settled (it came without a token) first gets
  one: the primary's position, observed after it arrived, under a term that a
  majority confirmed after it arrived.
- A read that accepts no staleness goes to the primary; one that does may use
  a replica whose data is provably young enough and at the floor.
"""

from __future__ import annotations

import dataclasses
import datetime
from typing import Protocol

from hickorygate.callers import session as sessions
from hickorygate.core import position as positions
from hickorygate.core import request as requests
from hickorygate.core import types

__all__ = [
    "FromPrimary",
    "FromReplicas",
    "Group",
    "OldView",
    "Plan",
    "UnsettledFloor",
    "plan",
]


class Group(Protocol):
    """What is known of a group; its view without the connections."""

    @property
    def name(self) -> types.GroupName:
        """The group's name."""

    @property
    def term(self) -> types.Term:
        """The newest term seen."""

    @property
    def primary(self) -> positions.DatabaseStatus | None:
        """The primary of the newest term."""

    def replicas_at(
        self, floor: positions.Position
    ) -> tuple[positions.DatabaseStatus, ...]:
        """Replicas of the newest term that have reached a floor."""

    def staleness(
        self, name: types.DatabaseName, now: datetime.datetime
    ) -> datetime.timedelta | None:
        """The proven age of a replica's data; None if unknown."""

    def confirmed_position(
        self, since: datetime.datetime
    ) -> positions.Position | None:
        """The primary's position that a majority confirmed since then."""


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Base of the plans."""


@dataclasses.dataclass(frozen=True, slots=True)
class FromReplicas(Plan):
    """Any of these replicas may serve the read; the primary may, too."""

    names: tuple[types.DatabaseName, ...]
    primary: types.DatabaseName | None


@dataclasses.dataclass(frozen=True, slots=True)
class FromPrimary(Plan):
    """Only the primary may serve the read."""

    name: types.DatabaseName


@dataclasses.dataclass(frozen=True, slots=True)
class UnsettledFloor(Plan):
    """Nothing may serve it before a majority has confirmed the primary."""


@dataclasses.dataclass(frozen=True, slots=True)
class OldView(Plan):
    """Nothing may serve it before the view has caught up."""


def plan(
    group: Group,
    session: sessions.Session,
    request: requests.Request,
    now: datetime.datetime,
) -> Plan:
    """Tells which databases may serve a read.

    Settles the session's floor where a confirmed position is known.
    """
    if not _settled(group, session):
        return UnsettledFloor()
    floor = session.floor(group.name)
    if floor.term > group.term:
        return OldView()
    primary = group.primary
    fresh = _fresh_replicas(group, floor, request, now)
    if fresh:
        return FromReplicas(fresh, primary.database if primary else None)
    if primary is None:
        return OldView()
    return FromPrimary(primary.database)


def _settled(group: Group, session: sessions.Session) -> bool:
    if group.name in session.settled:
        return True
    position = group.confirmed_position(session.arrived)
    if position is None:
        return False
    session.raise_floor(group.name, position)
    return True


def _fresh_replicas(
    group: Group,
    floor: positions.Position,
    request: requests.Request,
    now: datetime.datetime,
) -> tuple[types.DatabaseName, ...]:
    limit = request.staleness
    if limit is None:
        return ()
    fresh = []
    for status in group.replicas_at(floor):
        age = group.staleness(status.database, now)
        if age is not None and age <= limit:
            fresh.append(status.database)
    return tuple(fresh)
