"""Chooses one of several databases for a read; no I/O.

A load-balancing policy is a data class; `choose` is a `singledispatch` function
with one implementation per policy.
"""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses
import functools
import random

from hickorygate.core import types

__all__ = [
    "Candidate",
    "FirstCandidate",
    "LeastBusy",
    "BalancingPolicy",
    "PowerOfTwoChoices",
    "choose",
]


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A database that may serve the read.

    Attributes:
      name: name of the database.
      same_zone: whether the database is in the proxy's availability zone.
      busy: number of this proxy's statements that run or wait there.
    """

    name: types.DatabaseName
    same_zone: bool
    busy: int


@dataclasses.dataclass(frozen=True, slots=True)
class BalancingPolicy:
    """Base class of the load-balancing policies."""


@dataclasses.dataclass(frozen=True, slots=True)
class FirstCandidate(BalancingPolicy):
    """Chooses the first candidate; a baseline for comparisons."""


@dataclasses.dataclass(frozen=True, slots=True)
class PowerOfTwoChoices(BalancingPolicy):
    """Chooses the less busy of two random candidates."""


@dataclasses.dataclass(frozen=True, slots=True)
class LeastBusy(BalancingPolicy):
    """Chooses the least busy candidate.

    Among equally busy ones, a candidate in the proxy's zone is preferred; the
    remaining ties are broken at random.
    """


@functools.singledispatch
def choose(
    policy: BalancingPolicy, candidates: Sequence[Candidate], rng: random.Random
) -> Candidate:
    """Returns the candidate that a policy chooses.

    Args:
      policy: load-balancing policy.
      candidates: databases that may serve the read; at least one.
      rng: source of randomness.
    """
    raise TypeError(f"no handler for policy {policy!r}; register one")


@choose.register
def _(
    policy: FirstCandidate, candidates: Sequence[Candidate], rng: random.Random
) -> Candidate:
    return candidates[0]


@choose.register
def _(
    policy: PowerOfTwoChoices,
    candidates: Sequence[Candidate],
    rng: random.Random,
) -> Candidate:
    sampled = rng.sample(candidates, min(2, len(candidates)))
    return min(sampled, key=lambda candidate: candidate.busy)


@choose.register
def _(
    policy: LeastBusy, candidates: Sequence[Candidate], rng: random.Random
) -> Candidate:
    def sort_key(candidate: Candidate) -> tuple[int, bool, float]:
        return (candidate.busy, not candidate.same_zone, rng.random())

    return min(candidates, key=sort_key)
