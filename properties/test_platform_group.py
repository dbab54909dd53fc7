"""Random orders of commits, status rounds and promotions in one group.

The tests guard against a floor below an acknowledged commit (a read could
miss the commit) and against a promotion that loses an acknowledged commit.
"""

from __future__ import annotations

import random
import unittest

import hypothesis
from hypothesis import strategies

from properties import platform_simulation

_STEPS = 600


def _play(seed: int, names: str) -> platform_simulation.PlatformSimulation:
    simulation = platform_simulation.PlatformSimulation(
        names, random.Random(seed)
    )
    for _ in range(_STEPS):
        simulation.step()
    return simulation


class PlatformGroupTest(unittest.TestCase):
    """Runs simulations whose steps assert that no commit is missed or lost."""

    @hypothesis.seed(
        8936586118559166524490847291752730963724019270478047899847329102301667249779345726201970713167303979414976016291968
    )
    @hypothesis.settings(max_examples=150)
    @hypothesis.given(strategies.integers(0, 2**32))
    def test_three_databases(self, seed: int) -> None:
        _play(seed, "abc")

    @hypothesis.seed(
        22876298928089106698787137786669254687867808055219874448219425411198912947861072488843932504554324681748033635768474
    )
    @hypothesis.settings(max_examples=50)
    @hypothesis.given(strategies.integers(0, 2**32))
    def test_four_databases(self, seed: int) -> None:
        _play(seed, "abcd")

    def test_random_steps_reach_promotions_floors_and_commits(self) -> None:
        worlds = [_play(seed, "abc") for seed in range(20)]
        self.assertGreater(sum(w.promoted for w in worlds), 20)
        self.assertGreater(sum(w.floors for w in worlds), 100)
        self.assertGreater(sum(len(w.acknowledged) for w in worlds), 100)
