"""Determines the primary and the read floors of a group, without I/O.

The prober queries all databases of a group in rounds. A round can prove two
things:

- One database answers as primary and all others answer that they are
  replicas. No other database can then have acknowledged a commit before the
  round was sent, so the primary's log position covers every commit that was
  acknowledged before the round.
- At most `synchronous_replicas` databases did not answer. A commit is
  acknowledged only when the primary and `synchronous_replicas` replicas have
  it, so at least one of the databases that answered has each acknowledged
  commit. The greatest log end among them therefore covers every commit that
  was acknowledged before the round, whichever database is the primary.

A floor is such a position: a read at or beyond it sees every commit that was
acknowledged before the round.

The log of a database that left the group is lost. The database counts as one
that did not answer until the remaining ones are known to have every commit
that was acknowledged during its membership.
"""

from __future__ import annotations

import collections
from collections.abc import Mapping
import dataclasses
import datetime
import functools

from hickorygate.core import catalog
from hickorygate.core import position as positions
from hickorygate.core import reply
from hickorygate.core import types
from hickorygate.upstreams import log_growth
from hickorygate.upstreams import member as members
from hickorygate.upstreams import stall

__all__ = [
    "GroupState",
    "RoundResult",
    "Floor",
    "Leader",
    "ProbeRound",
    "ProbeAnswer",
]

_FLOOR_RETENTION = datetime.timedelta(seconds=10)
"""Age, relative to the newest floor, up to which floors are kept."""
_STALENESS_MARGIN = datetime.timedelta(milliseconds=50)
"""Subtracted from the allowed staleness, because timers can fire late."""


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeAnswer:
    """The answer of one database in a round.

    Attributes:
      leads: whether the database reports that it accepts writes.
      position: log position that is visible to reads on the database.
      status: replication status; None if the round did not request it.
    """

    leads: bool
    position: positions.Position | None
    status: reply.ReplicationStatus | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Leader:
    """A primary and the term that it leads."""

    member: members.MemberId
    term: types.Term


@dataclasses.dataclass(frozen=True, slots=True)
class Floor:
    """The minimum log position that a read must see.

    Attributes:
      since: time before which every acknowledged commit is covered.
      position: log position that covers these commits.
    """

    since: datetime.datetime
    position: positions.Position


@dataclasses.dataclass(slots=True)
class ProbeRound:
    """One status query to all databases of the group.

    Attributes:
      sent: time at which the queries were sent; conclusions from the round
        hold for the time before it.
      asked: databases that were queried.
      with_status: whether the statuses were requested.
      answers: answers received so far, by database.
    """

    sent: datetime.datetime
    asked: frozenset[members.MemberId]
    with_status: bool = False
    answers: dict[members.MemberId, ProbeAnswer] = dataclasses.field(
        default_factory=dict
    )

    @property
    def silent(self) -> frozenset[members.MemberId]:
        """The databases that have not answered."""
        return self.asked - self.answers.keys()

    @property
    def statuses(self) -> dict[members.MemberId, reply.ReplicationStatus]:
        """The statuses in the answers, by database."""
        return {
            name: answer.status
            for name, answer in self.answers.items()
            if answer.status is not None
        }

    @property
    def leading(self) -> frozenset[members.MemberId]:
        """The databases that answered as the primary."""
        return frozenset(n for n, a in self.answers.items() if a.leads)


@dataclasses.dataclass(frozen=True, slots=True)
class RoundResult:
    """The conclusions from one round.

    Attributes:
      leader: the primary with the highest term that answered; None if no
        primary answered.
      confirmed: whether no other database can have been the primary when the
        round was sent.
      floor: position that covers all commits acknowledged before the round;
        None if unknown.
      replication: how far the replicas are; None if the round requested no log
        ends or too few answered.
      has_statuses: whether the round requested the statuses.
      statuses: the statuses, by database.
      silent: databases that returned no status.
      followers: databases that answered as replicas.
    """

    leader: Leader | None
    confirmed: bool
    floor: Floor | None
    replication: stall.ReplicationSample | None = None
    has_statuses: bool = False
    statuses: Mapping[members.MemberId, reply.ReplicationStatus] = (
        dataclasses.field(default_factory=dict)
    )
    silent: frozenset[members.MemberId] = frozenset()
    followers: frozenset[members.MemberId] = frozenset()


class GroupState:
    """The known state of one group: primary, positions and floors."""

    __slots__ = (
        "_departed",
        "_floors",
        "_growth",
        "_leader",
        "_members",
        "_positions",
        "_synchronous_replicas",
        "_term",
    )

    def __init__(self, synchronous_replicas: int) -> None:
        self._synchronous_replicas = synchronous_replicas
        self._members: dict[members.MemberId, members.Member] = {}
        self._departed: dict[str, positions.Position | None] = {}
        self._positions: dict[members.MemberId, positions.Position] = {}
        self._floors: collections.deque[Floor] = collections.deque()
        self._leader: Leader | None = None
        self._term: types.Term = 0
        self._growth = log_growth.LogGrowth()

    @property
    def leader(self) -> Leader | None:
        """The known primary with the highest term; None while unreachable."""
        return self._leader

    @property
    def term(self) -> types.Term:
        """The highest term seen so far."""
        return self._term

    @property
    def members(self) -> dict[members.MemberId, members.Member]:
        """The databases of the group, by id."""
        return self._members

    @property
    def departed(self) -> frozenset[str]:
        """Databases that left and may have held the only copy of a commit."""
        return frozenset(self._departed)

    @property
    def growth(self) -> log_growth.LogGrowth:
        """The growth of the replicas' logs."""
        return self._growth

    @property
    def synchronous_replicas(self) -> int:
        """The number of replicas that must have a commit to acknowledge it."""
        return self._synchronous_replicas

    def __repr__(self) -> str:
        return (
            f"GroupState(leader={self._leader}, members={len(self._members)})"
        )

    def set_synchronous_replicas(self, synchronous_replicas: int) -> None:
        """Sets the number of synchronous replicas."""
        self._synchronous_replicas = synchronous_replicas

    def set_members(self, listed: tuple[members.Member, ...]) -> None:
        """Replaces the set of databases.

        A database that is missing from the new list, or that was restarted
        under the same id, becomes a departed database.
        """
        new = {member.id: member for member in listed}
        for name, member in self._members.items():
            current = new.get(name)
            if current is None or current.born != member.born:
                self._departed[f"{name}@{member.born}"] = None
                self._positions.pop(name, None)
                if self._leader is not None and self._leader.member == name:
                    self._leader = None
        self._members = new

    def open_round(
        self, now: datetime.datetime, with_status: bool = False
    ) -> ProbeRound:
        """Creates a round; `evaluate` evaluates it once the answers arrived.

        Args:
          now: current time.
          with_status: whether the round requests the statuses.
        """
        return ProbeRound(now, frozenset(self._members), with_status)

    def record_position(
        self, name: members.MemberId, position: positions.Position | None
    ) -> None:
        """Records the log position from any response of a database.

        A position of a newer term than the known primary's shows that this
        database leads no more.
        """
        if position is not None:
            self._positions[name] = position
            self._record_term(position.term)

    def position(self, name: members.MemberId) -> positions.Position | None:
        """Returns the last known log position of a database."""
        return self._positions.get(name)

    def lose_leader(self) -> None:
        """Clears the primary because it is unreachable."""
        self._leader = None

    def evaluate(self, probe_round: ProbeRound) -> RoundResult:
        """Evaluates a round, updates the state and returns the conclusions."""
        for name, answer in probe_round.answers.items():
            self.record_position(name, answer.position)
            if answer.status is not None:
                self._record_term(answer.status.term)
        self._record_log_ends(probe_round)
        leader = self._find_leader(probe_round)
        floor = (
            self._floor_from_replicas(probe_round, leader)
            or self._floor_from_primary(probe_round, leader)
            or self._floor_from_log_ends(probe_round)
        )
        if floor is not None:
            self._add_floor(floor)
        if leader is not None and leader.term >= self._term:
            self._leader = leader
            self._clear_departed(probe_round, leader)
        confirmed = (
            leader is not None
            and floor is not None
            and floor.position.term <= leader.term
        )
        replication = self._compare_logs(probe_round, leader)
        statuses = probe_round.statuses
        return RoundResult(
            leader,
            confirmed,
            floor,
            replication,
            probe_round.with_status,
            statuses,
            probe_round.asked - statuses.keys(),
            frozenset(probe_round.answers.keys() - probe_round.leading),
        )

    def floor(
        self, consistency: catalog.Consistency, now: datetime.datetime
    ) -> Floor | None:
        """Returns the floor for a read that arrives now; None if unknown."""
        return _required_floor(consistency, self, now)

    def floor_since(self, oldest: datetime.datetime) -> Floor | None:
        """Returns the oldest floor that covers all commits before a time."""
        for floor in self._floors:
            if floor.since >= oldest:
                return floor
        return None

    def needs_statuses(self, probe_round: ProbeRound) -> bool:
        """Returns whether the status is needed to determine the primary.

        True if the databases that answered as primary differ from the known
        primary. Their positions are not sufficient: a position has the term
        of the last log entry, which can be the term of a former primary.
        """
        leading = probe_round.leading
        if not leading:
            return False
        known = self._leader.member if self._leader else None
        return leading != {known}

    def _record_term(self, term: types.Term) -> None:
        """Records that a term has begun; what led an earlier one doesn't."""
        self._term = max(self._term, term)
        if self._leader is not None and self._leader.term < self._term:
            self._leader = None

    def _record_log_ends(self, probe_round: ProbeRound) -> None:
        ends = {
            name: answer.status.received
            for name, answer in probe_round.answers.items()
            if answer.status is not None and not answer.leads
        }
        if ends:
            self._growth.record(ends, probe_round.sent)

    def _compare_logs(
        self, probe_round: ProbeRound, leader: Leader | None
    ) -> stall.ReplicationSample | None:
        """Compares the logs of the primary and of its replicas."""
        needed = self._synchronous_replicas
        if leader is None or not needed:
            return None
        position = probe_round.answers[leader.member].position
        ends = sorted(
            answer.status.received
            for answer in probe_round.answers.values()
            if answer.status is not None and not answer.leads
        )
        if position is None or len(ends) < needed:
            return None
        return stall.ReplicationSample(
            probe_round.sent, position, ends[-needed]
        )

    def _find_leader(self, probe_round: ProbeRound) -> Leader | None:
        leading = [
            Leader(name, self._term_of(name, answer))
            for name, answer in probe_round.answers.items()
            if answer.leads
        ]
        return max(leading, key=lambda leader: leader.term, default=None)

    def _term_of(
        self, name: members.MemberId, answer: ProbeAnswer
    ) -> types.Term:
        if answer.status is not None:
            return answer.status.term
        if self._leader is not None and self._leader.member == name:
            return self._leader.term
        return answer.position.term if answer.position else 0

    def _floor_from_primary(
        self, probe_round: ProbeRound, leader: Leader | None
    ) -> Floor | None:
        """Returns the primary's position as the floor, if that is safe.

        Requires that all databases answered and that none has a position of
        a higher term than the primary's.
        """
        if (
            leader is None
            or probe_round.silent
            or probe_round.asked != self._members.keys()
        ):
            return None
        leader_position = probe_round.answers[leader.member].position
        terms = [
            s.position.term for s in probe_round.answers.values() if s.position
        ]
        if leader_position is None or max(terms) > leader.term:
            return None
        return Floor(probe_round.sent, leader_position)

    def _floor_from_replicas(
        self, probe_round: ProbeRound, leader: Leader | None
    ) -> Floor | None:
        """Returns the greatest log end among the replicas as the floor.

        At least one replica has each acknowledged commit. The primary can be
        ahead of all replicas with commits that it cannot acknowledge; reads
        must not wait for those. The floor never exceeds the primary's
        position.
        """
        primary_floor = self._floor_from_primary(probe_round, leader)
        if (
            primary_floor is None
            or leader is None
            or not self._synchronous_replicas
        ):
            return None
        replicas = [
            s for n, s in probe_round.answers.items() if n != leader.member
        ]
        log_ends = [s.status.received for s in replicas if s.status]
        if self._departed or not log_ends or len(log_ends) < len(replicas):
            return None
        return Floor(
            probe_round.sent, min(max(log_ends), primary_floor.position)
        )

    def _floor_from_log_ends(self, probe_round: ProbeRound) -> Floor | None:
        """Returns the greatest log end among all answers as the floor.

        Requires that so few databases are silent or departed that each
        acknowledged commit is in the log of a database that answered.
        """
        silent = len(probe_round.silent) + len(self._departed)
        silent += len(self._members.keys() - probe_round.asked)
        log_ends = [
            s.status.received for s in probe_round.answers.values() if s.status
        ]
        complete = len(log_ends) == len(probe_round.answers)
        if not (log_ends and complete) or silent > self._synchronous_replicas:
            return None
        return Floor(probe_round.sent, max(log_ends))

    def _add_floor(self, floor: Floor) -> None:
        self._floors.append(floor)
        while floor.since - self._floors[0].since > _FLOOR_RETENTION:
            self._floors.popleft()

    def _clear_departed(self, probe_round: ProbeRound, leader: Leader) -> None:
        """Removes departed databases whose commits the replicas now have.

        The first round after the departure records the primary's position.
        The departed database is removed when enough replicas have reached
        that position.
        """
        leader_position = probe_round.answers[leader.member].position
        if leader_position is None:
            return
        others = [
            (s.status.received if s.status else s.position)
            for name, s in probe_round.answers.items()
            if name != leader.member
        ]
        for name, required in list(self._departed.items()):
            if required is None:
                self._departed[name] = leader_position
                continue
            holders = [p for p in others if p is not None and p >= required]
            if len(holders) >= self._synchronous_replicas:
                del self._departed[name]


@functools.singledispatch
def _required_floor(
    consistency: catalog.Consistency,
    state: GroupState,
    now: datetime.datetime,
) -> Floor | None:
    """Returns the floor of a read.

    The result is None for a read that must see the newest state.
    """
    return None


@_required_floor.register
def _(
    consistency: catalog.BoundedStaleness,
    state: GroupState,
    now: datetime.datetime,
) -> Floor | None:
    oldest = now - consistency.staleness + _STALENESS_MARGIN
    return state.floor_since(oldest)
