"""Measures the CPU time of complete idle daemons with one group of three.

Each daemon probes the three databases and takes part in membership. The
stand-in databases run in the same process, so the CPU time includes both ends
of each probe. Run:

    python -m benchmarks.idle_daemons
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
import datetime
import json
import pathlib
import time

from absl import app
from absl import flags
import uvloop

from hickorygate.testing import cluster

_DAEMONS = flags.DEFINE_list(
    "daemons", ["1", "2", "3", "5"], "Numbers of daemons."
)
_WINDOW_S = flags.DEFINE_float("window", 4.0, "Seconds per run.")
_RUNS = flags.DEFINE_integer("runs", 3, "Runs per number of daemons.")
_RESULT = flags.DEFINE_string(
    "result",
    str(pathlib.Path(__file__).parent / "results" / "idle_daemons.json"),
    "File for the results.",
)
_TIMEOUT = datetime.timedelta(seconds=30)
_SETTLE_S = 2.0


async def _measure(count: int) -> dict[str, float]:
    test_cluster = await cluster.start(proxies=count)
    await test_cluster.wait_until_ready(_TIMEOUT)
    await asyncio.sleep(_SETTLE_S)
    core_percents = []
    for _ in range(_RUNS.value):
        wall, processor_s = time.monotonic(), time.process_time()
        await asyncio.sleep(_WINDOW_S.value)
        processor_s = time.process_time() - processor_s
        core_percents.append(
            100 * processor_s / (time.monotonic() - wall) / count
        )
    await test_cluster.stop()
    core_percents.sort()
    return {
        "daemons": count,
        "core_percent_least": core_percents[0],
        "core_percent_median": core_percents[len(core_percents) // 2],
        "core_percent_greatest": core_percents[-1],
    }


async def _measure_all() -> list[dict[str, float]]:
    return [await _measure(int(count)) for count in _DAEMONS.value]


def _main(argv: Sequence[str]) -> None:
    del argv
    text = json.dumps(uvloop.run(_measure_all()), indent=1)
    pathlib.Path(_RESULT.value).write_text(text + "\n")
    print(text)


if __name__ == "__main__":
    app.run(_main)
