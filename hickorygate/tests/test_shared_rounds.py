"""Tests that concurrent requests share rounds."""

from __future__ import annotations

import asyncio
import unittest

from hickorygate.upstreams import shared_rounds


class SharedRoundsTest(unittest.IsolatedAsyncioTestCase):
    """Each request is served by a round that starts after the request."""

    async def asyncSetUp(self) -> None:
        self.rounds_started = 0
        self.round_permits = asyncio.Semaphore(0)
        self.rounds = shared_rounds.SharedRounds(self.run_round)
        self.addAsyncCleanup(self.rounds.close)

    async def run_round(self) -> None:
        self.rounds_started += 1
        await self.round_permits.acquire()

    async def start_request(self) -> asyncio.Task[None]:
        task = asyncio.create_task(self.rounds.next())
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return task

    async def test_requests_during_a_round_share_the_next_round(self) -> None:
        first = await self.start_request()
        others = [await self.start_request() for _ in range(5)]
        self.round_permits.release()
        await first
        self.assertFalse(any(task.done() for task in others))
        self.round_permits.release()
        await asyncio.gather(*others)
        self.assertEqual(self.rounds_started, 2)

    async def test_cancelled_request_does_not_cancel_the_round(self) -> None:
        first = await self.start_request()
        second = await self.start_request()
        third = await self.start_request()
        second.cancel()
        self.round_permits.release()
        self.round_permits.release()
        await first
        await third
        self.assertEqual(self.rounds_started, 2)
