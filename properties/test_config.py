"""Sheets under racing operators and faults of proxies, network and store."""

from __future__ import annotations

import asyncio
import datetime
import json
import random
import unittest

import expression
import hypothesis
from hypothesis import strategies

from hickorygate.core import errors
from hickorygate.core import settings as settings_lib
from hickorygate.store import client as clients
from hickorygate.store import objects
from hickorygate.store import transport
from hickorygate.testing import sheets
from properties import fleet as fleets
from properties import test_membership

_SIZE = 5
_IN_FORCE = 20
"""Periods of 250 ms within which a sheet is in force everywhere: 5 s."""
_REUNITED = 80
"""Periods for a fleet that was cut up to find together without the store."""
_NOW = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
_names = strategies.integers(0, _SIZE - 1).map(lambda n: f"p{n}")
_actions = strategies.lists(
    strategies.one_of(
        strategies.tuples(
            strategies.sampled_from(["pause", "resume", "replace"]), _names
        ),
        strategies.tuples(
            strategies.just("cut"),
            strategies.frozensets(_names, max_size=_SIZE - 1),
        ),
        strategies.tuples(strategies.just("lose"), strategies.floats(0, 0.4)),
        strategies.tuples(strategies.just("run"), strategies.integers(1, 40)),
        strategies.tuples(strategies.just("load"), strategies.booleans()),
        strategies.tuples(strategies.just("store"), strategies.booleans()),
        strategies.tuples(strategies.just("reset"), strategies.none()),
        strategies.tuples(strategies.just("stale"), _names),
    ),
    max_size=12,
)


def _act(fleet: fleets.Fleet, kind: str, value: object) -> None:
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
    """An accepted sheet is in force everywhere, and never goes back."""

    def check_monotonic(self, fleet: fleets.Fleet) -> None:
        for node in fleet.nodes.values():
            self.assertEqual(node.versions, sorted(set(node.versions)))

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

    def test_large_fleet_needs_few_steps_and_few_calls(self) -> None:
        fleet = fleets.Fleet(60, random.Random(1))
        fleet.store.load(sheets.text())
        fleet.run(80)
        before = fleet.store_calls
        version = fleet.store.load(sheets.text(comment="next"))
        fleet.run(_IN_FORCE)
        for node in fleet.nodes.values():
            self.assertEqual(node.versions[-1], version, node.name)
        # Two relays in each of three zones look once a period; a listener
        # reads every 30 to 60 s.
        calls = fleet.store_calls - before
        self.assertLess(calls, 6 * _IN_FORCE + 60 * _IN_FORCE // 120 + 20)


class _Caller:
    """A store behind a network that loses answers, late effects included."""

    def __init__(self, generator: random.Random, loss: float) -> None:
        self.generator = generator
        self.loss = loss
        self.history: dict[int, objects.SheetObject] = {}
        self.late: list[transport.Call] = []

    async def close(self) -> None:
        """Has nothing open."""

    async def make(self, call: transport.Call) -> transport.AnswerResult:
        """Carries out a call, perhaps late, and answers, perhaps not."""
        for _ in range(self.generator.randint(0, 3)):
            await asyncio.sleep(0)
        self.arrive()
        if self.generator.random() >= self.loss:
            return expression.Ok(self.carry_out(call))
        kind = self.generator.randrange(3)
        if kind == 0:
            return self.fail(sent=False)
        if kind == 1:
            self.carry_out(call)
        elif call.writes:
            self.late.append(call)
        return self.fail(sent=True)

    def arrive(self) -> None:
        """Carries out changes that were on their way."""
        if self.late and self.generator.random() < 0.5:
            self.carry_out(self.late.pop())

    def fail(self, sent: bool) -> transport.AnswerResult:
        return expression.Error(errors.StoreUnavailable("lost", sent))

    def carry_out(self, call: transport.Call) -> transport.Answer:
        """Answers as the store does."""
        version = max(self.history, default=0)
        if call.body is not None:
            if call.expected != version:
                return transport.Answer(412, version, b"")
            version += 1
            self.history[version] = objects.SheetObject.model_validate_json(
                call.body
            )
        if not version:
            return transport.Answer(404, 0, b"")
        value = json.loads(self.history[version].model_dump_json())
        body = json.dumps({"version": version, "value": value}).encode()
        return transport.Answer(200, version, body)


class _Clock:
    """Stands still; sleeping lets the others run."""

    def now(self) -> datetime.datetime:
        return _NOW

    async def sleep(self, duration: datetime.timedelta) -> None:
        await asyncio.sleep(0)


class OperatorsProperty(unittest.TestCase):
    """Each operator is told the truth about its own sheet."""

    async def load(
        self, caller: _Caller, operator: str, look: bool
    ) -> expression.Result[int, errors.Failure]:
        client = clients.Client(
            settings_lib.PlatformSettings(url="http://store"),
            _Clock(),
            caller.generator,
            caller,
        )
        sheet = objects.SheetObject(
            text=operator, loaded_by=operator, loaded_at=_NOW
        )
        found = await client.sheet() if look else expression.Ok(None)
        seen = found.is_ok() and found.ok
        return await client.store_sheet(sheet, seen.version if seen else 0)

    async def race(
        self, caller: _Caller, operators: list[str], look: bool
    ) -> dict[str, expression.Result[int, errors.Failure]]:
        results = await asyncio.gather(
            *(self.load(caller, operator, look) for operator in operators)
        )
        return dict(zip(operators, results, strict=True))

    @hypothesis.settings(max_examples=300)
    @hypothesis.given(
        strategies.integers(2, 4),
        strategies.floats(0, 0.6),
        strategies.integers(0, 2**32),
    )
    def test_outcome_of_each_load_is_true(
        self, count: int, loss: float, seed: int
    ) -> None:
        caller = _Caller(random.Random(seed), loss)
        operators = [f"operator-{number}" for number in range(count)]
        results = asyncio.run(self.race(caller, operators, look=True))
        for call in caller.late:
            caller.carry_out(call)
        loaded = {sheet.loaded_by for sheet in caller.history.values()}
        for operator, result in results.items():
            if result.is_ok():
                self.assertIn(operator, loaded)
            elif result.error.outcome is errors.Outcome.NOT_RUN:
                self.assertNotIn(operator, loaded)

    @hypothesis.settings(max_examples=50)
    @hypothesis.given(strategies.integers(2, 4), strategies.integers(0, 2**32))
    def test_exactly_the_losers_are_told_of_a_conflict(
        self, count: int, seed: int
    ) -> None:
        caller = _Caller(random.Random(seed), loss=0)
        operators = [f"operator-{number}" for number in range(count)]
        results = asyncio.run(self.race(caller, operators, look=False))
        lost = {
            operator
            for operator, result in results.items()
            if result.is_error()
            and isinstance(result.error, errors.SheetConflict)
        }
        won = {sheet.loaded_by for sheet in caller.history.values()}
        self.assertEqual(len(won), 1)
        self.assertEqual(lost, set(operators) - won)
