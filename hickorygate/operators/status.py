"""Pydantic models of the status of a proxy, and functions that build them."""

from __future__ import annotations

from collections.abc import Iterator
import datetime
from typing import Protocol

import pydantic

from hickorygate.core import clock as clocks
from hickorygate.core import events
from hickorygate.core import position
from hickorygate.core import settings as settings_lib
from hickorygate.core import sheet as sheets
from hickorygate.core import types
from hickorygate.operators import recorder as recorders
from hickorygate.proxies import mesh as meshes
from hickorygate.upstreams import group_link

__all__ = [
    "DatabaseStatus",
    "GroupStatus",
    "MemberStatus",
    "PoolStatus",
    "ProxyStatus",
    "ObservedProxy",
    "read",
    "unready_reasons",
]


class ObservedProxy(Protocol):
    """The proxy whose status is read."""

    @property
    def settings(self) -> settings_lib.Settings:
        """Settings of the proxy."""

    @property
    def clock(self) -> clocks.Clock:
        """Clock of the proxy."""

    @property
    def version(self) -> str:
        """Version of the program."""

    @property
    def sheet(self) -> sheets.Sheet | None:
        """The sheet in force; None before the first one."""

    @property
    def crashed(self) -> bool:
        """Whether a background task of the process has failed."""

    @property
    def draining(self) -> bool:
        """Whether a graceful shutdown has begun."""

    @property
    def callers(self) -> int:
        """Number of connected callers."""

    @property
    def mesh(self) -> meshes.Mesh:
        """The link to the other proxies."""

    @property
    def groups(self) -> tuple[group_link.GroupLink, ...]:
        """The links to the groups of the sheet in force."""

    @property
    def recorder(self) -> recorders.Recorder:
        """The sums of the proxy's measurements."""

    @property
    def timeline(self) -> events.Timeline:
        """The recorded events of the proxy."""

    def drain(self) -> None:
        """Starts a graceful shutdown."""


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)


class PoolStatus(_Model):
    """The state of the pool of one database.

    Attributes:
      idle: number of open connections without a request.
      leased: number of connections that requests use.
      waiting: number of requests that wait for a connection, by rank.
      refused: number of requests refused since the start.
    """

    idle: int
    leased: int
    waiting: dict[types.RankName, int]
    refused: int


class DatabaseStatus(_Model):
    """The state of a database, as known from the last answered probe.

    All fields from `role` to `seen_ms` are None if the database doesn't answer
    probes.

    Attributes:
      name: name of the database.
      zone: availability zone of the database.
      role: role in the group.
      term: term of the database.
      applied: number of log entries that reads can see.
      lag_entries: number of log entries that the primary has received and
        that reads on this database don't see; None if no primary is known.
      seen_ms: age of the last answer in milliseconds.
      pool: state of this proxy's connection pool.
    """

    name: types.DatabaseName
    zone: types.ZoneName
    role: position.Role | None
    term: types.Term | None
    applied: types.Offset | None
    lag_entries: int | None
    seen_ms: int | None
    pool: PoolStatus


class GroupStatus(_Model):
    """The state of a group, as known to this proxy.

    Attributes:
      name: name of the group.
      term: newest known term.
      primary: name of the primary; None if no primary is known.
      databases: state of each database of the group.
    """

    name: types.GroupName
    term: types.Term
    primary: types.DatabaseName | None
    databases: tuple[DatabaseStatus, ...]


class MemberStatus(_Model):
    """The last known state of another proxy.

    Attributes:
      name: name of the proxy.
      zone: availability zone of the proxy.
      address: address for messages between proxies.
      admin: address of the admin port.
      sheet: version of the sheet in force on that proxy.
    """

    name: types.ProxyName
    zone: types.ZoneName
    address: str
    admin: str
    sheet: types.SheetVersion


class ProxyStatus(_Model):
    """The status of one proxy.

    Attributes:
      name: name of the proxy.
      zone: availability zone of the proxy.
      version: version of the program.
      ready: whether the proxy is ready for new callers.
      unready: reasons why the proxy isn't ready; empty if it is.
      draining: whether a graceful shutdown has begun.
      sheet: version of the sheet in force; None without a sheet.
      callers: number of connected callers.
      replica_share: share of answered reads that replicas served; None
        without reads.
      members: other proxies that are alive.
      groups: groups of the sheet in force.
    """

    name: types.ProxyName
    zone: types.ZoneName
    version: str
    ready: bool
    unready: tuple[str, ...]
    draining: bool
    sheet: types.SheetVersion | None
    callers: int
    replica_share: float | None
    members: tuple[MemberStatus, ...]
    groups: tuple[GroupStatus, ...]


def unready_reasons(subject: ObservedProxy) -> tuple[str, ...]:
    """Returns why the proxy isn't ready for callers; empty if it is ready."""
    reasons = []
    if subject.sheet is None:
        reasons.append("no sheet is in force here")
    if subject.draining:
        reasons.append("shutting down")
    return tuple(reasons)


def read(subject: ObservedProxy) -> ProxyStatus:
    """Returns the current status of a proxy."""
    reasons = unready_reasons(subject)
    now = subject.clock.now()
    return ProxyStatus(
        name=subject.settings.name,
        zone=subject.settings.zone,
        version=subject.version,
        ready=not reasons,
        unready=reasons,
        draining=subject.draining,
        sheet=subject.sheet.version if subject.sheet else None,
        callers=subject.callers,
        replica_share=subject.recorder.replica_share,
        members=tuple(_members(subject.mesh)),
        groups=tuple(_group(link, now) for link in subject.groups),
    )


def _members(mesh: meshes.Mesh) -> Iterator[MemberStatus]:
    for member in mesh.membership.members:
        yield MemberStatus(
            name=member.name,
            zone=member.zone,
            address=member.address,
            admin=member.admin,
            sheet=mesh.sheet_version_of(member.name),
        )


def _group(link: group_link.GroupLink, now: datetime.datetime) -> GroupStatus:
    view = link.view
    return GroupStatus(
        name=view.group.name,
        term=view.term,
        primary=view.primary.database if view.primary else None,
        databases=tuple(
            _database(link, database, now) for database in view.group.databases
        ),
    )


def _database(
    link: group_link.GroupLink,
    database: sheets.Database,
    now: datetime.datetime,
) -> DatabaseStatus:
    observation = next(
        (
            s
            for s in link.view.observations
            if s.status.database == database.name
        ),
        None,
    )
    status = observation.status if observation else None
    primary = link.view.primary
    known = status is not None and primary is not None
    return DatabaseStatus(
        name=database.name,
        zone=database.zone,
        role=status.role if status else None,
        term=status.term if status else None,
        applied=status.applied if status else None,
        lag_entries=max(0, primary.received - status.applied)
        if known
        else None,
        seen_ms=(now - observation.answered) // _MILLISECOND
        if observation
        else None,
        pool=_pool(link.database_link(database.name)),
    )


def _pool(link: group_link.DatabaseLink) -> PoolStatus:
    pool = link.pool
    return PoolStatus(
        idle=pool.idle,
        leased=pool.leased,
        waiting=pool.waiting,
        refused=pool.refused,
    )


_MILLISECOND = datetime.timedelta(milliseconds=1)
