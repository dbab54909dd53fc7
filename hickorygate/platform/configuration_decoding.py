"""Decodes the platform's configuration object into a catalog."""

from __future__ import annotations

from collections.abc import Mapping
import datetime
from typing import Annotated
from typing import Any
from typing import Literal

import expression
import pydantic

from hickorygate.core import access_policy
from hickorygate.core import catalog as catalogs
from hickorygate.core import errors
from hickorygate.core import rank as ranks
from hickorygate.platform import decoding_failure
from hickorygate.platform import workspace_decoding

__all__ = ["CONFIGURATION", "CONFIGURATION_NAME", "decode_catalog"]

CONFIGURATION = "config"
"""Kind of the object that holds the configuration."""

CONFIGURATION_NAME = "main"
"""Name of the configuration object."""

_MIN_RANK_SHARE = 0.05
"""Share of a database's capacity that each rank keeps under overload."""

_Count = Annotated[int, pydantic.Field(strict=True, ge=0)]
_Name = Annotated[str, pydantic.Field(strict=True, min_length=1)]

_MIN_MILLISECONDS = 0.001
_MAX_MILLISECONDS = 30 * 86_400_000.0
_Milliseconds = Annotated[
    float, pydantic.Field(ge=_MIN_MILLISECONDS, le=_MAX_MILLISECONDS)
]


_Flag = Annotated[bool, pydantic.BeforeValidator(lambda value: value is True)]
"""A flag that is set only by the value true, not by one that resembles it."""


class _Route(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore")

    host: _Name  # The database name that callers connect to.
    type: Literal["primary", "bounded_staleness", "read_your_writes"]
    timeout_ms: _Milliseconds
    latency_goal_ms: _Milliseconds
    priority: _Count
    service: _Name
    max_staleness_ms: Annotated[
        float, pydantic.Field(ge=0, le=_MAX_MILLISECONDS)
    ] = 0
    public: _Flag = False

    def route(self) -> catalogs.Route:
        rank = ranks.Rank(
            name=str(self.priority),
            order=self.priority,
            target=datetime.timedelta(milliseconds=self.latency_goal_ms),
            floor=_MIN_RANK_SHARE,
        )
        return catalogs.Route(
            database=self.host,
            service=self.service,
            consistency=self._consistency(),
            rank=rank,
            timeout=datetime.timedelta(milliseconds=self.timeout_ms),
            public=self.public,
        )

    def _consistency(self) -> catalogs.Consistency:
        staleness = datetime.timedelta(milliseconds=self.max_staleness_ms)
        if self.type == "primary" or not staleness:
            return catalogs.StrongConsistency()
        if self.type == "bounded_staleness":
            return catalogs.BoundedStaleness(staleness)
        return catalogs.ReadYourWrites(staleness)


class _Service(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore")

    name: _Name
    max_conns: Annotated[int, pydantic.Field(gt=0)]
    sync_replicas: _Count = 0


class _Limits(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore")

    tx_idle_ms: _Milliseconds = 3_000
    idle_timeout_ms: _Milliseconds = 15_000


class _Configuration(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore")

    version: _Count
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = _Limits()
    tenants: list[Any] | None = None  # A null lists no workspaces.

    def catalog(self, keys_required: bool) -> catalogs.Catalog:
        idle = datetime.timedelta(milliseconds=self.limits.tx_idle_ms)
        listed = workspace_decoding.decode_workspaces(self.tenants or ())
        has_list = "tenants" in self.model_fields_set
        return catalogs.Catalog(
            version=self.version,
            routes={route.host: route.route() for route in self.routes},
            services={s.name: _service_terms(s) for s in self.services},
            transaction_idle_timeout=idle,
            access=access_policy.choose(
                listed.keys if has_list else None, keys_required
            ),
            workspaces=listed.workspaces,
            workspace_errors=listed.errors,
            message_idle_timeout=datetime.timedelta(
                milliseconds=self.limits.idle_timeout_ms
            ),
        )


def _service_terms(service: _Service) -> catalogs.ServiceSettings:
    return catalogs.ServiceSettings(
        service.name, service.max_conns, service.sync_replicas
    )


def decode_catalog(
    value: Mapping[str, object] | object, keys_required: bool
) -> expression.Result[catalogs.Catalog, errors.Failure]:
    """Decodes the configuration object.

    Args:
      value: content of the object.
      keys_required: whether the deployment has workspaces even if the
        configuration lists none.

    Returns:
      The catalog, or `ObjectMalformed` with the first invalid field.
    """
    try:
        configuration = _Configuration.model_validate(value)
    except pydantic.ValidationError as error:
        return expression.Error(
            decoding_failure.malformed(CONFIGURATION, error)
        )
    return expression.Ok(configuration.catalog(keys_required))
