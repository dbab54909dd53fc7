"""Replacing a primary by the most advanced replica: decisions without I/O.

Where the primary is lost, every replica is paused first: from then on nothing
can be acknowledged under the old term, and the answers to the pauses show who
holds what. The one whose log ends last is promoted. No more databases than
there are synchronous replicas may stay unheard, the primary included, since
they could be the only holders of a commit.

Where the primary is about to stop but still serves, all replicas but the
candidate are paused: every commit is then acknowledged through the candidate,
which loses none of them, and the primary serves until the change takes
effect.

A pause is never taken back: a promotion that was ordered may still take
effect, or another proxy's may have, and a replica that received from the
former primary again would let it acknowledge what the new one lacks. The
pause ends when the new primary leads; if none does, the next attempt goes on
from it.
"""

from __future__ import annotations

import dataclasses
import datetime
import enum
import functools

from hickorygate.core import position as positions
from hickorygate.core import reply as replies
from hickorygate.core import types
from hickorygate.upstreams import member as members

__all__ = [
    "CandidateSeen",
    "CompareCandidate",
    "Effect",
    "Event",
    "Finish",
    "LeaderFound",
    "OrderPromotion",
    "PauseReplica",
    "Plan",
    "PromotionEnded",
    "ReplicaPaused",
    "Stage",
    "Takeover",
    "handle",
]

_LIMIT = datetime.timedelta(seconds=6)
_EFFECT_LIMIT = datetime.timedelta(seconds=3)
"""After which a promotion that was accepted counts as without effect."""

_RETRY = datetime.timedelta(milliseconds=150)


class Stage(enum.Enum):
    """Where a takeover stands."""

    PAUSING = "pausing replicas"
    CATCHING_UP = "the candidate catches up"
    PROMOTING = "ordering the promotion"
    AWAITING = "waiting for the promotion to take effect"


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Why and how a primary is replaced.

    Attributes:
      service: whose primary it is.
      term: that the new primary will lead.
      reason: why, for people.
      leader: the primary to replace, if known.
      candidate: the replica that takes over while the primary still serves;
        None if the primary is lost.
      pause: the replicas to pause.
      unheard: databases that may stay unheard, the lost primary included.
      absent: databases that are known to be out of reach.
      leaving: databases that shouldn't be promoted, being about to stop.
    """

    service: types.ServiceName
    term: types.Term
    reason: str
    leader: members.MemberId | None
    candidate: members.MemberId | None
    pause: frozenset[members.MemberId]
    unheard: int
    absent: int
    leaving: frozenset[members.MemberId]


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """Base of the events."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaPaused(Event):
    """A pause was answered; None if the answer was lost."""

    member: members.MemberId
    status: replies.GroupStatus | None


@dataclasses.dataclass(frozen=True, slots=True)
class CandidateSeen(Event):
    """Positions that were read after the pauses.

    Attributes:
      leader: the primary's; read first.
      candidate: the candidate's end of log.
    """

    leader: positions.Position
    candidate: positions.Position


@dataclasses.dataclass(frozen=True, slots=True)
class PromotionEnded(Event):
    """The order was answered; accepted or not."""

    accepted: bool


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderFound(Event):
    """A database was seen to lead a term."""

    member: members.MemberId
    term: types.Term


@dataclasses.dataclass(frozen=True, slots=True)
class Effect:
    """Base of the effects."""


@dataclasses.dataclass(frozen=True, slots=True)
class PauseReplica(Effect):
    """Pause a replica; answered by ReplicaPaused."""

    member: members.MemberId
    term: types.Term


@dataclasses.dataclass(frozen=True, slots=True)
class CompareCandidate(Effect):
    """Read both positions, the primary's first; see CandidateSeen."""

    leader: members.MemberId
    candidate: members.MemberId


@dataclasses.dataclass(frozen=True, slots=True)
class OrderPromotion(Effect):
    """Order the promotion; answered by PromotionEnded."""

    member: members.MemberId


@dataclasses.dataclass(frozen=True, slots=True)
class Finish(Effect):
    """The takeover is over.

    Attributes:
      led: whether a database leads the new term.
      demote: the former primary, if it may still believe to lead.
      outcome: for people.
    """

    led: bool
    demote: members.MemberId | None
    outcome: str


class Takeover:
    """One attempt to replace a primary."""

    __slots__ = (
        "_chosen",
        "_outstanding",
        "_plan",
        "_since",
        "_stage",
        "_started",
        "_statuses",
        "_tried",
    )

    def __init__(self, plan: Plan, now: datetime.datetime) -> None:
        self._plan = plan
        self._stage = Stage.PAUSING
        self._started = now
        self._since = now
        self._statuses: dict[members.MemberId, replies.GroupStatus] = {}
        self._outstanding: set[members.MemberId] = set()
        self._tried: dict[members.MemberId, datetime.datetime] = {}
        self._chosen = plan.candidate

    @property
    def plan(self) -> Plan:
        """Why and how."""
        return self._plan

    @property
    def stage(self) -> Stage:
        """Where it stands."""
        return self._stage

    @property
    def chosen(self) -> members.MemberId | None:
        """The replica that takes over, once chosen."""
        return self._chosen

    @property
    def statuses(self) -> dict[members.MemberId, replies.GroupStatus]:
        """What the paused replicas said."""
        return self._statuses

    def __repr__(self) -> str:
        return f"Takeover({self._plan.service!r}, {self._stage.value})"

    def advance(self, now: datetime.datetime) -> list[Effect]:
        """Carries on; call it after each event and from time to time."""
        if now - self._started >= _LIMIT:
            return [self._give_up("took too long")]
        if self._stage is Stage.PAUSING and self._may_choose():
            self._enter_after_pauses(now)
        match self._stage:
            case Stage.PAUSING:
                return self._pauses(now)
            case Stage.CATCHING_UP:
                return self._compare(now)
            case Stage.PROMOTING:
                return self._order(now)
            case Stage.AWAITING:
                if now - self._since >= _EFFECT_LIMIT:
                    return [self._give_up("the promotion had no effect")]
        return []

    def take_pause(self, event: ReplicaPaused) -> list[Effect]:
        """Takes in the answer to a pause."""
        self._outstanding.discard(event.member)
        status = event.status
        if status is None:
            return []
        if status.term >= self._plan.term:
            return [self._give_up("another database leads a newer term")]
        if status.paused_for >= self._plan.term:
            self._statuses[event.member] = status
        return []

    def take_candidate(
        self, event: CandidateSeen, now: datetime.datetime
    ) -> list[Effect]:
        """Takes in how far the candidate is behind the primary."""
        self._outstanding.clear()
        if self._stage is Stage.CATCHING_UP and event.candidate >= event.leader:
            self._enter(Stage.PROMOTING, now)
        return []

    def take_promotion(
        self, event: PromotionEnded, now: datetime.datetime
    ) -> list[Effect]:
        """Takes in what became of the order."""
        self._outstanding.clear()
        if self._stage is Stage.PROMOTING and event.accepted:
            self._enter(Stage.AWAITING, now)
        return []

    def take_leader(self, event: LeaderFound) -> list[Effect]:
        """Takes in that a database leads; ends the takeover if it is new."""
        if event.term < self._plan.term:
            return []
        former = self._plan.leader
        demote = former if former != event.member else None
        return [Finish(True, demote, f"{event.member} leads")]

    def _may_choose(self) -> bool:
        missing = len(self._plan.pause - self._statuses.keys())
        if self._plan.candidate is not None:
            return not missing
        silent = missing + self._plan.absent
        return bool(self._statuses) and silent <= self._plan.unheard

    def _enter_after_pauses(self, now: datetime.datetime) -> None:
        if self._plan.candidate is not None:
            self._enter(Stage.CATCHING_UP, now)
            return
        self._chosen = max(self._statuses, key=self._merit)
        self._enter(Stage.PROMOTING, now)

    def _merit(
        self, name: members.MemberId
    ) -> tuple[positions.Position, bool, str]:
        """The end of the log decides; then who isn't about to stop."""
        stays = name not in self._plan.leaving
        return (self._statuses[name].received, stays, name)

    def _enter(self, stage: Stage, now: datetime.datetime) -> None:
        self._stage = stage
        self._since = now
        self._outstanding.clear()
        self._tried.clear()

    def _pauses(self, now: datetime.datetime) -> list[Effect]:
        wanted = self._plan.pause - self._statuses.keys()
        return [
            PauseReplica(name, self._plan.term)
            for name in sorted(wanted)
            if self._due(name, now)
        ]

    def _compare(self, now: datetime.datetime) -> list[Effect]:
        leader, candidate = self._plan.leader, self._chosen
        assert leader and candidate, "a candidate follows a known primary"
        due = self._due(candidate, now)
        return [CompareCandidate(leader, candidate)] if due else []

    def _order(self, now: datetime.datetime) -> list[Effect]:
        assert self._chosen is not None, "chosen before it is promoted"
        due = self._due(self._chosen, now)
        return [OrderPromotion(self._chosen)] if due else []

    def _due(self, name: members.MemberId, now: datetime.datetime) -> bool:
        """Marks a call as made, unless it is outstanding or was just made."""
        tried = self._tried.get(name)
        if name in self._outstanding:
            return False
        if tried is not None and now - tried < _RETRY:
            return False
        self._outstanding.add(name)
        self._tried[name] = now
        return True

    def _give_up(self, outcome: str) -> Finish:
        return Finish(False, None, f"given up: {outcome}")


@functools.singledispatch
def handle(
    event: Event, takeover: Takeover, now: datetime.datetime
) -> list[Effect]:
    """Takes in an event and returns what to do at once."""
    raise TypeError(f"no way to handle {event!r}; register one")


@handle.register
def _(
    event: ReplicaPaused, takeover: Takeover, now: datetime.datetime
) -> list[Effect]:
    return takeover.take_pause(event)


@handle.register
def _(
    event: CandidateSeen, takeover: Takeover, now: datetime.datetime
) -> list[Effect]:
    return takeover.take_candidate(event, now)


@handle.register
def _(
    event: PromotionEnded, takeover: Takeover, now: datetime.datetime
) -> list[Effect]:
    return takeover.take_promotion(event, now)


@handle.register
def _(
    event: LeaderFound, takeover: Takeover, now: datetime.datetime
) -> list[Effect]:
    return takeover.take_leader(event)
