"""Compares majority waits with group commit and with one wait per write.

    python -m benchmarks.group_commit [--seconds=2] [--output=FILE]

Writers append to the log of a stand-in primary and wait until a majority of
the group holds the entry. The connections are real sockets; everything runs in
one process on one event loop.
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
import logbook

from hickorygate.core import clock as clocks
from hickorygate.core import position
from hickorygate.core import settings as settings_lib
from hickorygate.core import sheet
from hickorygate.testing import database as databases
from hickorygate.upstreams import control_link
from hickorygate.upstreams import write_confirmation
from hickorygate.upstreams import write_confirmer

_SECONDS = flags.DEFINE_float("seconds", 2.0, "Seconds per case.")
_OUTPUT = flags.DEFINE_string(
    "output", "benchmarks/results/group_commit.json", "File for the results."
)

_NAMES = ("alert-db-1a", "alert-db-1b", "alert-db-1c")
_WRITERS = (1, 8, 32)


async def _write(
    database: databases.StandInDatabase,
    confirmer: write_confirmer.WriteConfirmer,
    deadline: float,
    waits: list[float],
    failed: list[float],
) -> None:
    while time.monotonic() < deadline:
        started = time.monotonic()
        await database.commit(("SELECT 1",))
        result = await confirmer.wait_until_durable()
        (waits if result.is_ok() else failed).append(time.monotonic() - started)


def _ignore_status(
    status: position.DatabaseStatus, requested_at: datetime.datetime
) -> None:
    """Discards a status, as the benchmark keeps no view of the group."""


async def _measure(
    policy: write_confirmation.BatchingPolicy, writers: int
) -> dict[str, object]:
    clock = clocks.SystemClock()
    group = databases.StandInGroup(clock)
    members = await group.start(_NAMES)
    sheet_group = sheet.Group(
        "alert-db-1",
        ("alerts_1",),
        tuple(
            sheet.Database(d.name, "127.0.0.1", d.port, "nl-west-a", 20, 3)
            for d in members
        ),
    )
    settings = settings_lib.UpstreamSettings()
    links = {
        database.name: control_link.ControlLink(database, "bench", settings)
        for database in sheet_group.databases
    }
    confirmer = write_confirmer.WriteConfirmer(
        sheet_group,
        members[0].name,
        1,
        links,
        settings,
        clock,
        _ignore_status,
        policy,
    )
    waits: list[float] = []
    failed: list[float] = []
    deadline = time.monotonic() + _SECONDS.value
    await asyncio.gather(
        *(
            _write(members[0], confirmer, deadline, waits, failed)
            for _ in range(writers)
        )
    )
    await confirmer.close()
    for link in links.values():
        link.close()
    await group.stop()
    waits.sort()
    return {
        "policy": policy.value,
        "writers": writers,
        "writes_a_second": round(len(waits) / _SECONDS.value),
        "wait_p50_ms": round(1_000 * waits[len(waits) // 2], 2),
        "wait_p99_ms": round(1_000 * waits[int(0.99 * (len(waits) - 1))], 2),
        "unconfirmed": len(failed),
    }


async def _main() -> list[dict[str, object]]:
    report = []
    for writers in _WRITERS:
        for policy in write_confirmation.BatchingPolicy:
            figures = await _measure(policy, writers)
            report.append(figures)
            print(json.dumps(figures), flush=True)
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
