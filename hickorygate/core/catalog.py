"""Which service answers for which database name, and on which terms."""

from __future__ import annotations

from collections.abc import Mapping
import dataclasses
import datetime

from hickorygate.core import rank as ranks
from hickorygate.core import types

__all__ = [
    "Bounded",
    "Catalog",
    "Consistency",
    "Newest",
    "OwnWrites",
    "Route",
    "ServiceTerms",
]


@dataclasses.dataclass(frozen=True, slots=True)
class Consistency:
    """Base of what a read must see."""


@dataclasses.dataclass(frozen=True, slots=True)
class Newest(Consistency):
    """Every commit that was acknowledged before the read."""


@dataclasses.dataclass(frozen=True, slots=True)
class Bounded(Consistency):
    """Every commit acknowledged longer ago than `staleness`."""

    staleness: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class OwnWrites(Bounded):
    """As `Bounded`, and every commit of the session itself."""


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """How the statements for one database name are served.

    Attributes:
      database: the name that callers connect to.
      service: whose databases answer.
      consistency: what its reads must see.
      rank: its rank of work; the target is that of a whole operation.
      timeout: the longest time for one statement.
    """

    database: types.SchemaName
    service: types.ServiceName
    consistency: Consistency
    rank: ranks.Rank
    timeout: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceTerms:
    """What holds for the databases of a service.

    Attributes:
      name: its name.
      connections: the most connections to one database, from all proxies.
      synchronous_replicas: replicas that hold a commit before it is
        acknowledged.
    """

    name: types.ServiceName
    connections: int
    synchronous_replicas: int


@dataclasses.dataclass(frozen=True, slots=True)
class Catalog:
    """One version of the configuration; a higher version replaces it.

    Attributes:
      version: rises with each change.
      routes: by database name.
      services: by name.
      transaction_idle: after which an idle transaction may be ended.
    """

    version: int
    routes: Mapping[types.SchemaName, Route]
    services: Mapping[types.ServiceName, ServiceTerms]
    transaction_idle: datetime.timedelta

    def __repr__(self) -> str:
        return f"Catalog(version={self.version}, routes={len(self.routes)})"
