"""Shared rounds."""

from __future__ import annotations

import asyncio
import unittest

from hickorygate.upstreams import rounds


class RoundsTest(unittest.IsolatedAsyncioTestCase):
    """Each request gets a round that began after it."""

    async def asyncSetUp(self) -> None:
        self.begun = 0
        self.gate = asyncio.Semaphore(0)
        self.rounds = rounds.Rounds(self.run_round)
        self.addAsyncCleanup(self.rounds.close)

    async def run_round(self) -> None:
        self.begun += 1
        await self.gate.acquire()

    async def ask(self) -> asyncio.Task[None]:
        task = asyncio.create_task(self.rounds.next())
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return task

    async def test_requests_during_a_round_share_the_next(self) -> None:
        first = await self.ask()
        others = [await self.ask() for _ in range(5)]
        self.gate.release()
        await first
        self.assertFalse(any(task.done() for task in others))
        self.gate.release()
        await asyncio.gather(*others)
        self.assertEqual(self.begun, 2)

    async def test_one_who_gives_up_does_not_end_the_round(self) -> None:
        first = await self.ask()
        second = await self.ask()
        third = await self.ask()
        second.cancel()
        self.gate.release()
        self.gate.release()
        await first
        await third
        self.assertEqual(self.begun, 2)
