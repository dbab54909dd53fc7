"""Session values after a short cut between the proxies and the primary."""

from __future__ import annotations

import asyncio
import itertools
import os
import pathlib
import random
import sys

from review.standins import databases
from review.standins import system

FOLDER = pathlib.Path(__file__).resolve().parent
CALLERS = 24
CUTS = 10
CUT_SECONDS = 0.7
PAUSE_SECONDS = 2.0


class Session:
    """A caller with a session value that differs inside transactions."""

    def __init__(self, number: int, record: system.Record) -> None:
        self._record = record
        self._number = number
        self._ids = itertools.count(1)
        self.expected: dict[str, str] = {}
        self.transactions: dict[str, int] = {}
        self.stopping = False

    async def run(self, proxy: system.Proxy) -> None:
        """Runs transactions and single reads, over new sessions if needed."""
        rng = random.Random(self._number)
        while not self.stopping:
            caller = system.Caller(self._record, f"c{self._number}")
            try:
                if await caller.connect(proxy, "refund"):
                    await self._converse(caller, rng)
            except OSError:
                pass
            caller.close()
            await asyncio.sleep(0.05)

    async def _converse(self, caller: system.Caller, rng) -> None:  # noqa: ANN001
        values: dict[str, str] = {}
        await self._set(caller, values, "plain")
        while not self.stopping:
            if not await self._statement(caller, values, "READ 1a4"):
                return
            await self._set(caller, values, "plain")
            await self._local(caller, "BEGIN")
            done = await self._statement(caller, values, "READ 1a5")
            for value in ("audit", "plain", "audit"):
                if not done:
                    break
                await self._set(caller, values, value)
                text = f"WRITE 1a{rng.randrange(9)} data"
                done = await self._statement(caller, values, text)
            if done:
                await self._statement(caller, values, "COMMIT")
            else:
                await self._local(caller, "ROLLBACK")
            await self._set(caller, values, "plain")
            await asyncio.sleep(rng.uniform(0, 0.02))

    async def _set(
        self, caller: system.Caller, values: dict[str, str], value: str
    ) -> None:
        lines = await self._local(caller, f"SET mode {value}")
        if system.succeeded(lines):
            values["mode"] = value

    async def _local(self, caller: system.Caller, text: str) -> list[str]:
        lines = await caller.query(self._next_id(), text)
        if not lines:
            raise OSError("the session was closed")
        return lines

    async def _statement(
        self, caller: system.Caller, values: dict[str, str], text: str
    ) -> bool:
        request = self._next_id()
        self.expected[request] = values.get("mode", "")
        lines = await caller.query(request, text)
        if not lines:
            raise OSError("the session was closed")
        return system.succeeded(lines)

    def _next_id(self) -> str:
        return f"{self._number:02x}{next(self._ids):08x}"


async def main() -> int:
    """Runs the case; returns its exit code."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = system.Record(FOLDER / "record.txt")
    names = ["i-00000000a1", "i-00000000b2", "i-00000000c3"]
    group = databases.Group(system.SERVICE, names, record, slots=4)
    parts = system.System(record, group, proxies=2)
    sessions = [Session(number, record) for number in range(CALLERS)]
    try:
        if not await parts.start():
            return 2
        tasks = [
            asyncio.create_task(session.run(parts.proxies[number % 2]))
            for number, session in enumerate(sessions)
        ]
        await asyncio.sleep(3)
        primary = group.databases[names[0]]
        for _ in range(CUTS):
            if trouble:
                record(f"cut: {primary.id} from the proxies")
                primary.hold(True)
            await asyncio.sleep(CUT_SECONDS)
            if trouble:
                primary.hold(False)
                record("the cut has ended")
            await asyncio.sleep(PAUSE_SECONDS)
        for session in sessions:
            session.stopping = True
        await asyncio.wait(tasks, timeout=5)
        for task in tasks:
            task.cancel()
    finally:
        await parts.close()
    return judge(group, sessions, record)


def judge(
    group: databases.Group, sessions: list[Session], record: system.Record
) -> int:
    """Compares the values of each run with those acknowledged before it."""
    expected = {}
    for session in sessions:
        expected |= session.expected
    wrong = [
        run
        for run in group.runs
        if expected[run.request] != run.values.get("mode", "")
    ]
    for run in wrong:
        record(
            f"BROKEN: {run.request} {run.text!r} ran with "
            f"{run.values}, acknowledged was {expected[run.request]!r}"
        )
    text = f"{len(group.runs)} statements run, {len(wrong)} with other values"
    record(text)
    record.close()
    print(text)
    if len(group.runs) < 1_000:
        return 2
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(system.run(main))
