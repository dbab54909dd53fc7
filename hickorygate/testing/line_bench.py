"""An open-loop load in the line protocol, with faults at set times.

Proxies and a stand-in group run in one process. Requests arrive whatever
becomes of those before them; each has a rank, and at set times the group's
primary crashes, goes silent, is cut off from its replicas or leaves.
"""

from __future__ import annotations

import asyncio
import dataclasses
import datetime
import functools
import itertools
import random

from hickorygate.core import background
from hickorygate.core import catalog as catalogs
from hickorygate.core import clock as clocks
from hickorygate.core import rank as ranks
from hickorygate.testing import line_group
from hickorygate.testing import line_world

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
"""Sessions that a rank has at each proxy; a request takes a free one."""

_PROMOTION = datetime.timedelta(milliseconds=400)
_SETTLING = datetime.timedelta(seconds=1)
_RECONNECT_SECONDS = 0.05
_STALENESS = datetime.timedelta(milliseconds=1_500)


def _milliseconds(count: float) -> datetime.timedelta:
    return datetime.timedelta(milliseconds=count)


_RANKS = (
    (ranks.Rank("urgent", 0, _milliseconds(100), 0.05), catalogs.Newest()),
    (
        ranks.Rank("normal", 1, _milliseconds(200), 0.05),
        catalogs.OwnWrites(_STALENESS),
    ),
    (
        ranks.Rank("history", 2, _milliseconds(600), 0.05),
        catalogs.Bounded(_STALENESS),
    ),
)
_WRITE_SHARES = {"urgent": 0.4, "normal": 0.15, "history": 0.0}
_TIMEOUT = _milliseconds(1_000)


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """Something that happens to the group's primary.

    Attributes:
      at: after the start of the load.
      lasts: until it is over.
    """

    at: datetime.timedelta
    lasts: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class Crash(Fault):
    """It ends and comes back with its log."""


@dataclasses.dataclass(frozen=True, slots=True)
class Mute(Fault):
    """It takes requests and answers none."""


@dataclasses.dataclass(frozen=True, slots=True)
class Cut(Fault):
    """Its replicas receive nothing from it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Leave(Fault):
    """It announces its end, and ends when the time is over."""


FAULTS = {"crash": Crash, "mute": Mute, "cut": Cut, "leave": Leave}


@dataclasses.dataclass(frozen=True, slots=True)
class Setup:
    """The sizes of a run.

    Attributes:
      proxies: that share the group.
      slots: statements that a database runs at once.
      time: of a statement.
      loads: of the ranks, as parts of the group's capacity.
      duration: how long requests arrive.
      faults: what happens meanwhile.
      seed: of the arrivals.
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
    """What became of one request; times in seconds after the start.

    Attributes:
      arrived: when it came.
      took: until its answer.
      code: of the failure; empty on success.
      wrote: whether it was a write.
    """

    arrived: float
    took: float
    code: str
    wrote: bool

    @property
    def ended(self) -> float:
        """When it was answered."""
        return self.arrived + self.took


@dataclasses.dataclass(frozen=True, slots=True)
class RankReport:
    """The requests of one rank."""

    rank: ranks.Rank
    outcomes: tuple[Outcome, ...]

    @property
    def in_time(self) -> float:
        """Share of the requests that succeeded within the target."""
        target = self.rank.target.total_seconds()
        good = sum(not o.code and o.took <= target for o in self.outcomes)
        return good / len(self.outcomes) if self.outcomes else 1.0

    @property
    def served(self) -> float:
        """Share of the requests that succeeded."""
        good = sum(not o.code for o in self.outcomes)
        return good / len(self.outcomes) if self.outcomes else 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What a run measured.

    Attributes:
      setup: its sizes.
      ranks: their requests, the most urgent first.
      promotions: how many databases were promoted.
      lost: acknowledged writes that the last primary lacks.
    """

    setup: Setup
    ranks: tuple[RankReport, ...]
    promotions: int
    lost: int

    @property
    def gap(self) -> float:
        """Longest time in seconds without an acknowledged write."""
        ends = sorted(
            outcome.ended
            for rank in self.ranks
            for outcome in rank.outcomes
            if outcome.wrote and not outcome.code
        )
        return max((b - a for a, b in itertools.pairwise(ends)), default=0.0)


def _catalog() -> catalogs.Catalog:
    routes = {
        rank.name: catalogs.Route(
            rank.name, _SERVICE, consistency, rank, _TIMEOUT
        )
        for rank, consistency in _RANKS
    }
    terms = catalogs.ServiceTerms(_SERVICE, _CONNECTIONS, 1)
    return catalogs.Catalog(1, routes, {_SERVICE: terms}, 3 * _TIMEOUT)


class _Stream:
    """The requests of one rank."""

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
        self._free: asyncio.Queue[int] = asyncio.Queue()
        self._clients: dict[int, line_world.LineClient] = {}

    async def run(self) -> None:
        """Lets requests arrive until the time is over."""
        setup = self._bench.setup
        count = _SESSIONS * setup.proxies
        for number in range(count):
            self._free.put_nowait(number)
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
        """Ends the sessions."""
        for client in self._clients.values():
            client.close()

    async def _request(self, due: float) -> None:
        number = await self._free.get()
        wrote = self._random.random() < _WRITE_SHARES[self._rank.name]
        code = await self._ask(number, wrote)
        took = self._bench.elapsed() - due
        self.outcomes.append(Outcome(due, took, code, wrote))
        self._free.put_nowait(number)

    async def _ask(self, number: int, wrote: bool) -> str:
        """Sends one statement; returns the code of its failure."""
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
        word, _, rest = received[0].partition(" ")
        return rest.split(" ")[0] if word == "ERROR" else ""

    async def _client(self, number: int) -> line_world.LineClient:
        client = self._clients.get(number)
        if client is None:
            proxy = number % self._bench.setup.proxies
            client = await self._bench.connect(self._rank.name, proxy)
            self._clients[number] = client
        return client


class _Bench:
    """One run."""

    def __init__(self, setup: Setup, clock: clocks.Clock) -> None:
        self.setup = setup
        self.world = line_world.LineWorld(
            setup.proxies,
            service=_SERVICE,
            promotion_delay=_PROMOTION,
            work=line_group.Work(setup.slots, setup.time),
        )
        self._clock = clock
        self._began = clock.now()
        self._background = background.Background()
        self._load = background.Background()
        rng = random.Random(setup.seed)
        self.streams = [
            _Stream(rank, load, self, random.Random(rng.getrandbits(64)))
            for (rank, _), load in zip(_RANKS, setup.loads, strict=True)
        ]

    def elapsed(self) -> float:
        """Returns the seconds since the load began."""
        return (self._clock.now() - self._began).total_seconds()

    def start(self, work: asyncio.Future[None]) -> None:
        """Runs a request beside the others."""
        self._load.start(work)

    async def connect(self, name: str, proxy: int) -> line_world.LineClient:
        """Opens a session."""
        return await self.world.connect(name, proxy)

    async def play(self) -> None:
        """Runs load and faults; returns when all is answered."""
        await self.world.group.start()
        for proxy in self.world.proxies:
            await proxy.start(_catalog())
            proxy.fleet.set_proxies(self.setup.proxies)
        await self._clock.sleep(_SETTLING)
        self._began = self._clock.now()
        for fault in self.setup.faults:
            self._background.start(self._inject(fault))
        await asyncio.gather(*(stream.run() for stream in self.streams))
        while self._load.running:
            await asyncio.sleep(_RECONNECT_SECONDS)

    async def close(self) -> None:
        """Ends all."""
        await self._background.close()
        await self._load.close()
        for stream in self.streams:
            stream.close()
        for proxy in self.world.proxies:
            await proxy.close()
        await self.world.group.close()

    def take_list(self) -> None:
        """Tells the proxies what the databases' entries say now."""
        for proxy in self.world.proxies:
            proxy.take_list()

    async def _inject(self, fault: Fault) -> None:
        await self._clock.sleep(fault.at)
        await _inject(fault, self)


@functools.singledispatch
async def _inject(fault: Fault, bench: _Bench) -> None:
    raise TypeError(f"no way to inject {fault!r}; register one")


@_inject.register
async def _(fault: Crash, bench: _Bench) -> None:
    database = bench.world.group.primary
    database.crash()
    await asyncio.sleep(fault.lasts.total_seconds())
    await database.start()


@_inject.register
async def _(fault: Mute, bench: _Bench) -> None:
    database = bench.world.group.primary
    database.faults.silent = True
    await asyncio.sleep(fault.lasts.total_seconds())
    database.faults.silent = False


@_inject.register
async def _(fault: Cut, bench: _Bench) -> None:
    replicas = bench.world.group.replicas
    for database in replicas:
        database.faults.deaf = True
    await asyncio.sleep(fault.lasts.total_seconds())
    for database in replicas:
        database.faults.deaf = False


@_inject.register
async def _(fault: Leave, bench: _Bench) -> None:
    database = bench.world.group.primary
    database.leaving = True
    bench.take_list()
    await asyncio.sleep(fault.lasts.total_seconds())
    await bench.world.group.replace(database.name, f"{database.name}-next")
    bench.take_list()


async def run(setup: Setup, clock: clocks.Clock) -> Report:
    """Plays a load with its faults and returns what was measured."""
    bench = _Bench(setup, clock)
    try:
        await bench.play()
        newest = set(bench.world.group.primary.log.commits)
        group = bench.world.group
        lost = sum(commit not in newest for commit in group.acknowledged)
    finally:
        await bench.close()
    reports = tuple(
        RankReport(rank, tuple(stream.outcomes))
        for (rank, _), stream in zip(_RANKS, bench.streams, strict=True)
    )
    return Report(setup, reports, len(group.promotions), lost)
