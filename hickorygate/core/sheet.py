"""The morning sheet: the border model and the data classes made from it.

The YAML is validated whole by `SheetModel`; everything behind the border uses
the frozen data classes that `parse` returns.
"""

from __future__ import annotations

import dataclasses
import datetime
from typing import Annotated

import expression
import pydantic

from hickorygate.core import border
from hickorygate.core import errors
from hickorygate.core import types

__all__ = [
    "Database",
    "Group",
    "Rank",
    "ReadClass",
    "Service",
    "Sheet",
    "SheetModel",
    "User",
    "parse",
]

_Name = Annotated[
    str, pydantic.StringConstraints(pattern=r"^[a-z0-9][a-z0-9_.-]{0,62}$")
]
_Milliseconds = Annotated[int, pydantic.Field(gt=0, le=3_600_000)]


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class RankModel(_Model):
    """One rank of work; the sheet lists the most urgent first."""

    name: _Name
    target_ms: _Milliseconds
    floor: Annotated[float, pydantic.Field(ge=0, le=1)]


class ReadClassModel(_Model):
    """A kind of read and the staleness it tolerates."""

    name: _Name
    staleness_ms: Annotated[int, pydantic.Field(ge=0, le=3_600_000)]


class UserModel(_Model):
    """A caller's defaults."""

    name: _Name
    rank: _Name
    reads: _Name | None = None


class DatabaseModel(_Model):
    """One upstream database with its limits."""

    name: _Name
    host: str
    port: Annotated[int, pydantic.Field(gt=0, lt=65_536)]
    zone: _Name
    connections: Annotated[int, pydantic.Field(ge=2, le=10_000)]
    slots: Annotated[int, pydantic.Field(ge=1, le=1_000)]


class GroupModel(_Model):
    """Databases that replicate one log, and the schemas they own."""

    name: _Name
    schemas: Annotated[tuple[str, ...], pydantic.Field(min_length=1)]
    databases: Annotated[
        tuple[DatabaseModel, ...], pydantic.Field(min_length=1)
    ]


class ServiceModel(_Model):
    """One service: its ranks, reads, users and groups."""

    name: _Name
    ranks: Annotated[tuple[RankModel, ...], pydantic.Field(min_length=1)]
    reads: tuple[ReadClassModel, ...] = ()
    users: tuple[UserModel, ...] = ()
    groups: Annotated[tuple[GroupModel, ...], pydantic.Field(min_length=1)]


class PlannedStopModel(_Model):
    """A stop that the planners announce."""

    instance: str
    at: pydantic.AwareDatetime


class SheetModel(_Model):
    """The whole sheet as YAML or JSON."""

    format: Annotated[int, pydantic.Field(ge=1, le=1)]
    proxies: Annotated[int, pydantic.Field(ge=1, le=1_000)]
    services: Annotated[tuple[ServiceModel, ...], pydantic.Field(min_length=1)]
    planned_stops: tuple[PlannedStopModel, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Rank:
    """A rank of work.

    Attributes:
      name: its name in the sheet.
      order: 0 is the most urgent.
      target: the time within which its requests should be answered.
      floor: the share of capacity that it keeps under overload, 0 to 1.
    """

    name: types.RankName
    order: int
    target: datetime.timedelta
    floor: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReadClass:
    """A kind of read and the age of data it accepts."""

    name: str
    staleness: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class User:
    """A caller's default rank and kind of read."""

    name: types.CallerName
    rank: types.RankName
    reads: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class Database:
    """An upstream database.

    Attributes:
      name: unique over the sheet.
      host: address.
      port: TCP port.
      zone: availability zone.
      connections: the most connections over all proxies.
      slots: statements that run well at once, over all proxies.
    """

    name: types.DatabaseName
    host: str
    port: int
    zone: types.ZoneName
    connections: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """Databases that replicate one log."""

    name: types.GroupName
    schemas: tuple[types.SchemaName, ...]
    databases: tuple[Database, ...]

    @property
    def majority(self) -> int:
        """Databases that must hold a write before it is acknowledged."""
        return len(self.databases) // 2 + 1

    def database(self, name: types.DatabaseName) -> Database | None:
        """Returns the database of that name, if the group has it."""
        return next((d for d in self.databases if d.name == name), None)


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service: ranks (most urgent first), reads, users and groups."""

    name: types.ServiceName
    ranks: tuple[Rank, ...]
    reads: tuple[ReadClass, ...]
    users: tuple[User, ...]
    groups: tuple[Group, ...]

    def rank(self, name: types.RankName) -> Rank | None:
        """Returns the rank of that name, if the service has it."""
        return next((r for r in self.ranks if r.name == name), None)

    def read_class(self, name: str) -> ReadClass | None:
        """Returns the kind of read of that name, if the service has it."""
        return next((r for r in self.reads if r.name == name), None)

    def user(self, name: types.CallerName) -> User | None:
        """Returns the user of that name, if the service has it."""
        return next((u for u in self.users if u.name == name), None)


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedStop:
    """An announced stop of a database or a proxy."""

    instance: str
    at: datetime.datetime


@dataclasses.dataclass(frozen=True, slots=True)
class Sheet:
    """An accepted sheet.

    Attributes:
      version: as the object API counts it; a higher one replaces a lower.
      proxies: the most proxies that share the databases at once.
      services: the services.
      planned_stops: announced stops.
      text: the YAML it came from, for relaying and showing.
    """

    version: types.SheetVersion
    proxies: int
    services: tuple[Service, ...]
    planned_stops: tuple[PlannedStop, ...]
    text: str

    def place(
        self, schema: types.SchemaName | None
    ) -> expression.Result[tuple[Service, Group], errors.UnknownSchema]:
        """Finds the service and the group that own a schema."""
        for service in self.services:
            for group in service.groups:
                if schema in group.schemas:
                    return expression.Ok((service, group))
        return expression.Error(errors.UnknownSchema(schema))


def _milliseconds(value: int) -> datetime.timedelta:
    return datetime.timedelta(milliseconds=value)


def _database(model: DatabaseModel) -> Database:
    return Database(
        name=model.name,
        host=model.host,
        port=model.port,
        zone=model.zone,
        connections=model.connections,
        slots=model.slots,
    )


def _group(model: GroupModel) -> Group:
    return Group(
        name=model.name,
        schemas=model.schemas,
        databases=tuple(_database(d) for d in model.databases),
    )


def _service(model: ServiceModel) -> Service:
    return Service(
        name=model.name,
        ranks=tuple(
            Rank(r.name, order, _milliseconds(r.target_ms), r.floor)
            for order, r in enumerate(model.ranks)
        ),
        reads=tuple(
            ReadClass(r.name, _milliseconds(r.staleness_ms))
            for r in model.reads
        ),
        users=tuple(User(u.name, u.rank, u.reads) for u in model.users),
        groups=tuple(_group(g) for g in model.groups),
    )


def _sheet(model: SheetModel, version: types.SheetVersion, text: str) -> Sheet:
    return Sheet(
        version=version,
        proxies=model.proxies,
        services=tuple(_service(s) for s in model.services),
        planned_stops=tuple(
            PlannedStop(s.instance, s.at) for s in model.planned_stops
        ),
        text=text,
    )


def parse(
    text: str, version: types.SheetVersion = 0, path: str = "sheet"
) -> expression.Result[Sheet, errors.SheetInvalid]:
    """Validates a sheet whole.

    Args:
      text: YAML.
      version: the version the object API gave it; 0 for one not stored yet.
      path: named in errors.
    """
    return border.read_yaml(SheetModel, text, path).map(
        lambda model: _sheet(model, version, text)
    )
