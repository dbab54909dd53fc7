"""Log, role and term of a stand-in database; performs no I/O."""

from __future__ import annotations

import dataclasses
import enum

from hickorygate.core import position as positions

__all__ = ["Commit", "LineLog", "Role"]


class Role(enum.Enum):
    """The role of a database in its group."""

    PRIMARY = "primary"
    REPLICA = "replica"


@dataclasses.dataclass(frozen=True, slots=True)
class Commit:
    """A committed transaction.

    Attributes:
      position: position of the transaction in the log.
      request: request id of the transaction's last statement.
      writes: pairs of an item and the data written to it.
    """

    position: positions.Position
    request: str
    writes: tuple[tuple[str, str], ...]


class LineLog:
    """The log of one database and its state in the group.

    Attributes:
      name: name of the database.
      role: role of the database.
      term: term that the database leads or follows.
      paused_for: lowest term whose primary the database replicates from while
        replication is paused; 0 if it isn't paused.
      commits: received commits, in order.
      applied: number of commits that are visible to reads.
    """

    def __init__(self, name: str, role: Role, term: int = 1) -> None:
        self.name = name
        self.role = role
        self.term = term
        self.paused_for = 0
        self.commits: list[Commit] = []
        self.applied = 0

    def __repr__(self) -> str:
        return f"LineLog({self.name!r}, {self.role.value}, {self.received})"

    @property
    def received(self) -> positions.Position:
        """The position of the last received commit."""
        return self._position(len(self.commits))

    @property
    def visible(self) -> positions.Position:
        """The position of the last commit that is visible to reads."""
        return self._position(self.applied)

    def _position(self, offset: int) -> positions.Position:
        """Returns the position at an offset.

        The term is that of the entry at the offset, which may be lower than
        the term of the present primary.
        """
        term = self.commits[offset - 1].position.term if offset else self.term
        return positions.Position(term, offset)

    @property
    def leads(self) -> bool:
        """Whether the database is a primary and accepts writes."""
        return self.role is Role.PRIMARY

    def is_visible(self, floor: positions.Position) -> bool:
        """Returns whether reads see all commits up to a position."""
        return self.visible >= floor

    def contains(self, commit: Commit) -> bool:
        """Returns whether a commit is in the log."""
        index = commit.position.offset - 1
        return index < len(self.commits) and self.commits[index] == commit

    def append(
        self, request: str, writes: tuple[tuple[str, str], ...]
    ) -> Commit:
        """Commits a transaction on the primary."""
        position = positions.Position(self.term, len(self.commits) + 1)
        commit = Commit(position, request, writes)
        self.commits.append(commit)
        self.applied = len(self.commits)
        return commit

    def receive(self, leader: LineLog) -> None:
        """Copies the log of a primary.

        Does nothing if the primary's term is lower than the own term or than
        the term for which replication is paused.
        """
        if leader.term < self.term or leader.term < self.paused_for:
            return
        self.paused_for = 0
        self.term = leader.term
        self.role = Role.REPLICA
        self.commits = list(leader.commits)
        self.applied = min(self.applied, len(self.commits))

    def apply(self) -> None:
        """Makes all received commits visible to reads."""
        self.applied = len(self.commits)

    def pause(self, term: int) -> None:
        """Pauses replication until a primary of at least this term exists."""
        if not self.leads and term > self.term:
            self.paused_for = max(self.paused_for, term)

    def promote(self, term: int) -> None:
        """Becomes the primary of a term and applies all received commits."""
        self.role = Role.PRIMARY
        self.term = term
        self.paused_for = 0
        self.apply()

    def demote(self, term: int) -> None:
        """Becomes a replica if the database leads a lower term."""
        if self.leads and self.term < term:
            self.role = Role.REPLICA
