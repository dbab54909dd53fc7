"""Write gap of a group: a time in which writes arrive and none is answered.

This module does no I/O.
"""

from __future__ import annotations

import datetime

from hickorygate.core import measurement

__all__ = ["WriteGap"]

_ZERO = datetime.timedelta()


class WriteGap:
    """Measures the times in which a group could not serve writes.

    A gap starts when a write arrives, but never before the last answered write
    ended. The gap ends when a write is answered. An ordinary write that is
    answered is therefore a short gap of its own. A write that is held during
    a failover counts as much as one that is refused.
    """

    __slots__ = ("_last", "_last_answered", "_longest", "_open_since")

    def __init__(self) -> None:
        self._last_answered: datetime.datetime | None = None
        self._open_since: datetime.datetime | None = None
        self._last = _ZERO
        self._longest = _ZERO

    @property
    def last(self) -> datetime.timedelta:
        """Length of the gap that the newest answered write ended."""
        return self._last

    @property
    def longest(self) -> datetime.timedelta:
        """Length of the longest gap that has ended."""
        return self._longest

    def __repr__(self) -> str:
        return f"WriteGap(longest={self._longest})"

    def open_duration(self, now: datetime.datetime) -> datetime.timedelta:
        """Returns the length of the open gap; zero if no gap is open."""
        if self._open_since is None:
            return _ZERO
        return now - self._open_since

    def record_write(
        self, served: measurement.StatementServed
    ) -> datetime.timedelta | None:
        """Records a write.

        Returns:
          Length of the gap that this write ended; None if the write wasn't
          answered.
        """
        start = served.arrived
        if self._open_since is not None:
            start = min(start, self._open_since)
        if self._last_answered is not None:
            start = max(start, self._last_answered)
        if not served.answered:
            self._open_since = start
            return None
        self._open_since = None
        self._last_answered = max(
            self._last_answered or served.ended, served.ended
        )
        self._last = max(served.ended - start, _ZERO)
        self._longest = max(self._longest, self._last)
        return self._last
