"""How long each part of a failover may take."""

from __future__ import annotations

import dataclasses
import datetime

__all__ = ["Timing"]


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """How long each part of a failover may take.

    Attributes:
      detection: a majority must be without a primary for this long.
      rank_delay: each rank begins this much later than the one before.
      preference: how long a run waits for a majority without the databases
        that it would rather not promote.
      settle: between a quiet old primary and the fence of its successor, so
        that waits for the last writes are answered first.
      quiet: how long the successor may take to catch up.
      limit: after which a run is given up.
      back_off: mean wait after the first run that was given up.
      readmission: how long a healthy group does without a database that
        only a new term can bring back.
    """

    detection: datetime.timedelta
    rank_delay: datetime.timedelta = datetime.timedelta(milliseconds=200)
    preference: datetime.timedelta = datetime.timedelta(milliseconds=150)
    settle: datetime.timedelta = datetime.timedelta(milliseconds=40)
    quiet: datetime.timedelta = datetime.timedelta(seconds=1)
    limit: datetime.timedelta = datetime.timedelta(seconds=2)
    back_off: datetime.timedelta = datetime.timedelta(milliseconds=200)
    readmission: datetime.timedelta = datetime.timedelta(seconds=5)
