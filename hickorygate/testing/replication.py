"""Replication log of a stand-in database: terms, fencing, promotion. No I/O.

The log follows the rules that hickorygate requires of the platform's databases:

* A term is taken once, by one owner.
* A fenced database accepts nothing from a lower term.
* A replica that follows a new primary drops the entries that the primary
  lacks. It reports the primary's term as the term of its log only once it
  holds all entries that precede that term.
* A database that lost its log reports log term 0 until it again holds all
  entries that it may have held before.
"""

from __future__ import annotations

import dataclasses
import datetime

import expression

from hickorygate.core import errors
from hickorygate.core import position as positions
from hickorygate.core import types

__all__ = ["LogEntry", "ReplicationLog"]

_SILENCE_BEFORE_HEARTBEAT = datetime.timedelta(days=1)
"""Reported primary silence if no heartbeat has ever been received."""


@dataclasses.dataclass(frozen=True, slots=True)
class LogEntry:
    """One committed transaction.

    Attributes:
      term: term of the primary that wrote the entry.
      statements: statements of the transaction, which replicas run in order.
    """

    term: types.Term
    statements: tuple[str, ...]


class ReplicationLog:
    """The replication log and state of one database.

    Attributes:
      database: name of the database.
      boot: random id of the present start of the database.
      role: role in the group.
      term: term that the database leads or follows.
      base: length of the log when the primary of the term was promoted.
      log_term: term that the log has reached; 0 after the log was lost.
      fenced: lowest term that the database still accepts.
      fence_owner: owner of the fence.
      entries: received entries, in order.
      applied: number of entries that are visible to reads.
      following: name of the followed primary, if any.
      last_heartbeat: time of the last heartbeat of the primary; None before
        any.
      rebuild_end: log length from which a lost log counts as rebuilt; None if
        the log isn't being rebuilt.
    """

    __slots__ = (
        "applied",
        "base",
        "boot",
        "database",
        "entries",
        "fence_owner",
        "fenced",
        "following",
        "last_heartbeat",
        "log_term",
        "rebuild_end",
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
        self.entries: list[LogEntry] = []
        self.applied: types.Offset = 0
        self.following: types.DatabaseName | None = None
        self.last_heartbeat: datetime.datetime | None = None
        self.rebuild_end: types.Offset | None = None

    @property
    def writable(self) -> bool:
        """Whether the database accepts writes.

        True if the database is a primary, is not fenced at a higher term, and
        has applied all entries that it held at its promotion.
        """
        leads = self.role is positions.Role.PRIMARY
        current = self.applied == len(self.entries)
        return leads and current and self.fenced <= self.term

    @property
    def position(self) -> positions.Position:
        """The position of the newest entry, with the term of the log."""
        return positions.Position(self.log_term, len(self.entries))

    def __repr__(self) -> str:
        return (
            f"ReplicationLog({self.database!r}, {self.role.value}, "
            f"{self.position})"
        )

    def status(self, now: datetime.datetime) -> positions.DatabaseStatus:
        """Returns the replication status that the database reports."""
        silence = (
            now - self.last_heartbeat
            if self.last_heartbeat
            else _SILENCE_BEFORE_HEARTBEAT
        )
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
    ) -> expression.Result[None, errors.ControlRefused]:
        """Fences the database, so that it refuses all lower terms."""
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
    ) -> expression.Result[None, errors.ControlRefused]:
        """Becomes the primary of the term at which the database is fenced."""
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
    ) -> expression.Result[None, errors.ControlRefused]:
        """Becomes a replica of the primary of a term."""
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
        """Appends a transaction that was committed on this primary."""
        self.entries.append(LogEntry(self.term, statements))
        self.applied = len(self.entries)

    def reset(self, boot: str) -> None:
        """Resets the state, as after a restart that lost the log and fences."""
        self.__init__(self.database, boot)

    def receive_heartbeat(
        self, primary: ReplicationLog, now: datetime.datetime
    ) -> bool:
        """Processes a heartbeat of a primary.

        Returns:
          Whether the heartbeat is accepted, so that this database may copy
          the primary's entries.
        """
        if self.term != primary.term or self.fenced > primary.term:
            return False
        if primary.role is not positions.Role.PRIMARY:
            return False
        self.last_heartbeat = now
        return True

    def pull(
        self,
        primary: ReplicationLog,
        now: datetime.datetime,
        max_entries: int | None = None,
    ) -> bool:
        """Copies entries from the followed primary.

        Args:
          primary: log to copy from.
          now: present time.
          max_entries: maximum number of entries to copy; None for all.

        Returns:
          Whether applied entries were dropped, so that the data must be
          rebuilt from the log.
        """
        if not self.receive_heartbeat(primary, now):
            return False
        if self.log_term == 0 and self.rebuild_end is None:
            self.rebuild_end = len(primary.entries)
        shared = self._common_prefix_length(primary)
        dropped = shared < self.applied
        del self.entries[shared:]
        end = None if max_entries is None else shared + max_entries
        self.entries.extend(primary.entries[shared:end])
        self.base = primary.base
        self._advance_log_term(primary.term)
        if dropped:
            self.applied = 0
        return dropped

    def _advance_log_term(self, term: types.Term) -> None:
        """Advances the log's term if all entries that precede it are held."""
        if len(self.entries) >= max(self.base, self.rebuild_end or 0):
            self.log_term = term
            self.rebuild_end = None

    def _common_prefix_length(self, primary: ReplicationLog) -> int:
        """Returns the length of the common prefix of both logs."""
        shared = min(len(self.entries), len(primary.entries))
        while shared and (
            self.entries[shared - 1].term != primary.entries[shared - 1].term
        ):
            shared -= 1
        return shared

    def _refuse(
        self, term: types.Term, reason: str
    ) -> expression.Result[None, errors.ControlRefused]:
        return expression.Error(
            errors.ControlRefused(self.database, term, reason)
        )
