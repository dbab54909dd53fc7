"""The client of the object API against a stand-in with faults."""

from __future__ import annotations

import datetime
import random
import unittest

from hickorygate.core import clock as clocks
from hickorygate.core import errors
from hickorygate.core import settings as settings_lib
from hickorygate.store import client as clients
from hickorygate.store import failures
from hickorygate.store import objects
from hickorygate.testing import platform as platforms

_NOW = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
_Fault = platforms.Fault


def _sheet(text: str, operator: str = "anna") -> objects.SheetObject:
    return objects.SheetObject(text=text, loaded_by=operator, loaded_at=_NOW)


class ClientTest(unittest.IsolatedAsyncioTestCase):
    """Each failure of a call has a type, and a lost answer is settled."""

    async def asyncSetUp(self) -> None:
        self.platform = platforms.StandInPlatform()
        await self.platform.start()
        self.addAsyncCleanup(self.platform.stop)
        self.client = self.make_client()

    def make_client(
        self, url: str = "", timeout_ms: int = 2_000, reads: float = 100
    ) -> clients.Client:
        client = clients.Client(
            settings_lib.PlatformSettings(
                url=url or self.platform.url,
                timeout_ms=timeout_ms,
                reads_per_second=reads,
            ),
            clocks.SystemClock(),
            random.Random(1),
        )
        self.addAsyncCleanup(client.close)
        return client

    async def test_stored_sheet_is_read_back(self) -> None:
        stored = await self.client.store_sheet(_sheet("a"), expected=0)
        found = await self.client.sheet()
        self.assertEqual(found.ok.version, stored.ok)
        self.assertEqual(found.ok.value, _sheet("a"))

    async def test_effect_behind_a_server_error_is_found(self) -> None:
        self.platform.fail_next(_Fault.ERROR_AFTER_EFFECT)
        stored = await self.client.store_sheet(_sheet("a"), expected=0)
        self.assertEqual(stored.ok, (await self.client.sheet()).ok.version)

    async def test_effect_behind_a_cut_connection_is_found(self) -> None:
        await self.client.sheet()  # The connection is a kept one.
        self.platform.fail_next(_Fault.CUT_AFTER_EFFECT)
        stored = await self.client.store_sheet(_sheet("a"), expected=0)
        self.assertEqual(stored.ok, 1)
        # The first read, the change once, and the read that settles it.
        self.assertEqual(self.platform.calls, 3)

    async def test_change_without_effect_is_sent_again(self) -> None:
        self.platform.fail_next(_Fault.ERROR_BEFORE_EFFECT)
        stored = await self.client.store_sheet(_sheet("a"), expected=0)
        self.assertEqual(stored.ok, 1)

    async def test_lost_answer_with_a_store_that_stays_down(self) -> None:
        self.platform.down = True
        stored = await self.client.store_sheet(_sheet("a"), expected=0)
        self.assertIsInstance(stored.error, errors.StoreUnavailable)
        self.assertIs(stored.error.outcome, errors.Outcome.UNKNOWN)

    async def test_loser_of_a_race_is_told(self) -> None:
        await self.client.store_sheet(_sheet("a"), expected=0)
        lost = await self.client.store_sheet(_sheet("b", "bert"), expected=0)
        self.assertEqual(lost.error, errors.SheetConflict(0, 1))

    async def test_lost_answer_then_another_change_is_unknown(self) -> None:
        other = _sheet("b", "bert")
        await self.client.store_sheet(_sheet("first"), expected=0)
        await self.client.store_sheet(other, expected=1)
        self.platform.fail_next(_Fault.ERROR_BEFORE_EFFECT)
        lost = await self.client.store_sheet(_sheet("a"), expected=1)
        self.assertIsInstance(lost.error, failures.ObjectOvertaken)
        self.assertIs(lost.error.outcome, errors.Outcome.UNKNOWN)

    async def test_repeated_load_of_the_same_text_changes_nothing(self) -> None:
        await self.client.store_sheet(_sheet("a"), expected=0)
        again = await self.client.store_sheet(_sheet("a", "bert"), expected=0)
        self.assertEqual(again.ok, 1)
        self.assertEqual((await self.client.sheet()).ok.value, _sheet("a"))

    async def test_oversized_value_is_never_sent(self) -> None:
        text = "x" * clients.VALUE_LIMIT
        refused = await self.client.store_sheet(_sheet(text), expected=0)
        self.assertIsInstance(refused.error, failures.ValueTooLarge)
        self.assertEqual(self.platform.calls, 0)

    async def test_malformed_object_is_a_typed_failure(self) -> None:
        self.platform.fail_next(_Fault.MALFORMED)
        found = await self.client.sheet()
        self.assertIsInstance(found.error, failures.ObjectMalformed)

    async def test_hanging_watch_times_out(self) -> None:
        self.platform.fail_next(_Fault.HANG)
        client = self.make_client(timeout_ms=50)
        found = await client.newer_sheet(0, datetime.timedelta(milliseconds=50))
        self.assertIsInstance(found.error, errors.StoreUnavailable)

    async def test_unreachable_store_is_not_run(self) -> None:
        client = self.make_client(url="http://127.0.0.1:1")
        stored = await client.store_sheet(_sheet("a"), expected=0)
        self.assertIs(stored.error.outcome, errors.Outcome.NOT_RUN)

    async def test_calls_beyond_the_budget_are_refused(self) -> None:
        client = self.make_client(reads=0.001)
        results = [await client.sheet() for _ in range(11)]
        self.assertTrue(all(result.is_ok() for result in results[:10]))
        self.assertIsInstance(results[10].error, failures.StoreBudgetSpent)
        self.assertEqual(self.platform.calls, 10)

    async def test_watch_tells_the_version_without_a_newer_one(self) -> None:
        await self.client.store_sheet(_sheet("a"), expected=0)
        found = await self.client.newer_sheet(1)
        self.assertEqual(found.ok, objects.Unchanged(1))
