"""What a process decides on requests and comes to believe: typed events.

Each is one line of the log and a count among the metrics.
"""

from __future__ import annotations

import dataclasses
import datetime

from hickorygate.core import events
from hickorygate.core import position as positions
from hickorygate.core import types

__all__ = [
    "CatalogApplied",
    "CatalogRejected",
    "DutyLost",
    "DutyWon",
    "EntryIgnored",
    "LeaderChanged",
    "LeaderLost",
    "MemberLeaving",
    "MemberListed",
    "MemberUnlisted",
    "PromotionOrdered",
    "ReadDiscarded",
    "RequestEnded",
    "RequestRetried",
    "SettingsReloaded",
    "StoreLost",
    "StoreRegained",
    "TakeoverEnded",
    "TakeoverStarted",
]


@dataclasses.dataclass(frozen=True, slots=True)
class RequestEnded(events.Event):
    """A request got its final answer.

    Attributes:
      request: the caller's id of it.
      database: the name that the caller connected to.
      kind: the kind of operation.
      served_by: the database that answered; empty if none did.
      outcome: "ok" or the class of the refusal.
      detail: why it was refused.
      version: of the configuration that it was routed by.
      floor: what it had to see at least.
      floor_age: of that floor.
      tries: databases that were asked.
      took: from its arrival to its answer.
    """

    request: str
    database: types.SchemaName
    kind: str
    served_by: str
    outcome: str
    detail: str
    version: int
    floor: positions.Position | None
    floor_age: datetime.timedelta | None
    tries: int
    took: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class RequestRetried(events.Event):
    """A request is tried again after a database failed or refused it."""

    request: str
    database: str
    reason: str
    tries: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReadDiscarded(events.Event):
    """An answer was thrown away: its database was no longer the primary."""

    request: str
    database: str
    leader: str


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderChanged(events.Event):
    """A database leads a group."""

    service: types.ServiceName
    member: str
    term: types.Term
    position: positions.Position | None


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderLost(events.Event):
    """A group's primary is out of reach or about to stop."""

    service: types.ServiceName
    member: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class TakeoverStarted(events.Event):
    """A primary is being replaced."""

    service: types.ServiceName
    term: types.Term
    reason: str
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class PromotionOrdered(events.Event):
    """The platform was told to promote a database."""

    service: types.ServiceName
    member: str
    number: int
    received: positions.Position | None
    accepted: bool


@dataclasses.dataclass(frozen=True, slots=True)
class TakeoverEnded(events.Event):
    """An attempt to replace a primary is over."""

    service: types.ServiceName
    term: types.Term
    outcome: str


@dataclasses.dataclass(frozen=True, slots=True)
class DutyWon(events.Event):
    """This process may order promotions."""

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class DutyLost(events.Event):
    """Another process holds the duty, or the store didn't answer."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class MemberListed(events.Event):
    """A database was added to the list."""

    service: types.ServiceName
    member: str


@dataclasses.dataclass(frozen=True, slots=True)
class MemberLeaving(events.Event):
    """A database announced its shutdown."""

    service: types.ServiceName
    member: str


@dataclasses.dataclass(frozen=True, slots=True)
class MemberUnlisted(events.Event):
    """A database is no longer on the list."""

    service: types.ServiceName
    member: str


@dataclasses.dataclass(frozen=True, slots=True)
class EntryIgnored(events.Event):
    """An entry of the list names no database."""

    entry: str


@dataclasses.dataclass(frozen=True, slots=True)
class CatalogApplied(events.Event):
    """A configuration is in force."""

    version: int
    routes: int


@dataclasses.dataclass(frozen=True, slots=True)
class CatalogRejected(events.Event):
    """A configuration can't be used; the former stays in force."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoreLost(events.Event):
    """The platform's store can't be asked."""

    kind: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoreRegained(events.Event):
    """The platform's store answers again."""

    kind: str


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsReloaded(events.Event):
    """The settings file was read again."""

    problem: str
