"""Tests how a takeover ends its use of the promotion lease."""

from __future__ import annotations

import asyncio
import unittest

from hickorygate.testing import line_cluster

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
