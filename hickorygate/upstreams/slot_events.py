"""What happens to the connections that hold slots, and what is to be done."""

from __future__ import annotations

import dataclasses
import datetime

from hickorygate.core import errors

__all__ = [
    "Await",
    "ChannelEffect",
    "ChannelEvent",
    "Close",
    "Demand",
    "Effect",
    "Event",
    "Granted",
    "Leave",
    "Lend",
    "Lost",
    "NotFree",
    "Open",
    "OpenFailed",
    "Opened",
    "Refuse",
    "Release",
    "Released",
    "Returned",
    "Stalled",
    "Tick",
    "Try",
    "Wake",
    "Yield",
]


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """Base of what happened."""


@dataclasses.dataclass(frozen=True, slots=True)
class Demand(Event):
    """Requests wait.

    Attributes:
      waiting: how many.
      pressing: whether one of them may go before the other proxies' ordinary
        work: it is of the most urgent rank, or has been passed over for long.
    """

    waiting: int
    pressing: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Tick(Event):
    """Time has passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Leave(Event):
    """The database is leaving."""


@dataclasses.dataclass(frozen=True, slots=True)
class ChannelEvent(Event):
    """Base of what happened on one channel."""

    channel: int


@dataclasses.dataclass(frozen=True, slots=True)
class Opened(ChannelEvent):
    """A connection is open and counted in the limit."""


@dataclasses.dataclass(frozen=True, slots=True)
class OpenFailed(ChannelEvent):
    """A connection could not be opened."""

    failure: errors.Failure


@dataclasses.dataclass(frozen=True, slots=True)
class Granted(ChannelEvent):
    """The connection holds a slot."""

    slot: int


@dataclasses.dataclass(frozen=True, slots=True)
class NotFree(ChannelEvent):
    """No slot was free, or the wait for one timed out."""


@dataclasses.dataclass(frozen=True, slots=True)
class Returned(ChannelEvent):
    """A request has ended; the connection still holds its slot."""


@dataclasses.dataclass(frozen=True, slots=True)
class Released(ChannelEvent):
    """The slot was given back."""


@dataclasses.dataclass(frozen=True, slots=True)
class Lost(ChannelEvent):
    """The connection is closed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Stalled(ChannelEvent):
    """A statement has been silent for long: slow, or its answer is lost."""


@dataclasses.dataclass(frozen=True, slots=True)
class Effect:
    """Base of what the adapter has to do."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse(Effect):
    """Refuse all that wait."""

    failure: errors.Failure


@dataclasses.dataclass(frozen=True, slots=True)
class Wake(Effect):
    """Send a `Tick` at this time."""

    at: datetime.datetime


@dataclasses.dataclass(frozen=True, slots=True)
class ChannelEffect(Effect):
    """Base of what has to be done on one channel."""

    channel: int


@dataclasses.dataclass(frozen=True, slots=True)
class Open(ChannelEffect):
    """Open a connection; answers with `Opened` or `OpenFailed`."""


@dataclasses.dataclass(frozen=True, slots=True)
class Try(ChannelEffect):
    """Take the first free slot; answers with `Granted` or `NotFree`."""

    slots: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Await(ChannelEffect):
    """Try the others, then queue; answers with `Granted` or `NotFree`.

    Attributes:
      slot: the one to queue for.
      others: tried first.
      pressing: whether to queue in front of ordinary work.
    """

    slot: int
    others: tuple[int, ...]
    pressing: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Yield(ChannelEffect):
    """Let a waiter have the slot, else keep it; `Granted` or `NotFree`."""

    slot: int


@dataclasses.dataclass(frozen=True, slots=True)
class Release(ChannelEffect):
    """Give the slot back; answers with `Released`."""

    slot: int


@dataclasses.dataclass(frozen=True, slots=True)
class Lend(ChannelEffect):
    """Run the next request on the connection; `Returned` follows."""


@dataclasses.dataclass(frozen=True, slots=True)
class Close(ChannelEffect):
    """Close the connection; no answer is needed."""
