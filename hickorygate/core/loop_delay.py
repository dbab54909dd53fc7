"""Detects that this proxy's event loop runs late, without I/O."""

from __future__ import annotations

import datetime

__all__ = ["LoopDelay"]


class LoopDelay:
    """Detects that this proxy's event loop runs late, by a periodic call."""

    __slots__ = ("_due", "_interval", "_late_until", "_tolerance")

    def __init__(
        self, interval: datetime.timedelta, tolerance: datetime.timedelta
    ) -> None:
        self._interval = interval
        self._tolerance = tolerance
        self._due: datetime.datetime | None = None
        self._late_until: datetime.datetime | None = None

    def __repr__(self) -> str:
        return f"LoopDelay(due={self._due})"

    def tick(self, now: datetime.datetime) -> None:
        """Records the periodic call; it is expected every `interval`."""
        if self._overdue(now):
            self._late_until = now
        self._due = now + self._interval

    def affects(self, sent: datetime.datetime, now: datetime.datetime) -> bool:
        """Returns whether the loop was late between two times."""
        if self._overdue(now):
            return True
        return self._late_until is not None and sent <= self._late_until

    def _overdue(self, now: datetime.datetime) -> bool:
        return self._due is not None and now - self._due > self._tolerance
