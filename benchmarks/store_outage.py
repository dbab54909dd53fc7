"""Measures failed writes and a failover during an outage of the store.

    python -m benchmarks.store_outage --seconds=600

Callers write through four proxies. The platform's object API refuses every
call with status 503 from the start. Halfway through, the primary is killed. A
write that fails outside the failover gap is attributed to the outage of the
store.
"""

from __future__ import annotations

import asyncio
import datetime
import json

from absl import app
from absl import flags
import asyncmy
import logbook

from hickorygate.testing import cluster
from hickorygate.testing import object_store

_SECONDS = flags.DEFINE_integer(
    "seconds", 600, "Duration of the outage in seconds."
)

_PROXIES = 4
_READY_TIMEOUT = datetime.timedelta(seconds=30)
_PAUSE_SECONDS = 0.1
_GAP_TARGET_SECONDS = 2.0


class Writer:
    """One caller that writes numbered rows through one proxy.

    Attributes:
      acknowledged: times at which writes were acknowledged, in seconds of the
        loop's clock.
      failed: start times of the writes that failed, on the same clock.
    """

    def __init__(
        self, test_cluster: cluster.StandInCluster, number: int
    ) -> None:
        self._test_cluster = test_cluster
        self._number = number
        self._connection: asyncmy.Connection | None = None
        self.acknowledged: list[float] = []
        self.failed: list[float] = []

    async def run(self, deadline: float) -> None:
        """Writes until the deadline, in seconds of the loop's clock."""
        loop = asyncio.get_running_loop()
        while loop.time() < deadline:
            started = loop.time()
            try:
                await self._write()
                self.acknowledged.append(loop.time())
            except asyncmy.errors.MySQLError:
                self.failed.append(started)
                self._connection = None
            await asyncio.sleep(_PAUSE_SECONDS)

    async def _write(self) -> None:
        if self._connection is None:
            daemon = self._test_cluster.daemons[self._number]
            self._connection = await cluster.connect(daemon)
        row = len(self.acknowledged) + len(self.failed)
        await self._connection.cursor().execute(
            f"INSERT INTO rows_written VALUES ('{self._number}-{row}')"
        )


def _write_gap(writer: Writer, killed_at: float) -> float:
    """Returns the seconds between the writes before and after the kill."""
    times = writer.acknowledged
    last_before = max(time for time in times if time <= killed_at)
    after = min(time for time in times if time > killed_at)
    return after - last_before


async def _measure() -> dict[str, object]:
    test_cluster = await cluster.start(_PROXIES)
    await test_cluster.wait_until_ready(_READY_TIMEOUT)
    writers = [Writer(test_cluster, number) for number in range(_PROXIES)]
    loop = asyncio.get_running_loop()
    connection = await cluster.connect(test_cluster.daemons[0])
    await connection.cursor().execute("CREATE TABLE rows_written (id TEXT)")
    test_cluster.platform.persistent_fault = object_store.StoreFault.BUSY
    deadline = loop.time() + _SECONDS.value
    tasks = [asyncio.create_task(w.run(deadline)) for w in writers]
    await asyncio.sleep(_SECONDS.value / 2)
    killed_at = loop.time()
    await test_cluster.primary.stop()
    await asyncio.gather(*tasks)
    gap = max(_write_gap(writer, killed_at) for writer in writers)
    failed = [time for writer in writers for time in writer.failed]
    failed_near_kill = [
        t for t in failed if killed_at - gap <= t <= killed_at + gap
    ]
    figures = {
        "seconds": _SECONDS.value,
        "acknowledged": sum(len(w.acknowledged) for w in writers),
        "failed_around_the_kill": len(failed_near_kill),
        "failed_otherwise": len(failed) - len(failed_near_kill),
        "failover_gap_s": round(gap, 3),
        "gap_target_s": _GAP_TARGET_SECONDS,
    }
    await test_cluster.stop()
    return figures


def main(argv: list[str]) -> None:
    """Runs the benchmark and prints one JSON object."""
    del argv
    with logbook.NullHandler().applicationbound():
        print(json.dumps(asyncio.run(_measure()), indent=2))


if __name__ == "__main__":
    app.run(main)
