"""State of a proxy's connections to one database and of their slots."""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses
import datetime
import enum

__all__ = ["Channel", "ChannelTable", "Phase"]


class Phase(enum.Enum):
    """The state of a channel.

    Attributes:
      CLOSED: the channel has no connection.
      OPENING: the connection is being opened.
      IDLE: the connection is open and neither holds a slot nor seeks one.
      ASKING: the connection tries to take a free slot, or offers its slot to
        waiting proxies.
      QUEUED: the connection waits in the database for a slot.
      READY: the connection holds a slot and runs no request.
      LEASED: the connection holds a slot and a request runs on it.
      RELEASING: the connection releases its slot.
    """

    CLOSED = "closed"
    OPENING = "opening"
    IDLE = "idle"
    ASKING = "asking"
    QUEUED = "queued"
    READY = "ready"
    LEASED = "leased"
    RELEASING = "releasing"


_HOLDING = frozenset({Phase.READY, Phase.LEASED})
_PENDING = frozenset(
    {Phase.OPENING, Phase.ASKING, Phase.QUEUED, Phase.RELEASING}
)


@dataclasses.dataclass(slots=True)
class Channel:
    """State of one connection, open or not, and of its slot.

    Attributes:
      number: index of the channel; spare channels have the higher numbers.
      phase: state of the channel.
      slot: slot that the connection holds or queues for.
      granted_at: time at which the slot was granted.
      retry_at: earliest time at which the channel may be opened again.
      idle_since: time at which the last request ended, or at which the slot
        was granted.
      contended: whether the connection had to queue for its slot, so that
        other proxies may be waiting too.
      stalled: whether the running statement has made no progress for at least
        the stall time.
    """

    number: int
    phase: Phase = Phase.CLOSED
    slot: int | None = None
    granted_at: datetime.datetime | None = None
    retry_at: datetime.datetime | None = None
    idle_since: datetime.datetime | None = None
    contended: bool = False
    stalled: bool = False

    @property
    def holds_slot(self) -> bool:
        """Whether the connection holds a slot."""
        return self.phase in _HOLDING

    @property
    def pending(self) -> bool:
        """Whether the channel waits for the database."""
        return self.phase in _PENDING

    def set_phase(self, phase: Phase, slot: int | None = None) -> None:
        """Switches to another phase and clears the stalled flag."""
        self.phase = phase
        self.slot = slot
        self.stalled = False


class ChannelTable:
    """All channels of a proxy to one database, by number."""

    __slots__ = ("_channels",)

    def __init__(self, count: int) -> None:
        """Creates `count` closed channels."""
        self._channels = tuple(Channel(number) for number in range(count))

    @property
    def all_closed(self) -> bool:
        """Whether no channel has a connection or is opening one."""
        return all(c.phase is Phase.CLOSED for c in self._channels)

    @property
    def held_slots(self) -> int:
        """Number of slots that the connections hold."""
        return sum(c.holds_slot for c in self._channels)

    @property
    def queued(self) -> int:
        """Number of connections that queue for a slot."""
        return sum(c.phase is Phase.QUEUED for c in self._channels)

    @property
    def stalled_slots(self) -> tuple[int, ...]:
        """Slots of the stalled channels."""
        return tuple(c.slot for c in self._channels if c.stalled)

    def __iter__(self) -> Iterator[Channel]:
        return iter(self._channels)

    def __getitem__(self, number: int) -> Channel:
        return self._channels[number]

    def __repr__(self) -> str:
        return f"ChannelTable({[c.phase.value for c in self._channels]})"

    def available_slots(self, total: int) -> tuple[int, ...]:
        """Returns the slots that no healthy channel holds or queues for.

        The slots of stalled channels come first: if such a slot turns out to
        be free, the stalled connection has ended.

        Args:
          total: number of slots of the database.
        """
        taken = {c.slot for c in self._channels if not c.stalled}
        free = [slot for slot in range(total) if slot not in taken]
        stalled = self.stalled_slots
        return tuple(sorted(free, key=lambda slot: slot not in stalled))
