"""Plays seeds: `python -m soak --seeds 1-50 --jobs 3`.

Each seed is played in a process of its own. The exit code is 1 if a promise
was broken; the logs of such a run are kept.
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
from soak import run as runs

_SEEDS = flags.DEFINE_string("seeds", "1", "Seeds, as 1-50 or 3,7.")
_JOBS = flags.DEFINE_integer("jobs", 1, "Seeds at a time.", lower_bound=1)
_PROXIES = flags.DEFINE_integer("proxies", 5, "Processes.", lower_bound=1)
_SERVICES = flags.DEFINE_integer("services", 2, "Groups.", lower_bound=1)
_CALLERS = flags.DEFINE_integer("callers", 20, "Sessions.", lower_bound=1)
_SECONDS = flags.DEFINE_float("seconds", 15.0, "How long faults begin.")
_FOLDER = flags.DEFINE_string("folder", "", "For the logs of failed runs.")
_ONE = flags.DEFINE_boolean("one", False, "Plays a seed in this process.")


def _numbers(text: str) -> list[int]:
    """Decodes `1-3,7`.

    Raises:
      ValueError: the text is something else.
    """
    numbers: list[int] = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        numbers += range(int(first), int(last or first) + 1)
    return numbers


def _size() -> plan.Size:
    return plan.Size(
        proxies=_PROXIES.value,
        services=_SERVICES.value,
        callers=_CALLERS.value,
        seconds=_SECONDS.value,
    )


def _play(seed: int) -> bool:
    """Plays a seed here and prints its report; tells whether it held."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    report = uvloop.run(runs.run(seed, _size(), folder))
    print(orjson.dumps(dataclasses.asdict(report), default=str).decode())
    if report.violations and _FOLDER.value:
        shutil.copytree(folder, pathlib.Path(_FOLDER.value) / folder.name)
    shutil.rmtree(folder)
    return not report.violations


async def _play_apart(seed: int, turn: asyncio.Semaphore) -> bool:
    """Plays a seed in a process of its own."""
    words = [word for word in sys.argv[1:] if not word.startswith("--seeds")]
    async with turn:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "soak", "--one", f"--seeds={seed}", *words
        )
        return await process.wait() == 0


async def _play_all(seeds: list[int]) -> list[int]:
    """Returns the seeds that failed."""
    turn = asyncio.Semaphore(_JOBS.value)
    held = await asyncio.gather(*(_play_apart(s, turn) for s in seeds))
    return [s for s, kept in zip(seeds, held, strict=True) if not kept]


def main(argv: list[str]) -> None:
    """Plays the seeds of the command line."""
    del argv
    seeds = _numbers(_SEEDS.value)
    if _ONE.value:
        sys.exit(0 if all(map(_play, seeds)) else 1)
    failed = asyncio.run(_play_all(seeds))
    print(f"{len(seeds)} seeds, {len(failed)} failed: {failed}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    app.run(main)
