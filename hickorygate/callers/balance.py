"""Which of several databases serves a read: decisions without I/O.

The policy is data; the choice dispatches on it.
"""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses
import functools
import random

from hickorygate.core import types

__all__ = [
    "Candidate",
    "First",
    "LeastBusy",
    "Policy",
    "TwoChoices",
    "choose",
]


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A database that may serve the read.

    Attributes:
      name: its name.
      near: whether it is in the proxy's availability zone.
      busy: this proxy's statements on it, running and waiting.
    """

    name: types.DatabaseName
    near: bool
    busy: int


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Base of the policies."""


@dataclasses.dataclass(frozen=True, slots=True)
class First(Policy):
    """Always the first one; a baseline."""


@dataclasses.dataclass(frozen=True, slots=True)
class TwoChoices(Policy):
    """The less busy one of two random ones."""


@dataclasses.dataclass(frozen=True, slots=True)
class LeastBusy(Policy):
    """The least busy one; among equals a near one, then a random one."""


@functools.singledispatch
def choose(
    policy: Policy, candidates: Sequence[Candidate], rng: random.Random
) -> Candidate:
    """Chooses one of at least one candidate."""
    raise TypeError(f"no way to choose by {policy!r}; register one")


@choose.register
def _(
    policy: First, candidates: Sequence[Candidate], rng: random.Random
) -> Candidate:
    return candidates[0]


@choose.register
def _(
    policy: TwoChoices, candidates: Sequence[Candidate], rng: random.Random
) -> Candidate:
    drawn = rng.sample(candidates, min(2, len(candidates)))
    return min(drawn, key=lambda candidate: candidate.busy)


@choose.register
def _(
    policy: LeastBusy, candidates: Sequence[Candidate], rng: random.Random
) -> Candidate:
    def cost(candidate: Candidate) -> tuple[int, bool, float]:
        return (candidate.busy, not candidate.near, rng.random())

    return min(candidates, key=cost)
