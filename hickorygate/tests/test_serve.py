"""Tests of the command that runs one proxy."""

from __future__ import annotations

import asyncio
import datetime
import unittest

import logbook

from hickorygate.core import background
from hickorygate.core import events
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


class _MonitoredDaemon:
    """Records what it is told of errors."""

    def __init__(self) -> None:
        self.errors: list[events.TaskFailed] = []
        self.crashed = False

    def record_error(self, event: events.TaskFailed) -> None:
        """Keeps the event."""
        self.errors.append(event)

    def record_crash(self) -> None:
        """Records the crash."""
        self.crashed = True


class ExceptionHandlerTest(unittest.IsolatedAsyncioTestCase):
    """One unexpected error doesn't end the process."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        self.daemon = _MonitoredDaemon()
        serve.install_exception_handler(self.daemon)

    def report(self, message: str) -> None:
        try:
            raise LookupError("no such key")
        except LookupError as error:
            asyncio.get_running_loop().call_exception_handler(
                {"message": message, "exception": error}
            )

    async def test_an_error_is_recorded_with_its_place(self) -> None:
        with logbook.TestHandler():
            self.report(background.FAILED)
            self.report(background.RESTARTED)
        self.assertFalse(self.daemon.crashed)
        first = self.daemon.errors[0]
        self.assertEqual(first.error, "LookupError: no such key")
        self.assertRegex(first.place, r"test_serve.py:\d+ report")

    async def test_a_task_that_fails_again_and_again_is_a_crash(self) -> None:
        with logbook.TestHandler():
            self.report(background.FAILING)
        self.assertTrue(self.daemon.crashed)
