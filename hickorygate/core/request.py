"""What a caller asks for besides the statement itself."""

from __future__ import annotations

import dataclasses
import datetime

from hickorygate.core import rank as ranks

__all__ = ["Request"]


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One statement's terms of service.

    Attributes:
      rank: its rank of work.
      arrived: when the proxy read it.
      deadline: when it is given up if it hasn't been sent.
      staleness: the age of data that a read accepts; None for the newest.
      idempotency_key: repeats of a write with the same key run once.
    """

    rank: ranks.Rank
    arrived: datetime.datetime
    deadline: datetime.datetime
    staleness: datetime.timedelta | None = None
    idempotency_key: str | None = None

    def time_left(self, now: datetime.datetime) -> datetime.timedelta:
        """Returns the time until the deadline, at least zero."""
        return max(self.deadline - now, datetime.timedelta())
