"""Compares the CPU time of a statement through a proxy and without one.

    python -m benchmarks.statement_cost --statements 2000 --rounds 5

Caller, proxy and stand-in database share one process and one core, so the
ratio compares CPU time. Each round measures the direct connection and then the
proxy.
"""

from __future__ import annotations

import datetime
import statistics
import time

from absl import app
from absl import flags
import asyncmy
from asyncmy import cursors
import uvloop

from hickorygate.testing import cluster

_STATEMENTS = flags.DEFINE_integer("statements", 1_000, "Statements per round.")
_ROUNDS = flags.DEFINE_integer("rounds", 5, "Number of rounds.")
_READY_TIMEOUT = datetime.timedelta(seconds=30)
_READ_SQL = "SELECT a FROM t WHERE id = 1"


async def _measure_microseconds(cursor: cursors.Cursor) -> float:
    started = time.process_time()
    for _ in range(_STATEMENTS.value):
        await cursor.execute(_READ_SQL)
        await cursor.fetchall()
    return (time.process_time() - started) / _STATEMENTS.value * 1e6


async def _run() -> None:
    test_cluster = await cluster.start(proxies=1)
    await test_cluster.wait_until_ready(_READY_TIMEOUT)
    proxied = await asyncmy.connect(
        host="127.0.0.1",
        port=test_cluster.daemons[0].port,
        user=cluster.USER,
        password=cluster.PASSWORD,
        database="alerts_1",
        autocommit=True,
    )
    direct = await asyncmy.connect(
        host="127.0.0.1",
        port=test_cluster.group.databases[0].port,
        user="hickorygate",
        autocommit=True,
    )
    async with proxied.cursor() as cursor:
        await cursor.execute("CREATE TABLE t (id INT PRIMARY KEY, a TEXT)")
        await cursor.execute("INSERT INTO t VALUES (1, 'Bello')")
    samples: dict[str, list[float]] = {"direct": [], "proxy": []}
    for _ in range(_ROUNDS.value):
        async with direct.cursor() as cursor:
            samples["direct"].append(await _measure_microseconds(cursor))
        async with proxied.cursor() as cursor:
            samples["proxy"].append(await _measure_microseconds(cursor))
    medians = {name: statistics.median(us) for name, us in samples.items()}
    for name, figures in samples.items():
        print(
            f"{name}: median {medians[name]:.0f} us a statement, "
            f"range {min(figures):.0f} to {max(figures):.0f}"
        )
    print(f"ratio proxy/direct: {medians['proxy'] / medians['direct']:.2f}")
    await proxied.ensure_closed()
    await direct.ensure_closed()
    await test_cluster.stop()


def main(argv: list[str]) -> None:
    """Prints the CPU time of both connections and their ratio."""
    del argv
    uvloop.run(_run())


if __name__ == "__main__":
    app.run(main)
