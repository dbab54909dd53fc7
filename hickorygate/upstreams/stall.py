"""Whether a primary that answers has stopped to acknowledge: no I/O.

A primary that is cut off from its replicas takes statements and never
acknowledges a commit.
"""

from __future__ import annotations

import datetime

__all__ = ["STALL_LIMIT", "Stall"]

STALL_LIMIT = datetime.timedelta(milliseconds=800)
"""Commits unacknowledged for so long; slow databases answer sooner."""

_DOUBT_LIMIT = datetime.timedelta(milliseconds=200)
"""After which the replicas are asked for the ends of their logs."""

_LEAST_UNANSWERED = 2


class Stall:
    """Commits that were sent to one primary and not acknowledged."""

    __slots__ = ("_since", "_unanswered")

    def __init__(self) -> None:
        self._since: datetime.datetime | None = None
        self._unanswered = 0

    def __repr__(self) -> str:
        return f"Stall(unanswered={self._unanswered})"

    def sent(self, now: datetime.datetime) -> None:
        """Takes in that a commit was sent."""
        self._unanswered += 1
        if self._since is None:
            self._since = now

    def answered(self) -> None:
        """Takes in that any commit was answered."""
        self._since = None
        self._unanswered = 0

    def broken(self) -> None:
        """Takes in that a commit's connection broke: no proof of silence."""
        self._unanswered = max(self._unanswered - 1, 0)
        if not self._unanswered:
            self._since = None

    def doubtful(self, now: datetime.datetime) -> bool:
        """Tells whether a commit has waited for unusually long."""
        return self._since is not None and now - self._since >= _DOUBT_LIMIT

    def stalled(self, now: datetime.datetime) -> bool:
        """Tells whether the primary no longer acknowledges."""
        since = self._since
        if since is None or self._unanswered < _LEAST_UNANSWERED:
            return False
        return now - since >= STALL_LIMIT
