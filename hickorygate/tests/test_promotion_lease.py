"""Tests when a process releases the promotion lease."""

from __future__ import annotations

import asyncio
import datetime
import unittest

import expression

from hickorygate.core import errors
from hickorygate.core import events
from hickorygate.testing import clock
from hickorygate.testing import line_cluster
from hickorygate.testing import line_group
from hickorygate.upstreams import lease_record
from hickorygate.upstreams import promotion_lease
from hickorygate.upstreams import promotion_order
from hickorygate.upstreams import takeover_timing


class _Store(line_cluster.MemoryStore):
    """A store that drops the responses to promotions while `dropping`.

    It refuses promotions unless `accepting`. It receives them after
    `connecting`, and answers after `delaying`, if these are set.
    """

    dropping = False
    accepting = False
    connecting: asyncio.Event | None = None
    delaying: asyncio.Event | None = None

    async def promote(
        self, *args: object
    ) -> expression.Result[None, errors.Failure]:
        if self.connecting is not None:
            await self.connecting.wait()
        ordered = await super().promote(*args)  # type: ignore[arg-type]
        if self.delaying is not None:
            await self.delaying.wait()
        if self.accepting:
            return expression.Ok(None)
        if self.dropping:
            return expression.Error(errors.StoreUnavailable("lost", True))
        return ordered


class PromotionLeaseTest(unittest.IsolatedAsyncioTestCase):
    """Tests two processes that share one lease record."""

    def setUp(self) -> None:
        self.clock = clock.FakeClock()
        self.store = _Store(line_group.LineGroup())
        self.one, self.two = (self.lease(name) for name in ("one", "two"))

    def lease(self, name: str) -> promotion_lease.PromotionLease:
        journal = events.Timeline(name, events.HybridLogicalClock(self.clock))
        lease_state = lease_record.LeaseState(name, name)
        return promotion_lease.PromotionLease(
            lease_state, self.store, self.clock, journal
        )

    async def order(
        self, lease: promotion_lease.PromotionLease
    ) -> promotion_order.OrderOutcome:
        self.assertTrue(await lease.acquire(lambda: True))
        outcome = await lease.promote("ledger", "b")
        await lease.release()
        return outcome

    async def acquire_time(
        self, lease: promotion_lease.PromotionLease, service: str = ""
    ) -> float:
        """Returns the seconds until a process acquires the lease."""
        began = self.clock.now()
        self.assertTrue(await lease.acquire(lambda: True, service))
        return (self.clock.now() - began).total_seconds()

    async def test_the_lease_is_released_after_an_answered_order(self) -> None:
        await self.order(self.one)
        self.assertEqual(await self.acquire_time(self.two), 0)

    async def test_the_lease_expires_after_an_unanswered_order(
        self,
    ) -> None:
        self.store.dropping = True
        outcome = await self.order(self.one)
        self.assertIs(outcome, promotion_order.OrderOutcome.UNKNOWN)
        self.assertGreater(
            await self.acquire_time(self.two),
            lease_record.LEASE_DURATION.total_seconds(),
        )

    async def test_the_lease_expires_although_a_repeated_order_was_answered(
        self,
    ) -> None:
        self.assertTrue(await self.one.acquire(lambda: True))
        self.store.dropping = True
        await self.one.promote("ledger", "b")
        self.store.dropping = False
        await self.one.promote("ledger", "b")
        await self.one.release()
        self.assertGreater(
            await self.acquire_time(self.two),
            lease_record.LEASE_DURATION.total_seconds(),
        )

    async def test_a_later_lease_is_released_again(self) -> None:
        self.store.dropping = True
        await self.order(self.one)
        self.store.dropping = False
        self.clock.advance(2 * lease_record.LEASE_DURATION)
        await self.order(self.two)
        self.assertEqual(await self.acquire_time(self.one), 0)

    async def test_the_lease_expires_after_an_accepted_order_without_effect(
        self,
    ) -> None:
        # Guards against a second promoter while an order may take effect.
        self.store.accepting = True
        outcome = await self.order(self.one)
        self.assertIs(outcome, promotion_order.OrderOutcome.ACCEPTED)
        self.assertGreater(
            await self.acquire_time(self.two),
            lease_record.LEASE_DURATION.total_seconds(),
        )

    async def test_the_lease_is_released_once_an_order_has_taken_effect(
        self,
    ) -> None:
        self.store.accepting = True
        self.assertTrue(await self.one.acquire(lambda: True))
        await self.one.promote("ledger", "b")
        self.one.note_primary("ledger", "b")
        await self.one.release()
        self.assertEqual(await self.acquire_time(self.two), 0)

    async def test_a_repeated_order_may_take_effect_after_the_first_one(
        self,
    ) -> None:
        self.assertTrue(await self.one.acquire(lambda: True))
        self.store.dropping = True
        await self.one.promote("ledger", "b")
        await self.one.promote("ledger", "b")
        self.one.note_primary("ledger", "b")
        await self.one.release()
        self.assertGreater(
            await self.acquire_time(self.two),
            lease_record.LEASE_DURATION.total_seconds(),
        )

    async def test_the_lease_is_not_released_while_an_order_is_under_way(
        self,
    ) -> None:
        # Guards against a takeover that ends before its order was answered.
        self.store.delaying = asyncio.Event()
        self.assertTrue(await self.one.acquire(lambda: True))
        ordering = asyncio.create_task(self.one.promote("ledger", "b"))
        await asyncio.sleep(0.01)
        await self.one.release()
        self.assertGreater(
            await self.acquire_time(self.two),
            lease_record.LEASE_DURATION.total_seconds(),
        )
        self.store.delaying.set()
        await ordering

    async def test_another_group_does_not_release_the_lease_of_an_order(
        self,
    ) -> None:
        # The lease isn't long enough for another call, so the other group
        # acquires it anew.
        self.store.dropping = True
        await self.order(self.one)
        elapsed = datetime.timedelta(seconds=2.6)
        self.clock.advance(elapsed)
        self.assertFalse(self.one.held)
        self.assertTrue(await self.one.acquire(lambda: True, "journal"))
        await self.one.release()
        waited = await self.acquire_time(self.two)
        self.assertGreaterEqual(
            elapsed.total_seconds() + waited,
            takeover_timing.EFFECT_SPAN.total_seconds(),
        )

    async def test_a_process_waits_for_its_own_order(self) -> None:
        # Guards against two promotions of one group by the same process.
        self.store.accepting = True
        await self.order(self.one)
        self.assertEqual(await self.acquire_time(self.one, "journal"), 0)
        self.assertGreaterEqual(
            await self.acquire_time(self.one, "ledger"),
            takeover_timing.EFFECT_SPAN.total_seconds(),
        )

    async def test_a_process_does_not_wait_after_a_refused_order(self) -> None:
        await self.order(self.one)
        self.assertEqual(await self.acquire_time(self.one, "ledger"), 0)

    async def test_an_order_that_is_not_wanted_any_more_is_not_sent(
        self,
    ) -> None:
        self.assertTrue(await self.one.acquire(lambda: True))
        outcome = await self.one.promote("ledger", "b", lambda: False)
        self.assertIs(outcome, promotion_order.OrderOutcome.REFUSED)
        self.assertEqual(self.store.promotion_calls, [])
        await self.one.release()
        self.assertEqual(await self.acquire_time(self.two), 0)

    async def test_no_order_is_sent_with_the_number_of_a_former_lease(
        self,
    ) -> None:
        self.store.connecting = asyncio.Event()
        self.assertTrue(await self.one.acquire(lambda: True))
        ordering = asyncio.create_task(self.one.promote("ledger", "b"))
        await asyncio.sleep(0.01)
        tenure = self.one.tenure
        await self.acquire_time(self.two)
        await self.two.release()
        self.assertTrue(await self.one.acquire(lambda: True))
        self.assertNotEqual(self.one.tenure, tenure)
        self.store.connecting.set()
        outcome = await ordering
        self.assertIs(outcome, promotion_order.OrderOutcome.REFUSED)
        self.assertEqual(self.store.promotion_calls, [])

    async def test_a_lease_that_nobody_uses_is_not_renewed(self) -> None:
        self.assertTrue(await self.one.acquire(lambda: True))
        await self.one.release()
        self.assertFalse(await self.one.renew())
        self.assertEqual(await self.acquire_time(self.two), 0)


if __name__ == "__main__":
    unittest.main()
