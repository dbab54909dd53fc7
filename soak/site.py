"""A whole site: store, databases, proxies, and what connects them."""

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

__all__ = ["KINDS", "STALENESS_SECONDS", "Site"]

STALENESS_SECONDS = 1.5
KINDS = ("primary", "bounded", "own")
_TYPES = {
    "primary": "primary",
    "bounded": "bounded_staleness",
    "own": "read_your_writes",
}
_CONNECTIONS = 60
_NOTICE = datetime.timedelta(seconds=1)
_PROMOTION = datetime.timedelta(milliseconds=400)
_LAG = datetime.timedelta(milliseconds=30)
_REPORT_SECONDS = 0.2
_LAPSE_SECONDS = 3.0
"""An entry of a database that ended is removed after this time."""


class Site:
    """What a run works with.

    Attributes:
      groups: the databases, by service.
      proxies: the processes.
      store: the platform's store.
      items: names that callers write, by service, oldest first.
      extras: names that later configurations added, oldest first.
      signers: names of all databases that ever served, by service.
    """

    def __init__(self, size: plan.Size, folder: pathlib.Path) -> None:
        self.size = size
        self.groups = [
            line_group.LineGroup(
                f"service-{number}",
                names=[f"db-{number}{letter}" for letter in "abc"],
                lag=_LAG,
                promotion_delay=_PROMOTION,
                notice=_NOTICE,
            )
            for number in range(size.services)
        ]
        self.signers = [set(group.databases) for group in self.groups]
        self.store = object_store.ObjectStore()
        self.proxies = [
            proxies.Proxy(number, folder) for number in range(size.proxies)
        ]
        self.items: list[list[str]] = [[] for _ in self.groups]
        self.extras: list[str] = []
        self._version = 0
        self._owners: dict[int, proxies.Proxy] = {}
        self._gone: dict[tuple[str, str], float] = {}
        self._entries: dict[str, dict[str, Any]] = {}
        self._background = background.Background()
        self._released = 0

    def __repr__(self) -> str:
        return f"Site(proxies={len(self.proxies)}, groups={len(self.groups)})"

    async def start(self) -> None:
        """Starts all and waits for nothing."""
        for group in self.groups:
            await group.start()
        await self.store.start()
        self.store.promote = self._promote
        self.store.shown = self._show
        self._report()
        self.change_configuration()
        ports = [d.port for _, d in self.databases()]
        for number, proxy in enumerate(self.proxies):
            port = await self.store.listen()
            self._owners[port] = proxy
            await proxy.prepare(port, ports, f"zone-{number % 3}")
        await asyncio.gather(*(proxy.start() for proxy in self.proxies))
        self._background.start(self._report_often())

    async def close(self) -> None:
        """Ends all processes and stand-ins."""
        await self._background.close()
        await asyncio.gather(*(proxy.close() for proxy in self.proxies))
        await self.store.close()
        for group in self.groups:
            await group.close()

    def databases(
        self,
    ) -> Iterator[tuple[line_group.LineGroup, line_group.LineDatabase]]:
        """Returns all databases with their groups."""
        for group in self.groups:
            for database in tuple(group.databases.values()):
                yield group, database

    def change_configuration(self) -> None:
        """Puts a newer configuration in force; all but the first add a name."""
        self._version += 3
        if self._version > 3:
            self.extras.append(f"extra-{self._version}")
        self.store.put("config", "main", self._configuration())

    def successor(self) -> str:
        """Returns the name of a database that never was."""
        self._released += 1
        return f"next-{self._released}"

    def _configuration(self) -> dict[str, Any]:
        routes = [
            self._route(f"{kind}-{number}", kind, number)
            for number in range(len(self.groups))
            for kind in KINDS
        ]
        routes += [self._route(name, "primary", 0) for name in self.extras]
        services = [
            {"name": g.service, "max_conns": _CONNECTIONS, "sync_replicas": 1}
            for g in self.groups
        ]
        return {
            "version": self._version,
            "routes": routes,
            "services": services,
        }

    def _route(self, name: str, kind: str, service: int) -> dict[str, Any]:
        return {
            "host": name,
            "type": _TYPES[kind],
            "timeout_ms": 1_500,
            "latency_goal_ms": 300,
            "priority": KINDS.index(kind),
            "service": self.groups[service].service,
            "max_staleness_ms": STALENESS_SECONDS * 1_000,
        }

    def _promote(self, service: str, name: str) -> bool:
        group = next(g for g in self.groups if g.service == service)
        return group.promote(name)

    def _show(self, port: int, kind: str, stored: dict[str, Any]) -> Any:
        """Leads each proxy to the databases through its own relays."""
        owner = self._owners.get(port)
        spec = stored["spec"]
        if kind != "servers" or owner is None:
            return spec
        relay = owner.databases[spec["port"]]
        return {**spec, "address": f"127.0.0.1:{relay.port}"}

    async def _report_often(self) -> None:
        while True:
            await asyncio.sleep(_REPORT_SECONDS)
            self._report()

    def _report(self) -> None:
        """Writes the entries that changed; removes those that lapsed."""
        now = asyncio.get_running_loop().time()
        wanted: dict[str, dict[str, Any]] = {}
        for group, database in self.databases():
            key = (group.service, database.name)
            if database.running:
                self._gone.pop(key, None)
            lapsed = now - self._gone.setdefault(key, now) > _LAPSE_SECONDS
            if database.running or not lapsed:
                wanted[database.name] = _entry(group, database)
            if database.running:
                del self._gone[key]
        for name in self._entries.keys() - wanted.keys():
            self.store.remove("servers", name)
        for name, entry in wanted.items():
            if self._entries.get(name) != entry:
                self.store.put("servers", name, entry)
        self._entries = wanted


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
