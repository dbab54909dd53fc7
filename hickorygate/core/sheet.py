"""The sheet: frozen data classes, made of a sheet that was validated whole."""

from __future__ import annotations

import dataclasses
import datetime

import expression

from hickorygate.core import border
from hickorygate.core import errors
from hickorygate.core import rank as ranks
from hickorygate.core import sheet_model
from hickorygate.core import sheet_rules
from hickorygate.core import types

__all__ = [
    "Database",
    "Group",
    "PlannedStop",
    "ReadClass",
    "Service",
    "Sheet",
    "User",
    "parse",
]


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
    ranks: tuple[ranks.Rank, ...]
    reads: tuple[ReadClass, ...]
    users: tuple[User, ...]
    groups: tuple[Group, ...]

    def rank(self, name: types.RankName) -> ranks.Rank | None:
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


def _database(model: sheet_model.DatabaseModel) -> Database:
    return Database(
        name=model.name,
        host=model.host,
        port=model.port,
        zone=model.zone,
        connections=model.connections,
        slots=model.slots,
    )


def _group(model: sheet_model.GroupModel) -> Group:
    return Group(
        name=model.name,
        schemas=model.schemas,
        databases=tuple(_database(d) for d in model.databases),
    )


def _service(model: sheet_model.ServiceModel) -> Service:
    return Service(
        name=model.name,
        ranks=tuple(
            ranks.Rank(r.name, order, _milliseconds(r.target_ms), r.floor)
            for order, r in enumerate(model.ranks)
        ),
        reads=tuple(
            ReadClass(r.name, _milliseconds(r.staleness_ms))
            for r in model.reads
        ),
        users=tuple(User(u.name, u.rank, u.reads) for u in model.users),
        groups=tuple(_group(g) for g in model.groups),
    )


def _sheet(
    model: sheet_model.SheetModel, version: types.SheetVersion, text: str
) -> Sheet:
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
) -> expression.Result[Sheet, errors.FileInvalid]:
    """Validates a sheet whole.

    Args:
      text: YAML.
      version: the version the object API gave it; 0 for one not stored yet.
      path: named in errors.
    """
    return border.read_yaml(
        sheet_model.SheetModel, text, path, sheet_rules.breaches
    ).map(lambda model: _sheet(model, version, text))
