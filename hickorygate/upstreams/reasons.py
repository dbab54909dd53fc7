"""Whether a primary must be replaced, and how: decisions without I/O."""

from __future__ import annotations

from collections.abc import Mapping
import dataclasses
import datetime
import functools

from hickorygate.core import position as positions
from hickorygate.core import types
from hickorygate.upstreams import evidence as evidences
from hickorygate.upstreams import member as members
from hickorygate.upstreams import takeover as takeovers

__all__ = ["Leaving", "Lost", "Reason", "Situation", "Stalled", "Watch", "plan"]

_RETRY = datetime.timedelta(seconds=1)
"""After an attempt that was given up."""

_UNKNOWN_LIMIT = datetime.timedelta(seconds=4)
"""How long a process that never saw a primary waits for one to show."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reason:
    """Base of the reasons."""


@dataclasses.dataclass(frozen=True, slots=True)
class Lost(Reason):
    """The primary is out of reach."""


@dataclasses.dataclass(frozen=True, slots=True)
class Leaving(Reason):
    """The primary is about to stop and still serves."""


@dataclasses.dataclass(frozen=True, slots=True)
class Stalled(Reason):
    """The primary answers, and acknowledges nothing."""


@dataclasses.dataclass(frozen=True, slots=True)
class Situation:
    """What is known of a group.

    Attributes:
      leader: the primary; None while it is lost.
      lost: the primary that was lost last; None if none was.
      members: the databases, by id.
      departed: databases that left with commits that may be nowhere else.
      positions: the newest known position of each database.
      unreachable: databases that don't answer.
      stalled: whether the primary acknowledges nothing.
      term: the newest term that was seen.
      synchronous_replicas: replicas that hold a commit before it is
        acknowledged.
    """

    leader: evidences.Leader | None
    lost: evidences.Leader | None
    members: Mapping[members.MemberId, members.Member]
    departed: frozenset[str]
    positions: Mapping[members.MemberId, positions.Position | None]
    unreachable: frozenset[members.MemberId]
    stalled: bool
    term: types.Term
    synchronous_replicas: int


class Watch:
    """Tells from moment to moment whether to begin a takeover."""

    __slots__ = ("_earliest", "_unknown_since")

    def __init__(self) -> None:
        self._earliest: datetime.datetime | None = None
        self._unknown_since: datetime.datetime | None = None

    def __repr__(self) -> str:
        return f"Watch(earliest={self._earliest})"

    def pause(self, now: datetime.datetime) -> None:
        """Takes in that an attempt was given up."""
        self._earliest = now + _RETRY

    def reason(
        self, situation: Situation, now: datetime.datetime
    ) -> Reason | None:
        """Returns why the primary must be replaced now."""
        if situation.leader is not None:
            self._unknown_since = None
        elif self._unknown_since is None:
            self._unknown_since = now
        if self._earliest is not None and now < self._earliest:
            return None
        return self._judge(situation, now)

    def _judge(
        self, situation: Situation, now: datetime.datetime
    ) -> Reason | None:
        leader = situation.leader
        if leader is None:
            return self._judge_absence(situation, now)
        member = situation.members.get(leader.member)
        if member is not None and member.leaving and _candidate(situation):
            return Leaving()
        if situation.stalled:
            return Stalled()
        return None

    def _judge_absence(
        self, situation: Situation, now: datetime.datetime
    ) -> Reason | None:
        if situation.lost is not None:
            return Lost()
        since = self._unknown_since
        if since is not None and now - since >= _UNKNOWN_LIMIT:
            return Lost()
        return None


def _candidate(situation: Situation) -> members.MemberId | None:
    """Returns the replica that should follow a primary that still serves."""
    leader = situation.leader
    assert leader is not None, "a primary that serves is known"
    able = [
        (situation.positions[name], not member.warming, name)
        for name, member in situation.members.items()
        if name != leader.member
        and not member.leaving
        and name not in situation.unreachable
        and situation.positions.get(name) is not None
    ]
    return max(able)[2] if able else None


@functools.singledispatch
def plan(
    service: types.ServiceName, reason: Reason, situation: Situation
) -> takeovers.Plan | None:
    """Returns how to replace the primary; None if nobody can follow."""
    return _plan(reason, service, situation)


@functools.singledispatch
def _plan(
    reason: Reason, service: types.ServiceName, situation: Situation
) -> takeovers.Plan | None:
    raise TypeError(f"no plan for {reason!r}; register one")


@_plan.register
def _(
    reason: Lost, service: types.ServiceName, situation: Situation
) -> takeovers.Plan | None:
    return _after_loss("the primary is out of reach", service, situation)


@_plan.register
def _(
    reason: Stalled, service: types.ServiceName, situation: Situation
) -> takeovers.Plan | None:
    return _after_loss("the primary acknowledges nothing", service, situation)


@_plan.register
def _(
    reason: Leaving, service: types.ServiceName, situation: Situation
) -> takeovers.Plan | None:
    leader, candidate = situation.leader, _candidate(situation)
    if leader is None or candidate is None:
        return None
    others = situation.members.keys() - {leader.member, candidate}
    return takeovers.Plan(
        service=service,
        term=situation.term + 1,
        reason="the primary is about to stop",
        leader=leader.member,
        candidate=candidate,
        pause=frozenset(others),
        unheard=0,
        absent=0,
        leaving=_leaving(situation),
    )


def _after_loss(
    reason: str, service: types.ServiceName, situation: Situation
) -> takeovers.Plan:
    former = situation.leader or situation.lost
    name = former.member if former is not None else None
    listed = name in situation.members
    return takeovers.Plan(
        service=service,
        term=situation.term + 1,
        reason=reason,
        leader=name,
        candidate=None,
        pause=frozenset(situation.members.keys() - {name}),
        # One that can't be asked is the primary itself.
        unheard=max(situation.synchronous_replicas, 1),
        absent=len(situation.departed) + int(listed),
        leaving=_leaving(situation),
    )


def _leaving(situation: Situation) -> frozenset[members.MemberId]:
    return frozenset(
        name for name, member in situation.members.items() if member.leaving
    )
