"""Tests the stand-in group of the line protocol."""

from __future__ import annotations

import asyncio
import datetime

from hickorygate.testing import line_group
from hickorygate.testing import virtual_time

_DEMOTION_SECONDS = 1.0


class DemotionTest(virtual_time.VirtualTimeTestCase):
    """A former primary that leads on while a newer one runs."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        self.group = line_group.LineGroup(
            demotion_delay=datetime.timedelta(seconds=_DEMOTION_SECONDS)
        )
        await self.group.start()
        self.addAsyncCleanup(self.group.close)
        self.former = self.group.databases["a"]
        self.newer = self.group.databases["b"]
        self.group.promote("b")
        while not self.newer.log.leads:
            await asyncio.sleep(0.01)

    async def test_it_steps_down_after_the_delay(self) -> None:
        await asyncio.sleep(_DEMOTION_SECONDS - 0.1)
        self.assertTrue(self.former.log.leads)
        await asyncio.sleep(0.2)
        self.assertFalse(self.former.log.leads)

    async def test_the_delay_starts_again_after_an_outage(self) -> None:
        # The newer primary crashes before the delay is over and returns later.
        await asyncio.sleep(_DEMOTION_SECONDS / 2)
        self.newer.crash()
        await asyncio.sleep(_DEMOTION_SECONDS)
        await self.newer.start()
        await asyncio.sleep(_DEMOTION_SECONDS - 0.1)
        self.assertTrue(self.former.log.leads)
        await asyncio.sleep(0.2)
        self.assertFalse(self.former.log.leads)
