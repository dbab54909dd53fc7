"""Runs the soak for seeds: `python -m soak --seeds 1-50 --jobs 3`.

Each seed runs in a separate process. The exit code is 1 if a guarantee was
broken. With `--folder`, the logs of such a run are kept.
"""

from __future__ import annotations

import asyncio
import dataclasses
import pathlib
import shutil
import sys
import tempfile

from absl import app
from absl import flags
import orjson
import uvloop

from soak import plan
from soak import run

_SEEDS = flags.DEFINE_string("seeds", "1", "Seeds to run, as 1-50 or 3,7.")
_JOBS = flags.DEFINE_integer(
    "jobs", 1, "Seeds to run at the same time.", lower_bound=1
)
_PROXIES = flags.DEFINE_integer(
    "proxies", 5, "Number of proxy processes.", lower_bound=1
)
_SERVICES = flags.DEFINE_integer(
    "services",
    2,
    "Number of services, each with a group of databases.",
    lower_bound=1,
)
_CALLERS = flags.DEFINE_integer(
    "callers", 20, "Number of concurrent sessions.", lower_bound=1
)
_SECONDS = flags.DEFINE_float(
    "seconds", 15.0, "Time in which faults start, in seconds."
)
_FOLDER = flags.DEFINE_string(
    "folder", "", "Folder for the logs of failed runs."
)
_ONLY = flags.DEFINE_list(
    "only", [], "Kinds of the faults that are injected; all if empty."
)
_ONE = flags.DEFINE_boolean("one", False, "Runs the seeds in this process.")


def _parse_seeds(text: str) -> list[int]:
    """Parses a list of numbers and ranges, as `1-3,7`.

    Raises:
      ValueError: the text is malformed.
    """
    numbers: list[int] = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        numbers += range(int(first), int(last or first) + 1)
    return numbers


def _size() -> plan.RunSize:
    return plan.RunSize(
        proxies=_PROXIES.value,
        services=_SERVICES.value,
        callers=_CALLERS.value,
        seconds=_SECONDS.value,
    )


def _run(seed: int) -> bool:
    """Runs a seed in this process and prints its report.

    Returns:
      Whether no guarantee was broken.
    """
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    report = uvloop.run(run.run(seed, _size(), folder, frozenset(_ONLY.value)))
    print(orjson.dumps(dataclasses.asdict(report), default=str).decode())
    if report.violations and _FOLDER.value:
        shutil.copytree(folder, pathlib.Path(_FOLDER.value) / folder.name)
    shutil.rmtree(folder)
    return not report.violations


async def _run_in_subprocess(seed: int, slots: asyncio.Semaphore) -> bool:
    """Runs a seed in a separate process.

    Args:
      seed: seed to run.
      slots: limit of the processes at a time.

    Returns:
      Whether the process succeeded.
    """
    arguments = [a for a in sys.argv[1:] if not a.startswith("--seeds")]
    async with slots:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "soak", "--one", f"--seeds={seed}", *arguments
        )
        return await process.wait() == 0


async def _run_all(seeds: list[int]) -> list[int]:
    """Runs all seeds and returns those that failed."""
    slots = asyncio.Semaphore(_JOBS.value)
    results = await asyncio.gather(
        *(_run_in_subprocess(s, slots) for s in seeds)
    )
    return [s for s, passed in zip(seeds, results, strict=True) if not passed]


def main(argv: list[str]) -> None:
    """Runs the seeds of the command line."""
    del argv
    seeds = _parse_seeds(_SEEDS.value)
    if _ONE.value:
        sys.exit(0 if all(map(_run, seeds)) else 1)
    failed = asyncio.run(_run_all(seeds))
    print(f"{len(seeds)} seeds, {len(failed)} failed: {failed}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    app.run(main)
