"""Tests a fleet beside a slow, a failing and a flapping database.

Each load runs once with fixed limits and once with learned ones, so that the
tests fail if learned capacity stops to help, or harms on a plain day.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import datetime
import random
import types

from hickorygate.core import capacity
from hickorygate.core import operation as operations
from hickorygate.core import platform_events
from hickorygate.operators import proxy_metrics
from hickorygate.testing import model_fleet
from hickorygate.testing import model_group
from hickorygate.testing import virtual_time

_PROXIES = 4
_CALLS_PER_SECOND = 30.0
"""Calls of one proxy."""

_SPREAD = datetime.timedelta(seconds=0.3)
_SETTINGS = model_group.ModelSettings(
    slots=5,
    connections=71,
    queue=44,
    work=datetime.timedelta(milliseconds=60),
)
_TARGETS = {"strong": 0.2, "own": 0.4, "bounded": 1.2}
_WARM_UP_SECONDS, _FAULT_SECONDS = 4.0, 6.0

_Fault = Callable[[model_fleet.ModelFleet], Coroutine[None, None, None]]


async def _slow(fleet: model_fleet.ModelFleet) -> None:
    fleet.group.databases["b"].slowdown = 5.0


async def _failing(fleet: model_fleet.ModelFleet) -> None:
    fleet.group.databases["b"].failing_share = 0.45


async def _flapping(fleet: model_fleet.ModelFleet) -> None:
    database = fleet.group.databases["b"]
    while True:
        database.failing_share = 1.0 - database.failing_share
        await asyncio.sleep(1)


async def _none(fleet: model_fleet.ModelFleet) -> None:
    return


class _Result:
    """What the callers saw while the fault was active."""

    def __init__(
        self, calls: list[tuple[str, model_fleet.CallOutcome]], changes: int
    ) -> None:
        took = sorted(call.took.total_seconds() for _, call in calls)
        self.calls = len(calls)
        self.p99 = took[int(0.99 * len(took))]
        self.changes = changes
        self.in_time = sum(
            call.served and call.took.total_seconds() <= _TARGETS[name]
            for name, call in calls
        ) / len(calls)

    def __repr__(self) -> str:
        return f"_Result(in_time={self.in_time:.4f}, p99={self.p99:.3f})"


class CapacityLoadTest(virtual_time.VirtualTimeTestCase):
    """Four proxies before one group, with the same arrivals in each run."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        # The debug mode of test cases makes the loop several times slower.
        asyncio.get_running_loop().set_debug(False)

    async def run_load(
        self, fault: _Fault, settings: capacity.CapacitySettings | None
    ) -> _Result:
        """Runs callers for some seconds without, then with a fault."""
        fleet = model_fleet.ModelFleet(_PROXIES, _SETTINGS, settings)
        await fleet.start(random.Random(1), _SPREAD)
        await asyncio.sleep(1)
        calls: list[tuple[str, model_fleet.CallOutcome]] = []
        callers = [
            asyncio.create_task(self._call_often(proxy, calls))
            for proxy in fleet.proxies
        ]
        await asyncio.sleep(_WARM_UP_SECONDS)
        began = fleet.clock.now()
        active = asyncio.create_task(fault(fleet))
        await asyncio.sleep(_FAULT_SECONDS)
        active.cancel()
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
        changes = fleet.count(platform_events.CapacityChanged)
        await fleet.close()
        seen = [(n, c) for n, c in calls if c.started >= began]
        return _Result(seen, changes)

    async def _call_often(
        self,
        proxy: model_fleet.ModelProxy,
        calls: list[tuple[str, model_fleet.CallOutcome]],
    ) -> None:
        rng = random.Random(proxy.name)

        async def call(name: str, write: bool) -> None:
            step = (
                operations.Write("WRITE 1 x")
                if write
                else operations.Read("READ 1")
            )
            calls.append((name, await proxy.call(name, step)))

        async with asyncio.TaskGroup() as tasks:
            while True:
                await asyncio.sleep(rng.expovariate(_CALLS_PER_SECOND))
                name = rng.choice(("strong", "own", "bounded", "bounded"))
                tasks.create_task(
                    call(name, name == "strong" and rng.random() < 0.5)
                )

    async def compare(self, fault: _Fault) -> tuple[_Result, _Result]:
        """Returns the results with fixed limits and with learned ones."""
        fixed = await self.run_load(fault, None)
        learned = await self.run_load(fault, capacity.CapacitySettings())
        self.assertGreater(min(fixed.calls, learned.calls), 500)
        return fixed, learned

    async def test_more_in_time_beside_a_slow_replica(self) -> None:
        fixed, learned = await self.compare(_slow)
        self.assertGreater(learned.in_time, fixed.in_time)
        self.assertLess(learned.p99, fixed.p99)
        self.assertGreater(learned.changes, 0)

    async def test_less_delay_beside_a_failing_replica(self) -> None:
        fixed, learned = await self.compare(_failing)
        self.assertGreaterEqual(learned.in_time, fixed.in_time)
        self.assertLess(learned.p99, fixed.p99)

    async def test_less_delay_beside_a_flapping_replica(self) -> None:
        fixed, learned = await self.compare(_flapping)
        self.assertGreaterEqual(learned.in_time, fixed.in_time)
        self.assertLess(learned.p99, fixed.p99)

    async def test_operators_see_what_was_learned(self) -> None:
        # Without the inputs nobody could tell why a database gets less.
        fleet = model_fleet.ModelFleet(
            _PROXIES, _SETTINGS, capacity.CapacitySettings()
        )
        self.addAsyncCleanup(fleet.close)
        await fleet.start(random.Random(1), _SPREAD)
        await asyncio.sleep(1)
        proxy = fleet.proxies[0]
        calls: list[tuple[str, model_fleet.CallOutcome]] = []
        caller = asyncio.create_task(self._call_often(proxy, calls))
        await asyncio.sleep(_WARM_UP_SECONDS)
        await _slow(fleet)
        await asyncio.sleep(2)
        caller.cancel()
        await asyncio.gather(caller, return_exceptions=True)
        changes = [
            entry.event
            for entry in proxy.journal.events
            if isinstance(entry.event, platform_events.CapacityChanged)
        ]
        self.assertEqual({change.database for change in changes}, {"b"})
        causes = {c.state: c.ratio for c in changes if c.limit < c.former}
        self.assertGreaterEqual(causes["slow"], 2.0)
        learned = proxy.monitor.pools["b"].capacity.service_seconds()
        self.assertGreater(max(learned.values()), 0.1)
        registry = types.SimpleNamespace(groups={"s": proxy.monitor}, version=1)
        statistics = proxy_metrics.EventStatistics()
        text = proxy_metrics.render(
            statistics,
            registry,
            0,
            0,
            types.SimpleNamespace(links={}, lost=0),
            types.SimpleNamespace(served={}, links=()),
            types.SimpleNamespace(largest_usage=dict),
        ).decode()
        limit = proxy.monitor.pools["b"].capacity.limit
        self.assertIn(
            f'hickorygate_database_limit{{database="b"}} {limit}', text
        )
        self.assertIn("hickorygate_database_response_ratio{", text)
        self.assertIn("hickorygate_database_service_seconds{", text)

    async def test_a_plain_day_does_not_get_worse(self) -> None:
        fixed, learned = await self.compare(_none)
        self.assertGreaterEqual(learned.in_time, fixed.in_time)
        self.assertLessEqual(learned.p99, 1.05 * fixed.p99)
        self.assertEqual(learned.changes, 0)
