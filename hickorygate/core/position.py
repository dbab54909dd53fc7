"""Positions in a group's replicated log, and who may serve a read.

A position counts entries under a term. A term has a base: the offset at which
its primary took over. Everything below the base is shared history.
"""

from __future__ import annotations

import dataclasses
import datetime
import enum

from hickorygate.core import types

__all__ = ["DatabaseStatus", "Position", "Role", "START", "holds", "serves"]


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Position:
    """A place in a group's log.

    Attributes:
      term: the term under which the entry was written.
      offset: how many entries the log holds up to this place.
    """

    term: types.Term
    offset: types.Offset


START = Position(term=0, offset=0)


class Role(enum.Enum):
    """What a database is in its group."""

    PRIMARY = "primary"
    REPLICA = "replica"


@dataclasses.dataclass(frozen=True, slots=True)
class DatabaseStatus:
    """What one database said about itself.

    Attributes:
      database: its name in the sheet.
      role: primary or replica.
      term: the term it leads or follows.
      base: the offset at which that term started.
      log_term: the newest term whose base its log has reached.
      received: entries in its log.
      applied: entries that reads can see.
      fenced: the highest term it has promised; lower ones are refused.
      primary_silence: time since a replica last heard from its primary.
      boot: changes when the database restarts.
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


def serves(status: DatabaseStatus, term: types.Term, floor: Position) -> bool:
    """Tells whether a read with this floor may run on the database.

    Args:
      status: the database's newest known status.
      term: the newest term known in the group.
      floor: the least position that the read must see.
    """
    if status.term != term or status.log_term != term:
        return False
    return status.applied >= max(status.base, floor.offset)


def holds(status: DatabaseStatus, position: Position) -> bool:
    """Tells whether the database holds a write made at the position."""
    if status.term != position.term or status.log_term != position.term:
        return False
    return status.received >= position.offset
