"""A fleet of proxies before a model group, without a network.

Each proxy has the sessions, pools, rounds and takeovers of the real one. The
databases are those of `model_group`, and time is virtual.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import dataclasses
import datetime
import random

from hickorygate.callers import caller_session
from hickorygate.callers import session_context
from hickorygate.core import background
from hickorygate.core import capacity as capacities
from hickorygate.core import catalog as catalogs
from hickorygate.core import errors
from hickorygate.core import events
from hickorygate.core import operation as operations
from hickorygate.core import rank as ranks
from hickorygate.core import reply as replies
from hickorygate.core import retry
from hickorygate.testing import line_cluster
from hickorygate.testing import model_group
from hickorygate.testing import virtual_time
from hickorygate.upstreams import group_monitor
from hickorygate.upstreams import lease_record
from hickorygate.upstreams import member as members
from hickorygate.upstreams import promotion_lease

__all__ = ["CallOutcome", "ModelFleet", "ModelProxy"]

_LISTED_BEFORE = datetime.timedelta(minutes=1)
"""Time for which a proxy knows the first databases when it begins."""

_STALENESS = datetime.timedelta(milliseconds=1_500)
_ROUTES = {
    "strong": (0, 200, 1_000, catalogs.StrongConsistency()),
    "own": (1, 400, 1_000, catalogs.ReadYourWrites(_STALENESS)),
    "bounded": (2, 1_200, 2_000, catalogs.BoundedStaleness(_STALENESS)),
    "patient": (1, 400, 4_000, catalogs.ReadYourWrites(_STALENESS)),
}
"""Rank, target and time-out (in ms) and consistency of each route."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallOutcome:
    """How one operation of a caller ended.

    Attributes:
      served: whether all its statements succeeded.
      failure: why it failed; None if it was served.
      started: time at which the caller sent it.
      took: time until the caller had its last answer.
    """

    served: bool
    failure: errors.Failure | None
    started: datetime.datetime
    took: datetime.timedelta


def _route(name: str) -> catalogs.Route:
    order, target, timeout, consistency = _ROUTES[name]
    rank = ranks.Rank(
        str(order), order, datetime.timedelta(milliseconds=target), 0.05
    )
    return catalogs.Route(
        name, "s", consistency, rank, datetime.timedelta(milliseconds=timeout)
    )


class ModelProxy:
    """One proxy; also the registry of its only group.

    Attributes:
      name: name of the proxy.
      journal: timeline of the proxy's events.
      monitor: monitor of the group.
      catalog: configuration in force; None for one without workspaces.
    """

    def __init__(
        self,
        name: str,
        group: model_group.ModelGroup,
        store: line_cluster.MemoryStore,
        clock: virtual_time.LoopClock,
        capacity: capacities.CapacitySettings | None = None,
    ) -> None:
        self.name = name
        self.journal = events.Timeline(name, events.HybridLogicalClock(clock))
        lease_state = lease_record.LeaseState(name, name)
        self._lease = promotion_lease.PromotionLease(
            lease_state, store, clock, self.journal
        )
        settings = catalogs.ServiceSettings("s", group.settings.connections, 1)
        self.monitor = group_monitor.GroupMonitor(
            settings,
            group.connector(name),
            self._lease,
            clock,
            self.journal,
            capacity,
            random.Random(name),
        )
        self._group = group
        self._known_since: dict[members.MemberId, datetime.datetime] = {}
        self._clock = clock
        self._background = background.BackgroundTasks()
        self.catalog: catalogs.Catalog | None = None
        self._env = session_context.SessionContext(
            fleet=self,
            clock=clock,
            zone="a",
            rng=random.Random(name),
            journal=self.journal,
            retries=retry.RetryBudget(share=1.0, limit=100.0),
            background=self._background,
        )

    @property
    def version(self) -> int:
        """Version of the configuration in force."""
        return 1

    @property
    def message_idle(self) -> datetime.timedelta:
        """Time without progress after which a message may be given up."""
        return catalogs.MESSAGE_IDLE_TIMEOUT

    @property
    def transaction_idle(self) -> datetime.timedelta:
        """Time after which an idle transaction may be aborted."""
        return datetime.timedelta(seconds=3)

    def __repr__(self) -> str:
        return f"ModelProxy({self.name!r})"

    def subscribe(self, on_change: Callable[[], None]) -> None:
        """Does nothing; the configuration never changes."""

    def start(self, names: list[str]) -> None:
        """Starts the rounds of a proxy that knows the names of all proxies."""
        live = frozenset(names)
        self._lease.set_proxies(live)
        self.monitor.set_proxies(len(live))
        known = self._clock.now() - _LISTED_BEFORE
        for member in self._group.members():
            self._known_since[member.id] = known
        self.reload_members()
        self.monitor.start()

    def reload_members(self) -> None:
        """Tells the proxy the present entries of the databases."""
        listed = self._group.members()
        for member in listed:
            self._known_since.setdefault(member.id, self._clock.now())
        self.monitor.set_members(listed, self._known_since)

    async def close(self) -> None:
        """Stops the proxy."""
        await self._background.close()
        await self.monitor.close()

    async def wait_for_configuration(self, limit: datetime.timedelta) -> bool:
        """Returns that the configuration is in force."""
        return True

    def route(self, database: str) -> catalogs.Route | None:
        """Returns the route of a database name."""
        return _route(database)

    def group(self, service: str) -> group_monitor.GroupMonitor | None:
        """Returns the only group."""
        return self.monitor

    async def call(
        self,
        database: str,
        *steps: operations.Operation,
        pause: datetime.timedelta = datetime.timedelta(),
    ) -> CallOutcome:
        """Runs the statements of one operation in a session of its own.

        Args:
          database: name of the route.
          *steps: statements in order.
          pause: time between two of them.
        """
        session = caller_session.CallerSession(database, self._env)
        began = self._clock.now()
        failure = None
        try:
            for number, step in enumerate(steps):
                if number:
                    await self._clock.sleep(pause)
                reply: replies.Reply = await session.perform(f"q{number}", step)
                if reply.result.is_error():
                    failure = reply.result.error
                    break
        finally:
            session.close()
        took = self._clock.now() - began
        return CallOutcome(failure is None, failure, began, took)


class ModelFleet:
    """Proxies that share one group and one store.

    Attributes:
      clock: virtual clock.
      group: the databases.
      store: store of the promotion lease.
      proxies: the proxies.
    """

    def __init__(
        self,
        count: int,
        settings: model_group.ModelSettings | None = None,
        capacity: capacities.CapacitySettings | None = None,
        group_type: type[model_group.ModelGroup] = model_group.ModelGroup,
    ) -> None:
        self.clock = virtual_time.LoopClock(asyncio.get_running_loop())
        self.group = group_type(
            settings or model_group.ModelSettings(), self.clock
        )
        self.store = line_cluster.MemoryStore(self.group)
        self.proxies = [
            ModelProxy(
                f"proxy-{n}", self.group, self.store, self.clock, capacity
            )
            for n in range(count)
        ]

    def __repr__(self) -> str:
        return f"ModelFleet({len(self.proxies)}, {self.group!r})"

    async def start(
        self, rng: random.Random, spread: datetime.timedelta
    ) -> None:
        """Starts all proxies, each at a random time within a span."""
        names = [proxy.name for proxy in self.proxies]
        async with asyncio.TaskGroup() as tasks:
            for proxy in self.proxies:
                tasks.create_task(
                    self._start_one(proxy, names, spread * rng.random())
                )

    def reload_members(self) -> None:
        """Tells all proxies the present entries of the databases."""
        for proxy in self.proxies:
            proxy.reload_members()

    def count(self, kind: type[events.Event]) -> int:
        """Returns how often the proxies recorded a kind of event."""
        return sum(proxy.journal.counts[kind] for proxy in self.proxies)

    async def close(self) -> None:
        """Stops all proxies."""
        for proxy in self.proxies:
            await proxy.close()

    async def _start_one(
        self, proxy: ModelProxy, names: list[str], delay: datetime.timedelta
    ) -> None:
        await self.clock.sleep(delay)
        proxy.start(names)
