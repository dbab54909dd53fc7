"""Detects a primary that stopped acknowledging commits, without I/O.

A primary that is partitioned from its replicas still accepts statements but
never acknowledges a commit.
"""

from __future__ import annotations

import datetime

__all__ = ["STALL_LIMIT", "StallDetector"]

STALL_LIMIT = datetime.timedelta(milliseconds=800)
"""Time without an acknowledgment after which the primary counts as stalled. The
time is longer than a slow database takes to respond."""

_DOUBT_LIMIT = datetime.timedelta(milliseconds=200)
"""Time without an acknowledgment after which the next round that requests the
log ends is due earlier."""

_MIN_UNANSWERED = 2
"""Minimum number of unacknowledged commits of a stalled primary."""


class StallDetector:
    """Tracks the unacknowledged commits of one primary."""

    __slots__ = ("_unanswered_since", "_unanswered")

    def __init__(self) -> None:
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

    def doubtful(self, now: datetime.datetime) -> bool:
        """Returns whether a commit has been unanswered for unusually long."""
        return (
            self._unanswered_since is not None
            and now - self._unanswered_since >= _DOUBT_LIMIT
        )

    def stalled(self, now: datetime.datetime) -> bool:
        """Returns whether the primary has stopped acknowledging commits."""
        since = self._unanswered_since
        if since is None or self._unanswered < _MIN_UNANSWERED:
            return False
        return now - since >= STALL_LIMIT
