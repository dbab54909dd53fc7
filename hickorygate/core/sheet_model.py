"""Pydantic models that validate the YAML of a sheet, part by part."""

from __future__ import annotations

from typing import Annotated

import pydantic

__all__ = [
    "DatabaseModel",
    "GroupModel",
    "PlannedStopModel",
    "RankModel",
    "ReadClassModel",
    "ServiceModel",
    "SheetModel",
    "UserModel",
]

_Name = Annotated[
    str, pydantic.StringConstraints(pattern=r"^[a-z0-9][a-z0-9_.-]{0,62}$")
]
_Milliseconds = Annotated[int, pydantic.Field(gt=0, le=3_600_000)]


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class RankModel(_Model):
    """One rank of work; the sheet lists the most urgent rank first.

    Attributes:
      name: name of the rank, unique in its service.
      target_ms: time within which requests of the rank should be answered.
      floor: share of capacity that the rank keeps under overload, 0 to 1; the
        floors of a service add up to at most 1.
    """

    name: _Name
    target_ms: _Milliseconds
    floor: Annotated[float, pydantic.Field(ge=0, le=1)]


class ReadClassModel(_Model):
    """A named kind of read and the staleness that it tolerates.

    Attributes:
      name: name that callers use in hints.
      staleness_ms: maximum age of the data that such a read accepts; 0 for the
        newest data.
    """

    name: _Name
    staleness_ms: Annotated[int, pydantic.Field(ge=0, le=3_600_000)]


class UserModel(_Model):
    """Defaults of a caller's requests, used where a hint doesn't override them.

    Attributes:
      name: user name, as in `callers.users` of the settings.
      rank: name of a rank of this service.
      reads: name of a kind of read of this service; none for the newest data.
    """

    name: _Name
    rank: _Name
    reads: _Name | None = None


class DatabaseModel(_Model):
    """One upstream database; its limits are sums over all proxies.

    Attributes:
      name: name of the database, unique in the sheet.
      host: IP address of the database.
      port: TCP port of the database.
      zone: availability zone of the database.
      connections: maximum number of open connections from all proxies
        together; at least two for each proxy.
      slots: number of statements from all proxies that run well at once; at
        most `connections`.
    """

    name: _Name
    host: Annotated[str, pydantic.Field(min_length=1)]
    port: Annotated[int, pydantic.Field(gt=0, lt=65_536)]
    zone: _Name
    connections: Annotated[int, pydantic.Field(ge=2, le=10_000)]
    slots: Annotated[int, pydantic.Field(ge=1, le=1_000)]


class GroupModel(_Model):
    """A replication group: databases that replicate one log.

    Attributes:
      name: name of the group, unique in the sheet.
      schemas: schemas that the group owns; a schema belongs to one group only.
      databases: members of the group; three or more survive the loss of one.
    """

    name: _Name
    schemas: Annotated[tuple[str, ...], pydantic.Field(min_length=1)]
    databases: Annotated[
        tuple[DatabaseModel, ...], pydantic.Field(min_length=1)
    ]


class ServiceModel(_Model):
    """One service and the groups that store its data.

    Attributes:
      name: name of the service, unique in the sheet.
      ranks: ranks of work, the most urgent first.
      reads: kinds of read.
      users: defaults of callers, by user name.
      groups: replication groups of databases.
    """

    name: _Name
    ranks: Annotated[tuple[RankModel, ...], pydantic.Field(min_length=1)]
    reads: tuple[ReadClassModel, ...] = ()
    users: tuple[UserModel, ...] = ()
    groups: Annotated[tuple[GroupModel, ...], pydantic.Field(min_length=1)]


class PlannedStopModel(_Model):
    """An announced stop of an instance.

    Attributes:
      instance: name of a database of the sheet, or one of `entry_instances`.
      at: time of the stop, with its offset from UTC.
    """

    instance: str
    at: pydantic.AwareDatetime


class SheetModel(_Model):
    """The whole sheet.

    Attributes:
      format: version of the sheet's format; 1 is the only one.
      proxies: maximum number of proxies that share the databases at once.
      services: services, each with its ranks, users and groups of databases.
      entry_instances: names of the instances that run proxies.
      planned_stops: announced stops of instances.
    """

    format: Annotated[int, pydantic.Field(ge=1, le=1)]
    proxies: Annotated[int, pydantic.Field(ge=1, le=1_000)]
    services: Annotated[tuple[ServiceModel, ...], pydantic.Field(min_length=1)]
    entry_instances: tuple[_Name, ...] = ()
    planned_stops: tuple[PlannedStopModel, ...] = ()
