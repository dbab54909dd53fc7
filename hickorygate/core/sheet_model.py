"""The sheet as it enters: pydantic models of its YAML."""

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
    """One rank of work; the sheet lists the most urgent first.

    Attributes:
      name: unique in its service.
      target_ms: time within which its requests should be answered.
      floor: share of capacity that it keeps under overload, 0 to 1; the floors
        of a service add up to 1 at the most.
    """

    name: _Name
    target_ms: _Milliseconds
    floor: Annotated[float, pydantic.Field(ge=0, le=1)]


class ReadClassModel(_Model):
    """A kind of read and the staleness it tolerates.

    Attributes:
      name: what callers name it by.
      staleness_ms: age of data that it accepts; 0 for the newest.
    """

    name: _Name
    staleness_ms: Annotated[int, pydantic.Field(ge=0, le=3_600_000)]


class UserModel(_Model):
    """A caller's defaults, for what its hints don't say.

    Attributes:
      name: user name, as in the settings' `callers.users`.
      rank: a rank of this service.
      reads: a kind of read of this service; none for the newest data.
    """

    name: _Name
    rank: _Name
    reads: _Name | None = None


class DatabaseModel(_Model):
    """One upstream database with its limits, summed over all proxies.

    Attributes:
      name: unique in the sheet.
      host: its IP number.
      port: its TCP port.
      zone: its availability zone.
      connections: the most that may be open at once; at least two a proxy.
      slots: statements that run well at once; not above `connections`.
    """

    name: _Name
    host: Annotated[str, pydantic.Field(min_length=1)]
    port: Annotated[int, pydantic.Field(gt=0, lt=65_536)]
    zone: _Name
    connections: Annotated[int, pydantic.Field(ge=2, le=10_000)]
    slots: Annotated[int, pydantic.Field(ge=1, le=1_000)]


class GroupModel(_Model):
    """Databases that replicate one log, and the schemas they own.

    Attributes:
      name: unique in the sheet.
      schemas: schemas of this group, each in one group only.
      databases: the databases; three or more survive the loss of one.
    """

    name: _Name
    schemas: Annotated[tuple[str, ...], pydantic.Field(min_length=1)]
    databases: Annotated[
        tuple[DatabaseModel, ...], pydantic.Field(min_length=1)
    ]


class ServiceModel(_Model):
    """One service: its ranks, reads, users and groups.

    Attributes:
      name: unique in the sheet.
      ranks: ranks of work, the most urgent first.
      reads: kinds of read.
      users: defaults of users.
      groups: groups of databases.
    """

    name: _Name
    ranks: Annotated[tuple[RankModel, ...], pydantic.Field(min_length=1)]
    reads: tuple[ReadClassModel, ...] = ()
    users: tuple[UserModel, ...] = ()
    groups: Annotated[tuple[GroupModel, ...], pydantic.Field(min_length=1)]


class PlannedStopModel(_Model):
    """A stop that the planners announce.

    Attributes:
      instance: a database of the sheet, or one of `entry_instances`.
      at: when it stops, with its offset from UTC.
    """

    instance: str
    at: pydantic.AwareDatetime


class SheetModel(_Model):
    """The whole sheet.

    Attributes:
      format: version of this format.
      proxies: the most proxies that share the databases at once.
      services: the services.
      entry_instances: names of the instances that proxies run on.
      planned_stops: announced stops.
    """

    format: Annotated[int, pydantic.Field(ge=1, le=1)]
    proxies: Annotated[int, pydantic.Field(ge=1, le=1_000)]
    services: Annotated[tuple[ServiceModel, ...], pydantic.Field(min_length=1)]
    entry_instances: tuple[_Name, ...] = ()
    planned_stops: tuple[PlannedStopModel, ...] = ()
