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
    """One upstream database with its limits, summed over all proxies."""

    name: _Name
    host: Annotated[str, pydantic.Field(min_length=1)]
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
    entry_instances: tuple[_Name, ...] = ()
    planned_stops: tuple[PlannedStopModel, ...] = ()
