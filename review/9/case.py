"""An entry that can't be read keeps the primary from being replaced."""

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

PROXIES = 3
PROMOTION_SECONDS = 0.6
DRAIN_SECONDS = 7.0
"""`drain_ms`: longest time after the ack that a database may get requests."""

EXIT_SECONDS = 12.0
"""Time after the ack at which the database exits: `drain_ms` and a little."""

AFTERWARDS_SECONDS = 15.0
_ANSWER_SECONDS = 3

UNREADABLE_ENTRY = (
    r'{"service": "ledger", "address": "\ud8f7\ud8f7:8080", '
    r'"zone": "zone-0", "version": "v1", "slots": 3, "state": "ready", '
    r'"cold_left_ms": 0, "db_role": "replica", "seq_no": 1, '
    r'"born": 1700000000000}'
)
"""An entry whose address isn't text: two halves of characters."""


class _Caller:
    """A caller that writes and reads one item after the other.

    Attributes:
      outcomes: time of each answer, and its first word or code.
    """

    def __init__(self, record: system.Record, name: str, port: int) -> None:
        self.outcomes: list[tuple[float, str]] = []
        self._record = record
        self._name = name
        self._port = port

    async def run(self) -> None:
        """Sends requests until cancelled; reconnects after a lost session."""
        number = 0
        client: system.Client | None = None
        while True:
            number += 1
            await asyncio.sleep(0.1)
            try:
                if client is None:
                    client = system.Client(self._record, self._name)
                    await client.connect(self._port, "strong")
                item = f"{self._name}{number}"
                text = f"WRITE {item} v" if number % 2 else f"READ {item}"
                async with asyncio.timeout(_ANSWER_SECONDS):
                    lines = await client.query(f"id{item}", text)
                if not lines:
                    raise ConnectionError(item)
                self.outcomes.append((time.monotonic(), _outcome(lines)))
            except (OSError, TimeoutError, ConnectionError) as error:
                self.outcomes.append((time.monotonic(), type(error).__name__))
                client = None


def _outcome(lines: list[str]) -> str:
    errors = [line for line in lines if line.startswith("ERROR")]
    return " ".join(errors[0].split(" ")[:2]) if errors else "ok"


async def _play(record: system.Record, folder: str, trouble: bool) -> int:
    deployment = system.System(pathlib.Path(folder), PROXIES, PROMOTION_SECONDS)
    tasks: list[asyncio.Task[None]] = []
    try:
        await deployment.start()
        callers = [
            _Caller(record, f"c{n}x", proxy.front)
            for n, proxy in enumerate(deployment.proxies)
        ]
        tasks = [asyncio.create_task(caller.run()) for caller in callers]
        await asyncio.sleep(2)
        if trouble:
            record.write(f"store: servers/i-odd {UNREADABLE_ENTRY}")
            deployment.store.put_text("servers", "i-odd", UNREADABLE_ENTRY)
        await asyncio.sleep(2)
        leaving = deployment.group.primary
        leaving.leaving = True
        deployment.report_now()
        acknowledged = time.monotonic()
        record.write(f"store: {leaving.name} is draining, acknowledged")
        await asyncio.sleep(EXIT_SECONDS)
        record.write(f"{leaving.name} exits; db-d starts with its log")
        await deployment.group.replace(leaving.name, "db-d")
        deployment.withdraw(leaving.name)
        exited = time.monotonic()
        await asyncio.sleep(AFTERWARDS_SECONDS)
        _note_outcomes(record, callers, exited)
        return _judge(record, deployment, leaving.name, acknowledged)
    finally:
        for task in tasks:
            task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*tasks)
        await deployment.close()


def _note_outcomes(
    record: system.Record, callers: list[_Caller], exited: float
) -> None:
    """Records how requests ended after the former primary has exited."""
    counts: dict[str, int] = {}
    for caller in callers:
        for at, outcome in caller.outcomes:
            if at > exited + 1:
                counts[outcome] = counts.get(outcome, 0) + 1
    record.write(f"answers later than 1 s after the exit: {counts}")


def _judge(
    record: system.Record,
    deployment: system.System,
    name: str,
    acknowledged: float,
) -> int:
    """Looks for requests that reached the database too late."""
    record.write(f"promoted: {deployment.group.promotions}")
    runs = [run for run in deployment.group.runs if run.database == name]
    if not runs:
        return FAILED_TO_RUN
    late = [run for run in runs if run.at - acknowledged > DRAIN_SECONDS]
    for run in late:
        after = run.at - acknowledged
        record.write(
            f"DRAIN: {name} ran {run.request} {run.text!r} "
            f"{after * 1_000:.0f} ms after the ack"
        )
    record.write(f"{len(late)} requests reached {name} too late")
    return BROKEN if late else HELD


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
