"""Rank, deadline and options of a request, without its statement."""

from __future__ import annotations

import dataclasses
import datetime

from hickorygate.core import rank as ranks
from hickorygate.core import types

__all__ = ["RequestContext"]


@dataclasses.dataclass(frozen=True, slots=True)
class RequestContext:
    """Rank, deadline and options of one statement.

    Attributes:
      rank: rank of the statement.
      arrived: time at which the proxy read the statement.
      deadline: time after which the statement is no longer sent.
      staleness: maximum age of the data that a read accepts; None if the read
        needs the newest data.
      idempotency_key: key of a write; repeated writes with the same key run
        once.
      workspace: workspace of the caller; empty if it has none.
    """

    rank: ranks.Rank
    arrived: datetime.datetime
    deadline: datetime.datetime
    staleness: datetime.timedelta | None = None
    idempotency_key: str | None = None
    workspace: types.WorkspaceName = ""

    def time_left(self, now: datetime.datetime) -> datetime.timedelta:
        """Returns the time until the deadline, at least zero."""
        return max(self.deadline - now, datetime.timedelta())
