"""Tests the load-balancing policies for reads."""

from __future__ import annotations

import collections
import random
import unittest

from hickorygate.callers import load_balancing

_BUSY = load_balancing.Candidate("a", same_zone=True, busy=5)
_FAR = load_balancing.Candidate("b", same_zone=False, busy=0)
_NEAR = load_balancing.Candidate("c", same_zone=True, busy=0)


class ChooseTest(unittest.TestCase):
    """Checks the candidate that each policy chooses."""

    def setUp(self) -> None:
        self.rng = random.Random(1)

    def test_least_busy_prefers_idle_then_near(self) -> None:
        chosen = load_balancing.choose(
            load_balancing.LeastBusy(), [_BUSY, _FAR, _NEAR], self.rng
        )
        self.assertEqual(chosen, _NEAR)

    def test_least_busy_spreads_ties(self) -> None:
        tied = [load_balancing.Candidate(name, True, 0) for name in "abc"]
        counts = collections.Counter(
            load_balancing.choose(
                load_balancing.LeastBusy(), tied, self.rng
            ).name
            for _ in range(300)
        )
        self.assertGreater(min(counts.values()), 60)

    def test_two_choices_never_takes_the_busiest_of_three(self) -> None:
        for _ in range(100):
            chosen = load_balancing.choose(
                load_balancing.PowerOfTwoChoices(),
                [_BUSY, _FAR, _NEAR],
                self.rng,
            )
            self.assertNotEqual(chosen, _BUSY)

    def test_one_candidate_is_chosen_by_every_policy(self) -> None:
        for policy in (
            load_balancing.FirstCandidate(),
            load_balancing.PowerOfTwoChoices(),
            load_balancing.LeastBusy(),
        ):
            chosen = load_balancing.choose(policy, [_FAR], self.rng)
            self.assertEqual(chosen, _FAR)
