"""Positions in a group's replicated log, and which databases may serve a read.

A position is a number of log entries together with a term. A term has a base:
the offset at which the primary of the term took over. The entries below the
base are history that the term shares with earlier terms.
"""

from __future__ import annotations

import dataclasses
import datetime
import enum

from hickorygate.core import types

__all__ = [
    "DatabaseStatus",
    "Position",
    "Role",
    "START",
    "has_received",
    "can_serve_read",
]


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Position:
    """A place in a group's log.

    Attributes:
      term: term under which the entry was written.
      offset: number of log entries up to and including this place.
    """

    term: types.Term
    offset: types.Offset


START = Position(term=0, offset=0)


class Role(enum.Enum):
    """Role of a database in its group."""

    PRIMARY = "primary"
    REPLICA = "replica"


@dataclasses.dataclass(frozen=True, slots=True)
class DatabaseStatus:
    """Status that one database reported about itself.

    Attributes:
      database: name of the database in the sheet.
      role: primary or replica.
      term: term that the database leads or follows.
      base: offset at which that term started.
      log_term: newest term whose base the log has reached.
      received: number of entries in the log.
      applied: number of entries that reads can see.
      fenced: highest term that the database was fenced at; the database
        refuses all lower terms.
      primary_silence: time since the last message from the primary, for a
        replica.
      boot: identifier that changes when the database restarts.
    """

    database: types.DatabaseName
    role: Role
    term: types.Term
    base: types.Offset
    log_term: types.Term
    received: types.Offset
    applied: types.Offset
    fenced: types.Term
    primary_silence: datetime.timedelta
    boot: str


def can_serve_read(
    status: DatabaseStatus, term: types.Term, floor: Position
) -> bool:
    """Returns whether a read with this floor may run on the database.

    Args:
      status: newest known status of the database.
      term: newest term known in the group.
      floor: lowest position that the read must see.
    """
    if status.term != term or status.log_term != term:
        return False
    return status.applied >= max(status.base, floor.offset)


def has_received(status: DatabaseStatus, position: Position) -> bool:
    """Returns whether the database's log holds the write at a position."""
    if status.term != position.term or status.log_term != position.term:
        return False
    return status.received >= position.offset
