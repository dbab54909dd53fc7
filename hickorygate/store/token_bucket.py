"""A token bucket that limits the rate of calls, without I/O."""

from __future__ import annotations

import datetime

__all__ = ["TokenBucket"]


class TokenBucket:
    """A token bucket: limits the sustained rate and the bursts of calls.

    Each call takes one token with `try_take`.
    """

    __slots__ = ("_burst", "_filled_at", "_rate", "_tokens")

    def __init__(self, rate: float, burst: float) -> None:
        """Creates a full bucket.

        Args:
          rate: sustained rate, in calls per second.
          burst: maximum number of calls at once.
        """
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._filled_at: datetime.datetime | None = None

    def __repr__(self) -> str:
        return f"TokenBucket(rate={self._rate}, tokens={self._tokens:.2f})"

    def try_take(self, now: datetime.datetime) -> datetime.timedelta:
        """Takes one token if there is one.

        Args:
          now: current time.

        Returns:
          Zero if a token was taken, otherwise the time until there is one.
        """
        self._fill(now)
        if self._tokens >= 1:
            self._tokens -= 1
            return datetime.timedelta()
        missing = 1 - self._tokens
        return datetime.timedelta(seconds=missing / self._rate)

    def _fill(self, now: datetime.datetime) -> None:
        if self._filled_at is not None:
            elapsed = (now - self._filled_at).total_seconds()
            filled = self._tokens + elapsed * self._rate
            self._tokens = min(self._burst, filled)
        self._filled_at = now
