"""Decides when a write is durable, without I/O.

A write that ran on a primary is durable once a majority of the group holds,
under the primary's term, a position that was read from the primary after the
write. Writes that wait at the same time share one position reading and one
wait per replica (group commit).
"""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses
import enum
import functools

from hickorygate.core import position as positions
from hickorygate.core import types

__all__ = [
    "WriteConfirmation",
    "Confirmed",
    "Effect",
    "Event",
    "BatchingPolicy",
    "PositionRead",
    "ReadPosition",
    "ReplicaWaitEnded",
    "Unconfirmed",
    "WaitForReplica",
    "WriteAbandoned",
    "WriteRan",
    "handle",
]


class BatchingPolicy(enum.Enum):
    """How concurrent writes share position readings and replica waits.

    Attributes:
      GROUP: all queued writes share one reading and one wait per replica.
      SEPARATE: each write has a reading of its own and waits of its own.
    """

    GROUP = "group commit"
    SEPARATE = "each on its own"


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """Base class of the events."""


@dataclasses.dataclass(frozen=True, slots=True)
class WriteRan(Event):
    """A write ran on the primary.

    Attributes:
      ticket: unique number of the write; later writes have higher numbers.
    """

    ticket: int


@dataclasses.dataclass(frozen=True, slots=True)
class WriteAbandoned(Event):
    """No caller waits for the write any longer.

    Attributes:
      ticket: number of the write.
    """

    ticket: int


@dataclasses.dataclass(frozen=True, slots=True)
class PositionRead(Event):
    """A reading of the primary's position ended.

    Attributes:
      status: status of the primary, None if the answer was lost.
    """

    status: positions.DatabaseStatus | None


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaWaitEnded(Event):
    """A wait on a replica ended.

    Attributes:
      database: name of the replica.
      status: status of the replica, None if the answer was lost.
    """

    database: types.DatabaseName
    status: positions.DatabaseStatus | None


@dataclasses.dataclass(frozen=True, slots=True)
class Effect:
    """Base class of the effects."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadPosition(Effect):
    """Requests the primary's status; PositionRead is the answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class WaitForReplica(Effect):
    """Starts to wait until a replica holds a position.

    ReplicaWaitEnded is the answer.

    Attributes:
      database: name of the replica.
      position: position to wait for.
    """

    database: types.DatabaseName
    position: positions.Position


@dataclasses.dataclass(frozen=True, slots=True)
class Confirmed(Effect):
    """The write is durable.

    Attributes:
      ticket: number of the write.
      position: position that a majority holds and that covers the write.
    """

    ticket: int
    position: positions.Position


@dataclasses.dataclass(frozen=True, slots=True)
class Unconfirmed(Effect):
    """The write can no longer be confirmed under its term.

    Attributes:
      ticket: number of the write.
    """

    ticket: int


@dataclasses.dataclass(slots=True)
class _Batch:
    """Writes that one reading of the primary's position covers.

    Attributes:
      tickets: numbers of the writes.
      position: position that was read.
      holders: replicas that hold the position.
    """

    tickets: set[int]
    position: positions.Position
    holders: set[types.DatabaseName] = dataclasses.field(default_factory=set)


class WriteConfirmation:
    """State of the unconfirmed writes of one primary under one term."""

    __slots__ = (
        "_batches",
        "_excluded",
        "_majority",
        "_pending_waits",
        "_policy",
        "_queued",
        "_replicas",
        "_term",
        "_tickets_in_reading",
    )

    def __init__(
        self,
        term: types.Term,
        replicas: Iterable[types.DatabaseName],
        majority: int,
        policy: BatchingPolicy = BatchingPolicy.GROUP,
    ) -> None:
        """Creates the state without any write.

        Args:
          term: term that the writes run under.
          replicas: names of the other databases of the group.
          majority: number of databases, including the primary, that must
            hold a write.
          policy: how concurrent writes share readings and waits.
        """
        self._term = term
        self._replicas = tuple(replicas)
        self._majority = majority
        self._policy = policy
        self._queued: list[int] = []
        self._tickets_in_reading: set[int] | None = None
        self._batches: list[_Batch] = []
        self._pending_waits: dict[types.DatabaseName, _Batch] = {}
        self._excluded: set[types.DatabaseName] = set()

    @property
    def term(self) -> types.Term:
        """Term that the writes ran under."""
        return self._term

    @property
    def idle(self) -> bool:
        """Whether no write waits."""
        return not (self._queued or self._tickets_in_reading or self._batches)

    def __repr__(self) -> str:
        waiting = len(self._queued) + len(self._batches)
        return f"WriteConfirmation(term={self._term}, waiting={waiting})"

    def queue(self, ticket: int) -> list[Effect]:
        """Adds a write; only a position reading that starts later covers it."""
        self._queued.append(ticket)
        return self._start_reading()

    def drop(self, ticket: int) -> list[Effect]:
        """Removes a write that no caller waits for."""
        if ticket in self._queued:
            self._queued.remove(ticket)
        if self._tickets_in_reading is not None:
            self._tickets_in_reading.discard(ticket)
        for batch in self._batches:
            batch.tickets.discard(ticket)
        self._batches = [batch for batch in self._batches if batch.tickets]
        return []

    def handle_position(
        self, status: positions.DatabaseStatus | None
    ) -> list[Effect]:
        """Handles the end of a reading: makes a batch of the covered writes.

        Args:
          status: status of the primary, None if the answer was lost.
        """
        tickets, self._tickets_in_reading = (
            self._tickets_in_reading or set(),
            None,
        )
        if status is None:
            self._queued = sorted(tickets) + self._queued
            return self._start_reading()
        if not self._is_primary_of_term(status):
            return self._unconfirmed_effects(tickets) + self._start_reading()
        position = positions.Position(self._term, status.received)
        if tickets:
            self._batches.append(_Batch(tickets, position))
        return (
            self._resolve_batches()
            + self._start_waits()
            + self._start_reading()
        )

    def handle_replica_status(
        self,
        name: types.DatabaseName,
        status: positions.DatabaseStatus | None,
    ) -> list[Effect]:
        """Handles the end of a wait: records what the replica holds.

        Args:
          name: name of the replica.
          status: status of the replica, None if the answer was lost.
        """
        waited = self._pending_waits.pop(name, None)
        if status is not None:
            self._record_holder(name, status, waited)
        return self._resolve_batches() + self._start_waits()

    def _is_primary_of_term(self, status: positions.DatabaseStatus) -> bool:
        primary = status.role is positions.Role.PRIMARY
        return primary and status.term == status.log_term == self._term

    def _start_reading(self) -> list[Effect]:
        if self._tickets_in_reading is not None or not self._queued:
            return []
        count = (
            1 if self._policy is BatchingPolicy.SEPARATE else len(self._queued)
        )
        self._tickets_in_reading = set(self._queued[:count])
        del self._queued[:count]
        return [ReadPosition()]

    def _record_holder(
        self,
        name: types.DatabaseName,
        status: positions.DatabaseStatus,
        waited: _Batch | None,
    ) -> None:
        separate = self._policy is BatchingPolicy.SEPARATE
        for batch in [waited] if separate and waited else self._batches:
            if positions.has_received(status, batch.position):
                batch.holders.add(name)
        if status.term > self._term or status.fenced > self._term:
            self._excluded.add(name)

    def _start_waits(self) -> list[Effect]:
        """Starts a wait on each idle replica that lacks some batch."""
        effects: list[Effect] = []
        for name in self._replicas:
            if name in self._pending_waits or name in self._excluded:
                continue
            missing = [b for b in self._batches if name not in b.holders]
            if missing:
                batch = missing[
                    0 if self._policy is BatchingPolicy.SEPARATE else -1
                ]
                self._pending_waits[name] = batch
                effects.append(WaitForReplica(name, batch.position))
        return effects

    def _resolve_batches(self) -> list[Effect]:
        """Returns the outcome of each batch whose outcome is certain."""
        effects: list[Effect] = []
        waiting = []
        for batch in self._batches:
            if 1 + len(batch.holders) >= self._majority:
                effects += [
                    Confirmed(ticket, batch.position)
                    for ticket in sorted(batch.tickets)
                ]
            elif not self._can_reach_majority(batch):
                effects += self._unconfirmed_effects(batch.tickets)
            else:
                waiting.append(batch)
        self._batches = waiting
        return effects

    def _can_reach_majority(self, batch: _Batch) -> bool:
        eligible = batch.holders | (set(self._replicas) - self._excluded)
        return 1 + len(eligible) >= self._majority

    def _unconfirmed_effects(self, tickets: set[int]) -> list[Effect]:
        return [Unconfirmed(ticket) for ticket in sorted(tickets)]


@functools.singledispatch
def handle(event: Event, confirmation: WriteConfirmation) -> list[Effect]:
    """Handles an event and returns the effects to apply."""
    raise TypeError(f"no handler for {event!r}; register one")


@handle.register
def _(event: WriteRan, confirmation: WriteConfirmation) -> list[Effect]:
    return confirmation.queue(event.ticket)


@handle.register
def _(event: WriteAbandoned, confirmation: WriteConfirmation) -> list[Effect]:
    return confirmation.drop(event.ticket)


@handle.register
def _(event: PositionRead, confirmation: WriteConfirmation) -> list[Effect]:
    return confirmation.handle_position(event.status)


@handle.register
def _(event: ReplicaWaitEnded, confirmation: WriteConfirmation) -> list[Effect]:
    return confirmation.handle_replica_status(event.database, event.status)
