"""Measures the control-plane cost of a daemon for several fleet sizes.

Runs the control planes of several proxies (links to the other proxies and the
watch of the store) and the stand-in platform in one process on one event loop.
First loads sheets and instance lists of growing size into a small fleet, then
measures idle fleets of growing size. CPU time of the process and bytes of the
packets are divided by the number of proxies; resident memory is reported for
the whole process. Run:

    python -m benchmarks.control
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from collections.abc import Sequence
import dataclasses
import datetime
import gc
import json
import pathlib
import random
import time

from absl import app
from absl import flags
import uvloop

from hickorygate.core import clock as clocks
from hickorygate.core import settings as settings_lib
from hickorygate.platform import connect
from hickorygate.store import objects
from hickorygate.testing import control
from hickorygate.testing import object_store
from hickorygate.testing import sheets

_FLEETS = flags.DEFINE_list("fleets", ["5", "20", "50", "100"], "Fleet sizes.")
_SHEETS = flags.DEFINE_list(
    "sheets", ["30", "90", "270", "801"], "Sheet sizes in databases."
)
_LISTS = flags.DEFINE_list(
    "lists", ["50", "200", "600", "1550"], "List sizes in instances."
)
_WINDOW_S = flags.DEFINE_float("window", 3.0, "Seconds per window.")
_RUNS = flags.DEFINE_integer("runs", 3, "Runs per size.")
_RESULT = flags.DEFINE_string(
    "result",
    str(pathlib.Path(__file__).parent / "results" / "control.json"),
    "File for the results.",
)
_ZONES = ("a", "b", "c", "d")
_SEED_COUNT = 3
_CHANGE_FLEET_SIZE = 5
_SETTLE_TIME = datetime.timedelta(seconds=2)
_SETTLE_TIMEOUT = datetime.timedelta(seconds=90)
_POLL_PERIOD = datetime.timedelta(milliseconds=20)
_PAGE_BYTES = 4_096


@dataclasses.dataclass(frozen=True, slots=True)
class Totals:
    """Running totals of the process at one moment.

    Attributes:
      wall_s: monotonic time in seconds.
      processor_s: CPU time of the process in seconds.
      packets: packets sent and received by all proxies.
      bytes: bytes sent and received by all proxies.
      store_calls: calls that the platform received.
    """

    wall_s: float
    processor_s: float
    packets: int
    bytes: int
    store_calls: int


@dataclasses.dataclass(frozen=True, slots=True)
class Range:
    """Least, median and greatest value of a quantity over the runs."""

    least: float
    median: float
    greatest: float


class ControlBenchmark:
    """A fleet of control planes and the store that they watch.

    Attributes:
      platform: stand-in platform with the object store.
      planes: control planes of the fleet, one per proxy.
      version: version of the sheet stored last.
      instances_version: version of the instance list stored last.
    """

    def __init__(self) -> None:
        self.platform = object_store.ObjectStore()
        self.planes: list[control.ControlPlane] = []
        self.version = 0
        self.instances_version = 0

    async def run(self) -> dict[str, object]:
        """Measures all sizes and returns the results by kind."""
        await self.platform.start()
        await self.load(sheets.text(10, comment="first"))
        while len(self.planes) < _CHANGE_FLEET_SIZE:
            await self.start_proxy()
        await self.wait_until_settled(_CHANGE_FLEET_SIZE)
        sheet_rows = [await self.measure_sheet(int(n)) for n in _SHEETS.value]
        list_rows = [await self.measure_list(int(n)) for n in _LISTS.value]
        await self.load(sheets.text(10, comment="last"))
        idle = [await self.measure_fleet(int(n)) for n in _FLEETS.value]
        await self.stop()
        return {"idle": idle, "sheets": sheet_rows, "lists": list_rows}

    async def measure_fleet(self, size: int) -> dict[str, object]:
        """Returns the idle cost per daemon in a fleet of `size` proxies."""
        while len(self.planes) < size:
            await self.start_proxy()
        await self.wait_until_settled(size)
        runs = [await self.measure_window() for _ in range(_RUNS.value)]
        gc.collect()
        memory_kb = _resident_bytes() / 1_024
        links = sum(p.mesh.open_connection_count for p in self.planes) / size
        return {
            "proxies": size,
            "process_memory_kb": memory_kb,
            "open_links": links,
            **_ranges(runs),
        }

    async def measure_window(self) -> dict[str, float]:
        """Returns the cost per daemon and second over one window."""
        before = self.read()
        await asyncio.sleep(_WINDOW_S.value)
        after = self.read()
        seconds = after.wall_s - before.wall_s
        share = 1 / seconds / len(self.planes)
        return {
            "core_percent": 100
            * (after.processor_s - before.processor_s)
            * share,
            "packets_a_second": (after.packets - before.packets) * share,
            "bytes_a_second": (after.bytes - before.bytes) * share,
            "fleet_store_calls_a_second": (
                after.store_calls - before.store_calls
            )
            / seconds,
        }

    async def measure_sheet(self, databases: int) -> dict[str, object]:
        """Returns the cost per daemon of one change of the sheet."""
        runs = []
        for run in range(_RUNS.value):
            text = sheets.text(databases // 3, comment=f"run {run}")
            runs.append(await self.measure_change(self.load(text)))
        size = len(text.encode())
        return {"databases": databases, "text_bytes": size, **_ranges(runs)}

    async def measure_list(self, instances: int) -> dict[str, object]:
        """Returns the cost per daemon of one change of the instance list."""
        runs = []
        for run in range(_RUNS.value):
            listed = _instances(instances, leaving=run)
            runs.append(await self.measure_change(self.store_instances(listed)))
        size = len(json.dumps(listed))
        return {"instances": instances, "text_bytes": size, **_ranges(runs)}

    async def measure_change(
        self, change: Coroutine[None, None, None]
    ) -> dict[str, float]:
        """Returns the cost of a change per daemon, less the idle cost."""
        idle = await self.measure_window()
        before = self.read()
        await change
        await self.in_force()
        in_force_s = time.monotonic() - before.wall_s
        await asyncio.sleep(1)
        after = self.read()
        seconds = after.wall_s - before.wall_s
        count = len(self.planes)
        processor = (after.processor_s - before.processor_s) / count
        moved_bytes = (after.bytes - before.bytes) / count
        return {
            "processor_ms": 1_000 * processor
            - 10 * idle["core_percent"] * seconds,
            "bytes": moved_bytes - idle["bytes_a_second"] * seconds,
            "in_force_s": in_force_s,
        }

    async def start_proxy(self) -> None:
        """Starts one more control plane."""
        number = len(self.planes)
        seeds = tuple(p.mesh.address for p in self.planes[:_SEED_COUNT])
        plane = control.ControlPlane(
            f"proxy-{number}",
            _ZONES[number % len(_ZONES)],
            self.platform.url,
            settings_lib.PeerSettings(seeds=seeds),
        )
        await plane.start()
        self.planes.append(plane)

    async def wait_until_settled(self, size: int) -> None:
        """Waits until the fleet is idle.

        All proxies know all members, the newest sheet and instance list are in
        force, and no membership update is pending. A fixed time follows.
        """
        async with asyncio.timeout(_SETTLE_TIMEOUT.total_seconds()):
            while not all(
                len(p.mesh.membership.names) == size for p in self.planes
            ):
                await asyncio.sleep(_POLL_PERIOD.total_seconds())
            await self.in_force()
            while any(
                p.mesh.membership.pending_update_count for p in self.planes
            ):
                await asyncio.sleep(_POLL_PERIOD.total_seconds())
        await asyncio.sleep(_SETTLE_TIME.total_seconds())

    async def in_force(self) -> None:
        """Waits until all proxies use the newest sheet and instance list."""
        while not all(
            p.version == self.version
            and p.manager.directory.version >= self.instances_version
            for p in self.planes
        ):
            await asyncio.sleep(_POLL_PERIOD.total_seconds())

    async def stop(self) -> None:
        """Stops the control planes and the platform."""
        for plane in self.planes:
            await plane.close()
        await self.platform.close()

    async def load(self, text: str) -> None:
        """Stores a sheet as the successor of the current version."""
        clock = clocks.SystemClock()
        settings = settings_lib.PlatformSettings(url=self.platform.url)
        client = connect.build_client(settings, clock, random.Random(0))
        sheet = objects.SheetObject(
            text=text, loaded_by="bench", loaded_at=clock.now()
        )
        stored = await client.store_sheet(sheet, self.version)
        await client.close()
        assert stored.is_ok(), stored.error.message
        self.version = stored.ok

    async def store_instances(
        self, instances: Sequence[dict[str, str]]
    ) -> None:
        """Sets the instance list of the platform."""
        self.instances_version = self.platform.set_instances(instances)

    def read(self) -> Totals:
        """Returns the current totals."""
        counts = [plane.mesh.counts for plane in self.planes]
        directions = ("sent", "received")
        return Totals(
            time.monotonic(),
            time.process_time(),
            sum(c[f"packets_{d}"] for c in counts for d in directions),
            sum(c[f"bytes_{d}"] for c in counts for d in directions),
            len(self.platform.calls),
        )


def _instances(count: int, leaving: int) -> list[dict[str, str]]:
    return [
        {
            "name": f"alert-db-{number}",
            "address": f"10.0.{number // 250}.{number % 250}:3306",
            "zone": _ZONES[number % len(_ZONES)],
            "state": "leaving" if number == leaving else "live",
        }
        for number in range(count)
    ]


def _ranges(runs: list[dict[str, float]]) -> dict[str, object]:
    found = {}
    for name in runs[0]:
        values = sorted(run[name] for run in runs)
        median = values[len(values) // 2]
        found[name] = dataclasses.asdict(Range(values[0], median, values[-1]))
    return found


def _resident_bytes() -> int:
    fields = pathlib.Path("/proc/self/statm").read_text().split()
    return int(fields[1]) * _PAGE_BYTES


def _main(argv: Sequence[str]) -> None:
    del argv
    result = uvloop.run(ControlBenchmark().run())
    text = json.dumps(result, indent=1)
    pathlib.Path(_RESULT.value).write_text(text + "\n")
    print(text)


if __name__ == "__main__":
    app.run(_main)
