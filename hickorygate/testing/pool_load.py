"""An open-loop load on several proxies' pools for one stand-in database.

The arrival of a request doesn't depend on the answers to earlier ones, so that
the offered load can exceed the capacity. Statements take long enough that the
overloaded part is the database and not this process.
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
from hickorygate.core import request_context
from hickorygate.core import settings
from hickorygate.core import sheet
from hickorygate.core import types
from hickorygate.testing import database as databases
from hickorygate.testing import load as loads
from hickorygate.upstreams import connection as connections
from hickorygate.upstreams import slot_pool
from hickorygate.upstreams import slots
from hickorygate.upstreams import waiting_requests

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

SETTINGS = settings.UpstreamSettings(connect_timeout_ms=5_000)
"""The connect timeout allows for slow logins to an overloaded database."""


@dataclasses.dataclass(frozen=True, slots=True)
class Stream:
    """The requests of one rank.

    Attributes:
      rank: rank with its target and floor.
      time: execution time of a statement on a database that isn't overloaded.
      load: offered load, as a fraction of the database's capacity.
    """

    rank: ranks.Rank
    time: datetime.timedelta
    load: float


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """A named mix of request streams.

    Attributes:
      name: name in the report.
      streams: streams that arrive concurrently.
    """

    name: str
    streams: tuple[Stream, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Setup:
    """The parameters of a run.

    Attributes:
      proxies: number of proxies, each with a pool for the database.
      connections: connection limit of the database.
      control: number of connections that each proxy reserves for control.
      slots: number of concurrent statements that run without a slowdown.
      connect: duration of a login.
      duration: how long requests arrive.
      seed: seed of the random arrivals.
    """

    proxies: int = 5
    connections: int = 20
    control: int = 2
    slots: int = 3
    connect: datetime.timedelta = datetime.timedelta(milliseconds=10)
    duration: datetime.timedelta = datetime.timedelta(seconds=10)
    seed: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Plain(admission.SchedulingPolicy):
    """A policy without slots: a FIFO semaphore limits the connections."""


@dataclasses.dataclass(frozen=True, slots=True)
class RankReport:
    """The results of one rank; times in milliseconds, shares from 0 to 1.

    Attributes:
      rank: name of the rank.
      target: latency target of the rank.
      offered: number of requests that arrived.
      answered: number of requests that ran.
      refused: number of requests that were refused before they ran.
      unsettled: number of requests that were pending when the run ended.
      within_target: share of the admitted requests that were answered within
        the target. Requests that were refused later than a refusal should
        take count as admitted.
      refused_p99: 99th percentile of the time until a refusal.
      p50: median latency of the answered requests.
      p999: 99.9th percentile of the latency of the answered requests.
      share: share of the capacity that was used by this rank.
      floor: share of the capacity that the sheet guarantees the rank.
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
    """The measurements of a run.

    Attributes:
      policy: name of the admission policy.
      scenario: name of the scenario.
      seed: seed of the random arrivals.
      seconds: duration of the run.
      useful: execution time of the requests that were answered within their
        target, as a fraction of the capacity.
      most_running: maximum number of concurrent statements on the database.
      most_connections: maximum number of connections to the database.
      ranks: results of each rank.
    """

    policy: str
    scenario: str
    seed: int
    seconds: float
    useful: float
    most_running: int
    most_connections: int
    ranks: tuple[RankReport, ...]


class _RequestPool(Protocol):
    """The operations of a connection pool that a request uses."""

    async def acquire(
        self, request: request_context.RequestContext
    ) -> waiting_requests.LeaseResult:
        """Waits for a connection and returns it or a failure."""

    def release(self, connection: connections.Connection) -> None:
        """Returns a connection to the pool."""

    def close(self) -> None:
        """Closes the connections."""


class _PlainPool:
    """The baseline: a fixed share of the connections, in arrival order."""

    def __init__(
        self, database: sheet.Database, size: int, clock: clocks.Clock
    ) -> None:
        self._clock = clock
        self._database = database
        self._permits = asyncio.Semaphore(size)
        self._idle: list[connections.Connection] = []

    async def acquire(
        self, request: request_context.RequestContext
    ) -> waiting_requests.LeaseResult:
        """Waits for a connection until the deadline."""
        remaining = request.time_left(self._clock.now()).total_seconds()
        try:
            async with asyncio.timeout(remaining):
                await self._permits.acquire()
        except TimeoutError:
            name = request.rank.name
            waited = self._clock.now() - request.arrived
            return expression.Error(errors.DeadlinePassed(name, waited))
        if self._idle:
            return expression.Ok(self._idle.pop())
        opened = await connections.open_connection(self._database, SETTINGS)
        if opened.is_error():
            self._permits.release()
        return opened

    def release(self, connection: connections.Connection) -> None:
        """Returns a connection to the pool."""
        if not connection.closed:
            self._idle.append(connection)
        self._permits.release()

    def close(self) -> None:
        """Closes the idle connections."""
        for connection in self._idle:
            connection.close()


class _Tally:
    """Counts the outcomes of one stream's requests."""

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
        """Records a request that ran."""
        self.in_time += took <= self.stream.rank.target
        self.answered.record_value(max(1, took // _MICROSECOND))

    def refuse(self, took: datetime.timedelta) -> None:
        """Records a request that was refused before it ran."""
        self.late_refusals += took > _IMMEDIATE_REFUSAL
        self.refused.record_value(max(1, took // _MICROSECOND))

    def report(self, capacity: datetime.timedelta) -> RankReport:
        """Returns the results of the stream's rank.

        Args:
          capacity: total execution time that the database offered in the run.
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


_IMMEDIATE_REFUSAL = datetime.timedelta(milliseconds=100)
"""Maximum time of a refusal that counts as immediate."""


def _milliseconds(values: histogram.HdrHistogram, percentile: float) -> float:
    return values.get_value_at_percentile(percentile) / 1_000


class _LoadRun:
    """One run of the benchmark."""

    def __init__(
        self,
        setup: Setup,
        scenario: Scenario,
        request_pools: list[_RequestPool],
        clock: clocks.Clock,
    ) -> None:
        self._clock = clock
        self._setup = setup
        self._pools = request_pools
        self._random = random.Random(setup.seed)
        self._tasks: set[asyncio.Task[None]] = set()
        self.tallies = [_Tally(stream) for stream in scenario.streams]

    async def run(self) -> None:
        """Starts requests until the duration has passed.

        Requests that are still pending then are cancelled.
        """
        end = self._clock.now() + self._setup.duration
        await asyncio.gather(*(self._arrive(t, end) for t in self.tallies))
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _arrive(self, statistics: _Tally, end: datetime.datetime) -> None:
        seconds = statistics.stream.time.total_seconds()
        rate = statistics.stream.load * self._setup.slots / seconds
        if not rate:
            return
        due = self._clock.now()
        while True:
            due += self._random.expovariate(1.0) * _mean_interval(rate)
            if due >= end:
                await self._clock.sleep(end - self._clock.now())
                return
            wait = due - self._clock.now()
            if wait > datetime.timedelta():
                await self._clock.sleep(wait)
            self._start(statistics, due)

    def _start(self, statistics: _Tally, due: datetime.datetime) -> None:
        statistics.offered += 1
        pool = self._random.choice(self._pools)
        task = asyncio.create_task(self._call(statistics, pool, due))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _call(
        self, statistics: _Tally, pool: _RequestPool, due: datetime.datetime
    ) -> None:
        rank = statistics.stream.rank
        request = request_context.RequestContext(rank, due, due + rank.target)
        lease = await pool.acquire(request)
        if lease.is_error():
            statistics.refuse(self._clock.now() - due)
            return
        milliseconds = statistics.stream.time / datetime.timedelta(
            milliseconds=1
        )
        try:
            result = await lease.ok.execute(
                f"SELECT {milliseconds:.0f}", _TIMEOUT
            )
        finally:
            pool.release(lease.ok)
        if result.is_ok():
            statistics.answer(self._clock.now() - due)


def _mean_interval(rate: float) -> datetime.timedelta:
    """Returns the mean time between arrivals at a rate per second."""
    return datetime.timedelta(seconds=1) / rate


def _make_pools(
    policy: admission.SchedulingPolicy,
    setup: Setup,
    port: int,
    clock: clocks.Clock,
) -> list[_RequestPool]:
    row = sheet.Database(
        name="one",
        host="127.0.0.1",
        port=port,
        zone="nl-west-a",
        connections=setup.connections,
        slots=setup.slots,
    )
    limit = setup.connections - setup.control * setup.proxies
    share = slots.SharedConnections(limit, setup.proxies)
    if isinstance(policy, Plain):
        size = setup.connections // setup.proxies
        return [_PlainPool(row, size, clock) for _ in range(setup.proxies)]
    return [
        slot_pool.SlotPool(row, share, SETTINGS, clock, policy)
        for _ in range(setup.proxies)
    ]


def _statement_time(sql: str) -> datetime.timedelta:
    """Returns the execution time that a benchmark statement requests."""
    return datetime.timedelta(milliseconds=int(sql.split()[1]))


async def run(
    policy: admission.SchedulingPolicy,
    scenario: Scenario,
    setup: Setup,
    clock: clocks.Clock,
) -> Report:
    """Runs a scenario against a database and its pools.

    Args:
      policy: admission policy of the pools.
      scenario: requests that arrive.
      setup: parameters of the run.
      clock: clock of the run.

    Returns:
      The measurements of the run.
    """
    group = databases.StandInGroup(clock)
    (database,) = await group.start(("one",))
    database.load.settings = loads.LoadSettings(
        connections=setup.connections,
        slots=setup.slots,
        time=_statement_time,
        connect=setup.connect,
    )
    request_pools = _make_pools(policy, setup, database.port, clock)
    load_run = _LoadRun(setup, scenario, request_pools, clock)
    try:
        await load_run.run()
    finally:
        for pool in request_pools:
            pool.close()
        await group.stop()
    capacity = setup.duration * setup.slots
    useful = sum(
        (t.in_time * t.stream.time for t in load_run.tallies),
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
        ranks=tuple(
            statistics.report(capacity) for statistics in load_run.tallies
        ),
    )
