"""Events that a takeover handles, and the actions that it requests."""

from __future__ import annotations

import dataclasses

from hickorygate.core import position
from hickorygate.core import reply
from hickorygate.core import types
from hickorygate.upstreams import member as members
from hickorygate.upstreams import promotion_order

__all__ = [
    "CandidateSeen",
    "CompareCandidate",
    "ComparisonFailed",
    "Effect",
    "Event",
    "Finish",
    "InspectReplica",
    "LeaderFound",
    "LeaderReplaced",
    "LeaseLost",
    "OrderPromotion",
    "PauseReplica",
    "PromotionEnded",
    "RecordLostPause",
    "ReplicaInspected",
    "ReplicaPaused",
]


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """Base class of the events that a takeover handles."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaInspected(Event):
    """The result of an inspection.

    Attributes:
      member: replica that was asked for its status.
      status: its status; None if the response was lost.
      number: number of the request's `InspectReplica`.
    """

    member: members.MemberId
    status: reply.ReplicationStatus | None
    number: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaPaused(Event):
    """The result of a pause request.

    Attributes:
      member: replica that was asked to pause.
      status: status that the replica returned; None if the response was lost.
    """

    member: members.MemberId
    status: reply.ReplicationStatus | None


@dataclasses.dataclass(frozen=True, slots=True)
class CandidateSeen(Event):
    """Positions that were read after all pauses were confirmed.

    Attributes:
      leader: log position of the primary, read first.
      candidate: log end of the candidate.
    """

    leader: position.Position
    candidate: position.Position


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderReplaced(Event):
    """The database to replace, or the candidate, has another role than planned.

    Attributes:
      reason: what was found, for the event log.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class ComparisonFailed(Event):
    """A position could not be read, so that the comparison is repeated."""


@dataclasses.dataclass(frozen=True, slots=True)
class PromotionEnded(Event):
    """The result of a promotion order."""

    outcome: promotion_order.OrderOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseLost(Event):
    """An order wasn't sent, since another proxy may have ordered before it."""


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderFound(Event):
    """A database was found to be the primary of a term."""

    member: members.MemberId
    term: types.Term


@dataclasses.dataclass(frozen=True, slots=True)
class Effect:
    """Base class of the actions that a takeover requests."""


@dataclasses.dataclass(frozen=True, slots=True)
class InspectReplica(Effect):
    """Read a replica's status; the result arrives as ReplicaInspected.

    Attributes:
      member: the replica.
      number: number of the stage in which the status was requested. An answer
        to an earlier stage may be older than what the present one relies on.
    """

    member: members.MemberId
    number: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RecordLostPause(Effect):
    """Record that a replica isn't paused any more.

    Attributes:
      member: the replica.
      ordered: whether a promotion was ordered already.
    """

    member: members.MemberId
    ordered: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PauseReplica(Effect):
    """Pause a replica; the result arrives as ReplicaPaused."""

    member: members.MemberId
    term: types.Term


@dataclasses.dataclass(frozen=True, slots=True)
class CompareCandidate(Effect):
    """Read the primary's position, then the candidate's log end.

    The result arrives as `CandidateSeen`, as `ComparisonFailed` if a position
    could not be read, or as `LeaderReplaced` if the roles have changed.
    """

    leader: members.MemberId
    candidate: members.MemberId


@dataclasses.dataclass(frozen=True, slots=True)
class OrderPromotion(Effect):
    """Order the promotion.

    The result arrives as `PromotionEnded`, or as `LeaseLost` if the order
    wasn't sent for that reason.
    """

    member: members.MemberId


@dataclasses.dataclass(frozen=True, slots=True)
class Finish(Effect):
    """End the takeover.

    Attributes:
      succeeded: whether a database leads the new term.
      demote: former primary to demote, because it may still act as primary;
        None if there is none.
      outcome: description of the result, for the event log.
    """

    succeeded: bool
    demote: members.MemberId | None
    outcome: str
