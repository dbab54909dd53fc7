"""Routes from database names to services, and the limits of the services."""

from __future__ import annotations

from collections.abc import Mapping
import dataclasses
import datetime

from hickorygate.core import access_policy
from hickorygate.core import rank as ranks
from hickorygate.core import types
from hickorygate.core import workspace as workspaces

__all__ = [
    "MESSAGE_IDLE_TIMEOUT",
    "BoundedStaleness",
    "Catalog",
    "Consistency",
    "StrongConsistency",
    "ReadYourWrites",
    "Route",
    "ServiceSettings",
]

MESSAGE_IDLE_TIMEOUT = datetime.timedelta(seconds=15)
"""Time without progress after which an incomplete message is given up if the
configuration names none."""


@dataclasses.dataclass(frozen=True, slots=True)
class Consistency:
    """Base of the consistency levels of reads."""


@dataclasses.dataclass(frozen=True, slots=True)
class StrongConsistency(Consistency):
    """A read sees every commit that was acknowledged before the read."""


@dataclasses.dataclass(frozen=True, slots=True)
class BoundedStaleness(Consistency):
    """A read sees every commit acknowledged longer ago than `staleness`."""

    staleness: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class ReadYourWrites(BoundedStaleness):
    """As `BoundedStaleness`; reads also see every commit of their session."""


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Settings for the statements to one database name.

    Attributes:
      database: database name that callers connect to.
      service: service whose databases run the statements.
      consistency: consistency level of the reads.
      rank: rank of the statements; its target is for a whole operation.
      timeout: maximum time for one statement.
      public: whether callers need no key.
    """

    database: types.SchemaName
    service: types.ServiceName
    consistency: Consistency
    rank: ranks.Rank
    timeout: datetime.timedelta
    public: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceSettings:
    """Settings for the databases of one service.

    Attributes:
      name: name of the service.
      connections: maximum number of connections to one database, from all
        proxies together.
      synchronous_replicas: number of replicas that hold a commit before it is
        acknowledged.
    """

    name: types.ServiceName
    connections: int
    synchronous_replicas: int


@dataclasses.dataclass(frozen=True, slots=True)
class Catalog:
    """One version of the configuration; a higher version replaces it.

    Attributes:
      version: version number; it rises with each change.
      routes: routes by database name.
      services: settings by name of the service.
      transaction_idle_timeout: idle time after which a transaction may be
        ended.
      access: who may open sessions.
      workspaces: valid workspaces by name; empty if the configuration lists
        none.
      workspace_errors: why entries of workspaces are invalid, without keys;
        such entries grant nothing.
      message_idle_timeout: time without progress after which an incomplete
        message of a caller may be given up.
    """

    version: int
    routes: Mapping[types.SchemaName, Route]
    services: Mapping[types.ServiceName, ServiceSettings]
    transaction_idle_timeout: datetime.timedelta
    access: access_policy.AccessPolicy
    workspaces: Mapping[types.WorkspaceName, workspaces.Workspace] = (
        dataclasses.field(default_factory=dict)
    )
    workspace_errors: tuple[str, ...] = ()
    message_idle_timeout: datetime.timedelta = MESSAGE_IDLE_TIMEOUT

    def __repr__(self) -> str:
        return f"Catalog(version={self.version}, routes={len(self.routes)})"
