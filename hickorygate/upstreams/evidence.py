"""Who leads a group, and what a read must see: decisions without I/O.

All databases of a group are asked in rounds. What a round proves:

- If one database leads and every other one answered that it doesn't, nobody
  else can have acknowledged a commit before the round was sent. The leader's
  position then covers each commit that was acknowledged before.
- A commit is acknowledged once its primary and `synchronous_replicas` others
  hold it. If no more databases than these stay silent, one of those that
  answered holds it, so the greatest end of a log covers each commit that was
  acknowledged before the round, whoever leads.

A database that left counts as silent until the others are known to hold all
that was acknowledged while it was there: its log is gone with it.
"""

from __future__ import annotations

import collections
import dataclasses
import datetime
import functools

from hickorygate.core import catalog as catalogs
from hickorygate.core import position as positions
from hickorygate.core import reply as replies
from hickorygate.core import types
from hickorygate.upstreams import member as members

__all__ = ["Evidence", "Finding", "Floor", "Leader", "Round", "Sight"]

_FLOORS_KEPT = datetime.timedelta(seconds=10)
_STALENESS_MARGIN = datetime.timedelta(milliseconds=50)
"""Kept off the tolerated staleness, for timers that fire late."""


@dataclasses.dataclass(frozen=True, slots=True)
class Sight:
    """What a database showed in a round.

    Attributes:
      leads: whether it takes writes, as it believes.
      position: of its log, as reads see it.
      status: its own status, where it was asked for.
    """

    leads: bool
    position: positions.Position | None
    status: replies.GroupStatus | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Leader:
    """The primary and its term."""

    member: members.MemberId
    term: types.Term


@dataclasses.dataclass(frozen=True, slots=True)
class Floor:
    """A position that covers all commits acknowledged before a time."""

    since: datetime.datetime
    position: positions.Position


@dataclasses.dataclass(slots=True)
class Round:
    """One question to all databases.

    Attributes:
      sent: when it was sent; what it proves holds for the time before.
      asked: whom it was sent to.
      sights: the answers so far.
    """

    sent: datetime.datetime
    asked: frozenset[members.MemberId]
    sights: dict[members.MemberId, Sight] = dataclasses.field(
        default_factory=dict
    )

    @property
    def silent(self) -> frozenset[members.MemberId]:
        """Who has not answered."""
        return self.asked - self.sights.keys()


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """What a round proved.

    Attributes:
      leader: the newest primary that answered; None if none did.
      confirmed: whether nobody else can have led when it was sent.
      floor: covers all commits acknowledged before; None if unknown.
    """

    leader: Leader | None
    confirmed: bool
    floor: Floor | None


class Evidence:
    """What is known of one group."""

    __slots__ = (
        "_departed",
        "_floors",
        "_leader",
        "_members",
        "_positions",
        "_synchronous",
        "_term",
    )

    def __init__(self, synchronous_replicas: int) -> None:
        self._synchronous = synchronous_replicas
        self._members: dict[members.MemberId, members.Member] = {}
        self._departed: dict[str, positions.Position | None] = {}
        self._positions: dict[members.MemberId, positions.Position] = {}
        self._floors: collections.deque[Floor] = collections.deque()
        self._leader: Leader | None = None
        self._term: types.Term = 0

    @property
    def leader(self) -> Leader | None:
        """The newest known primary; None while it is lost."""
        return self._leader

    @property
    def term(self) -> types.Term:
        """The newest term that was seen."""
        return self._term

    @property
    def members(self) -> dict[members.MemberId, members.Member]:
        """The databases, by id."""
        return self._members

    @property
    def departed(self) -> frozenset[str]:
        """Databases that left, with commits that may be nowhere else."""
        return frozenset(self._departed)

    @property
    def synchronous_replicas(self) -> int:
        """Replicas that hold a commit before it is acknowledged."""
        return self._synchronous

    def __repr__(self) -> str:
        return f"Evidence(leader={self._leader}, members={len(self._members)})"

    def set_terms(self, synchronous_replicas: int) -> None:
        """Takes in a change of the service's terms."""
        self._synchronous = synchronous_replicas

    def set_members(self, listed: tuple[members.Member, ...]) -> None:
        """Takes in the databases that count now."""
        new = {member.id: member for member in listed}
        for name, member in self._members.items():
            kept = new.get(name)
            if kept is None or kept.born != member.born:
                self._departed[f"{name}@{member.born}"] = None
                self._positions.pop(name, None)
                if self._leader is not None and self._leader.member == name:
                    self._leader = None
        self._members = new

    def open_round(self, now: datetime.datetime) -> Round:
        """Begins a round; `judge` it once answers are in."""
        return Round(now, frozenset(self._members))

    def note(
        self, name: members.MemberId, position: positions.Position | None
    ) -> None:
        """Takes in the position that came with any answer of a database."""
        if position is not None:
            self._positions[name] = position
            self._term = max(self._term, position.term)

    def position(self, name: members.MemberId) -> positions.Position | None:
        """Returns the newest known position of a database."""
        return self._positions.get(name)

    def lose_leader(self) -> None:
        """Takes in that the primary is out of reach."""
        self._leader = None

    def judge(self, seen: Round) -> Finding:
        """Tells what a round proves, and takes it in."""
        for name, sight in seen.sights.items():
            self.note(name, sight.position)
            if sight.status is not None:
                self._term = max(self._term, sight.status.term)
        leader = self._find_leader(seen)
        floor = (
            self._by_replicas(seen, leader)
            or self._by_leader(seen, leader)
            or self._by_logs(seen)
        )
        if floor is not None:
            self._keep(floor)
        if self._leader is not None and self._leader.term < self._term:
            self._leader = None
        if leader is not None and leader.term >= self._term:
            self._leader = leader
            self._settle_departed(seen, leader)
        confirmed = (
            leader is not None
            and floor is not None
            and floor.position.term <= leader.term
        )
        return Finding(leader, confirmed, floor)

    def floor(
        self, consistency: catalogs.Consistency, now: datetime.datetime
    ) -> Floor | None:
        """Returns what a read that comes now must see; None if unknown."""
        return _floor(consistency, self, now)

    def floor_since(self, oldest: datetime.datetime) -> Floor | None:
        """Returns the first floor that covers all commits before a time."""
        for floor in self._floors:
            if floor.since >= oldest:
                return floor
        return None

    def disputed(self, seen: Round) -> bool:
        """Tells whether terms must be asked for to know who leads.

        A position tells the term of the log's last entry, which may be that
        of a former primary.
        """
        leading = [n for n, sight in seen.sights.items() if sight.leads]
        if not leading:
            return False
        known = self._leader.member if self._leader else None
        return leading != [known]

    def _find_leader(self, seen: Round) -> Leader | None:
        leading = [
            Leader(name, self._term_of(name, sight))
            for name, sight in seen.sights.items()
            if sight.leads
        ]
        return max(leading, key=lambda leader: leader.term, default=None)

    def _term_of(self, name: members.MemberId, sight: Sight) -> types.Term:
        if sight.status is not None:
            return sight.status.term
        if self._leader is not None and self._leader.member == name:
            return self._leader.term
        return sight.position.term if sight.position else 0

    def _by_leader(self, seen: Round, leader: Leader | None) -> Floor | None:
        """Uses that every other database answered that it doesn't lead."""
        if leader is None or seen.silent or seen.asked != self._members.keys():
            return None
        own = seen.sights[leader.member].position
        terms = [s.position.term for s in seen.sights.values() if s.position]
        if own is None or max(terms) > leader.term:
            return None
        return Floor(seen.sent, own)

    def _by_replicas(self, seen: Round, leader: Leader | None) -> Floor | None:
        """Uses that a replica holds each commit that was acknowledged.

        The primary may be ahead of all of them with commits that it can't
        acknowledge; no read has to wait for those.
        """
        proved = self._by_leader(seen, leader)
        if proved is None or leader is None or not self._synchronous:
            return None
        replicas = [s for n, s in seen.sights.items() if n != leader.member]
        ends = [s.status.received for s in replicas if s.status]
        if self._departed or not ends or len(ends) < len(replicas):
            return None
        return Floor(seen.sent, min(max(ends), proved.position))

    def _by_logs(self, seen: Round) -> Floor | None:
        """Uses that one of those that answered holds each commit."""
        silent = len(seen.silent) + len(self._departed)
        silent += len(self._members.keys() - seen.asked)
        ends = [s.status.received for s in seen.sights.values() if s.status]
        complete = len(ends) == len(seen.sights)
        if not (ends and complete) or silent > self._synchronous:
            return None
        return Floor(seen.sent, max(ends))

    def _keep(self, floor: Floor) -> None:
        self._floors.append(floor)
        while floor.since - self._floors[0].since > _FLOORS_KEPT:
            self._floors.popleft()

    def _settle_departed(self, seen: Round, leader: Leader) -> None:
        """Forgets departed databases once others hold what they may have."""
        own = seen.sights[leader.member].position
        if own is None:
            return
        others = [
            (s.status.received if s.status else s.position)
            for name, s in seen.sights.items()
            if name != leader.member
        ]
        for name, mark in list(self._departed.items()):
            if mark is None:
                self._departed[name] = own
                continue
            holders = [p for p in others if p is not None and p >= mark]
            if len(holders) >= self._synchronous:
                del self._departed[name]


@functools.singledispatch
def _floor(
    consistency: catalogs.Consistency,
    evidence: Evidence,
    now: datetime.datetime,
) -> Floor | None:
    """Returns the floor of a read; what must see the newest has none."""
    return None


@_floor.register
def _(
    consistency: catalogs.Bounded, evidence: Evidence, now: datetime.datetime
) -> Floor | None:
    oldest = now - consistency.staleness + _STALENESS_MARGIN
    return evidence.floor_since(oldest)
