"""The dependencies that all line protocol sessions of a proxy share."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import datetime
import random
from typing import Protocol

from hickorygate.callers import serving
from hickorygate.callers import shutdown
from hickorygate.callers import workspace_limits
from hickorygate.core import background
from hickorygate.core import catalog
from hickorygate.core import clock as clocks
from hickorygate.core import errors
from hickorygate.core import events
from hickorygate.core import request_context
from hickorygate.core import retry
from hickorygate.core import session_limits
from hickorygate.core import types
from hickorygate.upstreams import group_monitor

__all__ = ["ServiceGroups", "SessionContext"]

_LATE_RETRY_DELAY = datetime.timedelta(seconds=1)
"""Retry delay that is suggested if an admitted operation can't run in time."""


class ServiceGroups(Protocol):
    """The configuration in force and the databases of its services."""

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 before the first one."""

    @property
    def catalog(self) -> catalog.Catalog | None:
        """The configuration in force; None before the first one."""

    @property
    def transaction_idle(self) -> datetime.timedelta:
        """Time after which an idle transaction may be aborted."""

    def subscribe(self, on_change: Callable[[], None]) -> None:
        """Registers a function that is called after each configuration."""

    @property
    def message_idle(self) -> datetime.timedelta:
        """Time without progress after which a message may be given up."""

    async def wait_for_configuration(self, limit: datetime.timedelta) -> bool:
        """Waits for the first configuration.

        Args:
          limit: longest time to wait.

        Returns:
          Whether a configuration is in force.
        """

    def route(self, database: types.SchemaName) -> catalog.Route | None:
        """Returns the route of a database name; None if it has none."""

    def group(
        self, service: types.ServiceName
    ) -> group_monitor.GroupMonitor | None:
        """Returns the databases of a service; None if it is unknown."""


@dataclasses.dataclass(frozen=True, slots=True)
class SessionContext:
    """The dependencies that all line protocol sessions of a proxy share.

    Attributes:
      fleet: configuration in force and the databases of its services.
      clock: source of time.
      zone: availability zone of this proxy.
      rng: random generator that breaks ties and adds jitter.
      journal: log that events are recorded in.
      retries: budget that bounds retries to a share of the requests.
      background: owner of the tasks that outlive a request.
      shutdown: limits that a shutdown of the process sets.
      serving: which proxies serve which statements; None if this proxy runs
        all statements itself.
      forwarder: links to the serving proxies; None if there are none.
      limits: rate limits of the workspaces; None if there are none.
      session_state: memory of the state of all sessions.
    """

    fleet: ServiceGroups
    clock: clocks.Clock
    zone: types.ZoneName
    rng: random.Random
    journal: events.Journal
    retries: retry.RetryBudget
    background: background.BackgroundTasks
    shutdown: shutdown.ShutdownNotice = dataclasses.field(
        default_factory=shutdown.ShutdownNotice
    )
    serving: serving.ServerChoice | None = None
    forwarder: serving.ServerLinks | None = None
    limits: workspace_limits.WorkspaceLimits | None = None
    session_state: session_limits.SessionStateBudget = dataclasses.field(
        default_factory=session_limits.SessionStateBudget
    )

    def admit(
        self, workspace: types.WorkspaceName, now: datetime.datetime
    ) -> errors.RateLimited | None:
        """Counts an operation that needs a database.

        Returns:
          The failure if its workspace is over its rate limit, otherwise None.
        """
        if self.limits is None:
            return None
        return self.limits.admit(workspace, now)

    def time_to_run(
        self, request: request_context.RequestContext
    ) -> datetime.timedelta | None:
        """Counts an operation that is about to be sent to a database.

        Returns:
          Time to wait before it is sent; None if that would be too late.
        """
        if self.limits is None:
            return datetime.timedelta()
        return self.limits.time_to_run(
            request.workspace, self.clock.now(), request.deadline
        )

    def refusal(
        self, request: request_context.RequestContext
    ) -> errors.RateLimited:
        """Returns the failure of an operation that waited for too long."""
        return errors.RateLimited(request.workspace, _LATE_RETRY_DELAY)
