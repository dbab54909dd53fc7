"""One attempt to replace a primary: its record, and whom to promote."""

from __future__ import annotations

import dataclasses
import datetime
import enum

from hickorygate.core import position as positions
from hickorygate.core import types

__all__ = ["Run", "Stage", "candidate"]


class Stage(enum.Enum):
    """How far a run has come."""

    QUIESCING = "quiescing"
    FENCING = "fencing"
    PROMOTING = "promoting"
    POINTING = "pointing"


@dataclasses.dataclass(slots=True)
class Run:
    """One attempt, under a term of its own.

    Attributes:
      term: fresh, and used by this run alone.
      reason: why it began.
      started: when it began.
      stage: how far it has come.
      since: when that stage began.
      old: the primary to replace, None if none is known.
      avoided: databases to promote only if no majority does without them.
      fences: statuses of the databases that took the fence.
      refusals: databases that have promised themselves to another.
      promoted: the one database that this term is for, once it is chosen.
      followers: databases that follow it.
    """

    term: types.Term
    reason: str
    started: datetime.datetime
    stage: Stage
    since: datetime.datetime
    old: types.DatabaseName | None
    avoided: frozenset[types.DatabaseName]
    fences: dict[types.DatabaseName, positions.DatabaseStatus] = (
        dataclasses.field(default_factory=dict)
    )
    refusals: set[types.DatabaseName] = dataclasses.field(default_factory=set)
    promoted: types.DatabaseName | None = None
    followers: set[types.DatabaseName] = dataclasses.field(default_factory=set)

    def enter(self, stage: Stage, now: datetime.datetime) -> None:
        """Goes on to a stage."""
        self.stage = stage
        self.since = now


def candidate(
    run: Run, majority: int, patient: bool
) -> types.DatabaseName | None:
    """Returns the most advanced database of a fenced majority.

    Any majority will do, because each holds all that was acknowledged; one
    without the databases to avoid is taken if there is one. A database
    without a log has forgotten its promises and isn't counted.

    Args:
      run: whose fences count.
      majority: databases of the group that must be fenced.
      patient: whether to wait longer for a majority without those to avoid.
    """
    voters = [s for s in run.fences.values() if s.log_term > 0]
    preferred = [s for s in voters if s.database not in run.avoided]
    if len(preferred) >= majority:
        return _most_advanced(preferred, run.avoided)
    if patient or len(voters) < majority:
        return None
    return _most_advanced(voters, run.avoided)


def _most_advanced(
    statuses: list[positions.DatabaseStatus],
    avoided: frozenset[types.DatabaseName],
) -> types.DatabaseName:
    best = max(
        statuses,
        key=lambda s: (s.log_term, s.received, s.database not in avoided),
    )
    return best.database
