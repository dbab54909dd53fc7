"""Measures the write gap of failovers, and lost and duplicate writes.

    python -m benchmarks.failover [--kills=15] [--seed=1] [--output=FILE]

Callers write numbered rows through three proxies, one per zone, while the
primary is killed, paused, cut off from its replicas, cut off from one proxy,
or announced as leaving. The gap of a fault is the longest time between two
acknowledged writes of any affected caller. Then counts the promotions with slow
databases and no fault, for several detection times. Everything runs in one
process on one event loop.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Sequence
import dataclasses
import datetime
import functools
import json
import pathlib
import random
import re
import time

from absl import app
from absl import flags
import asyncmy
import logbook

from hickorygate import daemon as daemons
from hickorygate.core import clock as clocks
from hickorygate.core import errors
from hickorygate.core import events
from hickorygate.core import position
from hickorygate.core import settings as settings_lib
from hickorygate.testing import cluster
from hickorygate.testing import database as databases
from hickorygate.testing import ledger as ledgers
from hickorygate.testing import object_store

_FAULT_COUNT = flags.DEFINE_integer(
    "kills", 15, "Number of faults of each kind."
)
_STALL_WINDOW_SECONDS = flags.DEFINE_integer(
    "stalled", 15, "Seconds with stalls for each detection time."
)
_SEED = flags.DEFINE_integer("seed", 1, "Seed of the random choices.")
_OUTPUT = flags.DEFINE_string(
    "output", "benchmarks/results/failover.json", "File for the results."
)

_GROUP = "alert-db-1"
_NAMES = ("alert-db-1a", "alert-db-1b", "alert-db-1c")
_ZONES = ("nl-west-a", "nl-west-b", "nl-west-c")
_USERS = tuple(f"proxy-{number}" for number in range(len(_ZONES)))
_PAUSE_SECONDS = 0.02
_FAULT_INTERVAL_SECONDS = (0.3, 0.8)
_RECOVERY_MARGIN_SECONDS = 0.3
_WAIT_TIMEOUT_SECONDS = 20
_DETECTIONS_MS = (200, 400, 800, 1_600)
_STALL_MEAN_SECONDS = 0.15
_STALL_INTERVAL_MEAN_SECONDS = 0.5
_OUTCOME = re.compile(r"\[(not run|ran|unknown)\]")


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """Base class of the faults; the class name is the key in the results.

    Attributes:
      database: the primary that the fault affects.
      test_cluster: the cluster that the database belongs to.
    """

    database: databases.StandInDatabase
    test_cluster: cluster.StandInCluster


@dataclasses.dataclass(frozen=True, slots=True)
class Killed(Fault):
    """The database stops and its connections are closed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Silent(Fault):
    """The database stops answering; its connections stay open."""


@dataclasses.dataclass(frozen=True, slots=True)
class CutOff(Fault):
    """The replicas can't reach the database; the proxies can."""


@dataclasses.dataclass(frozen=True, slots=True)
class CutFromProxy(Fault):
    """One proxy can't reach the database; all other peers can."""


@dataclasses.dataclass(frozen=True, slots=True)
class Leaving(Fault):
    """The platform announces that the database is about to stop."""


@functools.singledispatch
async def _inject_fault(fault: Fault) -> None:
    raise TypeError(f"no way to inject {fault!r}; register a handler")


@_inject_fault.register
async def _(fault: Killed) -> None:
    await fault.database.stop()


@_inject_fault.register
async def _(fault: Silent) -> None:
    fault.database.paused.clear()


@_inject_fault.register
async def _(fault: CutOff) -> None:
    for other in fault.test_cluster.group.databases:
        if other is not fault.database:
            fault.test_cluster.group.cut(fault.database.name, other.name)


@_inject_fault.register
async def _(fault: CutFromProxy) -> None:
    fault.database.unreachable_users.add(_USERS[0])


@_inject_fault.register
async def _(fault: Leaving) -> None:
    for daemon in fault.test_cluster.daemons:
        daemon.group(_GROUP).set_leaving(frozenset({fault.database.name}))


@functools.singledispatch
async def _clear_fault(fault: Fault) -> None:
    raise TypeError(f"no way to clear {fault!r}; register a handler")


@_clear_fault.register
async def _(fault: Killed) -> None:
    await fault.database.restart()


@_clear_fault.register
async def _(fault: Silent) -> None:
    fault.database.paused.set()


@_clear_fault.register
async def _(fault: CutOff) -> None:
    fault.test_cluster.group.restore_links()


@_clear_fault.register
async def _(fault: CutFromProxy) -> None:
    fault.database.unreachable_users.clear()


@_clear_fault.register
async def _(fault: Leaving) -> None:
    for daemon in fault.test_cluster.daemons:
        daemon.group(_GROUP).set_leaving(frozenset())


class Caller:
    """Writes numbered rows through one proxy, one at a time.

    Attributes:
      acknowledged: monotonic times of the acknowledgements, in seconds.
      refusals: number of failed writes by outcome.
    """

    def __init__(
        self, number: int, port: int, ledger: ledgers.WriteLedger
    ) -> None:
        self.acknowledged: list[float] = []
        self.refusals: collections.Counter[str] = collections.Counter()
        self._number = number
        self._port = port
        self._ledger = ledger
        self._count = 0
        self._connection: asyncmy.Connection | None = None

    @property
    def last_acknowledged_at(self) -> float:
        """Monotonic time of the last acknowledgement in seconds, or 0."""
        return self.acknowledged[-1] if self.acknowledged else 0

    async def run(self) -> None:
        """Writes until the task is cancelled."""
        while True:
            await self._insert()
            await asyncio.sleep(_PAUSE_SECONDS)

    async def query(self, sql: str) -> Sequence[Sequence[object]]:
        """Runs one statement, connecting first if necessary."""
        if self._connection is None or not self._connection.connected:
            self._connection = await asyncmy.connect(
                host="127.0.0.1",
                port=self._port,
                user=cluster.USER,
                password=cluster.PASSWORD,
                database="alerts_1",
                autocommit=True,
            )
        cursor = self._connection.cursor()
        await cursor.execute(sql)
        return await cursor.fetchall()

    def gap(self, since: float) -> float:
        """Returns the longest time without an acknowledgement, in seconds."""
        times = [t for t in self.acknowledged if t >= since]
        starts = [since, *times]
        return max(
            (b - a for a, b in zip(starts, times, strict=False)), default=0
        )

    async def _insert(self) -> None:
        self._count += 1
        key = f"{self._number}-{self._count}"
        try:
            await self.query(f"INSERT INTO reports VALUES ('{key}')")
        except (asyncmy.errors.MySQLError, OSError) as error:
            found = _OUTCOME.search(str(error))
            outcome = errors.Outcome(found.group(1) if found else "unknown")
            self.refusals[outcome.value] += 1
            self._ledger.refuse(key, outcome)
            return
        self._ledger.acknowledge(key)
        self.acknowledged.append(time.monotonic())


async def _start(detection_ms: int | None = None) -> cluster.StandInCluster:
    """Starts a group of three databases and one proxy per zone.

    Each proxy has its own user name, so that a database can be cut off from
    one proxy.

    Args:
      detection_ms: time out of reach after which a primary is replaced, in
        milliseconds; None for the default.
    """
    clock = clocks.SystemClock()
    platform = object_store.ObjectStore()
    await platform.start()
    group = databases.StandInGroup(clock)
    await group.start(_NAMES, _USERS)
    await cluster.load_sheet(platform, cluster.sheet_text(group), clock)
    test_cluster = cluster.StandInCluster(platform, group, [])
    for name, zone in zip(_USERS, _ZONES, strict=True):
        seeds = tuple(daemon.mesh.address for daemon in test_cluster.daemons)
        upstreams = settings_lib.UpstreamSettings(user=name)
        if detection_ms is not None:
            upstreams = settings_lib.UpstreamSettings(
                user=name, detection_ms=detection_ms
            )
        settings = cluster.settings(name, zone, platform.url, seeds)
        daemon = daemons.Daemon(
            settings.model_copy(update={"upstreams": upstreams}), clock
        )
        await daemon.start()
        test_cluster.daemons.append(daemon)
    ready_timeout = datetime.timedelta(seconds=_WAIT_TIMEOUT_SECONDS)
    await test_cluster.wait_until_ready(ready_timeout)
    return test_cluster


def _primary(test_cluster: cluster.StandInCluster) -> databases.StandInDatabase:
    primaries = [
        d
        for d in test_cluster.group.databases
        if d.log.role is position.Role.PRIMARY
    ]
    return max(primaries, key=lambda d: d.log.term)


def _is_converged(test_cluster: cluster.StandInCluster) -> bool:
    """Whether all databases follow the primary with the highest term."""
    newest_term = _primary(test_cluster).log.term
    return all(
        d.log.term == d.log.log_term == newest_term
        and d.log.fenced <= newest_term
        for d in test_cluster.group.databases
    )


async def _wait_until_converged(test_cluster: cluster.StandInCluster) -> None:
    async with asyncio.timeout(_WAIT_TIMEOUT_SECONDS):
        while not _is_converged(test_cluster):
            await asyncio.sleep(_PAUSE_SECONDS)


async def _measure_fault(
    kind: type[Fault],
    test_cluster: cluster.StandInCluster,
    callers: list[Caller],
) -> float:
    """Injects and clears one fault; returns the longest gap of a caller."""
    fault = kind(_primary(test_cluster), test_cluster)
    affected = callers[1:] if kind is CutFromProxy else callers
    since = time.monotonic()
    await _inject_fault(fault)
    async with asyncio.timeout(_WAIT_TIMEOUT_SECONDS):
        while not all(
            caller.last_acknowledged_at > since + _RECOVERY_MARGIN_SECONDS
            and (
                kind is CutFromProxy
                or _primary(test_cluster) is not fault.database
            )
            for caller in affected
        ):
            await asyncio.sleep(_PAUSE_SECONDS)
    gap = max(caller.gap(since) for caller in affected)
    await _clear_fault(fault)
    await _wait_until_converged(test_cluster)
    return gap


def _figures(gaps: list[float]) -> dict[str, float]:
    ordered = sorted(gaps)
    return {
        "faults": len(ordered),
        "gap_p50_s": round(ordered[len(ordered) // 2], 3),
        "gap_p99_s": round(ordered[int(0.99 * (len(ordered) - 1))], 3),
        "gap_max_s": round(ordered[-1], 3),
    }


async def _measure(
    kind: type[Fault], count: int, generator: random.Random
) -> dict[str, object]:
    """Injects faults of one kind one at a time; returns the results."""
    test_cluster = await _start()
    ledger = ledgers.WriteLedger()
    callers = [
        Caller(number, daemon.port, ledger)
        for number, daemon in enumerate(test_cluster.daemons)
    ]
    await callers[0].query("CREATE TABLE reports (id VARCHAR(20))")
    tasks = [asyncio.create_task(caller.run()) for caller in callers]
    gaps = []
    for _ in range(count):
        await asyncio.sleep(generator.uniform(*_FAULT_INTERVAL_SECONDS))
        gaps.append(await _measure_fault(kind, test_cluster, callers))
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    figures = _figures(gaps) | _audit(test_cluster, ledger, callers)
    await test_cluster.stop()
    return figures


def _audit(
    test_cluster: cluster.StandInCluster,
    ledger: ledgers.WriteLedger,
    callers: list[Caller],
) -> dict[str, object]:
    result = _primary(test_cluster).engine.run(
        "SELECT id, COUNT(*) FROM reports GROUP BY id"
    )
    audit = ledger.audit({str(key): int(n) for key, n in result.ok.rows})
    refusals: collections.Counter[str] = collections.Counter()
    for caller in callers:
        refusals += caller.refusals
    return {
        "promotions": _primary(test_cluster).log.term - 1,
        "acknowledged": audit.acknowledged,
        "lost": len(audit.lost),
        "doubled": len(audit.doubled),
        "ran_though_refused": len(audit.ran_though_refused),
        "refusals": dict(refusals),
    }


async def _stall(
    database: databases.StandInDatabase, generator: random.Random
) -> None:
    """Pauses a database repeatedly for short random times."""
    while True:
        interval = generator.expovariate(1 / _STALL_INTERVAL_MEAN_SECONDS)
        await asyncio.sleep(interval)
        database.paused.clear()
        await asyncio.sleep(generator.expovariate(1 / _STALL_MEAN_SECONDS))
        database.paused.set()


async def _measure_stalls(
    detection_ms: int, seconds: int, generator: random.Random
) -> dict[str, object]:
    """Counts the promotions while databases stall and none has failed."""
    test_cluster = await _start(detection_ms)
    tasks = [
        asyncio.create_task(_stall(database, generator))
        for database in test_cluster.group.databases
    ]
    await asyncio.sleep(seconds)
    for task in tasks:
        task.cancel()
    for database in test_cluster.group.databases:
        database.paused.set()
    started_failovers = sum(
        isinstance(recorded.event, events.FailoverStarted)
        for daemon in test_cluster.daemons
        for recorded in daemon.timeline.events
    )
    promotions = _primary(test_cluster).log.term - 1
    await test_cluster.stop()
    return {
        "seconds": seconds,
        "runs": started_failovers,
        "promotions": promotions,
    }


async def _main() -> dict[str, object]:
    seed = _SEED.value
    generator = random.Random(seed)
    kinds = (Killed, Silent, CutOff, CutFromProxy, Leaving)
    report: dict[str, object] = {"seed": seed, "proxies": len(_USERS)}
    for kind in kinds:
        name = kind.__name__
        report[name] = await _measure(kind, _FAULT_COUNT.value, generator)
        print(name, json.dumps(report[name]), flush=True)
    for detection_ms in _DETECTIONS_MS:
        name = f"stalls, detection {detection_ms} ms"
        report[name] = await _measure_stalls(
            detection_ms, _STALL_WINDOW_SECONDS.value, generator
        )
        print(name, json.dumps(report[name]), flush=True)
    return report


def main(argv: Sequence[str]) -> None:
    """Runs the benchmark and writes its results."""
    del argv
    with logbook.NullHandler().applicationbound():
        report = asyncio.run(_main())
    path = pathlib.Path(_OUTPUT.value)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(report, indent=2) + "\n")


if __name__ == "__main__":
    app.run(main)
