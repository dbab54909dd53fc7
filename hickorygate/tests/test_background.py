"""Tests of background tasks."""

from __future__ import annotations

import asyncio
from typing import Any
import unittest

from hickorygate.core import background
from hickorygate.testing import virtual_time


class BackgroundTest(unittest.IsolatedAsyncioTestCase):
    """Tasks end when their owner is closed, and failures are reported."""

    async def asyncSetUp(self) -> None:
        self.background = background.BackgroundTasks()
        self.reported: list[BaseException] = []
        self.messages: list[str] = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self.record)

    def record(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        self.reported.append(context["exception"])
        self.messages.append(context["message"])

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


class KeptTaskTest(virtual_time.VirtualTimeTestCase):
    """A task that runs until its owner is closed survives its errors."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        self.background = background.BackgroundTasks()
        self.addAsyncCleanup(self.background.close)
        self.messages: list[str] = []
        self.runs = 0
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(
            lambda _, context: self.messages.append(context["message"])
        )

    async def fail_at_once(self) -> None:
        self.runs += 1
        raise LookupError("gone")

    async def test_it_is_started_again_after_an_error(self) -> None:
        async def fail_once() -> None:
            self.runs += 1
            if self.runs == 1:
                raise LookupError("gone")
            await asyncio.Event().wait()

        task = self.background.keep(fail_once)
        await asyncio.sleep(1)
        self.assertEqual(self.runs, 2)
        self.assertFalse(task.done())
        self.assertEqual(self.messages, [background.RESTARTED])

    async def test_it_does_not_spin(self) -> None:
        self.background.keep(self.fail_at_once)
        await asyncio.sleep(60)
        self.assertLess(self.runs, 20)

    async def test_errors_in_succession_are_reported_as_such(self) -> None:
        self.background.keep(self.fail_at_once)
        await asyncio.sleep(60)
        self.assertEqual(self.messages[0], background.RESTARTED)
        self.assertEqual(self.messages[-1], background.FAILING)

    async def test_rare_errors_are_not_reported_as_succession(self) -> None:
        async def fail_after_a_minute() -> None:
            await asyncio.sleep(60)
            raise LookupError("gone")

        self.background.keep(fail_after_a_minute)
        await asyncio.sleep(3_600)
        self.assertGreater(len(self.messages), 50)
        self.assertEqual(set(self.messages), {background.RESTARTED})

    async def test_it_ends_when_it_returns(self) -> None:
        async def end() -> None:
            self.runs += 1

        await self.background.keep(end)
        self.assertEqual(self.runs, 1)
        self.assertEqual(self.messages, [])
