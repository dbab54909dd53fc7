"""A paused replica restarts during a takeover and confirms commits again."""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
import sys
import tempfile

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path[:0] = [str(FOLDER.parent / "standins2"), str(FOLDER.parents[1])]

import system  # noqa: E402 - the path is set above

from hickorygate.testing import relay as relays  # noqa: E402

HELD, BROKEN, FAILED_TO_RUN = 0, 1, 2

PROXIES = 5
CUT_PROXIES = 2
PROMOTION_SECONDS = 1.0
CUT_SECONDS = 3.7
"""Longest time that a cut waits for the order."""

BETWEEN_SECONDS = 4.0
MOST_CUTS = 6
HEAL_SECONDS = 1.0
"""Time from the restart to the end of the cut. A cut lasts 5 s at most: 3.7 s
until the order, 0.3 s for the restart, and this."""

RESTART_DELAY_SECONDS = 0.1
DOWN_SECONDS = 0.2
_ANSWER_SECONDS = 3


async def _write(
    record: system.Record, name: str, port: int, acknowledged: set[str]
) -> None:
    """Writes one item after the other; notes those that were acknowledged."""
    number = 0
    client: system.Client | None = None
    while True:
        number += 1
        await asyncio.sleep(0.04)
        try:
            if client is None:
                client = system.Client(record, name)
                await client.connect(port, "strong")
            item = f"{name}n{number}"
            async with asyncio.timeout(_ANSWER_SECONDS):
                lines = await client.query(f"id{item}", f"WRITE {item} v")
            if not lines:
                raise ConnectionError(item)
            if lines[0].startswith("COMPLETE"):
                acknowledged.add(item)
        except (OSError, TimeoutError, ConnectionError):
            client = None


async def _disturb(
    deployment: system.System, record: system.Record, trouble: bool
) -> None:
    """Cuts some proxies from the primary; restarts the other replica."""
    group, primary = deployment.group, deployment.group.primary
    ordered: asyncio.Future[str] = asyncio.Future()

    def promote(service: str, name: str) -> bool:
        record.write(f"platform: order to promote {name}")
        if not ordered.done():
            ordered.set_result(name)
        return group.promote(name)

    deployment.store.promote = promote
    cut: list[relays.FaultRelay] = []
    for number in range(MOST_CUTS):
        some = [
            deployment.proxies[(CUT_PROXIES * number + n) % PROXIES]
            for n in range(CUT_PROXIES)
        ]
        cut = [proxy.databases[primary.port] for proxy in some]
        names = " and ".join(proxy.name for proxy in some)
        record.write(f"{names} are cut off from {primary.name}")
        for relay in cut:
            relay.cut(relays.Direction.BOTH)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(asyncio.shield(ordered), CUT_SECONDS)
        if ordered.done():
            break
        record.write("they didn't replace it; the cut ends")
        for relay in cut:
            relay.heal()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(asyncio.shield(ordered), BETWEEN_SECONDS)
        if ordered.done():
            break
    chosen = await asyncio.wait_for(ordered, 1)
    other = next(d for d in group.databases if d not in (chosen, primary.name))
    await asyncio.sleep(RESTART_DELAY_SECONDS)
    if trouble:
        record.write(f"{other} ends, paused for {_paused(group, other)}")
        group.databases[other].crash()
        await asyncio.sleep(DOWN_SECONDS)
        await group.restart(other, keeps_log=True)
        record.write(f"{other} runs again with its log")
    await asyncio.sleep(HEAL_SECONDS)
    record.write("the cut ends")
    for relay in cut:
        relay.heal()
    await asyncio.sleep(5)


def _paused(group: system.Group, name: str) -> int:
    return group.databases[name].log.paused_for


async def _play(record: system.Record, folder: str, trouble: bool) -> int:
    deployment = system.System(pathlib.Path(folder), PROXIES, PROMOTION_SECONDS)
    tasks: list[asyncio.Task[None]] = []
    told: set[str] = set()
    try:
        await deployment.start()
        tasks = [
            asyncio.create_task(_write(record, f"w{n}", proxy.front, told))
            for n, proxy in enumerate(deployment.proxies)
        ]
        await asyncio.sleep(3)
        await _disturb(deployment, record, trouble)
        group = deployment.group
        lost = {commit.writes[0][0] for commit in group.lost} & told
        record.write(f"promoted: {group.promotions}")
        record.write(f"{len(told)} writes acknowledged, {len(lost)} lost")
        for item in sorted(lost):
            record.write(f"LOST: WRITE {item} v")
        if not group.promotions:
            return FAILED_TO_RUN
        return BROKEN if lost else HELD
    finally:
        for task in tasks:
            task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*tasks)
        await deployment.close()


def main() -> int:
    """Plays the case; returns the exit code."""
    record = system.Record(FOLDER / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    with tempfile.TemporaryDirectory() as folder:
        try:
            code = asyncio.run(_play(record, folder, trouble))
        except Exception as error:  # noqa: BLE001 - exit code 1 is a finding
            record.write(f"the case couldn't run: {error!r}")
            code = FAILED_TO_RUN
    record.write(f"exit code {code}")
    return code


if __name__ == "__main__":
    sys.exit(main())
