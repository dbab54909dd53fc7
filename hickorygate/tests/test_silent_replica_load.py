"""Tests reads at a replica that falls silent while a fleet uses it.

The pattern: a replica answers nothing any more, without a broken connection, or
is cut off from some proxies. Reads that run there, or are sent there before
anybody knows, must be served by another database within their target, and a
replica that is only slow must not lose its reads.
"""

from __future__ import annotations

import asyncio
import datetime
import random

from hickorygate.core import operation as operations
from hickorygate.testing import model_fleet
from hickorygate.testing import model_group
from hickorygate.testing import virtual_time

_PROXIES = 12
_SPREAD = datetime.timedelta(seconds=0.3)
_READS_PER_SECOND = 20.0
_RUN_SECONDS = 4.0
_TARGET = datetime.timedelta(milliseconds=400)
"""Target of the route "own", whose statements may take a second."""

_READ = (operations.Read("READ 1"),)
_TRANSACTION = (
    operations.Begin(read_only=True),
    operations.Read("READ 1"),
    operations.Commit("COMMIT"),
)


class SilentReplicaTest(virtual_time.VirtualTimeTestCase):
    """A fleet of 12 that reads from a primary and two replicas."""

    async def start(self, settings: model_group.ModelSettings) -> None:
        self.fleet = model_fleet.ModelFleet(_PROXIES, settings)
        self.addAsyncCleanup(self.fleet.close)
        await self.fleet.start(random.Random(1), _SPREAD)
        await asyncio.sleep(1)
        self.replica = self.fleet.group.databases["b"]

    async def read_repeatedly(
        self,
        proxy: model_fleet.ModelProxy,
        steps: tuple[operations.Operation, ...],
    ) -> list[model_fleet.CallOutcome]:
        rng = random.Random(proxy.name)
        calls: list[asyncio.Task[model_fleet.CallOutcome]] = []
        end = self.fleet.clock.now() + datetime.timedelta(seconds=_RUN_SECONDS)
        while self.fleet.clock.now() < end:
            await asyncio.sleep(rng.expovariate(_READS_PER_SECOND))
            calls.append(asyncio.create_task(proxy.call("own", *steps)))
        return await asyncio.gather(*calls)

    async def read_everywhere(
        self, steps: tuple[operations.Operation, ...]
    ) -> list[model_fleet.CallOutcome]:
        """Lets all proxies read for some seconds; returns all outcomes."""
        outcomes = await asyncio.gather(
            *(
                self.read_repeatedly(proxy, steps)
                for proxy in self.fleet.proxies
            )
        )
        return [outcome for each in outcomes for outcome in each]

    async def lose_replica(
        self, steps: tuple[operations.Operation, ...]
    ) -> None:
        await self.start(model_group.ModelSettings(slots=16))
        loop = asyncio.get_running_loop()
        loop.call_later(1, self.replica.silence)
        outcomes = await self.read_everywhere(steps)
        self.assertEqual([c.failure for c in outcomes if not c.served], [])
        slow = [c.took for c in outcomes if c.took > _TARGET]
        self.assertEqual(slow, [])

    async def test_reads_move_to_another_database(self) -> None:
        await self.lose_replica(_READ)

    async def test_transactions_begin_at_another_database(self) -> None:
        await self.start(model_group.ModelSettings(slots=16))
        self.replica.silence()
        outcomes = await self.read_everywhere(_TRANSACTION)
        self.assertEqual([c.failure for c in outcomes if not c.served], [])

    async def test_a_slow_replica_keeps_its_reads(self) -> None:
        work = datetime.timedelta(milliseconds=500)
        await self.start(model_group.ModelSettings(slots=200, work=work))
        before = self.replica.statements
        outcomes = await self.read_everywhere(_READ)
        self.assertEqual([c.failure for c in outcomes if not c.served], [])
        ran = sum(d.statements for d in self.fleet.group.databases.values())
        self.assertGreater(self.replica.statements - before, len(outcomes) / 5)
        self.assertLess(ran, 1.02 * len(outcomes))
