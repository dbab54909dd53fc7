"""A proxy of the users' platform before a stand-in group, in one process."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import datetime
import random

import expression

from hickorygate.callers import surroundings
from hickorygate.core import background
from hickorygate.core import catalog as catalogs
from hickorygate.core import clock as clocks
from hickorygate.core import errors
from hickorygate.core import events
from hickorygate.core import rank as ranks
from hickorygate.core import retry
from hickorygate.platform import database
from hickorygate.platform import front as fronts
from hickorygate.platform import settings as settings_lib
from hickorygate.testing import line_group
from hickorygate.upstreams import duty as duties
from hickorygate.upstreams import fleet as fleets
from hickorygate.upstreams import office as offices

__all__ = [
    "LineClient",
    "LineWorld",
    "MemoryStore",
    "Proxy",
    "assert_no_commit_lost",
    "make_catalog",
]

PRIMARY, BOUNDED, OWN = "primary-db", "bounded-db", "own-db"
_STALENESS = datetime.timedelta(milliseconds=1_500)
_TIMEOUT = datetime.timedelta(seconds=3)


def make_catalog(version: int, service: str = "ledger") -> catalogs.Catalog:
    """Returns a configuration with one name for each consistency."""
    kinds = {
        PRIMARY: catalogs.Newest(),
        BOUNDED: catalogs.Bounded(_STALENESS),
        OWN: catalogs.OwnWrites(_STALENESS),
    }
    routes = {}
    for order, (name, consistency) in enumerate(kinds.items()):
        target = datetime.timedelta(milliseconds=500)
        rank = ranks.Rank(str(order), order, target, 0.05)
        routes[name] = catalogs.Route(
            name, service, consistency, rank, _TIMEOUT
        )
    terms = catalogs.ServiceTerms(service, 20, 1)
    return catalogs.Catalog(
        version, routes, {service: terms}, datetime.timedelta(seconds=3)
    )


class MemoryStore:
    """The platform's store and promotion call, without a network.

    Attributes:
      down: whether nothing answers.
      orders: holders and numbers of the promotions, in order.
    """

    def __init__(self, group: line_group.LineGroup) -> None:
        self.down = False
        self.orders: list[tuple[str, int]] = []
        self._group = group
        self._stored: duties.Stored | None = None

    def __repr__(self) -> str:
        return f"MemoryStore({self._stored!r})"

    async def read_duty(
        self,
    ) -> expression.Result[duties.Stored | None, errors.Failure]:
        """Returns the record."""
        await asyncio.sleep(0)
        if self.down:
            return expression.Error(errors.StoreUnavailable("down", False))
        return expression.Ok(self._stored)

    async def write_duty(
        self, record: duties.Record, revision: int | None
    ) -> expression.Result[duties.Stored, errors.Failure]:
        """Stores the record if the revision still stands."""
        await asyncio.sleep(0)
        if self.down:
            return expression.Error(errors.StoreUnavailable("down", False))
        now = self._stored.revision if self._stored else None
        if now != revision:
            return expression.Error(duties.Overtaken())
        self._stored = duties.Stored(record, (now or 0) + 1)
        return expression.Ok(self._stored)

    async def promote(
        self,
        service: str,
        member: str,
        record: duties.Record,
        may_send: Callable[[], bool],
    ) -> expression.Result[None, errors.Failure]:
        """Promotes at the stand-in group."""
        if not may_send():
            return expression.Error(errors.StoreUnavailable("late", False))
        self.orders.append((record.holder, record.number))
        if self._group.promote(member):
            return expression.Ok(None)
        return expression.Error(errors.StoreUnavailable("status 409", False))


class Proxy:
    """One proxy of the world."""

    def __init__(
        self, name: str, group: line_group.LineGroup, store: MemoryStore
    ) -> None:
        clock = clocks.SystemClock()
        self.journal = events.TimeLine(name, events.StampClock(clock))
        duty = duties.Duty(name, name)
        office = offices.Office(duty, store, clock, self.journal)
        self.fleet = fleets.Fleet(
            database.DatabaseConnector(), office, clock, self.journal
        )
        self.background = background.Background()
        self.front = fronts.Front(
            surroundings.Surroundings(
                fleet=self.fleet,
                clock=clock,
                zone="a",
                rng=random.Random(1),
                journal=self.journal,
                retries=retry.Budget(),
                background=self.background,
            )
        )
        self._group = group

    def __repr__(self) -> str:
        return f"Proxy({self.fleet!r})"

    async def start(self, catalog: catalogs.Catalog | None = None) -> None:
        """Serves, once the group's primary is known.

        Args:
          catalog: the configuration; by default one of `make_catalog`.
        """
        self.fleet.replace_members(self._group.members())
        self.fleet.apply(catalog or make_catalog(1, self._group.service))
        self.fleet.start()
        await self.front.start(settings_lib.Address("127.0.0.1", 0))
        group = self.fleet.group(self._group.service)
        assert group is not None, "the catalog names it"
        while group.leader is None:
            await asyncio.sleep(0.005)

    async def close(self) -> None:
        """Ends it."""
        for caller in self.front.callers:
            caller.close()
        self.front.stop_listening()
        await self.background.close()
        await self.fleet.close()

    def take_list(self) -> None:
        """Takes in the group's list of databases anew."""
        self.fleet.replace_members(self._group.members())


class LineClient:
    """A caller that speaks the line protocol."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._number = 0

    def __repr__(self) -> str:
        return f"LineClient(sent={self._number})"

    async def send(self, line: str) -> list[str]:
        """Sends a line and returns the lines up to READY or the end."""
        self._writer.write(line.encode() + b"\r\n")
        return await self.receive()

    async def receive(self) -> list[str]:
        """Returns the lines of one answer."""
        received: list[str] = []
        while not received or not received[-1].startswith("READY"):
            line = await self._reader.readline()
            if not line:
                break
            received.append(line.decode().rstrip("\r\n"))
        return received

    async def query(self, text: str) -> list[str]:
        """Sends a statement under a fresh id."""
        self._number += 1
        return await self.send(f"QUERY {id(self):x}{self._number:x} {text}")

    def close(self) -> None:
        """Hangs up."""
        self._writer.close()


class LineWorld:
    """A group and some proxies."""

    def __init__(self, proxies: int = 1, **options: object) -> None:
        self.group = line_group.LineGroup(**options)  # type: ignore[arg-type]
        self.store = MemoryStore(self.group)
        self.proxies = [
            Proxy(f"proxy-{i}", self.group, self.store) for i in range(proxies)
        ]
        self._clients: list[LineClient] = []

    def __repr__(self) -> str:
        return f"LineWorld({self.group!r})"

    async def __aenter__(self) -> LineWorld:
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

    async def connect(self, name: str, proxy: int = 0) -> LineClient:
        """Opens a session."""
        port = self.proxies[proxy].front.port
        streams = await asyncio.open_connection("127.0.0.1", port)
        client = LineClient(*streams)
        self._clients.append(client)
        received = await client.send(f"CONNECT {name} someone")
        assert received == ["READY I -"], received
        return client


def assert_no_commit_lost(group: line_group.LineGroup) -> None:
    """Raises if a promotion or the newest primary lacks what was acked."""
    assert not group.lost, f"promoted without {group.lost}"
    newest = group.primary.log
    missing = set(group.acknowledged) - set(newest.commits)
    assert not missing, f"{newest!r} lacks {missing}"
    requests = [commit.request for commit in newest.commits]
    assert len(requests) == len(set(requests)), "a write took effect twice"
