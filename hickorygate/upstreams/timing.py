"""Delays and time limits of a failover."""

from __future__ import annotations

import dataclasses
import datetime

__all__ = ["Timing"]


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Delays and time limits of a failover.

    Attributes:
      detection: time that a majority must be without a primary before the
        primary is replaced.
      rank_delay: additional delay of each rank before its proxy starts a run.
      preference: longest time that a run waits for a majority without the
        databases that it avoids.
      settle: shortest time between the fence of the old primary and the fence
        of its successor in a planned run, so that waits for the last writes
        are answered first.
      quiet: longest time in which a successor may catch up with the fenced
        old primary in a planned run.
      limit: time after which a run is aborted.
      back_off: mean backoff after the first failed run.
      readmission: time that a healthy group remains without a database that
        can rejoin only in a new term.
    """

    detection: datetime.timedelta
    rank_delay: datetime.timedelta = datetime.timedelta(milliseconds=200)
    preference: datetime.timedelta = datetime.timedelta(milliseconds=150)
    settle: datetime.timedelta = datetime.timedelta(milliseconds=40)
    quiet: datetime.timedelta = datetime.timedelta(seconds=1)
    limit: datetime.timedelta = datetime.timedelta(seconds=2)
    back_off: datetime.timedelta = datetime.timedelta(milliseconds=200)
    readmission: datetime.timedelta = datetime.timedelta(seconds=5)
