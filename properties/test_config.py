"""Sheet loading and distribution under races and faults.

Operators load sheets concurrently; proxies, network and store are faulty.
"""

from __future__ import annotations

import asyncio
import dataclasses
import datetime
import random
import unittest

import expression
import hypothesis
from hypothesis import strategies

from hickorygate.core import errors
from hickorygate.store import client as clients
from hickorygate.store import failures
from hickorygate.store import list_watch
from hickorygate.store import objects
from hickorygate.testing import sheets
from properties import fleet as fleets
from properties import test_membership

_SIZE = 5
_IN_FORCE = 20
"""Periods of 250 ms within which a sheet is in force everywhere: 5 s."""
_REUNITED = 80
"""Periods within which a partitioned fleet agrees without the store."""
_NOW = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
_proxy_names = strategies.integers(0, _SIZE - 1).map(lambda n: f"p{n}")
_actions = strategies.lists(
    strategies.one_of(
        strategies.tuples(
            strategies.sampled_from(["pause", "resume", "replace"]),
            _proxy_names,
        ),
        strategies.tuples(
            strategies.just("cut"),
            strategies.frozensets(_proxy_names, max_size=_SIZE - 1),
        ),
        strategies.tuples(strategies.just("lose"), strategies.floats(0, 0.4)),
        strategies.tuples(strategies.just("run"), strategies.integers(1, 40)),
        strategies.tuples(strategies.just("load"), strategies.booleans()),
        strategies.tuples(strategies.just("store"), strategies.booleans()),
        strategies.tuples(strategies.just("reset"), strategies.none()),
        strategies.tuples(strategies.just("stale"), _proxy_names),
    ),
    max_size=12,
)


def _act(fleet: fleets.Fleet, kind: str, value: object) -> None:
    """Applies one generated action to a fleet or its store."""
    match kind, value:
        case "load", bool(valid):
            if fleet.store.up:
                comment = f"{fleet.store.version}"
                text = sheets.text(comment=comment) if valid else "format: 9"
                fleet.store.load(text)
        case "store", bool(up):
            fleet.store.up = up
        case "reset", None:
            fleet.store.reset()
        case "stale", str(name):
            copy = sheets.text(comment="stale")
            fleet.nodes[name].offer(1, copy, "a peer")
        case _:
            test_membership.act(fleet, kind, value)


class SpreadingProperty(unittest.TestCase):
    """An accepted sheet gets in force on every proxy.

    The version in force on a proxy never decreases.
    """

    def check_monotonic(self, fleet: fleets.Fleet) -> None:
        for node in fleet.nodes.values():
            self.assertEqual(node.versions, sorted(set(node.versions)))

    @hypothesis.seed(
        8815462880990432357118208373685257834005644137112142497556417059265384485300492759473281189858911277556269425815912
    )
    @hypothesis.settings(max_examples=25)
    @hypothesis.given(_actions, strategies.integers(0, 2**32))
    def test_sheet_reaches_every_proxy_once_faults_end(
        self, actions: list[tuple[str, object]], seed: int
    ) -> None:
        fleet = fleets.Fleet(_SIZE, random.Random(seed))
        fleet.store.load(sheets.text())
        fleet.run(8)
        for kind, value in actions:
            _act(fleet, kind, value)
            self.check_monotonic(fleet)
        fleet.heal()
        fleet.store.up = True
        version = fleet.store.load(sheets.text(comment="last"))
        fleet.run(_IN_FORCE)
        self.check_monotonic(fleet)
        for node in fleet.nodes.values():
            self.assertEqual(node.versions[-1], version, node.name)

    @hypothesis.seed(
        16230931112773616270553653532330940633185465964780650267451592802070687204097858805332332623091194289124480980702852
    )
    @hypothesis.settings(max_examples=25)
    @hypothesis.given(_actions, strategies.integers(0, 2**32))
    def test_sheet_spreads_while_the_store_is_down(
        self, actions: list[tuple[str, object]], seed: int
    ) -> None:
        fleet = fleets.Fleet(_SIZE, random.Random(seed))
        fleet.store.load(sheets.text())
        fleet.run(8)
        for kind, value in actions:
            _act(fleet, kind, value)
        newest = max(n.versions[-1] for n in fleet.nodes.values())
        fleet.heal()
        fleet.store.up = False
        fleet.run(_REUNITED)
        self.check_monotonic(fleet)
        for node in fleet.nodes.values():
            self.assertEqual(node.versions[-1], newest, node.name)
            self.assertEqual(node.configuration.ready, newest > 0)

    def test_sheet_reaches_a_large_fleet_in_few_steps_and_calls(self) -> None:
        fleet = fleets.Fleet(60, random.Random(1))
        fleet.store.load(sheets.text())
        fleet.run(80)
        before = fleet.store_calls
        version = fleet.store.load(sheets.text(comment="next"))
        fleet.run(_IN_FORCE)
        for node in fleet.nodes.values():
            self.assertEqual(node.versions[-1], version, node.name)
        # Two relays in each of three zones read once per period. Each other
        # proxy reads every 30 to 60 s.
        calls = fleet.store_calls - before
        self.assertLess(calls, 6 * _IN_FORCE + 60 * _IN_FORCE // 120 + 20)


@dataclasses.dataclass(frozen=True, slots=True)
class _Change:
    """A conditional change of the stored sheet.

    Attributes:
      value: sheet to store.
      expected: version that must be stored for the change to apply; 0 for no
        sheet.
    """

    value: objects.SheetObject
    expected: int


class _Store:
    """A store behind a network that loses calls and answers.

    A change whose call is lost may still apply later.

    Attributes:
      generator: source of randomness for the faults.
      loss: probability that a call fails.
      history: stored sheets by version.
      late: changes that have not arrived at the store yet.
    """

    def __init__(self, generator: random.Random, loss: float) -> None:
        self.generator = generator
        self.loss = loss
        self.history: dict[int, objects.SheetObject] = {}
        self.late: list[_Change] = []

    async def close(self) -> None:
        """Does nothing; there are no connections."""

    async def read(
        self, key: objects.Key
    ) -> expression.Result[list_watch.StoredObject | None, errors.Failure]:
        """Returns the newest sheet, or a failure if the call is lost."""
        failure = await self.inject_faults(None)
        if failure is not None:
            return expression.Error(failure)
        return expression.Ok(self.newest())

    async def store(
        self, key: objects.Key, value: object, expected: int | None
    ) -> expression.Result[list_watch.StoredObject, errors.Failure]:
        """Applies a change.

        On a fault the change may apply late, or never, or without an answer.
        """
        sheet = objects.SheetObject.model_validate(value)
        change = _Change(sheet, expected or 0)
        failure = await self.inject_faults(change)
        if failure is not None:
            return expression.Error(failure)
        if self.carry_out(change):
            return expression.Ok(self.newest())
        found = max(self.history, default=0)
        return expression.Error(
            failures.ObjectConflict(key.text, change.expected, found)
        )

    async def inject_faults(
        self, change: _Change | None
    ) -> errors.Failure | None:
        """Lets other tasks run and draws a fault for a call.

        A failed change is dropped, applied without an answer, or kept to be
        applied later.

        Args:
          change: change that the call makes; None for a read.

        Returns:
          The failure of a lost call, or None.
        """
        for _ in range(self.generator.randint(0, 3)):
            await asyncio.sleep(0)
        self.apply_late_change()
        if self.generator.random() >= self.loss:
            return None
        kind = self.generator.randrange(3)
        if kind == 0:
            return errors.StoreUnavailable("lost", False)
        if change is not None and kind == 1:
            self.carry_out(change)
        elif change is not None:
            self.late.append(change)
        return errors.StoreUnavailable("lost", True)

    def apply_late_change(self) -> None:
        """Applies one late change with a probability of one half."""
        if self.late and self.generator.random() < 0.5:
            self.carry_out(self.late.pop())

    def carry_out(self, change: _Change) -> bool:
        """Stores a value if its condition holds; returns whether it did."""
        version = max(self.history, default=0)
        if change.expected != version:
            return False
        self.history[version + 1] = change.value
        return True

    def newest(self) -> list_watch.StoredObject | None:
        """Returns the newest stored sheet; None if there is none."""
        if not self.history:
            return None
        version = max(self.history)
        value = self.history[version].model_dump(mode="json")
        return list_watch.StoredObject("current", version, value)


class _Clock:
    """A clock that stands still; sleeping only yields to other tasks."""

    def now(self) -> datetime.datetime:
        return _NOW

    async def sleep(self, duration: datetime.timedelta) -> None:
        await asyncio.sleep(0)


class OperatorsProperty(unittest.TestCase):
    """Each operator gets the true outcome of loading its own sheet."""

    async def load(
        self, store: _Store, operator: str, look: bool
    ) -> expression.Result[int, errors.Failure]:
        client = clients.Client(
            store,
            _Clock(),
            store.generator,
        )
        sheet = objects.SheetObject(
            text=operator, loaded_by=operator, loaded_at=_NOW
        )
        found = await client.sheet() if look else expression.Ok(None)
        seen = found.is_ok() and found.ok
        return await client.store_sheet(sheet, seen.version if seen else 0)

    async def race(
        self, store: _Store, operators: list[str], look: bool
    ) -> dict[str, expression.Result[int, errors.Failure]]:
        results = await asyncio.gather(
            *(self.load(store, operator, look) for operator in operators)
        )
        return dict(zip(operators, results, strict=True))

    @hypothesis.seed(
        8670765768355529427588814291245354514317307554153239085588752585856408287331386660111167063618829947629864841288652
    )
    @hypothesis.settings(max_examples=300)
    @hypothesis.given(
        strategies.integers(2, 4),
        strategies.floats(0, 0.6),
        strategies.integers(0, 2**32),
    )
    def test_outcome_of_each_load_is_true(
        self, count: int, loss: float, seed: int
    ) -> None:
        store = _Store(random.Random(seed), loss)
        operators = [f"operator-{number}" for number in range(count)]
        results = asyncio.run(self.race(store, operators, look=True))
        for change in store.late:
            store.carry_out(change)
        loaded = {sheet.loaded_by for sheet in store.history.values()}
        for operator, result in results.items():
            if result.is_ok():
                self.assertIn(operator, loaded)
            elif result.error.outcome is errors.Outcome.NOT_RUN:
                self.assertNotIn(operator, loaded)

    @hypothesis.seed(
        589712357421211422542252209074505902142120036193720967201224366949062666632372006535500172286997429156353383444235
    )
    @hypothesis.settings(max_examples=50)
    @hypothesis.given(strategies.integers(2, 4), strategies.integers(0, 2**32))
    def test_exactly_the_losers_are_told_of_a_conflict(
        self, count: int, seed: int
    ) -> None:
        store = _Store(random.Random(seed), loss=0)
        operators = [f"operator-{number}" for number in range(count)]
        results = asyncio.run(self.race(store, operators, look=False))
        lost = {
            operator
            for operator, result in results.items()
            if result.is_error()
            and isinstance(result.error, errors.SheetConflict)
        }
        won = {sheet.loaded_by for sheet in store.history.values()}
        self.assertEqual(len(won), 1)
        self.assertEqual(lost, set(operators) - won)
