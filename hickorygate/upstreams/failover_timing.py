"""Delays and time limits of a failover."""

from __future__ import annotations

import dataclasses
import datetime

__all__ = ["FailoverTiming"]


@dataclasses.dataclass(frozen=True, slots=True)
class FailoverTiming:
    """Delays and time limits of a failover.

    Attributes:
      detection: time that a majority must be without a primary before the
        primary is replaced.
      rank_delay: additional delay of each rank before its proxy starts a run.
      preferred_majority_wait: longest time that a run waits for a majority
        without the databases that it avoids.
      min_quiesce_time: shortest time between the fence of the old primary and
        the fence of its successor in a planned run, so that waits for the last
        writes are answered first.
      max_quiesce_time: longest time in which a successor may catch up with the
        fenced old primary in a planned run.
      limit: time after which a run is aborted.
      back_off: mean backoff after the first failed run.
      readmission: time that a healthy group remains without a database that
        can rejoin only in a new term.
    """

    detection: datetime.timedelta
    rank_delay: datetime.timedelta = datetime.timedelta(milliseconds=200)
    preferred_majority_wait: datetime.timedelta = datetime.timedelta(
        milliseconds=150
    )
    min_quiesce_time: datetime.timedelta = datetime.timedelta(milliseconds=40)
    max_quiesce_time: datetime.timedelta = datetime.timedelta(seconds=1)
    limit: datetime.timedelta = datetime.timedelta(seconds=2)
    back_off: datetime.timedelta = datetime.timedelta(milliseconds=200)
    readmission: datetime.timedelta = datetime.timedelta(seconds=5)
