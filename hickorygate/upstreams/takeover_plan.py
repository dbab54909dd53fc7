"""Decides how to replace a primary, without I/O."""

from __future__ import annotations

from collections.abc import Collection
import dataclasses
import functools

from hickorygate.core import types
from hickorygate.upstreams import member as members
from hickorygate.upstreams import takeover_trigger

__all__ = ["Plan", "plan"]


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """The parameters of a takeover.

    Attributes:
      service: service whose primary is replaced.
      term: term of the new primary.
      reason: description of the cause, for the event log.
      leader: primary to replace; None if unknown.
      candidate: replica to promote in a planned takeover; None if the
        primary is lost.
      pause: replicas to pause.
      max_silent: maximum number of databases that may fail to respond,
        including the lost primary.
      unreachable_count: number of databases that are counted as not responding
        although they are not asked to pause: departed databases and the lost
        primary, known or not; 0 in a planned takeover.
      leaving: databases that are about to stop and are promoted only if no
        other database has as much of the log.
      leader_answers: whether the primary to replace answered when the plan was
        made. Otherwise a primary that answers shows that the plan is obsolete.
    """

    service: types.ServiceName
    term: types.Term
    reason: str
    leader: members.MemberId | None
    candidate: members.MemberId | None
    pause: frozenset[members.MemberId]
    max_silent: int
    unreachable_count: int
    leaving: frozenset[members.MemberId]
    leader_answers: bool = False

    @property
    def replicas(self) -> frozenset[members.MemberId]:
        """The databases that must not be the primary when replicas pause."""
        candidate = self.candidate
        return self.pause | ({candidate} if candidate else frozenset())

    def suffices(self, answered: Collection[members.MemberId]) -> bool:
        """Returns whether enough replicas answered to promote one of them.

        In a planned takeover, which doesn't stop the primary, all must have.
        """
        missing = self.pause.difference(answered)
        if self.candidate is not None:
            return not missing
        silent = len(missing) + self.unreachable_count
        return bool(answered) and silent <= self.max_silent


def plan(
    service: types.ServiceName,
    reason: takeover_trigger.Reason,
    situation: takeover_trigger.GroupSnapshot,
) -> Plan | None:
    """Returns the plan of the takeover; None if there is no candidate."""
    return _plan(reason, service, situation)


@functools.singledispatch
def _plan(
    reason: takeover_trigger.Reason,
    service: types.ServiceName,
    situation: takeover_trigger.GroupSnapshot,
) -> Plan | None:
    raise TypeError(f"no plan for {reason!r} is registered")


@_plan.register
def _(
    reason: takeover_trigger.Lost,
    service: types.ServiceName,
    situation: takeover_trigger.GroupSnapshot,
) -> Plan | None:
    return _plan_after_loss("the primary is unreachable", service, situation)


@_plan.register
def _(
    reason: takeover_trigger.Stalled,
    service: types.ServiceName,
    situation: takeover_trigger.GroupSnapshot,
) -> Plan | None:
    return _plan_after_loss(
        "the primary doesn't acknowledge commits", service, situation
    )


@_plan.register
def _(
    reason: takeover_trigger.Leaving,
    service: types.ServiceName,
    situation: takeover_trigger.GroupSnapshot,
) -> Plan | None:
    leader, candidate = (
        situation.leader,
        takeover_trigger.find_candidate(situation),
    )
    if leader is None or candidate is None:
        return None
    others = situation.members.keys() - {leader.member, candidate}
    return Plan(
        service=service,
        term=situation.term + 1,
        reason="the primary is about to stop",
        leader=leader.member,
        candidate=candidate,
        pause=frozenset(others),
        max_silent=0,
        unreachable_count=0,
        leaving=_leaving_members(situation),
        leader_answers=True,
    )


def _plan_after_loss(
    reason: str,
    service: types.ServiceName,
    situation: takeover_trigger.GroupSnapshot,
) -> Plan:
    former = situation.leader or situation.lost
    name = former.member if former is not None else None
    listed = name in situation.members
    return Plan(
        service=service,
        term=situation.term + 1,
        reason=reason,
        leader=name,
        candidate=None,
        pause=frozenset(situation.members.keys() - {name}),
        # The lost primary isn't asked to pause and counts as one database
        # without a response, so at least one such database must be allowed.
        max_silent=max(situation.synchronous_replicas, 1),
        # A primary that isn't listed is one of the departed databases, or left
        # before this process could learn of it.
        unreachable_count=max(len(situation.departed) + int(listed), 1),
        leaving=_leaving_members(situation),
        leader_answers=situation.leader is not None,
    )


def _leaving_members(
    situation: takeover_trigger.GroupSnapshot,
) -> frozenset[members.MemberId]:
    return frozenset(
        name for name, member in situation.members.items() if member.leaving
    )
