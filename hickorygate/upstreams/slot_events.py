"""Events and effects of the slot allocation of one database."""

from __future__ import annotations

import dataclasses
import datetime

from hickorygate.core import errors

__all__ = [
    "QueueForSlot",
    "ChannelEffect",
    "ChannelEvent",
    "Close",
    "Demand",
    "Effect",
    "Event",
    "SlotGranted",
    "DatabaseLeaving",
    "LeaseConnection",
    "ConnectionLost",
    "SlotUnavailable",
    "Open",
    "OpenFailed",
    "Opened",
    "RefuseWaiting",
    "Release",
    "SlotReleased",
    "ConnectionReturned",
    "StatementStalled",
    "Tick",
    "TryAcquire",
    "ScheduleTick",
    "YieldSlot",
]


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """Base class of the events."""


@dataclasses.dataclass(frozen=True, slots=True)
class Demand(Event):
    """The number of waiting requests was reported.

    Attributes:
      waiting: number of requests that wait in this proxy.
      urgent: whether one of these requests may run before ordinary requests
        of other proxies: it is of the most urgent rank, or no request was
        started for a long time.
    """

    waiting: int
    urgent: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Tick(Event):
    """Time has passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class DatabaseLeaving(Event):
    """The database is about to be removed from service."""


@dataclasses.dataclass(frozen=True, slots=True)
class ChannelEvent(Event):
    """Base class of the events of one channel.

    Attributes:
      channel: number of the channel.
    """

    channel: int


@dataclasses.dataclass(frozen=True, slots=True)
class Opened(ChannelEvent):
    """A connection is open and counts towards the connection limit."""


@dataclasses.dataclass(frozen=True, slots=True)
class OpenFailed(ChannelEvent):
    """A connection could not be opened.

    Attributes:
      failure: cause of the failed attempt; waiting requests may be refused
        with it.
    """

    failure: errors.Failure


@dataclasses.dataclass(frozen=True, slots=True)
class SlotGranted(ChannelEvent):
    """The connection holds a slot.

    Attributes:
      slot: number of the slot.
    """

    slot: int


@dataclasses.dataclass(frozen=True, slots=True)
class SlotUnavailable(ChannelEvent):
    """The connection holds no slot.

    No slot was free, the wait for a slot timed out, or the connection yielded
    its slot to a waiting connection.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionReturned(ChannelEvent):
    """A request has ended; the connection still holds its slot."""


@dataclasses.dataclass(frozen=True, slots=True)
class SlotReleased(ChannelEvent):
    """The slot was released."""


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionLost(ChannelEvent):
    """The connection was closed."""


@dataclasses.dataclass(frozen=True, slots=True)
class StatementStalled(ChannelEvent):
    """A statement has made no progress for a long time.

    Either the statement is slow or its answer was lost.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class Effect:
    """Base class of the actions that the pool has to perform."""


@dataclasses.dataclass(frozen=True, slots=True)
class RefuseWaiting(Effect):
    """Reject all waiting requests.

    Attributes:
      failure: failure that the requests are refused with.
    """

    failure: errors.Failure


@dataclasses.dataclass(frozen=True, slots=True)
class ScheduleTick(Effect):
    """Send a `Tick` at the given time.

    Attributes:
      at: time of the tick; replaces the time of an earlier `ScheduleTick`.
    """

    at: datetime.datetime


@dataclasses.dataclass(frozen=True, slots=True)
class ChannelEffect(Effect):
    """Base class of the actions on one channel.

    Attributes:
      channel: number of the channel.
    """

    channel: int


@dataclasses.dataclass(frozen=True, slots=True)
class Open(ChannelEffect):
    """Open a connection; `Opened` or `OpenFailed` follows."""


@dataclasses.dataclass(frozen=True, slots=True)
class TryAcquire(ChannelEffect):
    """Take the first free slot.

    `SlotGranted` or `SlotUnavailable` follows.

    Attributes:
      slots: slots to try, in order.
    """

    slots: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class QueueForSlot(ChannelEffect):
    """Take one of several slots if it is free, else queue for a slot.

    `SlotGranted` or `SlotUnavailable` follows.

    Attributes:
      slot: slot to queue for.
      others: slots to try, in order, before queueing.
      urgent: whether to queue ahead of ordinary requests.
    """

    slot: int
    others: tuple[int, ...]
    urgent: bool


@dataclasses.dataclass(frozen=True, slots=True)
class YieldSlot(ChannelEffect):
    """Pass the slot to the first waiter, or keep it if there is none.

    `SlotUnavailable` or `SlotGranted` follows.

    Attributes:
      slot: slot that the connection holds.
    """

    slot: int


@dataclasses.dataclass(frozen=True, slots=True)
class Release(ChannelEffect):
    """Release the slot; `SlotReleased` follows.

    Attributes:
      slot: slot that the connection holds.
    """

    slot: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseConnection(ChannelEffect):
    """Lease the connection to the next request.

    `ConnectionReturned` follows.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class Close(ChannelEffect):
    """Close the connection; no event follows."""
