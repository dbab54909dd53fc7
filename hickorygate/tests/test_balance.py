"""Tests the load-balancing policies for reads."""

from __future__ import annotations

import collections
import random
import unittest

from hickorygate.callers import balance

_BUSY = balance.Candidate("a", near=True, busy=5)
_FAR = balance.Candidate("b", near=False, busy=0)
_NEAR = balance.Candidate("c", near=True, busy=0)


class ChooseTest(unittest.TestCase):
    """Checks the candidate that each policy chooses."""

    def setUp(self) -> None:
        self.rng = random.Random(1)

    def test_least_busy_prefers_idle_then_near(self) -> None:
        chosen = balance.choose(
            balance.LeastBusy(), [_BUSY, _FAR, _NEAR], self.rng
        )
        self.assertEqual(chosen, _NEAR)

    def test_least_busy_spreads_ties(self) -> None:
        tied = [balance.Candidate(name, True, 0) for name in "abc"]
        counts = collections.Counter(
            balance.choose(balance.LeastBusy(), tied, self.rng).name
            for _ in range(300)
        )
        self.assertGreater(min(counts.values()), 60)

    def test_two_choices_never_takes_the_busiest_of_three(self) -> None:
        for _ in range(100):
            chosen = balance.choose(
                balance.TwoChoices(), [_BUSY, _FAR, _NEAR], self.rng
            )
            self.assertNotEqual(chosen, _BUSY)

    def test_one_candidate_is_chosen_by_every_policy(self) -> None:
        for policy in (
            balance.First(),
            balance.TwoChoices(),
            balance.LeastBusy(),
        ):
            chosen = balance.choose(policy, [_FAR], self.rng)
            self.assertEqual(chosen, _FAR)
