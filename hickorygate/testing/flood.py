"""An open-loop load on several proxies' pools of one stand-in database.

Requests arrive whatever becomes of those before them, as a flood does. The
time of a statement is chosen so long that the database, not this process,
is what is overloaded.
"""

from __future__ import annotations

import asyncio
import dataclasses
import datetime
import random
from typing import Protocol

import expression
from hdrh import histogram

from hickorygate.core import admission
from hickorygate.core import clock as clocks
from hickorygate.core import errors
from hickorygate.core import rank as ranks
from hickorygate.core import request as requests
from hickorygate.core import settings as settings_lib
from hickorygate.core import sheet as sheets
from hickorygate.core import types
from hickorygate.testing import database as databases
from hickorygate.testing import load as loads
from hickorygate.upstreams import connection as connections
from hickorygate.upstreams import pool as pools
from hickorygate.upstreams import slots

__all__ = [
    "Plain",
    "RankReport",
    "Report",
    "Scenario",
    "SETTINGS",
    "Setup",
    "Stream",
    "run",
]

_HIGHEST_MICROSECONDS = 3_600_000_000
_DIGITS = 3
_TIMEOUT = datetime.timedelta(seconds=60)
_MICROSECOND = datetime.timedelta(microseconds=1)

SETTINGS = settings_lib.UpstreamSettings(connect_timeout_ms=5_000)
"""Logins take longer on a database that is flooded."""


@dataclasses.dataclass(frozen=True, slots=True)
class Stream:
    """Requests of one rank.

    Attributes:
      rank: its target and floor.
      time: a statement's time on a database that isn't crowded.
      load: offered service time, as a part of the database's capacity.
    """

    rank: ranks.Rank
    time: datetime.timedelta
    load: float


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """What arrives."""

    name: str
    streams: tuple[Stream, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Setup:
    """The sizes of a run.

    Attributes:
      proxies: pools that share the database.
      connections: that the database takes.
      control: connections that each proxy keeps for control.
      slots: statements that run well at once.
      connect: time of a login.
      duration: how long requests arrive.
      seed: of the arrivals.
    """

    proxies: int = 5
    connections: int = 20
    control: int = 2
    slots: int = 3
    connect: datetime.timedelta = datetime.timedelta(milliseconds=10)
    duration: datetime.timedelta = datetime.timedelta(seconds=10)
    seed: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Plain(admission.Policy):
    """No slots: a semaphore on the proxy's connections, by arrival."""


@dataclasses.dataclass(frozen=True, slots=True)
class RankReport:
    """What became of one rank; times in milliseconds, shares 0 to 1.

    Attributes:
      offered: requests that arrived.
      answered: requests that ran.
      refused: requests that were refused before they ran.
      unsettled: requests that waited when the run ended.
      within_target: share of what was admitted (answered, or refused later
        than a refusal should take) that was answered within the target.
      refused_p99: time of the refusals.
      p50: of the answered.
      p999: of the answered.
      share: part of the capacity that ran this rank.
      floor: that the sheet promises it.
    """

    rank: types.RankName
    target: float
    offered: int
    answered: int
    refused: int
    unsettled: int
    within_target: float
    refused_p99: float
    p50: float
    p999: float
    share: float
    floor: float


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What a run measured.

    Attributes:
      useful: service time of what was answered within its target, as a part
        of the capacity.
      most_running: statements at once on the database.
      most_connections: connections to the database.
    """

    policy: str
    scenario: str
    seed: int
    seconds: float
    useful: float
    most_running: int
    most_connections: int
    ranks: tuple[RankReport, ...]


class _Lender(Protocol):
    """What a request needs of a pool."""

    async def acquire(self, request: requests.Request) -> pools.LeaseResult:
        """Waits for a connection."""

    def release(self, connection: connections.Connection) -> None:
        """Takes a connection back."""

    def close(self) -> None:
        """Closes the connections."""


class _PlainPool:
    """The baseline: a share of the connections, lent by arrival."""

    def __init__(
        self, database: sheets.Database, size: int, clock: clocks.Clock
    ) -> None:
        self._clock = clock
        self._database = database
        self._free = asyncio.Semaphore(size)
        self._idle: list[connections.Connection] = []

    async def acquire(self, request: requests.Request) -> pools.LeaseResult:
        """Waits for a connection until the deadline."""
        left = request.time_left(self._clock.now()).total_seconds()
        try:
            async with asyncio.timeout(left):
                await self._free.acquire()
        except TimeoutError:
            name = request.rank.name
            waited = self._clock.now() - request.arrived
            return expression.Error(errors.DeadlinePassed(name, waited))
        if self._idle:
            return expression.Ok(self._idle.pop())
        opened = await connections.open_connection(self._database, SETTINGS)
        if opened.is_error():
            self._free.release()
        return opened

    def release(self, connection: connections.Connection) -> None:
        """Takes a connection back."""
        if not connection.closed:
            self._idle.append(connection)
        self._free.release()

    def close(self) -> None:
        """Closes the idle connections."""
        for connection in self._idle:
            connection.close()


class _Tally:
    """Counts what becomes of one stream."""

    def __init__(self, stream: Stream) -> None:
        self.stream = stream
        self.offered = 0
        self.in_time = 0
        self.late_refusals = 0
        self.answered = histogram.HdrHistogram(
            1, _HIGHEST_MICROSECONDS, _DIGITS
        )
        self.refused = histogram.HdrHistogram(1, _HIGHEST_MICROSECONDS, _DIGITS)

    def answer(self, took: datetime.timedelta) -> None:
        """Counts a request that ran."""
        self.in_time += took <= self.stream.rank.target
        self.answered.record_value(max(1, took // _MICROSECOND))

    def refuse(self, took: datetime.timedelta) -> None:
        """Counts a request that was refused before it ran."""
        self.late_refusals += took > _REFUSAL
        self.refused.record_value(max(1, took // _MICROSECOND))

    def report(self, capacity: datetime.timedelta) -> RankReport:
        """Returns the figures.

        Args:
          capacity: service time that the database had in the run.
        """
        answered = self.answered.get_total_count()
        refused = self.refused.get_total_count()
        admitted = answered + self.late_refusals
        rank = self.stream.rank
        return RankReport(
            rank=rank.name,
            target=rank.target.total_seconds() * 1_000,
            offered=self.offered,
            answered=answered,
            refused=refused,
            unsettled=self.offered - answered - refused,
            within_target=self.in_time / admitted if admitted else 1.0,
            refused_p99=_milliseconds(self.refused, 99),
            p50=_milliseconds(self.answered, 50),
            p999=_milliseconds(self.answered, 99.9),
            share=answered * self.stream.time / capacity,
            floor=rank.floor,
        )


_REFUSAL = datetime.timedelta(milliseconds=100)
"""Within this a refusal counts as made at once."""


def _milliseconds(values: histogram.HdrHistogram, percentile: float) -> float:
    return values.get_value_at_percentile(percentile) / 1_000


class _Flood:
    """One run."""

    def __init__(
        self,
        setup: Setup,
        scenario: Scenario,
        lenders: list[_Lender],
        clock: clocks.Clock,
    ) -> None:
        self._clock = clock
        self._setup = setup
        self._lenders = lenders
        self._random = random.Random(setup.seed)
        self._tasks: set[asyncio.Task[None]] = set()
        self.tallies = [_Tally(stream) for stream in scenario.streams]

    async def run(self) -> None:
        """Lets requests arrive, and stops when the time is over."""
        end = self._clock.now() + self._setup.duration
        await asyncio.gather(*(self._arrive(t, end) for t in self.tallies))
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _arrive(self, tally: _Tally, end: datetime.datetime) -> None:
        seconds = tally.stream.time.total_seconds()
        rate = tally.stream.load * self._setup.slots / seconds
        if not rate:
            return
        due = self._clock.now()
        while True:
            due += self._random.expovariate(1.0) * _unit(rate)
            if due >= end:
                await self._clock.sleep(end - self._clock.now())
                return
            wait = due - self._clock.now()
            if wait > datetime.timedelta():
                await self._clock.sleep(wait)
            self._start(tally, due)

    def _start(self, tally: _Tally, due: datetime.datetime) -> None:
        tally.offered += 1
        lender = self._random.choice(self._lenders)
        task = asyncio.create_task(self._call(tally, lender, due))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _call(
        self, tally: _Tally, lender: _Lender, due: datetime.datetime
    ) -> None:
        rank = tally.stream.rank
        request = requests.Request(rank, due, due + rank.target)
        lease = await lender.acquire(request)
        if lease.is_error():
            tally.refuse(self._clock.now() - due)
            return
        milliseconds = tally.stream.time / datetime.timedelta(milliseconds=1)
        try:
            result = await lease.ok.execute(
                f"SELECT {milliseconds:.0f}", _TIMEOUT
            )
        finally:
            lender.release(lease.ok)
        if result.is_ok():
            tally.answer(self._clock.now() - due)


def _unit(rate: float) -> datetime.timedelta:
    """Returns the mean time between arrivals; the rate is a second's."""
    return datetime.timedelta(seconds=1) / rate


def _lenders(
    policy: admission.Policy,
    setup: Setup,
    port: int,
    clock: clocks.Clock,
) -> list[_Lender]:
    row = sheets.Database(
        name="one",
        host="127.0.0.1",
        port=port,
        zone="nl-west-a",
        connections=setup.connections,
        slots=setup.slots,
    )
    limit = setup.connections - setup.control * setup.proxies
    share = slots.Share(limit, setup.proxies)
    if isinstance(policy, Plain):
        size = setup.connections // setup.proxies
        return [_PlainPool(row, size, clock) for _ in range(setup.proxies)]
    return [
        pools.Pool(row, share, SETTINGS, clock, policy)
        for _ in range(setup.proxies)
    ]


def _statement_time(sql: str) -> datetime.timedelta:
    """Returns the time that a benchmark's statement asks for."""
    return datetime.timedelta(milliseconds=int(sql.split()[1]))


async def run(
    policy: admission.Policy,
    scenario: Scenario,
    setup: Setup,
    clock: clocks.Clock,
) -> Report:
    """Starts a database and pools, floods them, and returns the figures."""
    group = databases.Group(clock)
    (database,) = await group.start(("one",))
    database.load.settings = loads.LoadSettings(
        connections=setup.connections,
        slots=setup.slots,
        time=_statement_time,
        connect=setup.connect,
    )
    lenders = _lenders(policy, setup, database.port, clock)
    flood = _Flood(setup, scenario, lenders, clock)
    try:
        await flood.run()
    finally:
        for lender in lenders:
            lender.close()
        await group.stop()
    capacity = setup.duration * setup.slots
    useful = sum(
        (t.in_time * t.stream.time for t in flood.tallies),
        datetime.timedelta(),
    )
    return Report(
        policy=type(policy).__name__,
        scenario=scenario.name,
        seed=setup.seed,
        seconds=setup.duration.total_seconds(),
        useful=useful / capacity,
        most_running=database.load.most_running,
        most_connections=database.load.most_connections,
        ranks=tuple(tally.report(capacity) for tally in flood.tallies),
    )
