"""Tests which transactions wait for a connection, and which are refused.

Guards against transactions that wait until their deadline for connections that
other transactions hold, and against refusals of those that would get one.
"""

from __future__ import annotations

import asyncio
import datetime
import unittest

from hickorygate.core import errors
from hickorygate.core import rank
from hickorygate.core import request_context
from hickorygate.testing import virtual_time
from hickorygate.upstreams import borrow_queue
from hickorygate.upstreams import lending_rate

_START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
_SECOND = datetime.timedelta(seconds=1)
_RANK = rank.Rank("0", 0, _SECOND, 0.05)
_LONG = borrow_queue.BorrowPurpose.LONG


class LendingRateTest(unittest.TestCase):
    """The estimate alone."""

    def setUp(self) -> None:
        self.rate = lending_rate.LendingRate()

    def lend(self, interval: float, seconds: float) -> None:
        """Lends a connection at each interval while transactions wait."""
        now = _START
        self.rate.advance(0, now)
        for _ in range(int(seconds / interval)):
            now += interval * _SECOND
            self.rate.advance(5, now)
            self.rate.record()

    def test_nothing_is_known_at_first(self) -> None:
        self.assertEqual(self.rate.expected_wait(100), 0 * _SECOND)
        self.lend(0.1, 0.4)
        self.assertEqual(self.rate.expected_wait(100), 0 * _SECOND)

    def test_the_rate_is_expected_to_last(self) -> None:
        self.lend(0.1, 5)
        wait = self.rate.expected_wait(19) / _SECOND
        self.assertAlmostEqual(wait, 2, delta=0.2)

    def test_a_pool_that_lends_nothing(self) -> None:
        self.rate.advance(0, _START)
        self.rate.advance(1, _START + 2 * _SECOND)
        self.assertGreater(self.rate.expected_wait(0), 2 * _SECOND)

    def test_time_without_waiting_transactions_is_forgotten(self) -> None:
        self.lend(0.1, 5)
        self.rate.advance(0, _START + 15 * _SECOND)
        self.assertEqual(self.rate.expected_wait(100), 0 * _SECOND)


class TransactionQueueTest(virtual_time.VirtualTimeTestCase):
    """The queue of a pool that lends ten connections a second."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        self.clock = virtual_time.LoopClock(asyncio.get_running_loop())
        self.queue = borrow_queue.BorrowQueue(self.clock, True)

    def add(self, seconds: float) -> borrow_queue.Waiter:
        now = self.clock.now()
        request = request_context.RequestContext(
            _RANK, now, now + seconds * _SECOND
        )
        return self.queue.add(request, _LONG)

    async def lend(self, count: int) -> None:
        for _ in range(count):
            await asyncio.sleep(0.1)
            waiter = self.queue.next_for("", (), lambda use: True)
            self.queue.remove(waiter)
            waiter.future.set_result(None)

    async def test_only_those_that_would_be_late_are_refused(self) -> None:
        first = [self.add(2) for _ in range(60)]
        await self.lend(10)
        # Nothing was known when these came; they are judged with the next one.
        self.add(2)
        refused = [w for w in first if w.future.done() and w.future.result()]
        self.assertAlmostEqual(len(refused), 40, delta=4)
        for waiter in refused:
            failure = waiter.future.result().error
            self.assertIsInstance(failure, errors.Overloaded)
        await self.lend(8)
        served = [w for w in first if w.future.done() and w not in refused]
        self.assertEqual(len(served), 18)

    async def test_a_queue_refuses_nothing_by_default(self) -> None:
        # Where connections aren't shared by serving proxies, transactions that
        # were refused would have been served: 6% of all operations of a day.
        self.queue = borrow_queue.BorrowQueue(self.clock)
        waiters = [self.add(2) for _ in range(60)]
        await self.lend(10)
        self.add(2)
        refused = [w for w in waiters if w.future.done() and w.future.result()]
        self.assertEqual(refused, [])

    async def test_without_a_backlog_nothing_is_refused(self) -> None:
        for _ in range(30):
            waiters = [self.add(2) for _ in range(2)]
            await self.lend(2)
            for waiter in waiters:
                self.assertIsNone(waiter.future.result())


if __name__ == "__main__":
    unittest.main()
