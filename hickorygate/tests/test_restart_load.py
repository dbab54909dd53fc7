"""Tests the load of a fleet that starts again after a power loss.

The pattern: all proxies lose power and come back within moments, while the
databases still hold the connections of the former processes, because their far
ends sent no farewell. For some seconds there are fewer free connections than
proxies. Proxies that get none must neither press the databases nor take a
primary for lost. They hold their callers, who would come back to them at once,
while the outage is so young that it may end in time, and reject them at once
when it isn't.
"""

from __future__ import annotations

import asyncio
import datetime
import random
import unittest

from hickorygate.core import operation as operations
from hickorygate.core import platform_events
from hickorygate.testing import model_fleet
from hickorygate.testing import virtual_time

_PROXIES = 78
_DEAD_CONNECTIONS = 85
_DEAD_FOR = datetime.timedelta(seconds=2.5)
_SPREAD = datetime.timedelta(seconds=0.3)
_CALLS_PER_SECOND = 1.2
_RUN_SECONDS = 5.0
_HOLDING_SECONDS = 2.0
"""Age up to which an outage is expected to end within the second that a
statement may take."""

_LONGEST_REJECTION = datetime.timedelta(milliseconds=300)
_MAX_REFUSALS = 6 * _PROXIES
"""Refused connections of one database: at most six for each proxy."""


async def _call_repeatedly(
    proxy: model_fleet.ModelProxy,
    rng: random.Random,
    outcomes: list[model_fleet.CallOutcome],
) -> None:
    while True:
        await asyncio.sleep(rng.expovariate(_CALLS_PER_SECOND))
        database = rng.choice(["strong", "own", "own", "own", "bounded"])
        outcomes.append(await proxy.call(database, operations.Read("READ 1")))


async def _restart(seed: int) -> _Outcome:
    rng = random.Random(seed)
    fleet = model_fleet.ModelFleet(_PROXIES)
    dropped = fleet.clock.now() + _DEAD_FOR
    for database in fleet.group.databases.values():
        database.keep_dead_connections(_DEAD_CONNECTIONS, dropped)
    outcome = _Outcome(fleet)
    await fleet.start(rng, _SPREAD)
    callers = [
        asyncio.create_task(_call_repeatedly(proxy, rng, outcome.calls))
        for proxy in fleet.proxies
    ]
    await asyncio.sleep(_RUN_SECONDS)
    for caller in callers:
        caller.cancel()
    await fleet.close()
    return outcome


class _Outcome:
    """What a restarted fleet did.

    Attributes:
      fleet: the fleet.
      calls: how the callers' operations ended.
    """

    def __init__(self, fleet: model_fleet.ModelFleet) -> None:
        self.fleet = fleet
        self.calls: list[model_fleet.CallOutcome] = []
        self._began = fleet.clock.now()

    def between(
        self, first: float, last: float
    ) -> list[model_fleet.CallOutcome]:
        """Returns the calls that were sent in a span of seconds."""
        return [
            call
            for call in self.calls
            if first <= (call.started - self._began).total_seconds() < last
        ]


class RestartLoadTest(unittest.TestCase):
    """A fleet of 78 starts while most connections are still taken."""

    @classmethod
    def setUpClass(cls) -> None:
        super().setUpClass()
        cls.outcome = virtual_time.run(_restart(seed=1))

    def test_databases_are_not_pressed(self) -> None:
        for database in self.outcome.fleet.group.databases.values():
            with self.subTest(database.name):
                self.assertLess(database.refused, _MAX_REFUSALS)

    def test_no_primary_is_taken_for_lost(self) -> None:
        fleet = self.outcome.fleet
        self.assertEqual(fleet.count(platform_events.LeaderLost), 0)
        self.assertEqual(fleet.group.promotions, [])

    def test_what_cannot_be_served_is_rejected_at_once(self) -> None:
        calls = self.outcome.between(_HOLDING_SECONDS, _RUN_SECONDS)
        late = [
            call
            for call in calls
            if not call.served and call.took > _LONGEST_REJECTION
        ]
        self.assertEqual(late, [])

    def test_callers_who_wait_are_served_when_connections_are_free(
        self,
    ) -> None:
        calls = self.outcome.between(1.7, _HOLDING_SECONDS)
        self.assertGreater(len(calls), 20)
        served = sum(call.served for call in calls)
        self.assertGreater(served, 0.9 * len(calls))

    def test_all_proxies_serve_once_the_connections_are_free(self) -> None:
        calls = self.outcome.between(3.5, _RUN_SECONDS)
        self.assertGreater(len(calls), 50)
        failed = [call.failure for call in calls if not call.served]
        self.assertEqual(failed, [])
