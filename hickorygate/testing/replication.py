"""A stand-in database's log: terms, fences, promotion. No I/O.

The rules are those that hickorygate asks of the platform's databases: a term
is taken once, by one owner; a fenced database takes nothing from a lower
term; a replica that follows a new primary drops what the primary lacks, and
says that it is of the primary's term only once it holds all that came before
it. One that lost its log says so until it holds what it may have held.
"""

from __future__ import annotations

import dataclasses
import datetime

import expression

from hickorygate.core import errors
from hickorygate.core import position as positions
from hickorygate.core import types

__all__ = ["Entry", "Log"]

_NEVER_HEARD = datetime.timedelta(days=1)
"""The silence of a replica that never heard from a primary."""


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One committed transaction.

    Attributes:
      term: the term of the primary that wrote it.
      statements: its statements, run in order by replicas.
    """

    term: types.Term
    statements: tuple[str, ...]


class Log:
    """One database's place in its group."""

    __slots__ = (
        "applied",
        "base",
        "boot",
        "database",
        "entries",
        "fence_owner",
        "fenced",
        "following",
        "heard",
        "log_term",
        "rebuilt_at",
        "role",
        "term",
    )

    def __init__(self, database: types.DatabaseName, boot: str) -> None:
        self.database = database
        self.boot = boot
        self.role = positions.Role.REPLICA
        self.term: types.Term = 0
        self.base: types.Offset = 0
        self.log_term: types.Term = 0
        self.fenced: types.Term = 0
        self.fence_owner = ""
        self.entries: list[Entry] = []
        self.applied: types.Offset = 0
        self.following: types.DatabaseName | None = None
        self.heard: datetime.datetime | None = None
        self.rebuilt_at: types.Offset | None = None

    @property
    def writable(self) -> bool:
        """Whether it takes writes.

        It must be a primary that no one has fenced off and whose reads see
        all that it took over.
        """
        leads = self.role is positions.Role.PRIMARY
        current = self.applied == len(self.entries)
        return leads and current and self.fenced <= self.term

    @property
    def position(self) -> positions.Position:
        """Its newest entry, under the term that its log has reached."""
        return positions.Position(self.log_term, len(self.entries))

    def __repr__(self) -> str:
        return f"Log({self.database!r}, {self.role.value}, {self.position})"

    def status(self, now: datetime.datetime) -> positions.DatabaseStatus:
        """Returns what the database says about itself."""
        silence = now - self.heard if self.heard else _NEVER_HEARD
        return positions.DatabaseStatus(
            database=self.database,
            role=self.role,
            term=self.term,
            base=self.base,
            log_term=self.log_term,
            received=len(self.entries),
            applied=self.applied,
            fenced=self.fenced,
            primary_silence=silence,
            boot=self.boot,
        )

    def fence(
        self, term: types.Term, owner: str
    ) -> expression.Result[None, errors.GroupRefused]:
        """Promises to refuse all lower terms."""
        same = term == self.fenced and owner == self.fence_owner
        if same:
            return expression.Ok(None)
        if term <= max(self.fenced, self.term):
            return self._refuse(term, f"already at {self.fenced}")
        self.fenced = term
        self.fence_owner = owner
        return expression.Ok(None)

    def promote(
        self, term: types.Term, owner: str
    ) -> expression.Result[None, errors.GroupRefused]:
        """Takes over as the primary of the term that it was fenced at."""
        if term != self.fenced or owner != self.fence_owner:
            return self._refuse(term, f"fenced at {self.fenced}")
        if self.role is positions.Role.PRIMARY and self.term == term:
            return expression.Ok(None)
        if self.term == term:
            return self._refuse(term, f"follows {self.following}")
        self.role = positions.Role.PRIMARY
        self.term = term
        self.log_term = term
        self.base = len(self.entries)
        self.following = None
        return expression.Ok(None)

    def follow(
        self, term: types.Term, primary: types.DatabaseName
    ) -> expression.Result[None, errors.GroupRefused]:
        """Follows the primary of a term."""
        if term < max(self.fenced, self.term):
            return self._refuse(term, f"already at {self.fenced}")
        if self.role is positions.Role.PRIMARY and self.term == term:
            return self._refuse(term, "is its primary")
        if self.log_term == 0 and term not in (self.fenced, self.term):
            return self._refuse(term, "has lost its log, fence it first")
        if term > self.fenced:
            self.fenced = term
            self.fence_owner = ""
        self.role = positions.Role.REPLICA
        self.term = term
        self.following = primary
        return expression.Ok(None)

    def append(self, statements: tuple[str, ...]) -> None:
        """Adds a committed transaction of this primary."""
        self.entries.append(Entry(self.term, statements))
        self.applied = len(self.entries)

    def lose(self, boot: str) -> None:
        """Restarts without its log and its promises."""
        self.__init__(self.database, boot)

    def hear(self, primary: Log, now: datetime.datetime) -> bool:
        """Takes in a heartbeat; tells whether it may copy from the sender."""
        if self.term != primary.term or self.fenced > primary.term:
            return False
        if primary.role is not positions.Role.PRIMARY:
            return False
        self.heard = now
        return True

    def pull(
        self, primary: Log, now: datetime.datetime, most: int | None = None
    ) -> bool:
        """Copies what the followed primary has.

        Args:
          primary: the log to copy from.
          now: the present.
          most: entries to copy at once, None for all.

        Returns:
          Whether applied entries were dropped, so that the data must be
          built again from the log.
        """
        if not self.hear(primary, now):
            return False
        if self.log_term == 0 and self.rebuilt_at is None:
            self.rebuilt_at = len(primary.entries)
        shared = self._shared_with(primary)
        dropped = shared < self.applied
        del self.entries[shared:]
        end = None if most is None else shared + most
        self.entries.extend(primary.entries[shared:end])
        self.base = primary.base
        self._reach(primary.term)
        if dropped:
            self.applied = 0
        return dropped

    def _reach(self, term: types.Term) -> None:
        """Raises its log's term once it holds all that came before it."""
        if len(self.entries) >= max(self.base, self.rebuilt_at or 0):
            self.log_term = term
            self.rebuilt_at = None

    def _shared_with(self, primary: Log) -> int:
        """Finds how many leading entries both logs share."""
        shared = min(len(self.entries), len(primary.entries))
        while shared and (
            self.entries[shared - 1].term != primary.entries[shared - 1].term
        ):
            shared -= 1
        return shared

    def _refuse(
        self, term: types.Term, reason: str
    ) -> expression.Result[None, errors.GroupRefused]:
        return expression.Error(
            errors.GroupRefused(self.database, term, reason)
        )
