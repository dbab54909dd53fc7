"""Tests how takeovers use the promotion lease."""

from __future__ import annotations

import asyncio
import unittest

from hickorygate.core import clock as clocks
from hickorygate.testing import line_cluster
from hickorygate.upstreams import lease_record
from hickorygate.upstreams import promoter
from hickorygate.upstreams import promotion_lease
from hickorygate.upstreams import takeover
from hickorygate.upstreams import takeover_events
from hickorygate.upstreams import takeover_plan

_TIMEOUT_SECONDS = 10


class TakeoverLeaseTest(unittest.IsolatedAsyncioTestCase):
    """One proxy, whose group loses its primary."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        self.cluster = line_cluster.LineCluster()
        await self.cluster.__aenter__()
        self.addAsyncCleanup(self.cluster.__aexit__)

    async def wait_for_release(self) -> None:
        """Waits until the stored record of the lease says released."""
        async with asyncio.timeout(_TIMEOUT_SECONDS):
            while True:
                stored = (await self.cluster.store.read_lease()).ok.stored
                if stored is not None and stored.record.released:
                    return
                await asyncio.sleep(0.01)

    async def test_the_lease_is_released_after_a_takeover(self) -> None:
        # It is left to expire only while an order may still take effect.
        group = self.cluster.group
        group.primary.crash()
        await self.wait_for_release()
        self.assertEqual(len(group.promotions), 1)
        self.assertEqual(len(self.cluster.store.promotion_calls), 1)

    async def test_an_order_of_an_ended_takeover_is_not_sent(self) -> None:
        # Guards against an order that waited for the lease and is sent when
        # another takeover may have begun.
        proxy = self.cluster.proxies[0]
        group = proxy.fleet.group(self.cluster.group.service)
        assert group is not None, "the catalog contains no such service"
        clock = clocks.SystemClock()
        lease = promotion_lease.PromotionLease(
            lease_record.LeaseState("other", "other"),
            self.cluster.store,
            clock,
            proxy.journal,
        )
        ended = takeover.Takeover(_plan(group.service), clock.now())
        self.assertTrue(await lease.acquire(lambda: True))
        await promoter.Promoter(group, lease, clock, proxy.journal).order(
            takeover_events.OrderPromotion("b"), ended
        )
        self.assertEqual(self.cluster.store.promotion_calls, [])


def _plan(service: str) -> takeover_plan.Plan:
    return takeover_plan.Plan(
        service=service,
        term=2,
        reason="test",
        leader="a",
        candidate=None,
        pause=frozenset("bc"),
        max_silent=1,
        unreachable_count=1,
        leaving=frozenset(),
    )
