"""The write gap of a group: writes came, and none was answered. No I/O."""

from __future__ import annotations

import datetime

from hickorygate.core import measurement as measurements

__all__ = ["WriteGap"]

_NO_TIME = datetime.timedelta()


class WriteGap:
    """Times during which a group's writes could not be served.

    A gap starts when a write arrives that isn't answered, not before the
    last answered one, and ends when the next write is answered. So a write
    that was held through a failover counts as much as one that was refused.
    """

    __slots__ = ("_answered", "_last", "_longest", "_waiting_since")

    def __init__(self) -> None:
        self._answered: datetime.datetime | None = None
        self._waiting_since: datetime.datetime | None = None
        self._last = _NO_TIME
        self._longest = _NO_TIME

    @property
    def last(self) -> datetime.timedelta:
        """The time before the newest answered write."""
        return self._last

    @property
    def longest(self) -> datetime.timedelta:
        """The longest so far."""
        return self._longest

    def __repr__(self) -> str:
        return f"WriteGap(longest={self._longest})"

    def open_for(self, now: datetime.datetime) -> datetime.timedelta:
        """Returns how long writes have been failing; zero if they don't."""
        if self._waiting_since is None:
            return _NO_TIME
        return now - self._waiting_since

    def take(
        self, served: measurements.StatementServed
    ) -> datetime.timedelta | None:
        """Takes in a write.

        Returns:
          The gap that this write ended; None if it wasn't answered.
        """
        start = served.arrived
        if self._waiting_since is not None:
            start = min(start, self._waiting_since)
        if self._answered is not None:
            start = max(start, self._answered)
        if not served.answered:
            self._waiting_since = start
            return None
        self._waiting_since = None
        self._answered = max(self._answered or served.ended, served.ended)
        self._last = max(served.ended - start, _NO_TIME)
        self._longest = max(self._longest, self._last)
        return self._last
