"""Line protocol proxies and a stand-in group in one process, for tests."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import datetime
import random

import expression

from hickorygate.callers import session_context
from hickorygate.callers import shutdown
from hickorygate.core import access_policy
from hickorygate.core import background
from hickorygate.core import catalog as catalogs
from hickorygate.core import clock as clocks
from hickorygate.core import errors
from hickorygate.core import events
from hickorygate.core import rank as ranks
from hickorygate.core import retry
from hickorygate.platform import database
from hickorygate.platform import line_server
from hickorygate.platform import settings
from hickorygate.proxies import serving_links
from hickorygate.proxies import serving_plan
from hickorygate.proxies import statement_server
from hickorygate.store import registration
from hickorygate.testing import line_group
from hickorygate.upstreams import group_registry
from hickorygate.upstreams import lease_record
from hickorygate.upstreams import promotion_lease

__all__ = [
    "LineClient",
    "LineCluster",
    "MemoryStore",
    "LineProxy",
    "assert_no_commit_lost",
    "make_catalog",
]

PRIMARY_DB, BOUNDED_DB, OWN_WRITES_DB = "primary-db", "bounded-db", "own-db"
_STALENESS = datetime.timedelta(milliseconds=1_500)
_TIMEOUT = datetime.timedelta(seconds=3)
_LINE_END = b"\r\n"
_DECODE_ERRORS = "surrogateescape"
"""Decoding error handler; bytes that are not UTF-8 pass through unchanged."""


def make_catalog(
    version: int, service: str = "ledger", connections: int = 20
) -> catalogs.Catalog:
    """Returns a configuration with one database name per consistency level.

    Args:
      version: version of the configuration.
      service: name of its service.
      connections: number of connections that a database accepts.
    """
    kinds = {
        PRIMARY_DB: catalogs.StrongConsistency(),
        BOUNDED_DB: catalogs.BoundedStaleness(_STALENESS),
        OWN_WRITES_DB: catalogs.ReadYourWrites(_STALENESS),
    }
    routes = {}
    for order, (name, consistency) in enumerate(kinds.items()):
        target = datetime.timedelta(milliseconds=500)
        rank = ranks.Rank(str(order), order, target, 0.05)
        routes[name] = catalogs.Route(
            name, service, consistency, rank, _TIMEOUT
        )
    terms = catalogs.ServiceSettings(service, connections, 1)
    return catalogs.Catalog(
        version,
        routes,
        {service: terms},
        datetime.timedelta(seconds=3),
        access_policy.OpenAccess(),
    )


class MemoryStore:
    """An in-memory stand-in for the platform's store and promotion call.

    Attributes:
      down: whether all store operations fail as unavailable.
      promotion_calls: holder and number of the lease record of each promotion
        call, in order.
    """

    def __init__(self, group: line_group.LineGroup) -> None:
        self.down = False
        self.promotion_calls: list[tuple[str, int]] = []
        self._group = group
        self._stored: lease_record.StoredLeaseRecord | None = None

    def __repr__(self) -> str:
        return f"MemoryStore({self._stored!r})"

    async def read_lease(
        self,
    ) -> expression.Result[lease_record.LeaseReading, errors.Failure]:
        """Returns the stored lease record, if there is one."""
        await asyncio.sleep(0)
        if self.down:
            return expression.Error(errors.StoreUnavailable("down", False))
        return expression.Ok(lease_record.LeaseReading(self._stored))

    async def write_lease(
        self, record: lease_record.LeaseRecord, revision: int | None
    ) -> expression.Result[lease_record.LeaseReading, errors.Failure]:
        """Stores the lease record if its revision is still the expected one."""
        await asyncio.sleep(0)
        if self.down:
            return expression.Error(errors.StoreUnavailable("down", False))
        now = self._stored.revision if self._stored else None
        if now != revision:
            return expression.Error(lease_record.LeaseConflict())
        self._stored = lease_record.StoredLeaseRecord(record, (now or 0) + 1)
        return expression.Ok(lease_record.LeaseReading(self._stored))

    async def promote(
        self,
        service: str,
        member: str,
        record: lease_record.LeaseRecord,
        may_send: Callable[[], bool],
    ) -> expression.Result[None, errors.Failure]:
        """Promotes a database of the stand-in group."""
        if not may_send():
            return expression.Error(errors.StoreUnavailable("late", False))
        self.promotion_calls.append((record.holder, record.number))
        if self._group.promote(member):
            return expression.Ok(None)
        return expression.Error(errors.StoreUnavailable("status 409", False))


class LineProxy:
    """A proxy that serves one stand-in group.

    Attributes:
      name: name of the proxy.
      journal: timeline of the proxy's events.
      shutdown: limits that a shutdown of the proxy sets.
      fleet: registry of the databases that the proxy knows.
      background: background tasks of the callers' sessions.
      context: dependencies of the callers' sessions.
      server: listener for callers.
      zone: availability zone of the proxy.
      plan: which proxies serve which statements.
      links: links to serving proxies.
      seen_versions: configuration versions in replies of serving proxies.
      statements: listener for other proxies.
    """

    def __init__(
        self,
        name: str,
        group: line_group.LineGroup,
        store: MemoryStore,
        clock: clocks.Clock,
        zone: str = "a",
    ) -> None:
        self.name = name
        self.zone = zone
        self.journal = events.Timeline(name, events.HybridLogicalClock(clock))
        lease_state = lease_record.LeaseState(name, name)
        lease = promotion_lease.PromotionLease(
            lease_state, store, clock, self.journal
        )
        self.plan = serving_plan.ServingPlan(name, zone)
        self.seen_versions: list[int] = []
        self.fleet = group_registry.GroupRegistry(
            database.DatabaseConnector(self.journal),
            lease,
            clock,
            self.journal,
            self.plan,
        )
        self.links = serving_links.ServingLinks(
            self.plan, clock, self.journal, self.seen_versions.append
        )
        self.background = background.BackgroundTasks()
        self.shutdown = shutdown.ShutdownNotice()
        self.context = session_context.SessionContext(
            fleet=self.fleet,
            clock=clock,
            zone=zone,
            rng=random.Random(1),
            journal=self.journal,
            retries=retry.RetryBudget(),
            background=self.background,
            shutdown=self.shutdown,
            serving=self.plan,
            forwarder=self.links,
        )
        self.server = line_server.LineServer(self.context)
        self.statements = statement_server.StatementServer(name, self.context)
        self._group = group

    def __repr__(self) -> str:
        return f"LineProxy({self.fleet!r})"

    async def start(self, catalog: catalogs.Catalog | None = None) -> None:
        """Starts the proxy and waits until it has found the group's primary.

        Args:
          catalog: configuration; the result of `make_catalog` if None.
        """
        self.fleet.replace_members(self._group.members())
        self.fleet.apply(catalog or make_catalog(1, self._group.service))
        self.fleet.start()
        await self.server.start(settings.Address("127.0.0.1", 0))
        await self.statements.start("127.0.0.1", (0,))
        group = self.fleet.group(self._group.service)
        assert group is not None, "the catalog contains no such service"
        while group.leader is None:
            await asyncio.sleep(0.005)

    async def close(self) -> None:
        """Closes all connections and stops the proxy."""
        for caller in self.server.callers:
            caller.close()
        self.server.stop_listening()
        self.links.close()
        self.statements.close()
        await self.background.close()
        await self.fleet.close()

    async def kill(self) -> None:
        """Stops everything that the proxy runs, without any notice."""
        self.server.stop_listening()
        self.links.close()
        self.statements.close()
        await self.background.close()
        await self.fleet.close()

    def registered(self) -> registration.RegisteredProxy:
        """Returns the proxy as its object in a store would describe it."""
        address = f"127.0.0.1:{self.statements.port}"
        return registration.RegisteredProxy(address, self.zone, 1.0, 1)

    def reload_members(self) -> None:
        """Reloads the list of databases from the group."""
        self.fleet.replace_members(self._group.members())


class LineClient:
    """A client that speaks the line protocol."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._number = 0

    def __repr__(self) -> str:
        return f"LineClient(sent={self._number})"

    async def send(self, line: str) -> list[str]:
        """Sends a line and returns the lines of the answer."""
        self._writer.write(line.encode(errors=_DECODE_ERRORS) + _LINE_END)
        return await self.receive()

    async def receive(self) -> list[str]:
        """Returns the lines up to READY or the end of the connection."""
        received: list[str] = []
        while not received or not received[-1].startswith("READY"):
            line = await self._receive_line()
            if line is None:
                break
            received.append(line)
        return received

    async def _receive_line(self) -> str | None:
        """Returns the next line; None at the end of the connection."""
        try:
            data = await self._reader.readuntil(_LINE_END)
        except asyncio.IncompleteReadError as error:
            if not error.partial:
                return None
            data = error.partial
        return data.removesuffix(_LINE_END).decode(errors=_DECODE_ERRORS)

    async def query(self, text: str) -> list[str]:
        """Sends a statement with a new request id and returns the answer."""
        self._number += 1
        return await self.send(f"QUERY {id(self):x}{self._number:x} {text}")

    def close(self) -> None:
        """Closes the connection."""
        self._writer.close()


class LineCluster:
    """A stand-in group with its store and proxies.

    Attributes:
      group: stand-in group.
      store: store that the proxies share.
      proxies: proxies of the group.
    """

    def __init__(
        self,
        proxies: int = 1,
        clock: clocks.Clock | None = None,
        zones: str = "a",
        **options: object,
    ) -> None:
        """Creates the group and its proxies; they are not started yet.

        Args:
          proxies: number of proxies.
          clock: clock of the proxies; None for the system's.
          zones: availability zones, which the proxies take in turn.
          **options: options of the group.
        """
        self.group = line_group.LineGroup(**options)  # type: ignore[arg-type]
        self.store = MemoryStore(self.group)
        self.proxies = [
            LineProxy(
                f"proxy-{i}",
                self.group,
                self.store,
                clock or clocks.SystemClock(),
                zones[i % len(zones)],
            )
            for i in range(proxies)
        ]
        self._clients: list[LineClient] = []

    def __repr__(self) -> str:
        return f"LineCluster({self.group!r})"

    async def __aenter__(self) -> LineCluster:
        await self.group.start()
        for proxy in self.proxies:
            await proxy.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        for client in self._clients:
            client.close()
        for proxy in self.proxies:
            await proxy.close()
        await self.group.close()

    def count_proxies(self) -> None:
        """Makes all proxies known to each other."""
        found = {proxy.name: proxy.registered() for proxy in self.proxies}
        for proxy in self.proxies:
            proxy.plan.set_proxies(found)
            proxy.fleet.set_proxies(frozenset(found))

    async def connect(
        self, name: str, proxy: int = 0, key: str = "someone"
    ) -> LineClient:
        """Opens a session for a database name at a proxy."""
        client, received = await self.try_connect(name, proxy, key)
        assert received == ["READY I -"], received
        return client

    async def try_connect(
        self, name: str, proxy: int, key: str
    ) -> tuple[LineClient, list[str]]:
        """Asks a proxy for a session; returns the answer, too."""
        port = self.proxies[proxy].server.port
        streams = await asyncio.open_connection("127.0.0.1", port)
        client = LineClient(*streams)
        self._clients.append(client)
        return client, await client.send(f"CONNECT {name} {key}")


def assert_no_commit_lost(group: line_group.LineGroup) -> None:
    """Checks that every acknowledged commit is kept exactly once.

    Raises:
      AssertionError: a promoted database or the newest primary lacks an
        acknowledged commit, or a request was committed twice.
    """
    assert not group.lost, f"promoted databases lacked {group.lost}"
    newest = group.primary.log
    missing = set(group.acknowledged) - set(newest.commits)
    assert not missing, f"{newest!r} lacks {missing}"
    requests = [commit.request for commit in newest.commits]
    assert len(requests) == len(set(requests)), "a request was committed twice"
