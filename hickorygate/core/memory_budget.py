"""Decides how much memory callers' connections may occupy; does no I/O.

One account per process counts the bytes of messages that were received and
aren't answered, of incomplete messages and of unsent answers. The measures
against an excess are, in this order: pause reading from a connection that has
a message queued, pause the connections that hold much, pause all, reject new
connections, close the connection that holds most.
"""

from __future__ import annotations

import collections
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import datetime
import enum

from hickorygate.core import progress_watch

__all__ = [
    "SMALL",
    "BufferLimits",
    "BufferUsage",
    "Cause",
    "CloseConnection",
    "Effect",
    "Holding",
    "MemoryBudget",
    "PauseReading",
    "ResumeReading",
    "StartMessage",
]

_MIB = 1_048_576

SMALL = 65_536
"""Number of bytes that a connection may hold in any case. A connection with a
queued message is not read beyond it; one that holds less is never closed for
lack of memory, and its messages start at once."""

_OWN_MEMORY_MB = 96.0
"""Part of the instance's memory that the process itself needs, in MB."""

_ASSUMED_MEMORY_MB = 128.0
"""Memory of the instance in MB if the settings don't say."""

_BUFFER_SHARE = 0.25
"""Share of the remaining memory; copies during encoding and the allocator's
overhead take the rest."""

_LEAST_TOTAL = 8 * _MIB
_RESERVED_DESCRIPTORS = 200
_CALLER_SHARE = 0.75
"""Share of the other descriptors that callers may use; the rest is for
databases and proxies."""

_LEAST_CONNECTIONS = 16

_SEVERE = 1.25
"""Multiple of the total limit from which on no connection is read and new ones
are rejected."""

_HARD = 1.5
"""Multiple of the total limit from which on connections are closed."""

_RELEASE_MARGIN = 0.125
"""Part of the total limit by which the sum must fall below a threshold before
its measure ends."""

_STUCK_TIMEOUT = datetime.timedelta(seconds=2)
"""Time without released memory above the total limit after which the connection
that holds most is closed."""


class Cause(enum.Enum):
    """Why a connection was rejected or closed."""

    CONNECTIONS = "too many connections"
    MEMORY = "too much memory in buffers"
    INCOMPLETE = "a message was not completed in time"
    UNREAD = "an answer was not read in time"
    OVERSIZED = "a message is too long"
    NO_SESSION = "no session was opened in time"


class _Level(enum.IntEnum):
    """How scarce memory is."""

    NORMAL = 0
    PRESSED = 1
    SEVERE = 2


@dataclasses.dataclass(frozen=True, slots=True)
class BufferLimits:
    """The limits of all callers' connections together.

    Attributes:
      total: number of bytes in buffers from which on measures apply.
      connections: number of open connections.
    """

    total: int = _LEAST_TOTAL
    connections: int = 4_096

    @classmethod
    def of_instance(
        cls, memory_mb: float | None, descriptors: int
    ) -> BufferLimits:
        """Returns the limits for an instance.

        Args:
          memory_mb: memory of the instance in MB; None if unknown.
          descriptors: number of descriptors that the process may open.
        """
        memory = _ASSUMED_MEMORY_MB if memory_mb is None else memory_mb
        total = int((memory - _OWN_MEMORY_MB) * 1e6 * _BUFFER_SHARE)
        usable = int((descriptors - _RESERVED_DESCRIPTORS) * _CALLER_SHARE)
        return cls(max(total, _LEAST_TOTAL), max(usable, _LEAST_CONNECTIONS))


@dataclasses.dataclass(frozen=True, slots=True)
class BufferUsage:
    """What callers' connections occupy, and what was done about it.

    Attributes:
      total: number of bytes that all connections hold.
      paused: number of connections from which nothing is read.
      rejected: number of rejected connections, by cause.
      closed: number of closed connections, by cause.
    """

    total: int = 0
    paused: int = 0
    rejected: Mapping[Cause, int] = dataclasses.field(default_factory=dict)
    closed: Mapping[Cause, int] = dataclasses.field(default_factory=dict)


class Holding:
    """What one connection holds; only `MemoryBudget` changes it.

    Attributes:
      received: bytes that were received and not yet taken out of the buffer.
      running: bytes of the message that runs or waits to run.
      cost: bytes that the message occupies while it runs.
      unsent: bytes of answers that are not sent.
      has_message: whether a complete message is queued or runs.
      started: whether the message is running.
      paused: whether reading from the connection is paused.
      open: whether the connection is counted.
    """

    __slots__ = (
        "received",
        "running",
        "cost",
        "unsent",
        "has_message",
        "started",
        "paused",
        "open",
    )

    def __init__(self) -> None:
        self.received = 0
        self.running = 0
        self.cost = 0
        self.unsent = 0
        self.has_message = False
        self.started = False
        self.paused = False
        self.open = True

    @property
    def size(self) -> int:
        """All bytes that the connection holds."""
        return self.received + self.running + self.unsent

    @property
    def waits_for_rest(self) -> bool:
        """Whether only the rest of a message lets the connection go on."""
        return self.received > 0 and not self.has_message

    def __repr__(self) -> str:
        return f"Holding({self.size} bytes, paused={self.paused})"


@dataclasses.dataclass(frozen=True, slots=True)
class Effect:
    """Base class of what has to be done with a connection."""

    holding: Holding


@dataclasses.dataclass(frozen=True, slots=True)
class PauseReading(Effect):
    """Stop reading from the connection."""


@dataclasses.dataclass(frozen=True, slots=True)
class ResumeReading(Effect):
    """Read from the connection again."""


@dataclasses.dataclass(frozen=True, slots=True)
class StartMessage(Effect):
    """Run the message that waits since `MemoryBudget.start`."""


@dataclasses.dataclass(frozen=True, slots=True)
class CloseConnection(Effect):
    """Close the connection at once."""


class MemoryBudget:
    """The account of all connections of a process."""

    def __init__(self, limits: BufferLimits) -> None:
        self._limits = limits
        self._holdings: set[Holding] = set()
        self._waiting: collections.deque[Holding] = collections.deque()
        self._total = 0
        self._large_running = 0
        self._large_cost = 0
        self._level = _Level.NORMAL
        self._excused: Holding | None = None
        self._must_excuse = False
        self._released = 0
        self._last_release: datetime.datetime | None = None
        self._excused_watch = progress_watch.ProgressWatch(_STUCK_TIMEOUT)

    @property
    def limits(self) -> BufferLimits:
        """The limits that apply."""
        return self._limits

    @property
    def total(self) -> int:
        """Number of bytes that all connections hold."""
        return self._total

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._holdings)

    @property
    def paused(self) -> int:
        """Number of connections from which nothing is read."""
        return sum(holding.paused for holding in self._holdings)

    def __repr__(self) -> str:
        return (
            f"MemoryBudget({self._total} of {self._limits.total} bytes, "
            f"connections={len(self._holdings)})"
        )

    def rejection(self) -> Cause | None:
        """Returns why a new connection must be rejected; None to accept it."""
        if len(self._holdings) >= self._limits.connections:
            return Cause.CONNECTIONS
        if self._level is _Level.SEVERE:
            return Cause.MEMORY
        return None

    def open(self) -> Holding:
        """Counts a new connection."""
        holding = Holding()
        self._holdings.add(holding)
        return holding

    def close(self, holding: Holding) -> list[Effect]:
        """Forgets a connection; does nothing if it is forgotten already."""
        if not holding.open:
            return []
        self._forget(holding)
        return self._decide(())

    def hold(
        self, holding: Holding, received: int, unsent: int, has_message: bool
    ) -> list[Effect]:
        """Records what a connection holds and returns what to do.

        Args:
          holding: account of the connection.
          received: number of bytes in its buffer of received data.
          unsent: number of bytes of its unsent answers.
          has_message: whether a complete message is queued or runs.
        """
        if not holding.open:
            return []
        former = holding.received + holding.unsent
        holding.received, holding.unsent = received, unsent
        holding.has_message = has_message
        self._add(received + unsent - former)
        return self._decide((holding,))

    def start(self, holding: Holding, size: int, cost: int) -> bool:
        """Records that a message is taken out of the buffer to run.

        Large messages wait for each other while they exceed the total together.

        Args:
          holding: account of the connection.
          size: size of the message in bytes.
          cost: number of bytes that the message occupies while it runs.

        Returns:
          Whether the message may run at once. Otherwise a `StartMessage`
          follows.
        """
        if not holding.open:
            return True
        self._add(size - holding.running)
        holding.running, holding.cost = size, cost
        if size <= SMALL:
            return True
        if self._waiting or not self._may_run(holding):
            self._waiting.append(holding)
            return False
        self._run_large(holding)
        return True

    def finish(self, holding: Holding) -> list[Effect]:
        """Records that a message was answered."""
        if not holding.open:
            return []
        self._end_message(holding)
        return self._decide((holding,))

    def tick(self, now: datetime.datetime) -> list[Effect]:
        """Closes a connection if nothing else helps; to be called regularly.

        That is the excused connection if it makes no progress, or the one that
        holds most if no memory is released.
        """
        excused = self._excused
        if excused is not None and self._is_stalled(excused, now):
            self._forget(excused)
            return [CloseConnection(excused), *self._decide(())]
        if self._level is _Level.NORMAL or self._released >= SMALL:
            self._last_release = None
        self._released = 0
        if self._last_release is None:
            self._last_release = now
        if now - self._last_release < _STUCK_TIMEOUT:
            return []
        effects = self._close_largest(
            h for h in self._holdings if not h.started
        )
        return effects + self._decide(())

    def _decide(self, changed: Collection[Holding]) -> list[Effect]:
        effects: list[Effect] = []
        if self._is_calm():
            for holding in changed:
                effects += self._update_reading(holding)
            return effects
        while self._total - self._large_cost >= _HARD * self._limits.total:
            closed = self._close_largest(self._holdings)
            if not closed:
                break
            effects += closed
        while self._waiting and self._may_run(self._waiting[0]):
            holding = self._waiting.popleft()
            self._run_large(holding)
            effects.append(StartMessage(holding))
        if self._excused is None and any(h.waits_for_rest for h in changed):
            self._must_excuse = True
        level_changed = self._update_level()
        if self._update_excused() or level_changed:
            changed = tuple(self._holdings)
        for holding in changed:
            effects += self._update_reading(holding)
        return effects

    def _is_stalled(self, excused: Holding, now: datetime.datetime) -> bool:
        """Returns whether the excused connection keeps others waiting."""
        stalled = self._excused_watch.is_stalled(
            now, id(excused), excused.received
        )
        return stalled and excused.size >= SMALL

    def _is_calm(self) -> bool:
        """Returns whether no measure concerns more than one connection."""
        return (
            self._level is _Level.NORMAL
            and self._total < self._limits.total
            and not self._waiting
            and self._excused is None
        )

    def _update_reading(self, holding: Holding) -> list[Effect]:
        paused = self._must_pause(holding)
        if paused is holding.paused or not holding.open:
            return []
        holding.paused = paused
        return [PauseReading(holding) if paused else ResumeReading(holding)]

    def _must_pause(self, holding: Holding) -> bool:
        if holding.has_message and holding.received >= SMALL:
            return True
        if self._level is _Level.NORMAL or holding is self._excused:
            return False
        return self._level is _Level.SEVERE or holding.size >= SMALL

    def _update_level(self) -> bool:
        """Returns whether the level has changed."""
        level = _Level.NORMAL
        for higher, multiple in (
            (_Level.PRESSED, 1.0),
            (_Level.SEVERE, _SEVERE),
        ):
            margin = _RELEASE_MARGIN if self._level >= higher else 0.0
            if self._total >= (multiple - margin) * self._limits.total:
                level = higher
        changed = level is not self._level
        self._level = level
        self._must_excuse |= changed
        return changed

    def _update_excused(self) -> bool:
        """Chooses the connection that is read although memory is scarce.

        Without it, incomplete messages that fill the budget would wait for each
        other. It is the one whose message has progressed most.

        Returns:
          Whether another connection is excused than before.
        """
        former = self._excused
        if former is not None and not (former.open and former.waits_for_rest):
            self._must_excuse = True
        if not self._must_excuse or self._large_running or self._waiting:
            return False
        self._must_excuse = False
        self._excused = None
        if self._level is not _Level.NORMAL:
            self._excused = max(
                (h for h in self._holdings if h.waits_for_rest),
                key=lambda holding: holding.received,
                default=None,
            )
        return self._excused is not former

    def _close_largest(self, candidates: Iterable[Holding]) -> list[Effect]:
        """Closes the connection that holds most; running ones come last."""
        largest = max(
            (h for h in candidates if h.size >= SMALL),
            key=lambda holding: (not holding.started, holding.size),
            default=None,
        )
        if largest is None:
            return []
        self._forget(largest)
        return [CloseConnection(largest)]

    def _forget(self, holding: Holding) -> None:
        self._end_message(holding)
        self._add(-holding.size)
        holding.open = False
        self._must_excuse = True
        self._holdings.discard(holding)
        if holding in self._waiting:
            self._waiting.remove(holding)

    def _may_run(self, holding: Holding) -> bool:
        """Returns whether a large message may run now."""
        total = self._total + holding.cost - holding.running
        return not self._large_running or total < self._limits.total

    def _run_large(self, holding: Holding) -> None:
        self._add(holding.cost - holding.running)
        holding.running = holding.cost
        holding.started = True
        self._large_running += 1
        self._large_cost += holding.cost

    def _end_message(self, holding: Holding) -> None:
        if holding.started:
            self._large_running -= 1
            self._large_cost -= holding.cost
            self._must_excuse = True
            holding.started = False
        self._add(-holding.running)
        holding.running = 0

    def _add(self, size: int) -> None:
        self._total += size
        if size < 0:
            self._released -= size
