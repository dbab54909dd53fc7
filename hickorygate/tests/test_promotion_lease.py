"""Tests when a process releases the promotion lease."""

from __future__ import annotations

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


class _Store(line_cluster.MemoryStore):
    """A store that drops the responses to promotions while `dropping`."""

    dropping = False

    async def promote(
        self, *args: object
    ) -> expression.Result[None, errors.Failure]:
        ordered = await super().promote(*args)  # type: ignore[arg-type]
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
        self, lease: promotion_lease.PromotionLease
    ) -> float:
        """Returns the seconds until a process acquires the lease."""
        began = self.clock.now()
        self.assertTrue(await lease.acquire(lambda: True))
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


if __name__ == "__main__":
    unittest.main()
