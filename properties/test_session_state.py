"""Checks that statements run with the state of their own session.

Callers set session variables, prepare statements and run transactions at one
proxy, and some of them leave in the middle. Meanwhile their database is silent
for some moments, so replies to SET, PREPARE, BEGIN, ROLLBACK and to statements
arrive late. Each statement says in its text what its session was told, and the
database notes what holds on the connection that runs it.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import datetime
import random
import unittest

import hypothesis
from hypothesis import strategies

from hickorygate.core import operation as operations
from hickorygate.testing import model_connection
from hickorygate.testing import model_fleet
from hickorygate.testing import model_group
from hickorygate.testing import virtual_time

_CALLERS = 8
_CALLS = 12
_STEPS = 4
_EXAMPLES = 25
_VALUES = ("plain", "audit", "night")
_SHAPES = ("q1", "q2")
_LEAVES_SHARE = 0.1
"""Share of the calls whose caller leaves before they end."""

_CALL_SECONDS = 0.6
"""Time within which these callers leave."""

_SETTINGS = model_group.ModelSettings(
    connections=6,
    work=datetime.timedelta(milliseconds=4),
    promotion=datetime.timedelta(seconds=60),
)

_silences = strategies.lists(
    strategies.tuples(
        strategies.floats(0.05, 1.0), strategies.floats(0.1, 0.9)
    ),
    min_size=2,
    max_size=6,
)
"""Pause before each silence and its length, in seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Expectation:
    """What holds for a statement; the text of the statement carries it.

    Attributes:
      value: value of the only session variable.
      shape: text of the prepared statement; empty if it is none.
      transaction: name of the caller's transaction; empty outside of one.
    """

    value: str
    shape: str
    transaction: str

    def __str__(self) -> str:
        return f"{self.value}/{self.shape}/{self.transaction}"


def _parse(run: model_connection.ModelRun) -> _Expectation:
    return _Expectation(*run.text.split(" ")[-1].split("/"))


class _Script:
    """Builds the steps of one call."""

    def __init__(self, name: str, rng: random.Random) -> None:
        self._name = name
        self._rng = rng
        self._value = rng.choice(_VALUES)
        self._transaction = ""

    def steps(self) -> list[operations.Operation]:
        """Returns the steps, with a transaction in half of the calls."""
        steps = [self._set(self._value), self._prepare(), self._read()]
        if self._rng.random() < 0.5:
            steps += self._run_transaction()
        return [*steps, self._read(), self._execute()]

    def _run_transaction(self) -> list[operations.Operation]:
        self._transaction = self._name
        steps: list[operations.Operation] = [operations.Begin(read_only=False)]
        for _ in range(_STEPS):
            if self._rng.random() < 0.5:
                steps.append(self._set(self._rng.choice(_VALUES)))
            steps.append(self._rng.choice((self._read, self._execute))())
        self._transaction = ""
        ends = (operations.Commit("COMMIT"), operations.Rollback())
        return [*steps, self._rng.choice(ends)]

    def _set(self, value: str) -> operations.Operation:
        self._value = value
        return operations.SetValue("mode", value)

    def _prepare(self) -> operations.Operation:
        self._shape = self._rng.choice(_SHAPES)
        prepared = operations.PreparedStatement(False, self._shape)
        return operations.Prepare("s", prepared)

    def _read(self) -> operations.Operation:
        expected = _Expectation(self._value, "", self._transaction)
        return operations.Read(f"READ {expected}")

    def _execute(self) -> operations.Operation:
        expected = _Expectation(self._value, self._shape, self._transaction)
        return operations.Execute("s", str(expected))


class _Play:
    """One proxy, its callers and the silences of its database.

    Attributes:
      kept: number of connections that were never returned to their pools.
    """

    def __init__(self, seed: int, silences: list[tuple[float, float]]) -> None:
        self.kept = 0
        self._rng = random.Random(seed)
        self._silences = silences
        self._fleet = model_fleet.ModelFleet(1, _SETTINGS)
        self._database = self._fleet.group.databases["a"]

    async def run(self) -> list[model_connection.ModelRun]:
        """Returns the callers' statements that the database ran."""
        await self._fleet.start(self._rng, datetime.timedelta())
        await asyncio.sleep(0.5)
        self._fleet.store.down = True
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._disturb())
            for number in range(_CALLERS):
                rng = random.Random(self._rng.random())
                tasks.create_task(self._call_repeatedly(f"c{number}", rng))
        pools = tuple(self._fleet.proxies[0].monitor.pools.values())
        await self._fleet.close()
        self.kept = sum(pool.borrowed_count for pool in pools)
        runs = [
            run
            for database in self._fleet.group.databases.values()
            for run in database.runs
        ]
        return [run for run in runs if run.text != "COMMIT"]

    async def _disturb(self) -> None:
        for pause, length in self._silences:
            await asyncio.sleep(pause)
            self._database.silence()
            await asyncio.sleep(length)
            self._database.end_silence()

    async def _call_repeatedly(self, name: str, rng: random.Random) -> None:
        proxy = self._fleet.proxies[0]
        for number in range(_CALLS):
            steps = _Script(f"{name}.{number}", rng).steps()
            pause = datetime.timedelta(seconds=rng.uniform(0, 0.02))
            call = asyncio.create_task(
                proxy.call("strong", *steps, pause=pause)
            )
            leaves = rng.random() < _LEAVES_SHARE
            limit = rng.uniform(0, _CALL_SECONDS) if leaves else None
            await asyncio.wait({call}, timeout=limit)
            call.cancel()
            await asyncio.sleep(rng.uniform(0, 0.05))


class SessionStateProperty(unittest.TestCase):
    """Statements have their session's variables, names and transaction."""

    @hypothesis.seed(31)
    @hypothesis.settings(max_examples=_EXAMPLES)
    @hypothesis.given(strategies.integers(0, 2**32), _silences)
    def test_statements_run_with_the_state_of_their_session(
        self, seed: int, silences: list[tuple[float, float]]
    ) -> None:
        runs, kept = virtual_time.run(_run(seed, silences))
        self.assertEqual(kept, 0, "connections that were not returned")
        self.assertGreater(len(runs), _CALLERS)
        owners: dict[int, set[str]] = collections.defaultdict(set)
        for run in runs:
            expected = _parse(run)
            self.assertEqual(run.values, {"mode": expected.value}, run)
            self.assertEqual(run.shape or "", expected.shape, run)
            self.assertEqual(
                run.transaction is not None, bool(expected.transaction), run
            )
            if run.transaction is not None:
                owners[run.transaction].add(expected.transaction)
        for names in owners.values():
            self.assertEqual(len(names), 1, names)


async def _run(
    seed: int, silences: list[tuple[float, float]]
) -> tuple[list[model_connection.ModelRun], int]:
    play = _Play(seed, silences)
    return await play.run(), play.kept
