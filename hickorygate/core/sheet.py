"""The sheet: the fleet-wide configuration that operators load.

Frozen data classes that are built only from a sheet that passed validation as
a whole.
"""

from __future__ import annotations

import dataclasses
import datetime

import expression

from hickorygate.core import errors
from hickorygate.core import rank as ranks
from hickorygate.core import sheet_model
from hickorygate.core import sheet_rules
from hickorygate.core import types
from hickorygate.core import yaml_validation

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
    """A named kind of read.

    Attributes:
      name: name that callers use in hints.
      staleness: maximum age of the data that such a read accepts.
    """

    name: str
    staleness: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class User:
    """Defaults of a caller's requests, used where a hint doesn't override them.

    Attributes:
      name: user name.
      rank: name of the default rank.
      reads: name of the default kind of read; None for the newest data.
    """

    name: types.CallerName
    rank: types.RankName
    reads: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class Database:
    """An upstream database.

    Attributes:
      name: name, unique in the sheet.
      host: address.
      port: TCP port.
      zone: availability zone.
      connections: maximum number of connections, summed over all proxies.
      slots: number of statements that run well at once, summed over all
        proxies.
    """

    name: types.DatabaseName
    host: str
    port: int
    zone: types.ZoneName
    connections: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """A replication group: databases that replicate one log.

    Attributes:
      name: name, unique in the sheet.
      schemas: schemas that the group owns.
      databases: members of the group.
    """

    name: types.GroupName
    schemas: tuple[types.SchemaName, ...]
    databases: tuple[Database, ...]

    @property
    def majority(self) -> int:
        """Number of databases that must hold a write to acknowledge it."""
        return len(self.databases) // 2 + 1

    def database(self, name: types.DatabaseName) -> Database | None:
        """Returns the database of that name; None if there is none."""
        return next((d for d in self.databases if d.name == name), None)


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service and the groups that store its data.

    Attributes:
      name: name, unique in the sheet.
      ranks: ranks of work, the most urgent first.
      reads: kinds of read.
      users: defaults of callers.
      groups: replication groups.
    """

    name: types.ServiceName
    ranks: tuple[ranks.Rank, ...]
    reads: tuple[ReadClass, ...]
    users: tuple[User, ...]
    groups: tuple[Group, ...]

    def rank(self, name: types.RankName) -> ranks.Rank | None:
        """Returns the rank of that name; None if there is none."""
        return next((r for r in self.ranks if r.name == name), None)

    def read_class(self, name: str) -> ReadClass | None:
        """Returns the kind of read of that name; None if there is none."""
        return next((r for r in self.reads if r.name == name), None)

    def user(self, name: types.CallerName) -> User | None:
        """Returns the user of that name; None if there is none."""
        return next((u for u in self.users if u.name == name), None)


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedStop:
    """An announced stop of an instance.

    Attributes:
      instance: name of the database or of the proxy's instance.
      at: time of the stop.
    """

    instance: str
    at: datetime.datetime


@dataclasses.dataclass(frozen=True, slots=True)
class Sheet:
    """A valid sheet.

    Attributes:
      version: version that the object API gave the sheet; a higher version
        replaces a lower one.
      proxies: maximum number of proxies that share the databases at once.
      services: the services.
      planned_stops: announced stops of instances.
      text: the YAML source, to pass on to other proxies and to show.
    """

    version: types.SheetVersion
    proxies: int
    services: tuple[Service, ...]
    planned_stops: tuple[PlannedStop, ...]
    text: str

    def locate_schema(
        self, schema: types.SchemaName | None
    ) -> expression.Result[tuple[Service, Group], errors.UnknownSchema]:
        """Returns the service and the group that own a schema."""
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
    """Parses and validates a sheet as a whole.

    Args:
      text: YAML source of the sheet.
      version: version that the object API gave the sheet; 0 if it is not
        stored yet.
      path: origin of the text, named in error messages.

    Returns:
      The sheet, or all problems that were found in it.
    """
    return yaml_validation.read_yaml(
        sheet_model.SheetModel, text, path, sheet_rules.find_violations
    ).map(lambda model: _sheet(model, version, text))
