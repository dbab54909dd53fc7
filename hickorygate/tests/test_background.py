"""Tests of background tasks."""

from __future__ import annotations

import asyncio
import unittest

from hickorygate.core import background


class BackgroundTest(unittest.IsolatedAsyncioTestCase):
    """Tasks end when their owner is closed, and failures are reported."""

    async def asyncSetUp(self) -> None:
        self.background = background.BackgroundTasks()
        self.reported: list[BaseException] = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(
            lambda _, context: self.reported.append(context["exception"])
        )

    async def test_close_ends_all_tasks(self) -> None:
        tasks = [
            self.background.start(asyncio.Event().wait()) for _ in range(3)
        ]
        await asyncio.sleep(0)
        await self.background.close()
        self.assertTrue(all(task.cancelled() for task in tasks))
        self.assertEqual(self.reported, [])

    async def test_close_ends_a_task_that_lost_its_cancellation(self) -> None:
        lost: list[bool] = []

        async def lose_first_cancellation() -> None:
            while True:
                try:
                    await asyncio.Event().wait()
                except asyncio.CancelledError:
                    if lost:
                        raise
                    lost.append(True)

        task = self.background.start(lose_first_cancellation())
        await asyncio.sleep(0)
        async with asyncio.timeout(10):
            await self.background.close()
        self.assertTrue(task.cancelled())

    async def test_close_removes_a_task_that_has_just_ended(self) -> None:
        async def end() -> None:
            return

        self.background.start(end())
        async with asyncio.timeout(10):
            await self.background.close()
        self.assertFalse(self.background.running)

    async def test_failure_is_reported(self) -> None:
        async def fail() -> None:
            raise LookupError("gone")

        self.background.start(fail())
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        self.assertIsInstance(self.reported[0], LookupError)
        self.assertEqual(repr(self.background), "BackgroundTasks(tasks=0)")
