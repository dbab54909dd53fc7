"""Decides which databases are fresh enough for a read; no I/O.

A read returns at least the writes of its own session, and data no older than
the staleness that the read accepts. The floor of a session is the minimum
position in the log of a group that its reads must reach. Three rules follow:

- If the floor has a newer term than this proxy has observed, the proxy's view
  of the group is outdated. No database serves the read until the view is up
  to date.
- If the floor is unknown because the session arrived without a token, it is
  determined first. The floor is then the position of the primary, observed
  after the session arrived, under a term that a majority confirmed after the
  session arrived.
- A read that accepts no staleness runs on the primary. A read that accepts
  some may run on a replica that has reached the floor and whose data is
  provably recent enough.
"""

from __future__ import annotations

import dataclasses
import datetime

from hickorygate.callers import session as sessions
from hickorygate.core import position as positions
from hickorygate.core import request_context
from hickorygate.core import types
from hickorygate.upstreams import group_view

__all__ = [
    "FromPrimary",
    "FromReplicas",
    "OutdatedView",
    "ReadPlan",
    "UnknownFloor",
    "plan_read",
    "plan_primary_read",
]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadPlan:
    """Base class of the plans."""


@dataclasses.dataclass(frozen=True, slots=True)
class FromReplicas(ReadPlan):
    """The listed replicas and the primary may serve the read.

    Attributes:
      names: names of the replicas that are fresh enough.
      primary: name of the primary; None if it is unknown.
    """

    names: tuple[types.DatabaseName, ...]
    primary: types.DatabaseName | None


@dataclasses.dataclass(frozen=True, slots=True)
class FromPrimary(ReadPlan):
    """Only the primary may serve the read.

    Attributes:
      name: name of the primary.
    """

    name: types.DatabaseName


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownFloor(ReadPlan):
    """No database may serve the read until a majority confirms the primary."""


@dataclasses.dataclass(frozen=True, slots=True)
class OutdatedView(ReadPlan):
    """No database may serve the read until the view is up to date."""


def plan_read(
    view: group_view.GroupView,
    session: sessions.Session,
    request: request_context.RequestContext,
    now: datetime.datetime,
) -> ReadPlan:
    """Returns which databases may serve a read.

    Sets an unknown floor of the session if a confirmed position is available.

    Args:
      view: current knowledge about the group.
      session: session of the caller.
      request: terms of the read, including the staleness that it accepts.
      now: current time.
    """
    primary_plan = plan_primary_read(view, session)
    if isinstance(primary_plan, UnknownFloor) or _view_is_behind(view, session):
        return primary_plan
    fresh = _fresh_replicas(view, session.floor(view.group.name), request, now)
    if not fresh:
        return primary_plan
    primary = view.primary
    return FromReplicas(fresh, primary.database if primary else None)


def plan_primary_read(
    view: group_view.GroupView, session: sessions.Session
) -> ReadPlan:
    """Returns whether the primary may serve the session's reads.

    Sets an unknown floor of the session if a confirmed position is available.

    Args:
      view: current knowledge about the group.
      session: session of the caller.

    Returns:
      `FromPrimary`, or the reason why the primary may not serve them yet.
    """
    if not _floor_is_known(view, session):
        return UnknownFloor()
    if _view_is_behind(view, session) or view.primary is None:
        return OutdatedView()
    return FromPrimary(view.primary.database)


def _view_is_behind(
    view: group_view.GroupView, session: sessions.Session
) -> bool:
    """Returns whether the session's floor has a newer term than the view."""
    return session.floor(view.group.name).term > view.term


def _floor_is_known(
    view: group_view.GroupView, session: sessions.Session
) -> bool:
    """Returns whether the session's floor is known; sets it if possible."""
    name = view.group.name
    if name in session.groups_with_floor:
        return True
    position = view.confirmed_position(session.started_at)
    if position is None:
        return False
    session.raise_floor(name, position)
    return True


def _fresh_replicas(
    view: group_view.GroupView,
    floor: positions.Position,
    request: request_context.RequestContext,
    now: datetime.datetime,
) -> tuple[types.DatabaseName, ...]:
    """Returns the replicas that reached the floor and are recent enough."""
    max_age = request.staleness
    if max_age is None:
        return ()
    fresh = []
    for status in view.replicas_for_floor(floor):
        age = view.staleness(status.database, now)
        if age is not None and age <= max_age:
            fresh.append(status.database)
    return tuple(fresh)
