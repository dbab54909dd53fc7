"""Tests of the rank queue: order, floors and early refusals."""

from __future__ import annotations

import datetime
import unittest

from hickorygate.core import admission
from hickorygate.core import errors
from hickorygate.core import rank as ranks
from hickorygate.core import request_context

_START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)


def _milliseconds(count: float) -> datetime.timedelta:
    return datetime.timedelta(milliseconds=count)


_URGENT = ranks.Rank("urgent", 0, _milliseconds(250), 0.5)
_NORMAL = ranks.Rank("normal", 1, _milliseconds(1_000), 0.2)
_FLOORS = admission.Floors()
_HISTORY = ranks.Rank("history", 2, _milliseconds(10_000), 0.1)


def _request(
    rank: ranks.Rank,
    arrived: datetime.datetime = _START,
    allowed: datetime.timedelta | None = None,
) -> request_context.RequestContext:
    deadline = arrived + (allowed or rank.target)
    return request_context.RequestContext(rank, arrived, deadline)


def _queue(policy: admission.SchedulingPolicy = _FLOORS) -> admission.RankQueue:
    return admission.RankQueue(admission.QueueSettings(policy=policy))


class RankQueueTest(unittest.TestCase):
    """Order, admission and expiry of queued requests."""

    def dequeue_ranks(
        self, waiting: admission.RankQueue, count: int
    ) -> list[ranks.Rank]:
        ranks = []
        for _ in range(count):
            waiter = waiting.dequeue(_START)
            assert waiter is not None
            waiting.finish(waiter, _milliseconds(10), _START)
            ranks.append(waiter.request.rank)
        return ranks

    def test_urgent_goes_first_under_floors(self) -> None:
        waiting = _queue()
        for rank in (_HISTORY, _NORMAL, _URGENT):
            self.assertTrue(waiting.offer(_request(rank), _START, True).is_ok())
        order = self.dequeue_ranks(waiting, 3)
        self.assertEqual(order, [_URGENT, _NORMAL, _HISTORY])

    def test_fifo_keeps_arrival_order(self) -> None:
        waiting = _queue(admission.Fifo())
        for rank in (_HISTORY, _URGENT):
            waiting.offer(_request(rank), _START, False)
        self.assertEqual(self.dequeue_ranks(waiting, 2), [_HISTORY, _URGENT])

    def test_earliest_deadline_goes_first_in_a_lane(self) -> None:
        waiting = _queue()
        late = _request(_NORMAL)
        soon = _request(_NORMAL, allowed=_milliseconds(500))
        for request in (late, soon):
            self.assertTrue(waiting.offer(request, _START, False).is_ok())
        first = waiting.dequeue(_START)
        assert first is not None
        self.assertEqual(first.request, soon)

    def test_floor_is_kept_against_a_more_urgent_flood(self) -> None:
        waiting = _queue()
        for _ in range(200):
            far = _milliseconds(100_000)
            for rank in (_URGENT, _NORMAL, _HISTORY):
                waiting.offer(_request(rank, allowed=far), _START, False)
        order = self.dequeue_ranks(waiting, 200)
        self.assertGreaterEqual(order.count(_NORMAL), 39)
        self.assertGreaterEqual(order.count(_HISTORY), 19)
        self.assertGreaterEqual(order.count(_URGENT), 139)

    def test_strict_priority_starves_the_others(self) -> None:
        waiting = _queue(admission.StrictPriority())
        for _ in range(50):
            far = _milliseconds(100_000)
            for rank in (_URGENT, _HISTORY):
                waiting.offer(_request(rank, allowed=far), _START, False)
        self.assertEqual(self.dequeue_ranks(waiting, 50), [_URGENT] * 50)

    def test_flood_of_one_rank_is_refused_with_a_retry_delay(self) -> None:
        waiting = _queue()
        results = [
            waiting.offer(_request(_URGENT), _START, False) for _ in range(100)
        ]
        admitted = sum(result.is_ok() for result in results)
        # The initial margin leaves 60% of 250 ms, at 10 ms per request.
        self.assertEqual(admitted, 15)
        failure = results[-1].error
        self.assertIsInstance(failure, errors.Overloaded)
        self.assertIs(failure.outcome, errors.Outcome.NOT_RUN)
        self.assertGreater(failure.retry_after, datetime.timedelta())

    def test_new_request_may_not_make_an_admitted_one_late(self) -> None:
        waiting = _queue()
        while waiting.offer(_request(_URGENT), _START, False).is_ok():
            pass
        sooner = _request(_URGENT, allowed=_milliseconds(240))
        self.assertTrue(waiting.offer(sooner, _START, False).is_error())

    def test_late_requests_are_removed_before_they_start(self) -> None:
        waiting = _queue()
        for _ in range(3):
            waiting.offer(_request(_URGENT), _START, False)
        self.assertEqual(waiting.remove_late(_START), ())
        self.assertEqual(waiting.remove_late(_START + _milliseconds(240)), ())
        after = _START + _milliseconds(245)
        self.assertEqual(len(waiting.remove_late(after)), 3)

    def test_request_that_never_fitted_may_start_until_its_deadline(
        self,
    ) -> None:
        waiting = _queue()
        soon = _request(_URGENT, allowed=_milliseconds(5))
        self.assertTrue(waiting.offer(soon, _START, True).is_ok())
        self.assertEqual(waiting.remove_late(_START + _milliseconds(4)), ())
        self.assertEqual(len(waiting.remove_late(_START + _milliseconds(5))), 1)

    def test_margin_grows_with_misses_and_admits_less(self) -> None:
        def admitted(waiting: admission.RankQueue) -> int:
            now = _START + _milliseconds(60_000)
            count = 0
            while waiting.offer(_request(_URGENT, now), now, False).is_ok():
                count += 1
            return count

        missed = _queue()
        for _ in range(20):
            missed.offer(_request(_URGENT), _START, True)
            missed.remove_late(_START + _milliseconds(250))
        self.assertEqual(admitted(_queue()), 15)
        # The margin is at most 75% of the target: 62.5 of 250 ms are left.
        self.assertEqual(admitted(missed), 6)

    def test_starved_work_is_pressing(self) -> None:
        waiting = _queue()
        far = _milliseconds(100_000)
        waiting.offer(_request(_HISTORY, allowed=far), _START, True)
        self.assertFalse(waiting.has_urgent_work(_START + _milliseconds(499)))
        self.assertTrue(waiting.has_urgent_work(_START + _milliseconds(500)))
        waiting.offer(_request(_URGENT), _START, True)
        self.assertTrue(waiting.has_urgent_work(_START))

    def test_slow_service_is_measured_and_refuses_more(self) -> None:
        waiting = _queue()
        now = _START
        for _ in range(60):
            waiting.offer(_request(_URGENT, now), now, True)
            waiter = waiting.dequeue(now)
            assert waiter is not None
            now += _milliseconds(50)
            waiting.finish(waiter, _milliseconds(50), now)
        admitted = 0
        while waiting.offer(_request(_URGENT, now), now, False).is_ok():
            admitted += 1
        self.assertEqual(admitted, 3)
