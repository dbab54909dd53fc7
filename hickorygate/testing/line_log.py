"""A stand-in database of the users' platform: log, role, term. No I/O."""

from __future__ import annotations

import dataclasses
import enum

from hickorygate.core import position as positions

__all__ = ["Commit", "LineLog", "Role"]


class Role(enum.Enum):
    """What a database is in its group."""

    PRIMARY = "primary"
    REPLICA = "replica"


@dataclasses.dataclass(frozen=True, slots=True)
class Commit:
    """A committed transaction.

    Attributes:
      position: its place in the log.
      request: the id under which its last statement came.
      writes: items and the data that was written to them.
    """

    position: positions.Position
    request: str
    writes: tuple[tuple[str, str], ...]


class LineLog:
    """One database's log and place in the group."""

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
        """The end of the log."""
        return self._position(len(self.commits))

    @property
    def visible(self) -> positions.Position:
        """What reads see."""
        return self._position(self.applied)

    def _position(self, offset: int) -> positions.Position:
        """A position carries the term of its entry, not that of the lead."""
        term = self.commits[offset - 1].position.term if offset else self.term
        return positions.Position(term, offset)

    @property
    def leads(self) -> bool:
        """Whether it takes writes."""
        return self.role is Role.PRIMARY

    def holds(self, floor: positions.Position) -> bool:
        """Whether reads see all up to a position."""
        return self.visible >= floor

    def contains(self, commit: Commit) -> bool:
        """Whether a commit was received."""
        index = commit.position.offset - 1
        return index < len(self.commits) and self.commits[index] == commit

    def append(
        self, request: str, writes: tuple[tuple[str, str], ...]
    ) -> Commit:
        """Commits at the primary."""
        position = positions.Position(self.term, len(self.commits) + 1)
        commit = Commit(position, request, writes)
        self.commits.append(commit)
        self.applied = len(self.commits)
        return commit

    def receive(self, leader: LineLog) -> None:
        """Takes over what a primary has, unless paused for a newer term."""
        if leader.term < self.term or leader.term < self.paused_for:
            return
        self.paused_for = 0
        self.term = leader.term
        self.role = Role.REPLICA
        self.commits = list(leader.commits)
        self.applied = min(self.applied, len(self.commits))

    def apply(self) -> None:
        """Makes all that was received visible."""
        self.applied = len(self.commits)

    def pause(self, term: int) -> None:
        """Stops receiving until a primary of the term leads."""
        if not self.leads and term > self.term:
            self.paused_for = max(self.paused_for, term)

    def promote(self, term: int) -> None:
        """Leads a term with what was received."""
        self.role = Role.PRIMARY
        self.term = term
        self.paused_for = 0
        self.apply()

    def demote(self, term: int) -> None:
        """Becomes a replica if it leads a lower term."""
        if self.leads and self.term < term:
            self.role = Role.REPLICA
