"""Tests proxies before a store that comes back from an older copy."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
import datetime
import random
import unittest

from hickorygate.core import clock as clocks
from hickorygate.core import document
from hickorygate.core import errors
from hickorygate.core import events
from hickorygate.platform import object_client
from hickorygate.platform import settings as settings_lib
from hickorygate.platform import store as stores
from hickorygate.store import client as store_client
from hickorygate.store import list_watch
from hickorygate.store import objects
from hickorygate.store import sheet_state
from hickorygate.testing import clock
from hickorygate.testing import object_store
from hickorygate.testing import sheets
from hickorygate.upstreams import lease_record
from hickorygate.upstreams import promotion_lease
from hickorygate.upstreams import promotion_order

_ACCEPTED = promotion_order.OrderOutcome.ACCEPTED
_REFUSED = promotion_order.OrderOutcome.REFUSED
_TIMEOUT_SECONDS = 3
_LONGEST_WAIT_SECONDS = 3.0
_WATCH = list_watch.WatchSettings(
    "config", datetime.timedelta(milliseconds=200)
)


class _RestoredStoreTestCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:  # noqa: N802
        self.server = object_store.ObjectStore()
        await self.server.start()
        self.addAsyncCleanup(self.server.close)

    def store(self) -> stores.PlatformStore:
        address = settings_lib.Address("127.0.0.1", self.server.port)
        store = stores.PlatformStore(
            settings_lib.ProcessSettings(
                name="proxy-1",
                zone="z",
                callers=address,
                readiness=address,
                store=address,
                promotion_api=address,
                grace_seconds=5,
            )
        )
        self.addAsyncCleanup(store.close)
        return store


class RestoredLeaseTest(_RestoredStoreTestCase):
    """Two proxies use the promotion lease; the copy is older than its use."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        await super().asyncSetUp()
        self.clock = clock.FakeClock()
        self.one, self.two = (self.lease(name) for name in ("one", "two"))

    def lease(self, name: str) -> promotion_lease.PromotionLease:
        journal = events.Timeline(name, events.HybridLogicalClock(self.clock))
        return promotion_lease.PromotionLease(
            lease_record.LeaseState(name, name),
            self.store(),
            self.clock,
            journal,
        )

    async def acquire(self, lease: promotion_lease.PromotionLease) -> None:
        for _ in range(3):
            if await lease.acquire(lambda: True):
                return
        self.fail("the lease was not acquired")

    async def order(self, lease: promotion_lease.PromotionLease) -> None:
        await self.acquire(lease)
        self.assertIs(await lease.promote("ledger", "b"), _ACCEPTED)
        await lease.release()

    def numbers(self) -> list[int]:
        return [int(call["number"]) for call in self.server.promotions]

    # Guards against two holders that promote with the same fencing token
    # after the store forgot the first one's record.
    async def test_fencing_tokens_rise_over_restores(self) -> None:
        self.server.copy()
        await self.order(self.one)
        self.server.restore()
        await self.order(self.two)
        self.server.restore()
        await self.order(self.one)
        await self.order(self.two)
        numbers = self.numbers()
        self.assertEqual(numbers, sorted(set(numbers)))

    # Guards against a lease that is given away while its holder, whose record
    # the store forgot, still counts on it.
    async def test_a_forgotten_lease_is_not_given_away(self) -> None:
        self.server.copy()
        await self.acquire(self.one)
        self.server.restore()
        await self.acquire(self.two)
        self.assertIs(await self.one.promote("ledger", "b"), _REFUSED)

    # Guards against a takeover that waits for the end of a lease that the copy
    # shows as held.
    async def test_a_takeover_after_a_restore_begins_soon(self) -> None:
        await self.acquire(self.one)
        self.server.copy()
        await self.one.release()
        self.server.restore()
        began = self.clock.now()
        await self.order(self.two)
        waited = (self.clock.now() - began).total_seconds()
        self.assertLess(waited, _LONGEST_WAIT_SECONDS)

    async def test_a_takeover_some_seconds_after_a_restore_begins_at_once(
        self,
    ) -> None:
        await self.acquire(self.one)
        self.server.copy()
        await self.one.release()
        self.server.restore()
        self.two.note_era(2)
        await self.clock.sleep(
            datetime.timedelta(seconds=_LONGEST_WAIT_SECONDS)
        )
        began = self.clock.now()
        await self.order(self.two)
        self.assertEqual(self.clock.now(), began)

    # Guards against a record of the copy by which a proxy counts as holder.
    async def test_a_record_of_the_copy_makes_no_holder(self) -> None:
        await self.order(self.one)
        await self.acquire(self.one)
        self.server.copy()
        await self.one.release()
        await self.order(self.two)
        self.server.restore()
        await self.order(self.one)
        numbers = self.numbers()
        self.assertEqual(numbers, sorted(set(numbers)))

    async def test_a_holder_goes_on_at_once(self) -> None:
        self.server.copy()
        await self.acquire(self.one)
        self.server.restore()
        self.one.note_era(2)
        began = self.clock.now()
        self.assertTrue(await self.one.renew())
        self.assertEqual(self.clock.now(), began)
        self.assertIs(await self.one.promote("ledger", "b"), _ACCEPTED)


class _Sink:
    """Keeps the values of the objects."""

    def __init__(self) -> None:
        self.values: dict[str, object] = {}

    def replace(self, objects: Sequence[list_watch.StoredObject]) -> None:
        self.values = {stored.name: stored.value for stored in objects}

    def change(self, change: list_watch.Change) -> None:
        if change.deleted:
            self.values.pop(change.stored.name, None)
        else:
            self.values[change.stored.name] = change.stored.value

    def failed(self, failure: errors.Failure, took: datetime.timedelta) -> None:
        """Ignores a failed call."""

    def lost(self, failure: errors.Failure) -> None:
        """Ignores an outage."""

    def regained(self) -> None:
        """Ignores the end of an outage."""


class RestoredWatchTest(_RestoredStoreTestCase):
    """A proxy that follows objects and misses the store's return."""

    async def expect(self, sink: _Sink, values: dict[str, object]) -> None:
        async with asyncio.timeout(_TIMEOUT_SECONDS):
            while sink.values != values:
                await asyncio.sleep(0.02)

    async def follow(self, settings: list_watch.WatchSettings) -> None:
        sink = _Sink()
        feed = list_watch.ListWatch(
            settings,
            self.store(),
            sink,
            clocks.SystemClock(),
            random.Random(1),
        )
        running = asyncio.create_task(feed.run())
        self.addCleanup(running.cancel)
        self.server.put("config", "main", "1")
        await self.expect(sink, {"main": "1"})
        self.server.copy()
        for value in ("2", "3"):
            self.server.put("config", "main", value)
        await self.expect(sink, {"main": "3"})
        self.server.restore()
        self.server.put("config", "main", "4")
        for value in ("x", "y"):
            self.server.put("config", "other", value)
        await self.expect(sink, {"main": "4", "other": "y"})
        self.server.restore()
        for value in ("5", "6", "7", "8", "9", "10"):
            self.server.put("config", "main", value)
        await self.expect(sink, {"main": "10"})

    # Guards against changes that are missed because the store gave revisions
    # out again after a restore.
    async def test_changes_after_a_restore_are_seen(self) -> None:
        await self.follow(_WATCH)

    async def test_changes_in_a_view_that_may_be_outdated_are_seen(
        self,
    ) -> None:
        await self.follow(
            list_watch.WatchSettings(
                "config", _WATCH.wait, may_be_outdated=True
            )
        )


class RestoredSheetTest(_RestoredStoreTestCase):
    """A sheet of the MySQL front end, whose version is the store's revision."""

    # Guards against a sheet that was loaded after a restore and never comes in
    # force, because the store gave its version out before.
    async def test_a_sheet_loaded_after_a_restore_is_in_force(self) -> None:
        api = object_client.ObjectStoreClient(self.server.url)
        client = store_client.Client(
            api, clocks.SystemClock(), random.Random(1)
        )
        self.addAsyncCleanup(client.close)
        state = sheet_state.SheetState()
        await self.load(client, state, "first")
        self.server.copy()
        for comment in ("second", "third"):
            await self.load(client, state, comment)
        self.server.restore()
        await self.load(client, state, "after the restore")

    async def load(
        self,
        client: store_client.Client,
        state: sheet_state.SheetState,
        comment: str,
    ) -> None:
        """Loads a sheet, and checks that a proxy puts it in force."""
        found = (await client.sheet()).ok
        content = objects.SheetObject(
            text=sheets.text(comment=comment),
            loaded_by="operator",
            loaded_at=datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC),
        )
        expected = found.version if found else 0
        stored = await client.store(objects.SHEET_KEY, content, expected)
        version = stored.ok
        effects = state.offer(
            document.ReceivedDocument(version, content.text, "platform")
        )
        self.assertIsInstance(effects[0], sheet_state.ApplySheet)
