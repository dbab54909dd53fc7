"""Which database serves a read: decisions without I/O."""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses
import functools
import random

from hickorygate.core import catalog as catalogs
from hickorygate.core import position as positions
from hickorygate.core import types
from hickorygate.upstreams import member as members

__all__ = ["Candidate", "choose", "own_floor"]

_PRIMARY_COST = 1.0
"""Added to the primary's load per slot: writes can run nowhere else."""

_WARMING_COST = 1.0
_FAILING_COST = 5.0
"""For a database that fails every request; one in five counts like the
primary's cost."""

_FAR_COST = 0.05
"""Added for another availability zone; load matters more."""


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A database that may serve a read.

    Attributes:
      member: the database.
      position: its newest known position; None if unknown.
      leads: whether it is the primary.
      load: this proxy's requests that run or wait there.
      near: whether it is in this proxy's availability zone.
      failing: the share of requests that failed there lately, 0 to 1.
    """

    member: members.Member
    position: positions.Position | None
    leads: bool
    load: int
    near: bool
    failing: float = 0.0

    def holds(self, floor: positions.Position | None) -> bool:
        """Whether it is known to have reached a position."""
        if floor is None:
            return True
        return self.position is not None and self.position >= floor


def choose(
    candidates: Iterable[Candidate],
    floor: positions.Position | None,
    rng: random.Random,
) -> Candidate | None:
    """Returns the least busy database that holds the floor; None if none."""
    able = [c for c in candidates if c.leads or c.holds(floor)]
    return min(able, key=lambda c: (_cost(c), rng.random()), default=None)


def _cost(candidate: Candidate) -> float:
    cost = candidate.load / candidate.member.slots
    cost += _PRIMARY_COST * candidate.leads
    cost += _WARMING_COST * candidate.member.warming
    cost += _FAILING_COST * candidate.failing
    return cost + _FAR_COST * (not candidate.near)


@functools.singledispatch
def own_floor(
    consistency: catalogs.Consistency,
    floors: dict[types.ServiceName, positions.Position],
    service: types.ServiceName,
) -> positions.Position | None:
    """Returns the session's own commit that a read must see, if any."""
    return None


@own_floor.register
def _(
    consistency: catalogs.OwnWrites,
    floors: dict[types.ServiceName, positions.Position],
    service: types.ServiceName,
) -> positions.Position | None:
    return floors.get(service)
