"""What a proxy tells operators of itself: pydantic models of its status."""

from __future__ import annotations

from collections.abc import Iterator
import datetime
from typing import Protocol

import pydantic

from hickorygate.core import clock as clocks
from hickorygate.core import events
from hickorygate.core import position as positions
from hickorygate.core import settings as settings_lib
from hickorygate.core import sheet as sheets
from hickorygate.core import types
from hickorygate.operators import recorder as recorders
from hickorygate.proxies import mesh as meshes
from hickorygate.upstreams import link as links

__all__ = [
    "DatabaseStatus",
    "GroupStatus",
    "MemberStatus",
    "PoolStatus",
    "ProxyStatus",
    "Subject",
    "read",
    "unready_reasons",
]


class Subject(Protocol):
    """The proxy that is looked at."""

    @property
    def settings(self) -> settings_lib.Settings:
        """Its settings."""

    @property
    def clock(self) -> clocks.Clock:
        """Its time."""

    @property
    def version(self) -> str:
        """Its program's version."""

    @property
    def sheet(self) -> sheets.Sheet | None:
        """The sheet in force."""

    @property
    def crashed(self) -> bool:
        """Whether a part of the process has ended by a fault."""

    @property
    def draining(self) -> bool:
        """Whether it shuts down."""

    @property
    def callers(self) -> int:
        """Connected callers."""

    @property
    def mesh(self) -> meshes.Mesh:
        """Its link to the other proxies."""

    @property
    def groups(self) -> tuple[links.GroupLink, ...]:
        """Its links to the groups of the sheet."""

    @property
    def recorder(self) -> recorders.Recorder:
        """The sums of its measurements."""

    @property
    def time_line(self) -> events.TimeLine:
        """Its events."""

    def drain(self) -> None:
        """Begins a graceful shutdown."""


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)


class PoolStatus(_Model):
    """A pool's connections, and the requests that wait for one, by rank."""

    idle: int
    leased: int
    waiting: dict[types.RankName, int]
    refused: int


class DatabaseStatus(_Model):
    """A database as this proxy last saw it.

    Attributes:
      seen_ms: age of the sighting; None if the database doesn't answer.
      lag_entries: entries that the primary has and reads here don't see.
    """

    name: types.DatabaseName
    zone: types.ZoneName
    role: positions.Role | None
    term: types.Term | None
    applied: types.Offset | None
    lag_entries: int | None
    seen_ms: int | None
    pool: PoolStatus


class GroupStatus(_Model):
    """A group as this proxy sees it."""

    name: types.GroupName
    term: types.Term
    primary: types.DatabaseName | None
    databases: tuple[DatabaseStatus, ...]


class MemberStatus(_Model):
    """Another proxy as it was last heard; `admin` is its admin port."""

    name: types.ProxyName
    zone: types.ZoneName
    address: str
    admin: str
    sheet: types.SheetVersion


class ProxyStatus(_Model):
    """One proxy."""

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


def unready_reasons(subject: Subject) -> tuple[str, ...]:
    """Returns why the proxy should get no callers; nothing if it may."""
    reasons = []
    if subject.sheet is None:
        reasons.append("no sheet is in force here")
    if subject.draining:
        reasons.append("shutting down")
    return tuple(reasons)


def read(subject: Subject) -> ProxyStatus:
    """Returns the status of a proxy at this moment."""
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
            sheet=mesh.sheet_of(member.name),
        )


def _group(link: links.GroupLink, now: datetime.datetime) -> GroupStatus:
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
    link: links.GroupLink, database: sheets.Database, now: datetime.datetime
) -> DatabaseStatus:
    sighting = next(
        (s for s in link.view.sightings if s.status.database == database.name),
        None,
    )
    status = sighting.status if sighting else None
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
        seen_ms=(now - sighting.answered) // _MILLISECOND if sighting else None,
        pool=_pool(link.link(database.name)),
    )


def _pool(link: links.DatabaseLink) -> PoolStatus:
    pool = link.pool
    return PoolStatus(
        idle=pool.idle,
        leased=pool.leased,
        waiting=pool.waiting,
        refused=pool.refused,
    )


_MILLISECOND = datetime.timedelta(milliseconds=1)
