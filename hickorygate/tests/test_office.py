"""Tests when a process releases the promotion lease."""

from __future__ import annotations

import unittest

import expression

from hickorygate.core import errors
from hickorygate.core import events
from hickorygate.testing import clock as clocks
from hickorygate.testing import line_group
from hickorygate.testing import line_world as worlds
from hickorygate.upstreams import duty as duties
from hickorygate.upstreams import office as offices


class _Store(worlds.MemoryStore):
    """A store that drops the responses to promotions while `dropping`."""

    dropping = False

    async def promote(
        self, *args: object
    ) -> expression.Result[None, errors.Failure]:
        ordered = await super().promote(*args)  # type: ignore[arg-type]
        if self.dropping:
            return expression.Error(errors.StoreUnavailable("lost", True))
        return ordered


class OfficeTest(unittest.IsolatedAsyncioTestCase):
    """Tests two processes that share one lease record."""

    def setUp(self) -> None:
        self.clock = clocks.FakeClock()
        self.store = _Store(line_group.LineGroup())
        self.one, self.two = (self.office(name) for name in ("one", "two"))

    def office(self, name: str) -> offices.Office:
        journal = events.TimeLine(name, events.StampClock(self.clock))
        duty = duties.Duty(name, name)
        return offices.Office(duty, self.store, self.clock, journal)

    async def order(self, office: offices.Office) -> bool:
        self.assertTrue(await office.enter(lambda: True))
        accepted = await office.promote("ledger", "b")
        await office.leave()
        return accepted

    async def acquire_time(self, office: offices.Office) -> float:
        """Returns the seconds until a process acquires the lease."""
        began = self.clock.now()
        self.assertTrue(await office.enter(lambda: True))
        return (self.clock.now() - began).total_seconds()

    async def test_the_lease_is_released_after_an_answered_order(self) -> None:
        await self.order(self.one)
        self.assertEqual(await self.acquire_time(self.two), 0)

    async def test_the_lease_expires_after_an_unanswered_order(
        self,
    ) -> None:
        self.store.dropping = True
        self.assertFalse(await self.order(self.one))
        self.assertGreater(
            await self.acquire_time(self.two), duties.LEASE.total_seconds()
        )

    async def test_the_lease_expires_although_a_repeated_order_was_answered(
        self,
    ) -> None:
        self.assertTrue(await self.one.enter(lambda: True))
        self.store.dropping = True
        await self.one.promote("ledger", "b")
        self.store.dropping = False
        await self.one.promote("ledger", "b")
        await self.one.leave()
        self.assertGreater(
            await self.acquire_time(self.two), duties.LEASE.total_seconds()
        )

    async def test_a_later_lease_is_released_again(self) -> None:
        self.store.dropping = True
        await self.order(self.one)
        self.store.dropping = False
        self.clock.advance(2 * duties.LEASE)
        await self.order(self.two)
        self.assertEqual(await self.acquire_time(self.one), 0)


if __name__ == "__main__":
    unittest.main()
