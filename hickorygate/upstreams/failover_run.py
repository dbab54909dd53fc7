"""State of an attempt to replace a primary, and choice of the successor."""

from __future__ import annotations

import dataclasses
import datetime
import enum

from hickorygate.core import position
from hickorygate.core import types

__all__ = ["FailoverRun", "FailoverStage", "choose_candidate"]


class FailoverStage(enum.Enum):
    """Stage of a run.

    Attributes:
      QUIESCING: the old primary is fenced, and a replica catches up with it;
        only a planned run starts here.
      FENCING: a majority of the group is fenced.
      PROMOTING: the chosen database is made the primary.
      POINTING: the other databases are made to follow the new primary.
    """

    QUIESCING = "quiescing"
    FENCING = "fencing"
    PROMOTING = "promoting"
    POINTING = "pointing"


@dataclasses.dataclass(slots=True)
class FailoverRun:
    """One attempt to replace a primary, under a term of its own.

    Attributes:
      term: new term of the run; no other run uses it.
      reason: why the run was started.
      started: time at which the run started.
      stage: current stage.
      stage_started: time at which the stage started; in the stage QUIESCING,
        the time at which the old primary accepted the fence, once it has.
      old_primary: name of the primary to replace, None if none is known.
      avoided: databases that are promoted only if no majority without them
        can be fenced.
      fences: statuses of the databases that accepted the fence, by name.
      refusals: databases that refused a call, because they accepted the term
        of another run.
      promoted: the only database that may be promoted under the term, None
        until it is chosen.
      followers: databases that follow the promoted one.
    """

    term: types.Term
    reason: str
    started: datetime.datetime
    stage: FailoverStage
    stage_started: datetime.datetime
    old_primary: types.DatabaseName | None
    avoided: frozenset[types.DatabaseName]
    fences: dict[types.DatabaseName, position.DatabaseStatus] = (
        dataclasses.field(default_factory=dict)
    )
    refusals: set[types.DatabaseName] = dataclasses.field(default_factory=set)
    promoted: types.DatabaseName | None = None
    followers: set[types.DatabaseName] = dataclasses.field(default_factory=set)

    def enter(self, stage: FailoverStage, now: datetime.datetime) -> None:
        """Starts a stage at the given time."""
        self.stage = stage
        self.stage_started = now


def choose_candidate(
    run: FailoverRun, majority: int, may_wait: bool
) -> types.DatabaseName | None:
    """Returns the most advanced database of a fenced majority.

    Any majority is sufficient, because every majority holds all acknowledged
    writes. A majority without the databases to avoid is preferred. A database
    without a log has lost the fences that it accepted and isn't counted.

    Args:
      run: the run whose fences count.
      majority: number of databases that must be fenced.
      may_wait: whether to return None rather than a database of a majority
        that includes databases to avoid.

    Returns:
      The name of the database to promote, None if there is no majority yet.
    """
    voters = [status for status in run.fences.values() if status.log_term > 0]
    preferred = [
        status for status in voters if status.database not in run.avoided
    ]
    if len(preferred) >= majority:
        return _most_advanced(preferred, run.avoided)
    if may_wait or len(voters) < majority:
        return None
    return _most_advanced(voters, run.avoided)


def _most_advanced(
    statuses: list[position.DatabaseStatus],
    avoided: frozenset[types.DatabaseName],
) -> types.DatabaseName:
    best = max(
        statuses,
        key=lambda status: (
            status.log_term,
            status.received,
            status.database not in avoided,
        ),
    )
    return best.database
