"""Measures the share of reads that replicas serve under a mixed workload.

The cluster has five proxies and one group of three databases. Each caller
models a cafe that looks up stock, reads histories of wash runs, and refunds
deposits and then reads its own refund. Every read states a maximum staleness,
so a replica may serve it. Sessions switch between proxies.

    python -m benchmarks.replica_share --seconds=10 --callers=20
"""

from __future__ import annotations

import asyncio
import datetime
import json
import random
import statistics
import sys

from absl import app
from absl import flags
import asyncmy

from hickorygate.core import measurement
from hickorygate.testing import cluster

_SECONDS = flags.DEFINE_integer(
    "seconds", 10, "Duration of the load in seconds."
)
_CALLERS = flags.DEFINE_integer("callers", 20, "Number of concurrent callers.")
_LAG_MS = flags.DEFINE_integer("lag_ms", 20, "Replication lag in milliseconds.")
_SEED = flags.DEFINE_integer("seed", 1, "Seed of the workload.")

_PROXIES = 5
_REPLICA_SHARE_TARGET = 0.95
_READY_TIMEOUT = datetime.timedelta(seconds=30)
_PAUSE_SECONDS = 0.02
_REFUND_SHARE = 0.15
_HISTORY_SHARE = 0.10
_SWITCH_SHARE = 0.02
_STOCK_SQL = "/*hickorygate_staleness_ms='2000'*/ SELECT COUNT(*) FROM refunds"
_HISTORY_SQL = (
    "/*hickorygate_staleness_ms='60000'*/ SELECT COUNT(*) FROM refunds"
)
_OWN_REFUND_SQL = (
    "/*hickorygate_staleness_ms='2000'*/ SELECT cup FROM refunds WHERE id="
)


class Caller:
    """One simulated cafe with a session of its own.

    Attributes:
      refunds: number of refunds written.
      refused: number of attempts that failed and were retried.
      latencies: seconds from the first attempt to the answer, per statement.
      unseen_refunds: number of refunds that the caller's own read didn't
        return.
    """

    def __init__(
        self,
        test_cluster: cluster.StandInCluster,
        number: int,
        rng: random.Random,
    ) -> None:
        self._test_cluster = test_cluster
        self._number = number
        self._rng = rng
        self._connection: asyncmy.Connection | None = None
        self.refunds = 0
        self.refused = 0
        self.latencies: list[float] = []
        self.unseen_refunds = 0

    async def run(self, deadline: float) -> None:
        """Runs operations until the deadline (seconds of the loop's clock)."""
        await self.connect()
        loop = asyncio.get_running_loop()
        while loop.time() < deadline:
            await self._run_operation()
            await asyncio.sleep(_PAUSE_SECONDS)
        await self._connection.ensure_closed()

    async def connect(self) -> None:
        """Connects to a randomly chosen proxy."""
        daemon = self._rng.choice(self._test_cluster.daemons)
        self._connection = await cluster.connect(daemon)

    async def _run_operation(self) -> None:
        draw = self._rng.random()
        if draw < _REFUND_SHARE:
            await self._refund()
        elif draw < _REFUND_SHARE + _HISTORY_SHARE:
            await self.query(_HISTORY_SQL)
        else:
            await self.query(_STOCK_SQL)
        if self._rng.random() < _SWITCH_SHARE:
            await self._switch_proxy()

    async def _refund(self) -> None:
        self.refunds += 1
        key = f"'{self._number}-{self.refunds}'"
        await self.query(f"INSERT INTO refunds VALUES ({key}, 7)")
        self.unseen_refunds += not await self.query(_OWN_REFUND_SQL + key)

    async def _switch_proxy(self) -> None:
        ((token,),) = await self.query("SELECT @@hickorygate_token")
        await self._connection.ensure_closed()
        await self.connect()
        await self.query(f"SET hickorygate_token = '{token}'")

    async def query(self, sql: str) -> tuple[tuple[object, ...], ...]:
        """Runs a statement, retrying after each OperationalError."""
        started = asyncio.get_running_loop().time()
        cursor = self._connection.cursor()
        while True:
            try:
                await cursor.execute(sql)
            except asyncmy.errors.OperationalError:
                self.refused += 1
                continue
            ended = asyncio.get_running_loop().time()
            self.latencies.append(ended - started)
            return await cursor.fetchall()


async def _measure() -> dict[str, object]:
    rng = random.Random(_SEED.value)
    test_cluster = await cluster.start(_PROXIES)
    await test_cluster.wait_until_ready(_READY_TIMEOUT)
    for database in test_cluster.group.databases:
        database.lag = datetime.timedelta(milliseconds=_LAG_MS.value)
    callers = [
        Caller(test_cluster, number, rng) for number in range(_CALLERS.value)
    ]
    await callers[0].connect()
    await callers[0].query("CREATE TABLE refunds (id VARCHAR(20), cup INT)")
    await asyncio.sleep(1)
    for daemon in test_cluster.daemons:
        daemon.recorder.reads.clear()
    deadline = asyncio.get_running_loop().time() + _SECONDS.value
    await asyncio.gather(*(caller.run(deadline) for caller in callers))
    reads = sum(d.recorder.reads.total() for d in test_cluster.daemons)
    replica = measurement.ServedBy.REPLICA
    served = sum(d.recorder.reads[replica] for d in test_cluster.daemons)
    await test_cluster.stop()
    return {
        "reads": reads,
        "replica_share": round(served / reads, 4),
        "target": _REPLICA_SHARE_TARGET,
        "refunds": sum(caller.refunds for caller in callers),
        "own_refunds_not_seen": sum(
            caller.unseen_refunds for caller in callers
        ),
        "refused": sum(caller.refused for caller in callers),
        "p50_ms": _latency_percentile_ms(callers, 50),
        "p99_ms": _latency_percentile_ms(callers, 99),
        "lag_ms": _LAG_MS.value,
        "callers": _CALLERS.value,
        "seconds": _SECONDS.value,
        "seed": _SEED.value,
    }


def _latency_percentile_ms(callers: list[Caller], percent: int) -> float:
    latencies = [seconds for caller in callers for seconds in caller.latencies]
    percentiles = statistics.quantiles(latencies, n=100)
    return round(percentiles[percent - 1] * 1_000, 1)


def main(argv: list[str]) -> None:
    """Runs the benchmark and prints one JSON object."""
    if len(argv) > 1:
        print(f"unexpected argument {argv[1]!r}", file=sys.stderr)
        raise SystemExit(2)
    print(json.dumps(asyncio.run(_measure()), indent=2))


if __name__ == "__main__":
    app.run(main)
