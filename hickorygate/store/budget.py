"""How many calls this process may make: a token bucket without I/O."""

from __future__ import annotations

import datetime

__all__ = ["CallBudget"]


class CallBudget:
    """Allows a steady rate of calls and a burst on top.

    Attributes are private; a call is taken with `take`.
    """

    __slots__ = ("_burst", "_filled", "_rate", "_tokens")

    def __init__(self, rate: float, burst: float) -> None:
        """Fills the bucket.

        Args:
          rate: calls a second.
          burst: the most calls at once.
        """
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._filled: datetime.datetime | None = None

    def __repr__(self) -> str:
        return f"CallBudget(rate={self._rate}, tokens={self._tokens:.2f})"

    def take(self, now: datetime.datetime) -> datetime.timedelta:
        """Takes one call; a wait over zero means that none was taken."""
        self._fill(now)
        if self._tokens >= 1:
            self._tokens -= 1
            return datetime.timedelta()
        missing = 1 - self._tokens
        return datetime.timedelta(seconds=missing / self._rate)

    def _fill(self, now: datetime.datetime) -> None:
        if self._filled is not None:
            elapsed = (now - self._filled).total_seconds()
            filled = self._tokens + elapsed * self._rate
            self._tokens = min(self._burst, filled)
        self._filled = now
