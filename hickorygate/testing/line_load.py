"""An open-loop load over the line protocol with scheduled faults.

Proxies and a stand-in group run in one process. The arrival of a request
doesn't depend on the answers to earlier ones. Each request has a rank. At
scheduled times the group's primary crashes, stops answering, loses replication
to its replicas, or announces that it leaves.
"""

from __future__ import annotations

import asyncio
import dataclasses
import datetime
import functools
import itertools
import random

from hickorygate.core import access_policy
from hickorygate.core import background
from hickorygate.core import catalog
from hickorygate.core import clock as clocks
from hickorygate.core import rank as ranks
from hickorygate.testing import line_cluster
from hickorygate.testing import line_group

__all__ = [
    "FAULTS",
    "Crash",
    "Cut",
    "Fault",
    "Leave",
    "Mute",
    "Outcome",
    "RankReport",
    "Report",
    "Setup",
    "run",
]

_SERVICE = "ledger"
_CONNECTIONS = 30
_SESSIONS = 24
"""Sessions per rank and proxy; each request runs on an idle session."""

_PROMOTION = datetime.timedelta(milliseconds=400)
_SETTLE_TIME = datetime.timedelta(seconds=1)
_RECONNECT_SECONDS = 0.05
_STALENESS = datetime.timedelta(milliseconds=1_500)


def _milliseconds(count: float) -> datetime.timedelta:
    return datetime.timedelta(milliseconds=count)


_RANKS = (
    (
        ranks.Rank("urgent", 0, _milliseconds(100), 0.05),
        catalog.StrongConsistency(),
    ),
    (
        ranks.Rank("normal", 1, _milliseconds(200), 0.05),
        catalog.ReadYourWrites(_STALENESS),
    ),
    (
        ranks.Rank("history", 2, _milliseconds(600), 0.05),
        catalog.BoundedStaleness(_STALENESS),
    ),
)
_WRITE_SHARES = {"urgent": 0.4, "normal": 0.15, "history": 0.0}
_REQUEST_TIMEOUT = _milliseconds(1_000)


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A fault that is injected at the group's primary.

    Attributes:
      at: time of the injection, counted from the start of the load.
      lasts: duration of the fault.
    """

    at: datetime.timedelta
    lasts: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class Crash(Fault):
    """The primary stops, and restarts with its log when the fault ends."""


@dataclasses.dataclass(frozen=True, slots=True)
class Mute(Fault):
    """The primary accepts requests without answering them."""


@dataclasses.dataclass(frozen=True, slots=True)
class Cut(Fault):
    """The replicas receive nothing from the primary."""


@dataclasses.dataclass(frozen=True, slots=True)
class Leave(Fault):
    """The primary is listed as leaving, and replaced when the fault ends."""


FAULTS = {"crash": Crash, "mute": Mute, "cut": Cut, "leave": Leave}


@dataclasses.dataclass(frozen=True, slots=True)
class Setup:
    """The parameters of a run.

    Attributes:
      proxies: number of proxies that share the group.
      slots: number of statements that a database runs concurrently.
      time: execution time of a statement.
      loads: offered load of each rank, as a fraction of the group's capacity.
      duration: how long requests arrive.
      faults: faults that are injected during the run.
      seed: seed of the random arrivals.
    """

    proxies: int = 4
    slots: int = 2
    time: datetime.timedelta = _milliseconds(20)
    loads: tuple[float, float, float] = (0.1, 0.3, 0.1)
    duration: datetime.timedelta = datetime.timedelta(seconds=15)
    faults: tuple[Fault, ...] = ()
    seed: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The outcome of one request; all times are in seconds.

    Attributes:
      arrived: arrival time, counted from the start of the load.
      took: time from the arrival to the answer.
      code: error code of a failed request; empty on success.
      wrote: whether the request was a write.
    """

    arrived: float
    took: float
    code: str
    wrote: bool

    @property
    def ended(self) -> float:
        """Time of the answer, counted from the start of the load."""
        return self.arrived + self.took


@dataclasses.dataclass(frozen=True, slots=True)
class RankReport:
    """The outcomes of the requests of one rank."""

    rank: ranks.Rank
    outcomes: tuple[Outcome, ...]

    @property
    def in_time(self) -> float:
        """Share of the requests that succeeded within the target."""
        target = self.rank.target.total_seconds()
        succeeded = sum(not o.code and o.took <= target for o in self.outcomes)
        return succeeded / len(self.outcomes) if self.outcomes else 1.0

    @property
    def served(self) -> float:
        """Share of the requests that succeeded."""
        succeeded = sum(not o.code for o in self.outcomes)
        return succeeded / len(self.outcomes) if self.outcomes else 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """The measurements of a run.

    Attributes:
      setup: parameters of the run.
      ranks: outcomes of each rank, the most urgent rank first.
      promotions: number of promotions.
      lost: number of acknowledged commits that the last primary lacks.
    """

    setup: Setup
    ranks: tuple[RankReport, ...]
    promotions: int
    lost: int

    @property
    def gap(self) -> float:
        """Longest time in seconds between two successful writes."""
        ends = sorted(
            outcome.ended
            for rank in self.ranks
            for outcome in rank.outcomes
            if outcome.wrote and not outcome.code
        )
        return max((b - a for a, b in itertools.pairwise(ends)), default=0.0)


def _catalog() -> catalog.Catalog:
    routes = {
        rank.name: catalog.Route(
            rank.name, _SERVICE, consistency, rank, _REQUEST_TIMEOUT
        )
        for rank, consistency in _RANKS
    }
    terms = catalog.ServiceSettings(_SERVICE, _CONNECTIONS, 1)
    return catalog.Catalog(
        1,
        routes,
        {_SERVICE: terms},
        3 * _REQUEST_TIMEOUT,
        access_policy.OpenAccess(),
    )


class _RequestStream:
    """Generates the requests of one rank and records their outcomes."""

    def __init__(
        self,
        rank: ranks.Rank,
        load: float,
        bench: _Bench,
        rng: random.Random,
    ) -> None:
        self.outcomes: list[Outcome] = []
        self._rank = rank
        self._load = load
        self._bench = bench
        self._random = rng
        self._idle_sessions: asyncio.Queue[int] = asyncio.Queue()
        self._clients: dict[int, line_cluster.LineClient] = {}

    async def run(self) -> None:
        """Starts requests until the duration of the run has passed."""
        setup = self._bench.setup
        count = _SESSIONS * setup.proxies
        for number in range(count):
            self._idle_sessions.put_nowait(number)
        capacity = 3 * setup.slots / setup.time.total_seconds()
        rate = self._load * capacity
        if not rate:
            return
        due = self._bench.elapsed()
        while True:
            due += self._random.expovariate(rate)
            if due >= setup.duration.total_seconds():
                return
            await asyncio.sleep(max(due - self._bench.elapsed(), 0))
            self._bench.start(self._request(due))

    def close(self) -> None:
        """Closes the sessions."""
        for client in self._clients.values():
            client.close()

    async def _request(self, due: float) -> None:
        number = await self._idle_sessions.get()
        wrote = self._random.random() < _WRITE_SHARES[self._rank.name]
        code = await self._send_statement(number, wrote)
        took = self._bench.elapsed() - due
        self.outcomes.append(Outcome(due, took, code, wrote))
        self._idle_sessions.put_nowait(number)

    async def _send_statement(self, number: int, wrote: bool) -> str:
        """Sends one statement; returns the error code, or '' on success."""
        item = f"{self._rank.name}{number}"
        text = f"WRITE {item} 1" if wrote else f"READ {item}"
        try:
            received = await (await self._client(number)).query(text)
        except OSError:
            received = []
        if not received:
            self._clients.pop(number).close()
            await asyncio.sleep(_RECONNECT_SECONDS)
            return "connection ended"
        kind, _, details = received[0].partition(" ")
        return details.split(" ")[0] if kind == "ERROR" else ""

    async def _client(self, number: int) -> line_cluster.LineClient:
        client = self._clients.get(number)
        if client is None:
            proxy = number % self._bench.setup.proxies
            client = await self._bench.connect(self._rank.name, proxy)
            self._clients[number] = client
        return client


class _Bench:
    """One run of the benchmark."""

    def __init__(self, setup: Setup, clock: clocks.Clock) -> None:
        self.setup = setup
        self.cluster = line_cluster.LineCluster(
            setup.proxies,
            service=_SERVICE,
            promotion_delay=_PROMOTION,
            work=line_group.Capacity(setup.slots, setup.time),
        )
        self._clock = clock
        self._started = clock.now()
        self._background = background.BackgroundTasks()
        self._load = background.BackgroundTasks()
        rng = random.Random(setup.seed)
        self.streams = [
            _RequestStream(rank, load, self, random.Random(rng.getrandbits(64)))
            for (rank, _), load in zip(_RANKS, setup.loads, strict=True)
        ]

    def elapsed(self) -> float:
        """Returns the seconds since the load started."""
        return (self._clock.now() - self._started).total_seconds()

    def start(self, work: asyncio.Future[None]) -> None:
        """Runs a request concurrently with the others."""
        self._load.start(work)

    async def connect(self, name: str, proxy: int) -> line_cluster.LineClient:
        """Opens a session for a database name at a proxy."""
        return await self.cluster.connect(name, proxy)

    async def run_load(self) -> None:
        """Runs the load and the faults; returns when no request is pending."""
        await self.cluster.group.start()
        names = frozenset(proxy.name for proxy in self.cluster.proxies)
        for proxy in self.cluster.proxies:
            await proxy.start(_catalog())
            proxy.fleet.set_proxies(names)
        await self._clock.sleep(_SETTLE_TIME)
        self._started = self._clock.now()
        for fault in self.setup.faults:
            self._background.start(self._inject(fault))
        await asyncio.gather(*(stream.run() for stream in self.streams))
        while self._load.running:
            await asyncio.sleep(_RECONNECT_SECONDS)

    async def close(self) -> None:
        """Stops all tasks, sessions, proxies and databases."""
        await self._background.close()
        await self._load.close()
        for stream in self.streams:
            stream.close()
        for proxy in self.cluster.proxies:
            await proxy.close()
        await self.cluster.group.close()

    def reload_members(self) -> None:
        """Makes the proxies reload the list of databases."""
        for proxy in self.cluster.proxies:
            proxy.reload_members()

    async def _inject(self, fault: Fault) -> None:
        await self._clock.sleep(fault.at)
        await _inject(fault, self)


@functools.singledispatch
async def _inject(fault: Fault, bench: _Bench) -> None:
    raise TypeError(f"no handler to inject {fault!r} is registered")


@_inject.register
async def _(fault: Crash, bench: _Bench) -> None:
    database = bench.cluster.group.primary
    database.crash()
    await asyncio.sleep(fault.lasts.total_seconds())
    await database.start()


@_inject.register
async def _(fault: Mute, bench: _Bench) -> None:
    database = bench.cluster.group.primary
    database.faults.unresponsive = True
    await asyncio.sleep(fault.lasts.total_seconds())
    database.faults.unresponsive = False


@_inject.register
async def _(fault: Cut, bench: _Bench) -> None:
    replicas = bench.cluster.group.replicas
    for database in replicas:
        database.faults.replication_blocked = True
    await asyncio.sleep(fault.lasts.total_seconds())
    for database in replicas:
        database.faults.replication_blocked = False


@_inject.register
async def _(fault: Leave, bench: _Bench) -> None:
    database = bench.cluster.group.primary
    database.leaving = True
    bench.reload_members()
    await asyncio.sleep(fault.lasts.total_seconds())
    await bench.cluster.group.replace(database.name, f"{database.name}-next")
    bench.reload_members()


async def run(setup: Setup, clock: clocks.Clock) -> Report:
    """Runs a load with its faults and returns the measurements."""
    bench = _Bench(setup, clock)
    try:
        await bench.run_load()
        newest = set(bench.cluster.group.primary.log.commits)
        group = bench.cluster.group
        lost = sum(commit not in newest for commit in group.acknowledged)
    finally:
        await bench.close()
    reports = tuple(
        RankReport(rank, tuple(stream.outcomes))
        for (rank, _), stream in zip(_RANKS, bench.streams, strict=True)
    )
    return Report(setup, reports, len(group.promotions), lost)
