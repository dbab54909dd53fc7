"""Detects a primary that stopped acknowledging commits, without I/O.

A primary that is partitioned from its replicas still accepts statements but
never acknowledges a commit.
"""

from __future__ import annotations

import dataclasses
import datetime

from hickorygate.core import position as positions

__all__ = ["STALL_LIMIT", "ReplicationSample", "StallDetector"]

STALL_LIMIT = datetime.timedelta(milliseconds=800)
"""Time without an acknowledgment after which the primary counts as stalled. The
time is longer than a slow database takes to respond."""

_DOUBT_LIMIT = datetime.timedelta(milliseconds=200)
"""Time without an acknowledgment after which the next round that requests the
log ends is due earlier."""

_MIN_UNANSWERED = 2
"""Number of unacknowledged commits that suffices as evidence of a stall. A
single one does if the replicas' logs are also seen to lag behind."""

_BEHIND_LIMIT = datetime.timedelta(milliseconds=500)
"""Time for which the replicas' logs must lag behind to count as evidence."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicationSample:
    """How far the replicas of a primary were at one time.

    Attributes:
      at: time at which the positions were requested.
      primary: log position of the primary.
      replicas: greatest position that enough replicas to acknowledge a commit
        have reached.
    """

    at: datetime.datetime
    primary: positions.Position
    replicas: positions.Position

    @property
    def complete(self) -> bool:
        """Whether the replicas have all that the primary has."""
        return self.replicas >= self.primary


class StallDetector:
    """Tracks the unacknowledged commits of one primary."""

    __slots__ = ("_not_replicated", "_unanswered_since", "_unanswered")

    def __init__(self) -> None:
        self._not_replicated: ReplicationSample | None = None
        self._unanswered_since: datetime.datetime | None = None
        self._unanswered = 0

    def __repr__(self) -> str:
        return f"StallDetector(unanswered={self._unanswered})"

    def record_commit(self, now: datetime.datetime) -> None:
        """Records that a commit was sent."""
        self._unanswered += 1
        if self._unanswered_since is None:
            self._unanswered_since = now

    def answered(self) -> None:
        """Records that any commit was answered, which ends the stall."""
        self._unanswered_since = None
        self._unanswered = 0

    def drop_commit(self) -> None:
        """Removes a commit whose connection broke.

        A broken connection doesn't show that the primary stopped acknowledging
        commits.
        """
        self._unanswered = max(self._unanswered - 1, 0)
        if not self._unanswered:
            self._unanswered_since = None

    def record_log_ends(self, sample: ReplicationSample) -> None:
        """Records a comparison of the logs of the primary and its replicas."""
        pending = self._not_replicated
        if pending is not None and sample.replicas < pending.primary:
            return
        self._not_replicated = None if sample.complete else sample

    def doubtful(self, now: datetime.datetime) -> bool:
        """Returns whether a commit has been unanswered for unusually long."""
        return (
            self._unanswered_since is not None
            and now - self._unanswered_since >= _DOUBT_LIMIT
        )

    def stalled(self, now: datetime.datetime) -> bool:
        """Returns whether the primary has stopped acknowledging commits."""
        since = self._unanswered_since
        if since is None or now - since < STALL_LIMIT:
            return False
        pending = self._not_replicated
        behind = pending is not None and now - pending.at >= _BEHIND_LIMIT
        return behind or self._unanswered >= _MIN_UNANSWERED
