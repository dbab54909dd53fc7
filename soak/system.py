"""The system under test: store, databases, proxies and their relays."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
import datetime
import pathlib
from typing import Any

from hickorygate.core import background
from hickorygate.testing import line_group
from hickorygate.testing import object_store
from soak import plan
from soak import proxy as proxies

__all__ = ["ROUTE_KINDS", "STALENESS_SECONDS", "SystemUnderTest"]

STALENESS_SECONDS = 1.5
ROUTE_KINDS = ("primary", "bounded", "own")
_ROUTE_TYPES = {
    "primary": "primary",
    "bounded": "bounded_staleness",
    "own": "read_your_writes",
}
_CONNECTION_LIMIT = 60
_DEPOSED_PRIMARY_GRACE = datetime.timedelta(seconds=1)
"""Time for which a replaced primary goes on beside the newer one."""

_PROMOTION_DELAY = datetime.timedelta(milliseconds=400)
_REPLICATION_LAG = datetime.timedelta(milliseconds=30)
_REPORT_INTERVAL_SECONDS = 0.2
_ODD_ENTRY = (
    r'{"service": "SERVICE", "address": "\ud8f7\ud8f7:8080", '
    r'"zone": "zone-0", "slots": 3, "state": "ready", "db_role": "replica"}'
)
"""An entry whose address isn't text: two halves of characters."""

CLOSED_NAME = "closed"
"""Database name that needs a key, in a deployment with workspaces."""

_ENTRY_TTL_SECONDS = 3.0
"""Time after which the entry of a stopped database is removed."""


class SystemUnderTest:
    """The system under test of one run.

    Attributes:
      size: size of the run.
      groups: database group by index of the service.
      proxies: proxy processes.
      store: stand-in for the platform's store.
      items: items that callers write, by index of the service, oldest first.
      added_names: database names that later configurations added, oldest first.
      replaced: former databases, each with the index of its service.
      odd_texts: number of active faults that put odd bytes into messages.
      has_workspaces: whether the deployment has workspaces; then only one
        route needs a key, which no caller has.
    """

    def __init__(
        self,
        size: plan.RunSize,
        folder: pathlib.Path,
        has_workspaces: bool = False,
    ) -> None:
        self.size = size
        self.has_workspaces = has_workspaces
        self._listed = plan.ListedWorkspaces.WITH_KEY
        self.groups = [
            line_group.LineGroup(
                f"service-{number}",
                names=[f"db-{number}{letter}" for letter in "abc"],
                lag=_REPLICATION_LAG,
                promotion_delay=_PROMOTION_DELAY,
                demotion_delay=_DEPOSED_PRIMARY_GRACE,
            )
            for number in range(size.services)
        ]
        self.store = object_store.ObjectStore()
        self.proxies = [
            proxies.Proxy(number, folder) for number in range(size.proxies)
        ]
        self.items: list[list[str]] = [[] for _ in self.groups]
        self.added_names: list[str] = []
        self.replaced: list[tuple[int, line_group.LineDatabase]] = []
        self.odd_texts = 0
        self._next_orders: dict[str, asyncio.Future[str]] = {}
        self._version = 0
        self._proxies_by_port: dict[int, proxies.Proxy] = {}
        self._stopped_at: dict[tuple[str, str], float] = {}
        self._entries: dict[str, dict[str, Any]] = {}
        self._background = background.BackgroundTasks()
        self._released = 0

    def __repr__(self) -> str:
        return (
            f"SystemUnderTest(proxies={len(self.proxies)}, "
            f"groups={len(self.groups)})"
        )

    async def start(self) -> None:
        """Starts all parts, without waiting until the proxies serve."""
        for group in self.groups:
            await group.start()
        await self.store.start()
        self.store.promote = self._promote
        self.store.content_view = self._rewrite_address
        self._report()
        self.change_configuration()
        ports = [d.port for _, d in self.databases()]
        for number, proxy in enumerate(self.proxies):
            port = await self.store.listen()
            self._proxies_by_port[port] = proxy
            contracts = "base,tenants" if self.has_workspaces else "base"
            await proxy.prepare(
                port,
                ports,
                f"zone-{number % 3}",
                {"contracts": contracts},
            )
        await asyncio.gather(*(proxy.start() for proxy in self.proxies))
        self._background.start(self._report_periodically())

    async def close(self) -> None:
        """Stops all processes and stand-ins."""
        await self._background.close()
        await asyncio.gather(*(proxy.close() for proxy in self.proxies))
        await self.store.close()
        for group in self.groups:
            await group.close()

    def databases(
        self,
    ) -> Iterator[tuple[line_group.LineGroup, line_group.LineDatabase]]:
        """Yields each database with its group."""
        for group in self.groups:
            for database in tuple(group.databases.values()):
                yield group, database

    def databases_ever(self, service: int) -> Iterator[line_group.LineDatabase]:
        """Yields each present and former database of a service."""
        yield from tuple(self.groups[service].databases.values())
        for index, database in tuple(self.replaced):
            if index == service:
                yield database

    def change_configuration(self) -> None:
        """Stores a newer configuration.

        Each configuration but the first adds a database name.
        """
        self._version += 3
        if self._version > 3:
            self.added_names.append(f"extra-{self._version}")
        self.store.put("config", "main", self._configuration())

    def change_workspaces(self, listed: plan.ListedWorkspaces) -> None:
        """Stores a newer configuration with another list of workspaces."""
        self._listed = listed
        self.change_configuration()

    def new_database_name(self) -> str:
        """Returns a database name that was never used."""
        self._released += 1
        return f"next-{self._released}"

    def _configuration(self) -> dict[str, Any]:
        routes = [
            self._route(f"{kind}-{number}", kind, number)
            for number in range(len(self.groups))
            for kind in ROUTE_KINDS
        ]
        routes += [self._route(name, "primary", 0) for name in self.added_names]
        services = [
            {
                "name": g.service,
                "max_conns": _CONNECTION_LIMIT,
                "sync_replicas": 1,
            }
            for g in self.groups
        ]
        configuration = {
            "version": self._version,
            "routes": routes,
            "services": services,
        }
        if self.has_workspaces:
            routes.append(self._route(CLOSED_NAME, "primary", 0, public=False))
            configuration["tenants"] = self._listed.value
        return configuration

    def _route(
        self, name: str, kind: str, service: int, public: bool = True
    ) -> dict[str, Any]:
        return {
            "host": name,
            "type": _ROUTE_TYPES[kind],
            "timeout_ms": 1_500,
            "latency_goal_ms": 300,
            "priority": ROUTE_KINDS.index(kind),
            "service": self.groups[service].service,
            "max_staleness_ms": STALENESS_SECONDS * 1_000,
            "public": public and self.has_workspaces,
        }

    def put_odd_entry(self, service: int) -> None:
        """Stores an entry of a service whose address can't be read."""
        text = _ODD_ENTRY.replace("SERVICE", self.groups[service].service)
        self.store.put_text("servers", f"odd-{service}", text)

    async def wait_for_order(self, service: str, seconds: float) -> str | None:
        """Returns the database whose promotion is ordered next.

        Args:
          service: name of the service.
          seconds: maximum time to wait.

        Returns:
          The name of the database; None if there was no order in time.
        """
        ordered = self._next_orders.setdefault(
            service, asyncio.get_running_loop().create_future()
        )
        try:
            async with asyncio.timeout(seconds):
                return await asyncio.shield(ordered)
        except TimeoutError:
            return None

    def _promote(self, service: str, name: str) -> bool:
        group = next(g for g in self.groups if g.service == service)
        accepted = group.promote(name)
        ordered = self._next_orders.pop(service, None) if accepted else None
        if ordered is not None:
            ordered.set_result(name)
        return accepted

    def _rewrite_address(
        self, port: int, kind: str, stored: dict[str, Any]
    ) -> Any:
        """Returns an object as the proxy at a port must see it.

        Addresses of databases are replaced by those of the proxy's relays.
        """
        proxy = self._proxies_by_port.get(port)
        spec = stored["spec"]
        own = isinstance(spec, dict) and "port" in spec
        if kind != "servers" or proxy is None or not own:
            return spec
        relay = proxy.databases[spec["port"]]
        return {**spec, "address": f"127.0.0.1:{relay.port}"}

    async def _report_periodically(self) -> None:
        while True:
            await asyncio.sleep(_REPORT_INTERVAL_SECONDS)
            self._report()

    def _report(self) -> None:
        """Stores the entries that changed and removes those that expired."""
        now = asyncio.get_running_loop().time()
        current: dict[str, dict[str, Any]] = {}
        for group, database in self.databases():
            key = (group.service, database.name)
            if database.running:
                self._stopped_at.pop(key, None)
            expired = (
                now - self._stopped_at.setdefault(key, now) > _ENTRY_TTL_SECONDS
            )
            if database.running or not expired:
                current[database.name] = _entry(group, database)
            if database.running:
                del self._stopped_at[key]
        for name in self._entries.keys() - current.keys():
            self.store.remove("servers", name)
        for name, entry in current.items():
            if self._entries.get(name) != entry:
                self.store.put("servers", name, entry)
        self._entries = current


def _entry(
    group: line_group.LineGroup, database: line_group.LineDatabase
) -> dict[str, Any]:
    return {
        "service": group.service,
        "address": f"127.0.0.1:{database.port}",
        "port": database.port,
        "zone": "zone-0",
        "slots": 3,
        "state": "draining" if database.leaving else "ready",
        "db_role": "primary" if database.log.leads else "replica",
        "born": 1,
    }
