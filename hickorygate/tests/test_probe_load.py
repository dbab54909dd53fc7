"""Tests what the proof that a primary still leads costs its databases.

The pattern: many proxies have one connection each to a database, and each of
them reads from the primary now and then. The proof for a read asks the primary
at the moment when the read occupies the connection. It must not take a second
connection, which would be opened and closed for every read; and a database that
runs the read for long must not count as lost.
"""

from __future__ import annotations

import asyncio
import datetime
import random

from hickorygate.core import operation as operations
from hickorygate.core import platform_events
from hickorygate.testing import model_fleet
from hickorygate.testing import model_group
from hickorygate.testing import virtual_time

_PROXIES = 24
_SPREAD = datetime.timedelta(seconds=0.3)
_READ = operations.Read("READ 1")
_RUN_SECONDS = 20


class ProbeLoadTest(virtual_time.VirtualTimeTestCase):
    """A fleet of 24 with room for one and a half connections each."""

    async def start(self, work: float, rate: float = 1.0) -> None:
        """Starts a fleet.

        Args:
          work: time that a read takes, in milliseconds.
          rate: reads per second of each proxy.
        """
        self.rate = rate
        settings = model_group.ModelSettings(
            connections=_PROXIES * 3 // 2,
            work=datetime.timedelta(milliseconds=work),
        )
        self.fleet = model_fleet.ModelFleet(_PROXIES, settings)
        self.addAsyncCleanup(self.fleet.close)
        await self.fleet.start(random.Random(1), _SPREAD)
        await asyncio.sleep(1)
        self.primary = self.fleet.group.databases["a"]

    async def read_repeatedly(
        self, proxy: model_fleet.ModelProxy
    ) -> list[model_fleet.CallOutcome]:
        rng = random.Random(proxy.name)
        outcomes = []
        end = self.fleet.clock.now() + datetime.timedelta(seconds=_RUN_SECONDS)
        while self.fleet.clock.now() < end:
            await asyncio.sleep(rng.expovariate(self.rate))
            outcomes.append(await proxy.call("strong", _READ))
        return outcomes

    async def read_everywhere(self) -> list[model_fleet.CallOutcome]:
        """Lets each proxy read for a time; returns how all reads ended."""
        outcomes = await asyncio.gather(
            *(self.read_repeatedly(proxy) for proxy in self.fleet.proxies)
        )
        return [outcome for each in outcomes for outcome in each]

    async def test_a_proof_needs_no_connection_of_its_own(self) -> None:
        await self.start(work=24)
        before = self.primary.opened
        outcomes = await self.read_everywhere()
        self.assertEqual([o.failure for o in outcomes if not o.served], [])
        opened = self.primary.opened - before
        self.assertLess(opened, len(outcomes) / 20)

    async def test_a_proof_waits_no_longer_than_the_read(self) -> None:
        await self.start(work=24)
        outcomes = await self.read_everywhere()
        slowest = max(outcome.took for outcome in outcomes)
        self.assertLess(slowest, datetime.timedelta(milliseconds=3 * 24))

    async def test_a_slow_read_does_not_hide_that_the_primary_answers(
        self,
    ) -> None:
        await self.start(work=400, rate=0.2)
        outcomes = await self.read_everywhere()
        self.assertTrue(any(outcome.served for outcome in outcomes))
        self.assertEqual(self.fleet.count(platform_events.LeaderLost), 0)
