"""Tests of the command that runs one proxy."""

from __future__ import annotations

import asyncio
import datetime
import unittest

import logbook

from hickorygate.operators import serve

_TIMEOUT = datetime.timedelta(milliseconds=20)
_GUARD_SECONDS = 10


class _StuckDaemon:
    """A daemon with a component whose task never ends."""

    def __init__(self) -> None:
        self.task = asyncio.create_task(asyncio.Event().wait(), name="stuck")

    async def close(self) -> None:
        """Waits for the task without cancelling it."""
        await asyncio.wait({self.task})


class CloseTest(unittest.IsolatedAsyncioTestCase):
    """A stopped process ends although one of its tasks doesn't."""

    async def test_a_task_that_never_ends_is_named_and_left_behind(
        self,
    ) -> None:
        daemon = _StuckDaemon()
        self.addCleanup(daemon.task.cancel)
        with logbook.TestHandler() as log:
            async with asyncio.timeout(_GUARD_SECONDS):
                await serve.close(daemon, _TIMEOUT)
        self.assertTrue(log.has_errors)
        (text,) = (record.message for record in log.records)
        self.assertIn("name='stuck'", text)
