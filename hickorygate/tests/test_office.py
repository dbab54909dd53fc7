"""A process's hold on the duty of promotion."""

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
    """Loses the answers to promotions while `losing`."""

    losing = False

    async def promote(
        self, *args: object
    ) -> expression.Result[None, errors.Failure]:
        ordered = await super().promote(*args)  # type: ignore[arg-type]
        if self.losing:
            return expression.Error(errors.StoreUnavailable("lost", True))
        return ordered


class OfficeTest(unittest.IsolatedAsyncioTestCase):
    """Two processes and one record."""

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

    async def waited(self, office: offices.Office) -> float:
        """Returns the seconds until an office gets the duty."""
        began = self.clock.now()
        self.assertTrue(await office.enter(lambda: True))
        return (self.clock.now() - began).total_seconds()

    async def test_a_duty_passes_on_at_once_after_an_answer(self) -> None:
        await self.order(self.one)
        self.assertEqual(await self.waited(self.two), 0)

    async def test_a_duty_lapses_after_an_order_without_an_answer(
        self,
    ) -> None:
        self.store.losing = True
        self.assertFalse(await self.order(self.one))
        self.assertGreater(
            await self.waited(self.two), duties.LEASE.total_seconds()
        )

    async def test_an_answer_to_a_repeated_order_settles_nothing(self) -> None:
        self.assertTrue(await self.one.enter(lambda: True))
        self.store.losing = True
        await self.one.promote("ledger", "b")
        self.store.losing = False
        await self.one.promote("ledger", "b")
        await self.one.leave()
        self.assertGreater(
            await self.waited(self.two), duties.LEASE.total_seconds()
        )

    async def test_a_claim_after_that_begins_anew(self) -> None:
        self.store.losing = True
        await self.order(self.one)
        self.store.losing = False
        self.clock.advance(2 * duties.LEASE)
        await self.order(self.two)
        self.assertEqual(await self.waited(self.one), 0)


if __name__ == "__main__":
    unittest.main()
