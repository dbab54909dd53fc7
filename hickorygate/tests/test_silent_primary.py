"""Tests running work at a primary that is only silent for a while.

The pattern: a primary answers nothing for longer than it takes to count as
lost, and then goes on. A write that it was running may take effect, so its
answer is awaited for as long as the caller's time allows, while reads are
served elsewhere and transactions without a commit are given up at once.
"""

from __future__ import annotations

import asyncio
import datetime
import random

from hickorygate.core import errors
from hickorygate.core import operation as operations
from hickorygate.core import platform_events
from hickorygate.core import reply as replies
from hickorygate.testing import model_fleet
from hickorygate.testing import model_group
from hickorygate.testing import virtual_time

_DETECTION_SECONDS = 1.8
"""Longest time until a proxy knows that a database doesn't answer."""

_SETTINGS = model_group.ModelSettings(work=datetime.timedelta(seconds=0.1))
_BEGIN = operations.Begin(read_only=False)
_WRITE = operations.Write("WRITE 1 x")
_COMMIT = operations.Commit("COMMIT")


class SilentPrimaryTest(virtual_time.VirtualTimeTestCase):
    """Three proxies; the store is down, so nobody replaces the primary."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        self.fleet = model_fleet.ModelFleet(3, _SETTINGS)
        self.addAsyncCleanup(self.fleet.close)
        await self.fleet.start(random.Random(1), datetime.timedelta())
        await asyncio.sleep(1)
        self.fleet.store.down = True
        self.primary = self.fleet.group.databases["a"]

    def start(
        self, *steps: operations.Operation, pause: float = 0.0
    ) -> asyncio.Task[model_fleet.CallOutcome]:
        """Starts an operation whose statements may take four seconds."""
        wait = datetime.timedelta(seconds=pause)
        call = self.fleet.proxies[0].call("patient", *steps, pause=wait)
        return asyncio.create_task(call)

    async def silence(self, seconds: float) -> None:
        """Lets the primary answer nothing for some seconds."""
        self.primary.silence()
        await asyncio.sleep(seconds)
        self.assertGreater(self.fleet.count(platform_events.LeaderLost), 0)
        self.primary.end_silence()

    async def test_a_write_is_answered_by_a_primary_that_returns(self) -> None:
        before = self.primary.written
        write = self.start(_WRITE)
        await asyncio.sleep(0.05)
        await self.silence(1.8)
        outcome = await write
        self.assertIsNone(outcome.failure)
        self.assertEqual(self.primary.written, before + 1)

    async def test_a_commit_is_answered_by_a_primary_that_returns(
        self,
    ) -> None:
        commit = self.start(_BEGIN, _WRITE, _COMMIT, pause=0.2)
        await asyncio.sleep(0.55)
        await self.silence(1.8)
        outcome = await commit
        self.assertIsNone(outcome.failure)

    async def test_a_transaction_without_a_commit_is_given_up(self) -> None:
        call = self.start(_BEGIN, _WRITE, _COMMIT, pause=0.2)
        await asyncio.sleep(0.25)
        self.primary.silence()
        outcome = await call
        longest = datetime.timedelta(seconds=0.25 + _DETECTION_SECONDS)
        self.assertLess(outcome.took, longest)
        # Nothing was committed, so the rejection is a promise.
        self.assertIs(outcome.failure.reason, replies.RejectionReason.ABORTED)

    async def test_a_read_is_served_elsewhere(self) -> None:
        read = self.start(operations.Read("READ 1"))
        await asyncio.sleep(0.02)
        databases = self.fleet.group.databases.values()
        (serving,) = (database for database in databases if database.running)
        serving.silence()
        outcome = await read
        self.assertIsNone(outcome.failure)
        longest = datetime.timedelta(seconds=0.2 + _DETECTION_SECONDS)
        self.assertLess(outcome.took, longest)

    async def test_a_write_is_in_doubt_if_the_primary_stays_silent(
        self,
    ) -> None:
        write = self.start(_WRITE)
        await asyncio.sleep(0.05)
        self.primary.silence()
        outcome = await write
        self.assertIs(outcome.failure.outcome, errors.Outcome.UNKNOWN)

    async def test_a_write_does_not_wait_for_a_replaced_primary(self) -> None:
        self.fleet.store.down = False
        write = self.start(_WRITE)
        await asyncio.sleep(0.05)
        self.primary.silence()
        outcome = await write
        self.assertIs(outcome.failure.outcome, errors.Outcome.UNKNOWN)
        promotion = _SETTINGS.promotion.total_seconds() + 0.7
        longest = datetime.timedelta(seconds=_DETECTION_SECONDS + promotion)
        self.assertLess(outcome.took, longest)
