"""Tests the admission of requests to one database under a learned limit."""

from __future__ import annotations

import asyncio
import datetime
import random

from hickorygate.core import capacity as capacities
from hickorygate.core import latency_baseline
from hickorygate.core import loop_delay
from hickorygate.core import rank as ranks
from hickorygate.core import request_context
from hickorygate.testing import virtual_time
from hickorygate.upstreams import permits as permit_lib

_SLOTS = 4
_BUSY = capacities.StatementOutcome.BUSY
_KIND = latency_baseline.StatementClass("1", False, False)
_TICK = datetime.timedelta(milliseconds=100)


class LearnedPermitsTest(virtual_time.VirtualTimeTestCase):
    """The number of running requests follows the learned limit."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        self.clock = virtual_time.LoopClock(asyncio.get_running_loop())
        settings = capacities.CapacitySettings()
        loop = loop_delay.LoopDelay(_TICK, settings.loop_delay)
        self.service = capacities.ServiceCapacity(
            settings, random.Random(1), loop
        )
        self.estimate = self.service.add("a", _SLOTS, 4, self.clock.now())
        self.permits = permit_lib.Permits(_SLOTS, self.clock, self.estimate)

    def make_request(self, order: int) -> request_context.RequestContext:
        now = self.clock.now()
        rank = ranks.Rank(
            str(order), order, datetime.timedelta(seconds=5), 0.05
        )
        ends = now + datetime.timedelta(seconds=10)
        return request_context.RequestContext(rank, now, ends)

    async def saturate(self) -> None:
        """Lets the database reject statements until the limit is one."""
        for _ in range(20):
            now = self.clock.now()
            number = self.estimate.sent(_KIND, now)
            self.estimate.ended(number, _BUSY, now)
            await self.clock.sleep(_TICK)
        self.assertEqual(self.estimate.limit, 1)

    async def start(self, order: int, count: int) -> list[asyncio.Task]:
        """Starts requests that keep the permits they get."""
        tasks = [
            asyncio.create_task(self.permits.acquire(self.make_request(order)))
            for _ in range(count)
        ]
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return tasks

    async def test_a_saturated_database_gets_fewer_requests(self) -> None:
        await self.saturate()
        running = await self.start(1, 3)
        self.assertEqual(
            [task.done() for task in running], [True, False, False]
        )

    async def test_urgent_requests_are_not_held_back(self) -> None:
        # With a limit of one, an urgent request would wait for a slow read.
        await self.saturate()
        await self.start(1, 1)
        urgent = await self.start(0, 2)
        self.assertTrue(all(task.done() for task in urgent))

    async def test_waiting_requests_start_once_the_limit_rises(self) -> None:
        # Without that they would wait until another request ends.
        await self.saturate()
        running = await self.start(1, 3)
        for _ in range(40):
            await self.clock.sleep(_TICK)
            self.service.update(self.clock.now())
            self.permits.refresh()
        await asyncio.sleep(0)
        self.assertTrue(all(task.done() for task in running))
