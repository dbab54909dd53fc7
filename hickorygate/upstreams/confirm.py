"""When a write is durable: decisions without I/O.

A write that ran on a primary is durable once a majority of the group holds,
under the primary's term, a position that was read from the primary after the
write. Writes that wait at the same time share one reading of the position
and one wait a replica (group commit).
"""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses
import enum
import functools

from hickorygate.core import position as positions
from hickorygate.core import types

__all__ = [
    "Confirmation",
    "Confirmed",
    "Effect",
    "Event",
    "Policy",
    "PositionRead",
    "ReadPosition",
    "ReplicaAnswered",
    "Unconfirmed",
    "WaitForReplica",
    "WriteAbandoned",
    "WriteRan",
    "handle",
]


class Policy(enum.Enum):
    """How writes that wait at the same time share readings and waits."""

    GROUP = "group commit"
    EACH = "each on its own"


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """Base of the events."""


@dataclasses.dataclass(frozen=True, slots=True)
class WriteRan(Event):
    """A write ran on the primary; `ticket` is unique and rises."""

    ticket: int


@dataclasses.dataclass(frozen=True, slots=True)
class WriteAbandoned(Event):
    """Nobody waits for this write any longer."""

    ticket: int


@dataclasses.dataclass(frozen=True, slots=True)
class PositionRead(Event):
    """The primary's status came, or None if it was lost."""

    status: positions.DatabaseStatus | None


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaAnswered(Event):
    """A replica's wait is over; the status is None if it was lost."""

    database: types.DatabaseName
    status: positions.DatabaseStatus | None


@dataclasses.dataclass(frozen=True, slots=True)
class Effect:
    """Base of the effects."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadPosition(Effect):
    """Ask the primary for its status; answered by PositionRead."""


@dataclasses.dataclass(frozen=True, slots=True)
class WaitForReplica(Effect):
    """Wait until a replica holds the position; see ReplicaAnswered."""

    database: types.DatabaseName
    position: positions.Position


@dataclasses.dataclass(frozen=True, slots=True)
class Confirmed(Effect):
    """The write is durable at the position."""

    ticket: int
    position: positions.Position


@dataclasses.dataclass(frozen=True, slots=True)
class Unconfirmed(Effect):
    """The write's term can no longer confirm it."""

    ticket: int


@dataclasses.dataclass(slots=True)
class _Batch:
    """Writes that one reading of the position covers."""

    tickets: set[int]
    position: positions.Position
    holders: set[types.DatabaseName] = dataclasses.field(default_factory=set)


class Confirmation:
    """Writes of one primary under one term that wait for a majority."""

    __slots__ = (
        "_batches",
        "_lost",
        "_majority",
        "_policy",
        "_queued",
        "_reading",
        "_replicas",
        "_term",
        "_waits",
    )

    def __init__(
        self,
        term: types.Term,
        replicas: Iterable[types.DatabaseName],
        majority: int,
        policy: Policy = Policy.GROUP,
    ) -> None:
        self._term = term
        self._replicas = tuple(replicas)
        self._majority = majority
        self._policy = policy
        self._queued: list[int] = []
        self._reading: set[int] | None = None
        self._batches: list[_Batch] = []
        self._waits: dict[types.DatabaseName, _Batch] = {}
        self._lost: set[types.DatabaseName] = set()

    @property
    def term(self) -> types.Term:
        """The term that the writes ran under."""
        return self._term

    @property
    def idle(self) -> bool:
        """Whether nothing waits."""
        return not (self._queued or self._reading or self._batches)

    def __repr__(self) -> str:
        waiting = len(self._queued) + len(self._batches)
        return f"Confirmation(term={self._term}, waiting={waiting})"

    def queue(self, ticket: int) -> list[Effect]:
        """Adds a write; a reading already under way doesn't cover it."""
        self._queued.append(ticket)
        return self._read()

    def drop(self, ticket: int) -> list[Effect]:
        """Forgets a write."""
        if ticket in self._queued:
            self._queued.remove(ticket)
        if self._reading is not None:
            self._reading.discard(ticket)
        for batch in self._batches:
            batch.tickets.discard(ticket)
        self._batches = [batch for batch in self._batches if batch.tickets]
        return []

    def take_position(
        self, status: positions.DatabaseStatus | None
    ) -> list[Effect]:
        """Turns the writes that a reading covers into a batch."""
        tickets, self._reading = self._reading or set(), None
        if status is None:
            self._queued = sorted(tickets) + self._queued
            return self._read()
        if not self._leads(status):
            return self._fail(tickets) + self._read()
        position = positions.Position(self._term, status.received)
        if tickets:
            self._batches.append(_Batch(tickets, position))
        return self._settle() + self._wait() + self._read()

    def take_replica(
        self,
        name: types.DatabaseName,
        status: positions.DatabaseStatus | None,
    ) -> list[Effect]:
        """Credits a replica with what it holds."""
        waited = self._waits.pop(name, None)
        if status is not None:
            self._credit(name, status, waited)
        return self._settle() + self._wait()

    def _leads(self, status: positions.DatabaseStatus) -> bool:
        primary = status.role is positions.Role.PRIMARY
        return primary and status.term == status.log_term == self._term

    def _read(self) -> list[Effect]:
        if self._reading is not None or not self._queued:
            return []
        count = 1 if self._policy is Policy.EACH else len(self._queued)
        self._reading = set(self._queued[:count])
        del self._queued[:count]
        return [ReadPosition()]

    def _credit(
        self,
        name: types.DatabaseName,
        status: positions.DatabaseStatus,
        waited: _Batch | None,
    ) -> None:
        alone = self._policy is Policy.EACH
        for batch in [waited] if alone and waited else self._batches:
            if positions.holds(status, batch.position):
                batch.holders.add(name)
        if status.term > self._term or status.fenced > self._term:
            self._lost.add(name)

    def _wait(self) -> list[Effect]:
        """Starts a wait on each replica that has none and lacks a batch."""
        effects: list[Effect] = []
        for name in self._replicas:
            if name in self._waits or name in self._lost:
                continue
            lacking = [b for b in self._batches if name not in b.holders]
            if lacking:
                batch = lacking[0 if self._policy is Policy.EACH else -1]
                self._waits[name] = batch
                effects.append(WaitForReplica(name, batch.position))
        return effects

    def _settle(self) -> list[Effect]:
        """Answers the batches that are decided."""
        effects: list[Effect] = []
        waiting = []
        for batch in self._batches:
            if 1 + len(batch.holders) >= self._majority:
                effects += [
                    Confirmed(ticket, batch.position)
                    for ticket in sorted(batch.tickets)
                ]
            elif not self._possible(batch):
                effects += self._fail(batch.tickets)
            else:
                waiting.append(batch)
        self._batches = waiting
        return effects

    def _possible(self, batch: _Batch) -> bool:
        able = batch.holders | (set(self._replicas) - self._lost)
        return 1 + len(able) >= self._majority

    def _fail(self, tickets: set[int]) -> list[Effect]:
        return [Unconfirmed(ticket) for ticket in sorted(tickets)]


@functools.singledispatch
def handle(event: Event, confirmation: Confirmation) -> list[Effect]:
    """Takes in an event and returns what to do."""
    raise TypeError(f"no way to handle {event!r}; register one")


@handle.register
def _(event: WriteRan, confirmation: Confirmation) -> list[Effect]:
    return confirmation.queue(event.ticket)


@handle.register
def _(event: WriteAbandoned, confirmation: Confirmation) -> list[Effect]:
    return confirmation.drop(event.ticket)


@handle.register
def _(event: PositionRead, confirmation: Confirmation) -> list[Effect]:
    return confirmation.take_position(event.status)


@handle.register
def _(event: ReplicaAnswered, confirmation: Confirmation) -> list[Effect]:
    return confirmation.take_replica(event.database, event.status)
