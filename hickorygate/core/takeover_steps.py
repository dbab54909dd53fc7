"""Events about the steps of a takeover and what it learned in them.

Each contains the term that the takeover is to begin and the fencing token of
the promotion lease, by which its lines are found.
"""

from __future__ import annotations

import dataclasses
import datetime

from hickorygate.core import events
from hickorygate.core import position as positions
from hickorygate.core import types

__all__ = [
    "CandidateCompared",
    "PauseLost",
    "PromotionSent",
    "ReplicaAnswered",
    "ReplicaSilent",
    "TakeoverEnded",
    "TakeoverStarted",
]


@dataclasses.dataclass(frozen=True, slots=True)
class TakeoverStarted(events.Event):
    """This process started to replace a primary.

    Attributes:
      service: name of the service.
      term: term of the attempt.
      reason: why the primary is replaced.
      number: fencing token of the promotion lease.
      leader: id of the primary to replace; empty if none is known.
      leader_term: term that this primary leads; 0 if none is known.
      view_age: time since the queries were sent on whose answers the attempt
        rests; None if there were none.
      listed: ids of the databases in the list.
      leaving: ids of those that announced their shutdown.
      unreachable: ids of those that didn't answer lately.
      departed: databases that left the list and count as silent.
      asked: ids of the databases that the attempt asks.
      max_silent: number of databases, with the primary, that may be silent.
    """

    service: types.ServiceName
    term: types.Term
    reason: str
    number: int
    leader: str
    leader_term: types.Term
    view_age: datetime.timedelta | None
    listed: tuple[str, ...]
    leaving: tuple[str, ...]
    unreachable: tuple[str, ...]
    departed: tuple[str, ...]
    asked: tuple[str, ...]
    max_silent: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaAnswered(events.Event):
    """A database answered a takeover.

    An answer that repeats the previous one is not recorded.

    Attributes:
      service: name of the service.
      term: term of the takeover.
      number: fencing token of the promotion lease.
      stage: stage of the takeover in which the database was asked.
      member: id of the database.
      is_primary: whether it is a primary.
      member_term: term that it leads or follows.
      received: end of its log.
      paused_for: term whose primary it waits for; 0 if it isn't paused.
      took: time from the query to the answer.
    """

    service: types.ServiceName
    term: types.Term
    number: int
    stage: str
    member: str
    is_primary: bool
    member_term: types.Term
    received: positions.Position
    paused_for: types.Term
    took: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaSilent(events.Event):
    """A database didn't answer a takeover.

    The event is recorded for the first query without an answer and, if no
    answer followed, at the end of the takeover.

    Attributes:
      service: name of the service.
      term: term of the takeover.
      number: fencing token of the promotion lease.
      stage: stage of the takeover in which the database was asked last.
      member: id of the database.
      tries: number of queries since its last answer.
      since: time since the first of them.
    """

    service: types.ServiceName
    term: types.Term
    number: int
    stage: str
    member: str
    tries: int
    since: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class CandidateCompared(events.Event):
    """The logs of the primary and of the candidate were compared.

    This belongs to the takeover of a primary that still serves, whose candidate
    must catch up. A comparison with the same result as the previous one is not
    recorded.

    Attributes:
      service: name of the service.
      term: term of the takeover.
      number: fencing token of the promotion lease.
      leader: id of the primary.
      position: position of its log, read first; None if it could not be read.
      candidate: id of the candidate.
      received: end of its log; None if it could not be read.
    """

    service: types.ServiceName
    term: types.Term
    number: int
    leader: str
    position: positions.Position | None
    candidate: str
    received: positions.Position | None


@dataclasses.dataclass(frozen=True, slots=True)
class PromotionSent(events.Event):
    """The platform is about to be asked to promote a database.

    The answer is recorded as `PromotionOrdered`.

    Attributes:
      service: name of the service.
      term: term of the takeover.
      number: fencing token of the promotion lease.
      member: id of the database.
      received: end of the database's log; None if unknown.
    """

    service: types.ServiceName
    term: types.Term
    number: int
    member: str
    received: positions.Position | None


@dataclasses.dataclass(frozen=True, slots=True)
class PauseLost(events.Event):
    """A replica that a takeover had paused isn't paused any more.

    Attributes:
      service: name of the service.
      member: id of the replica.
      term: term of the takeover.
      number: fencing token of the promotion lease.
      ordered: whether the promotion was ordered already.
    """

    service: types.ServiceName
    member: str
    term: types.Term
    number: int
    ordered: bool


@dataclasses.dataclass(frozen=True, slots=True)
class TakeoverEnded(events.Event):
    """An attempt to replace a primary ended.

    Attributes:
      service: name of the service.
      term: term of the attempt.
      number: fencing token of the promotion lease.
      outcome: how the attempt ended.
    """

    service: types.ServiceName
    term: types.Term
    number: int
    outcome: str
