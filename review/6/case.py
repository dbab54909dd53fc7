"""A second planned takeover, from a stale view, pauses all replicas."""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
import sys
import tempfile
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path[:0] = [str(FOLDER.parent / "standins2"), str(FOLDER.parents[1])]

import system  # noqa: E402 - the path is set above

HELD, BROKEN, FAILED_TO_RUN = 0, 1, 2

PROXIES = 5
WRITING_PROXIES = 3
READERS = 3
PROMOTION_SECONDS = 1.0
REPLACEMENTS = 7
NOTICE_SECONDS = 1.0
"""Time from the start of the new database to the old one's `draining`."""

EXIT_SECONDS = 8.0
"""Time from `draining` to the exit: `drain_ms` (7 s) and a little."""

STUCK_SECONDS = 2.0
"""Time after the exit without an acknowledged write after which the rest of the
replacements is left out."""

_ANSWER_SECONDS = 2.5


class _Caller:
    """A caller with a session, which it opens again after a failure.

    Attributes:
      acknowledged: items whose writes were acknowledged.
      last: time of the newest acknowledgment.
    """

    def __init__(self, record: system.Record, name: str, port: int) -> None:
        self.acknowledged: set[str] = set()
        self.last = time.monotonic()
        self._record = record
        self._name = name
        self._port = port

    async def write(self) -> None:
        """Writes one item after the other."""
        await self._repeat("strong", 0.02, writes=True)

    async def read(self) -> None:
        """Reads, with data that may be 1.5 s old."""
        await self._repeat("bounded", 0.01, writes=False)

    async def _repeat(self, host: str, pause: float, writes: bool) -> None:
        number = 0
        client: system.Client | None = None
        while True:
            number += 1
            await asyncio.sleep(pause)
            try:
                if client is None:
                    client = system.Client(self._record, self._name, writes)
                    await client.connect(self._port, host)
                item = f"{self._name}n{number}"
                async with asyncio.timeout(_ANSWER_SECONDS):
                    text = f"WRITE {item} v" if writes else "READ item"
                    lines = await client.query(f"id{item}", text)
                if not lines:
                    raise ConnectionError(item)
                if writes and lines[0].startswith("COMPLETE"):
                    self.acknowledged.add(item)
                    self.last = time.monotonic()
            except (OSError, TimeoutError, ConnectionError):
                client = None
                await asyncio.sleep(0.1)


async def _replace_primary(
    deployment: system.System, record: system.Record, number: int
) -> None:
    """Replaces the primary as planned: the new database starts first."""
    await deployment.add_database(f"db-n{number}")
    await asyncio.sleep(NOTICE_SECONDS)
    former = deployment.group.primary
    former.leaving = True
    deployment.report_now()
    record.write(f"{former.name} is draining; db-n{number} runs")
    await asyncio.sleep(EXIT_SECONDS)
    deployment.group.leave(former.name)
    deployment.withdraw(former.name)
    record.write(f"{former.name} exits")


async def _restart_all(
    deployment: system.System, record: system.Record
) -> None:
    """Kills all processes at once; they start again."""
    record.write("all proxies are killed and start again")
    await asyncio.gather(*(proxy.kill() for proxy in deployment.proxies))
    await asyncio.sleep(0.5)
    await asyncio.gather(*(proxy.restart() for proxy in deployment.proxies))
    await asyncio.sleep(12)


async def _play(record: system.Record, folder: str, trouble: bool) -> int:
    deployment = system.System(pathlib.Path(folder), PROXIES, PROMOTION_SECONDS)
    tasks: list[asyncio.Task[None]] = []
    try:
        await deployment.start()
        writers = [
            _Caller(record, f"w{n}", proxy.front)
            for n, proxy in enumerate(deployment.proxies[:WRITING_PROXIES])
        ]
        readers = [
            _Caller(record, f"r{n}", proxy.front)
            for proxy in deployment.proxies
            for n in range(READERS)
        ]
        tasks = [asyncio.create_task(caller.write()) for caller in writers]
        tasks += [asyncio.create_task(caller.read()) for caller in readers]
        await asyncio.sleep(2)
        for number in range(REPLACEMENTS if trouble else 0):
            await _replace_primary(deployment, record, number)
            await asyncio.sleep(STUCK_SECONDS)
            newest = max(writer.last for writer in writers)
            if time.monotonic() - newest >= STUCK_SECONDS:
                record.write("no write is acknowledged any more")
                break
        await _restart_all(deployment, record)
        _note_events(record, deployment)
        return _judge(record, deployment, writers)
    finally:
        for task in tasks:
            task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*tasks)
        await deployment.close()


def _note_events(record: system.Record, deployment: system.System) -> None:
    """Records what the proxies logged about takeovers."""
    kinds = ("TakeoverStarted", "PromotionOrdered", "TakeoverEnded")
    found = [
        f"{event['time']} {proxy.name} logged {event}"
        for proxy in deployment.proxies
        for event in proxy.events()
        if event.get("event") in kinds
    ]
    for line in sorted(found):
        record.write(line)


def _judge(
    record: system.Record, deployment: system.System, writers: list[_Caller]
) -> int:
    """Compares the logs of promoted databases with the acknowledgments."""
    group = deployment.group
    told = {item for writer in writers for item in writer.acknowledged}
    lost = {commit.writes[0][0] for commit in group.lost} & told
    record.write(f"promoted: {group.promotions}")
    record.write(
        f"{len(told)} writes acknowledged to callers, {len(lost)} lost"
    )
    for item in sorted(lost):
        record.write(f"LOST: WRITE {item} v")
    if not told:
        return FAILED_TO_RUN
    return BROKEN if lost else HELD


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
