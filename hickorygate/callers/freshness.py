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

from hickorygate.callers import session as sessions
from hickorygate.core import position as positions
from hickorygate.core import request as requests
from hickorygate.core import types
from hickorygate.upstreams import group as groups

__all__ = [
    "FromPrimary",
    "FromReplicas",
    "OldView",
    "Plan",
    "UnsettledFloor",
    "plan",
    "plan_primary",
]


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
    view: groups.GroupView,
    session: sessions.Session,
    request: requests.Request,
    now: datetime.datetime,
) -> Plan:
    """Tells which databases may serve a read.

    Settles the session's floor where a confirmed position is known.
    """
    alone = plan_primary(view, session)
    if isinstance(alone, UnsettledFloor) or _behind(view, session):
        return alone
    fresh = _fresh_replicas(view, session.floor(view.group.name), request, now)
    if not fresh:
        return alone
    primary = view.primary
    return FromReplicas(fresh, primary.database if primary else None)


def plan_primary(view: groups.GroupView, session: sessions.Session) -> Plan:
    """Tells whether the primary may serve the session's reads.

    Settles the session's floor where a confirmed position is known.
    """
    if not _settled(view, session):
        return UnsettledFloor()
    if _behind(view, session) or view.primary is None:
        return OldView()
    return FromPrimary(view.primary.database)


def _behind(view: groups.GroupView, session: sessions.Session) -> bool:
    """Whether the session has seen a newer term than the view."""
    return session.floor(view.group.name).term > view.term


def _settled(view: groups.GroupView, session: sessions.Session) -> bool:
    name = view.group.name
    if name in session.settled:
        return True
    position = view.confirmed_position(session.arrived)
    if position is None:
        return False
    session.raise_floor(name, position)
    return True


def _fresh_replicas(
    view: groups.GroupView,
    floor: positions.Position,
    request: requests.Request,
    now: datetime.datetime,
) -> tuple[types.DatabaseName, ...]:
    limit = request.staleness
    if limit is None:
        return ()
    fresh = []
    for status in view.replicas_at(floor):
        age = view.staleness(status.database, now)
        if age is not None and age <= limit:
            fresh.append(status.database)
    return tuple(fresh)
