"""The client of the object API, against a stand-in store with faults."""

from __future__ import annotations

import asyncio
import datetime
import random
import unittest

from hickorygate.core import clock
from hickorygate.core import errors
from hickorygate.core import settings
from hickorygate.platform import connect
from hickorygate.store import client as clients
from hickorygate.store import failures
from hickorygate.store import objects
from hickorygate.testing import object_store

_NOW = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
_FIRST_DELAY = datetime.timedelta(milliseconds=100)
_Fault = object_store.StoreFault


def _sheet(text: str, operator: str = "anna") -> objects.SheetObject:
    return objects.SheetObject(text=text, loaded_by=operator, loaded_at=_NOW)


class _RecordingClock(clock.SystemClock):
    """Records the delays and doesn't wait."""

    def __init__(self) -> None:
        super().__init__()
        self.delays: list[datetime.timedelta] = []

    async def sleep(self, duration: datetime.timedelta) -> None:
        """Records a delay."""
        self.delays.append(duration)


class ClientTest(unittest.IsolatedAsyncioTestCase):
    """Failed calls give typed failures, and lost answers are resolved.

    A change may take effect although its answer is lost. The client must find
    that out by reading back, instead of sending the change twice or reporting
    a wrong outcome.
    """

    async def asyncSetUp(self) -> None:
        self.platform = object_store.ObjectStore()
        await self.platform.start()
        self.addAsyncCleanup(self.platform.close)
        self.client = self.make_client()

    def make_client(
        self,
        url: str = "",
        timeout_ms: int = 2_000,
        reads: float = 100,
        time: clock.Clock | None = None,
    ) -> clients.Client:
        client = connect.build_client(
            settings.PlatformSettings(
                url=url or self.platform.url,
                timeout_ms=timeout_ms,
                reads_per_second=reads,
            ),
            time or clock.SystemClock(),
            random.Random(1),
        )
        self.addAsyncCleanup(client.close)
        return client

    async def test_stored_sheet_is_read_back(self) -> None:
        stored = await self.client.store_sheet(_sheet("a"), expected=0)
        found = await self.client.sheet()
        self.assertEqual(found.ok.version, stored.ok)
        self.assertEqual(found.ok.value, _sheet("a"))

    async def test_change_applied_despite_server_error_is_found(self) -> None:
        self.platform.inject_faults(_Fault.BROKEN)
        stored = await self.client.store_sheet(_sheet("a"), expected=0)
        self.assertEqual(stored.ok, (await self.client.sheet()).ok.version)

    async def test_change_applied_before_connection_reset_is_found(
        self,
    ) -> None:
        await self.client.sheet()  # Opens the connection that is reused.
        self.platform.inject_faults(_Fault.LOST)
        stored = await self.client.store_sheet(_sheet("a"), expected=0)
        self.assertEqual(stored.ok, (await self.client.sheet()).ok.version)
        # The first read, the change once, the read-back, and the read above.
        self.assertEqual(len(self.platform.calls), 4)

    async def test_change_without_effect_is_sent_again(self) -> None:
        for fault in (_Fault.BUSY, _Fault.CUT):
            with self.subTest(fault=fault):
                before = await self.client.sheet()
                version = before.ok.version if before.ok else 0
                self.platform.inject_faults(fault)
                text = _sheet(fault.name)
                stored = await self.client.store_sheet(text, version)
                self.assertGreater(stored.ok, version)
                self.assertEqual((await self.client.sheet()).ok.value, text)

    async def test_repeatedly_lost_answers_leave_outcome_unknown(self) -> None:
        self.platform.persistent_fault = _Fault.LOST
        stored = await self.client.store_sheet(_sheet("a"), expected=0)
        self.assertIsInstance(stored.error, errors.StoreUnavailable)
        self.assertIs(stored.error.outcome, errors.Outcome.UNKNOWN)

    async def test_store_that_refuses_all_calls_ran_none(self) -> None:
        self.platform.persistent_fault = _Fault.BUSY
        stored = await self.client.store_sheet(_sheet("a"), expected=0)
        self.assertIsInstance(stored.error, errors.StoreUnavailable)
        self.assertIs(stored.error.outcome, errors.Outcome.NOT_RUN)

    async def test_each_change_starts_with_the_shortest_delay(self) -> None:
        time = _RecordingClock()
        client = self.make_client(time=time)
        self.platform.persistent_fault = object_store.StoreFault.BUSY
        for _ in range(3):
            await client.store_sheet(_sheet("a"), expected=0)
        firsts = [delay for delay in time.delays if delay <= _FIRST_DELAY]
        self.assertEqual(len(firsts), 3)

    async def test_loser_of_a_race_gets_a_conflict(self) -> None:
        won = await self.client.store_sheet(_sheet("a"), expected=0)
        lost = await self.client.store_sheet(_sheet("b", "bert"), expected=0)
        self.assertEqual(lost.error, errors.SheetConflict(0, won.ok))

    async def test_lost_answer_before_another_change_is_unknown(self) -> None:
        other = _sheet("b", "bert")
        first = await self.client.store_sheet(_sheet("first"), expected=0)
        await self.client.store_sheet(other, expected=first.ok)
        self.platform.inject_faults(_Fault.CUT)
        lost = await self.client.store_sheet(_sheet("a"), expected=first.ok)
        self.assertIsInstance(lost.error, failures.ObjectSuperseded)
        self.assertIs(lost.error.outcome, errors.Outcome.UNKNOWN)

    async def test_repeated_load_of_the_same_text_changes_nothing(self) -> None:
        first = await self.client.store_sheet(_sheet("a"), expected=0)
        again = await self.client.store_sheet(_sheet("a", "bert"), expected=0)
        self.assertEqual(again.ok, first.ok)
        self.assertEqual((await self.client.sheet()).ok.value, _sheet("a"))

    async def test_oversized_value_is_never_sent(self) -> None:
        text = "x" * clients.VALUE_LIMIT
        refused = await self.client.store_sheet(_sheet(text), expected=0)
        self.assertIsInstance(refused.error, failures.ValueTooLarge)
        self.assertEqual(self.platform.calls, [])

    async def test_malformed_object_is_a_typed_failure(self) -> None:
        key = objects.SHEET_KEY
        self.platform.put(key.kind, key.name, {"text": 7})
        found = await self.client.sheet()
        self.assertIsInstance(found.error, failures.ObjectMalformed)

    async def test_malformed_answer_is_a_typed_failure(self) -> None:
        self.platform.inject_faults(_Fault.MALFORMED)
        found = await self.client.sheet()
        self.assertIsInstance(found.error, errors.StoreUnavailable)

    async def test_unanswered_watch_times_out(self) -> None:
        self.platform.inject_faults(_Fault.SILENT)
        client = self.make_client(timeout_ms=50)
        found = await client.newer_sheet(0, datetime.timedelta(milliseconds=50))
        self.assertIsInstance(found.error, errors.StoreUnavailable)

    async def test_change_to_an_unreachable_store_is_not_run(self) -> None:
        client = self.make_client(url="http://127.0.0.1:1")
        stored = await client.store_sheet(_sheet("a"), expected=0)
        self.assertIs(stored.error.outcome, errors.Outcome.NOT_RUN)

    async def test_calls_beyond_the_budget_are_refused(self) -> None:
        client = self.make_client(reads=0.001)
        results = [await client.sheet() for _ in range(11)]
        self.assertTrue(all(result.is_ok() for result in results[:10]))
        self.assertIsInstance(results[10].error, failures.StoreRateLimited)
        self.assertEqual(len(self.platform.calls), 10)

    async def test_read_without_newer_version_returns_stored_one(self) -> None:
        stored = await self.client.store_sheet(_sheet("a"), expected=0)
        found = await self.client.newer_sheet(stored.ok)
        self.assertEqual(found.ok, objects.Unchanged(stored.ok))

    async def test_watch_returns_a_change_made_while_it_waits(self) -> None:
        first = await self.client.store_sheet(_sheet("a"), expected=0)
        watching = asyncio.create_task(
            self.client.newer_sheet(first.ok, datetime.timedelta(seconds=5))
        )
        await asyncio.sleep(0.1)
        second = await self.client.store_sheet(_sheet("b"), first.ok)
        found = await watching
        self.assertEqual(found.ok, objects.StoredValue(second.ok, _sheet("b")))

    async def test_watch_handles_loss_of_the_history_of_changes(self) -> None:
        stored = await self.client.store_sheet(_sheet("a"), expected=0)
        watching = asyncio.create_task(
            self.client.newer_sheet(stored.ok, datetime.timedelta(seconds=5))
        )
        await asyncio.sleep(0.1)
        self.platform.put("config", "other", {})
        self.platform.forget_history()
        self.assertEqual((await watching).ok, objects.Unchanged(stored.ok))

    async def test_unchanged_instances_are_not_reported_again(self) -> None:
        instance = {
            "name": "one",
            "address": "10.0.0.1:80",
            "zone": "a",
            "state": "leaving",
        }
        version = self.platform.set_instances([instance])
        first = await self.client.newer_instances(0)
        self.assertEqual(first.ok.version, version)
        (listed,) = first.ok.value.instances
        self.assertIs(listed.state, objects.InstanceState.LEAVING)
        self.platform.put("config", "other", {})
        again = await self.client.newer_instances(version)
        self.assertEqual(again.ok, objects.Unchanged(version))
