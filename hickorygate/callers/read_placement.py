"""Chooses the database that serves a read; does no I/O."""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses
import functools
import random

from hickorygate.core import catalog
from hickorygate.core import position as positions
from hickorygate.core import types
from hickorygate.upstreams import member as members

__all__ = ["ReadCandidate", "choose_database", "session_floor"]

_PRIMARY_COST = 1.0
"""Cost added for the primary, since only the primary can run writes. The unit
of all costs is the load per slot."""

_WARMING_COST = 1.0
"""Cost added for a database that is still slow after its start
(`Member.warming`)."""

_FAILING_COST = 5.0
"""Cost added for a database that fails every request. A failure rate of 1 in 5
adds as much as being the primary."""

_OTHER_ZONE_COST = 0.05
"""Cost added for a database in another availability zone; small, so that a
difference in load outweighs it."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadCandidate:
    """A database that may serve a read.

    Attributes:
      member: entry of the database in service discovery.
      position: newest known log position; None if unknown.
      is_primary: whether the database is the primary.
      load: number of this proxy's requests that run or wait there.
      in_same_zone: whether the database is in this proxy's availability zone.
      failure_rate: recent share of failed requests, 0 to 1.
      unit_cost: learned time per request ahead of the read, in usual response
        times of its class; None if nothing is learned.
    """

    member: members.Member
    position: positions.Position | None
    is_primary: bool
    load: int
    in_same_zone: bool
    failure_rate: float = 0.0
    unit_cost: float | None = None

    def has_reached(self, floor: positions.Position | None) -> bool:
        """Returns whether the database is known to have reached a position."""
        if floor is None:
            return True
        return self.position is not None and self.position >= floor


def choose_database(
    candidates: Iterable[ReadCandidate],
    floor: positions.Position | None,
    rng: random.Random,
) -> ReadCandidate | None:
    """Returns the candidate with the lowest cost.

    Args:
      candidates: databases to choose from.
      floor: log position that a replica must have reached; None if any
        position will do.
      rng: breaks ties.

    Returns:
      The candidate, or None if no database has reached the floor. The
      primary is always eligible.
    """
    eligible = [c for c in candidates if c.is_primary or c.has_reached(floor)]
    return min(eligible, key=lambda c: (_cost(c), rng.random()), default=None)


def _cost(candidate: ReadCandidate) -> float:
    if candidate.unit_cost is not None:
        return _completion_cost(candidate, candidate.unit_cost)
    cost = candidate.load / candidate.member.slots
    cost += _PRIMARY_COST * candidate.is_primary
    cost += _WARMING_COST * candidate.member.warming
    cost += _FAILING_COST * candidate.failure_rate
    return cost + _OTHER_ZONE_COST * (not candidate.in_same_zone)


def _completion_cost(candidate: ReadCandidate, unit_cost: float) -> float:
    """Returns the expected time until the read has ended.

    A read that runs at the primary delays the writes, which can't run
    elsewhere. It therefore counts as if it waited for one statement more in
    each slot.
    """
    ahead = candidate.load + candidate.member.slots * candidate.is_primary
    cost = (ahead + 1) * unit_cost
    return cost + _OTHER_ZONE_COST * (not candidate.in_same_zone)


@functools.singledispatch
def session_floor(
    consistency: catalog.Consistency,
    floors: dict[types.ServiceName, positions.Position],
    service: types.ServiceName,
) -> positions.Position | None:
    """Returns the position of the session's own commit that a read must see.

    Args:
      consistency: consistency of the route.
      floors: position of the session's newest commit, by service.
      service: service that the read goes to.

    Returns:
      The position, or None if there is none.
    """
    return None


@session_floor.register
def _(
    consistency: catalog.ReadYourWrites,
    floors: dict[types.ServiceName, positions.Position],
    service: types.ServiceName,
) -> positions.Position | None:
    return floors.get(service)
