"""Tests of the token buckets for shares of rate limits.

They guard against a second burst after a share moved, and against a lowered
limit that doesn't apply at once.
"""

from __future__ import annotations

import datetime
import unittest

from hickorygate.core import rate_limit
from hickorygate.testing import clock

_LIMIT = rate_limit.RateLimit(rate=10.0, burst=20.0)
_WINDOW = datetime.timedelta(seconds=5)


def _take_all(bucket: rate_limit.TokenBucket) -> int:
    taken = 0
    while bucket.try_take():
        taken += 1
    return taken


class TokenBucketTest(unittest.TestCase):
    """Refill, capacity and changes of the limit."""

    def setUp(self) -> None:
        self.bucket = rate_limit.TokenBucket(_LIMIT)

    def test_bucket_starts_empty(self) -> None:
        self.bucket.refill(1.0, 0.0)
        self.assertEqual(_take_all(self.bucket), 0)

    def test_tokens_accrue_with_the_share(self) -> None:
        self.bucket.refill(0.5, 0.5 * 1.0)
        self.assertEqual(_take_all(self.bucket), 5)

    def test_fractions_accrue(self) -> None:
        for _ in range(10):
            self.bucket.refill(0.1, 0.1 * 0.1)
        self.assertEqual(_take_all(self.bucket), 1)

    def test_burst_bounds_the_tokens(self) -> None:
        self.bucket.refill(1.0, 100.0)
        self.assertEqual(_take_all(self.bucket), 24)

    def test_tokens_of_a_lost_share_do_not_return(self) -> None:
        self.bucket.refill(1.0, 100.0)
        self.bucket.refill(0.0, 0.0)
        self.bucket.refill(1.0, 0.0)
        self.assertEqual(_take_all(self.bucket), 0)

    def test_lower_limit_applies_at_once(self) -> None:
        self.bucket.refill(1.0, 100.0)
        self.bucket.set_limit(rate_limit.RateLimit(1.0, 1.0))
        self.assertEqual(_take_all(self.bucket), 5)

    def test_time_to_token(self) -> None:
        self.bucket.refill(0.5, 0.0)
        wait = self.bucket.time_to_token()
        self.assertEqual(wait, datetime.timedelta(milliseconds=200))

    def test_no_token_will_come_without_a_share(self) -> None:
        self.assertIsNone(self.bucket.time_to_token())

    def test_no_token_will_come_for_less_than_one_operation(self) -> None:
        self.bucket.set_limit(rate_limit.RateLimit(10.0, 0.0))
        self.bucket.refill(0.1, 100.0)
        self.assertIsNone(self.bucket.time_to_token())
        self.assertEqual(_take_all(self.bucket), 0)


class SlidingCountTest(unittest.TestCase):
    """No window contains more than the limit."""

    def test_each_window_is_bounded(self) -> None:
        count = rate_limit.SlidingCount(2, _WINDOW)
        times = (0.0, 1.0, 4.9, 5.0, 5.1, 6.1, 6.2)
        admitted = [t for t in times if count.try_take(clock.at(t))]
        self.assertEqual(admitted, [0.0, 1.0, 5.1, 6.1])
