"""Token buckets for the rate limits of workspaces, without I/O.

The bucket of a proxy covers the share of a workspace's limit that the proxy may
use. The share changes when other proxies lend theirs or take them back, so the
bucket is refilled for share-seconds (share multiplied by time), not for time.
"""

from __future__ import annotations

import collections
import dataclasses
import datetime

__all__ = ["RateLimit", "SlidingCount", "TokenBucket"]

_EXTRA_BURST = 4.0
"""Operations added to each burst, so that a burst of one operation, or a part
of a small burst, still admits operations. They come from the constant slack of
the bound on operations in a window; `limit_share.RESERVE` takes the rest."""

_ROUNDING = 1e-9
"""Tolerance for the rounding errors of sums of shares."""


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimit:
    """The rate limit of a workspace over all proxies.

    Attributes:
      rate: sustained rate, in operations per second.
      burst: number of operations that may run at once after a quiet time.
    """

    rate: float
    burst: float


class TokenBucket:
    """A bucket of tokens for a changing share of a rate limit.

    It starts empty, so that a share that moves to another proxy brings no
    second burst.
    """

    __slots__ = ("_limit", "_share", "_tokens")

    def __init__(self, limit: RateLimit) -> None:
        self._limit = limit
        self._share = 0.0
        self._tokens = 0.0

    @property
    def tokens(self) -> float:
        """Number of operations that may run now; may be a fraction."""
        return self._tokens

    @property
    def share(self) -> float:
        """Share of the limit that the bucket covers, 0 to 1."""
        return self._share

    def __repr__(self) -> str:
        return f"TokenBucket(share={self._share:.3f}, {self._tokens:.2f})"

    def set_limit(self, limit: RateLimit) -> None:
        """Sets the rate limit; surplus tokens are discarded at once."""
        self._limit = limit
        self._discard_surplus()

    def refill(self, share: float, share_seconds: float) -> None:
        """Adds the tokens of the time since the last call.

        Args:
          share: share of the limit that the proxy may use now.
          share_seconds: shares that the proxy could use since the last call,
            each multiplied by the seconds for which it could.
        """
        self._share = share
        self._tokens += self._limit.rate * share_seconds
        self._discard_surplus()

    def try_take(self) -> bool:
        """Takes one token; returns whether there was one."""
        if self._tokens < 1 - _ROUNDING:
            return False
        self._tokens = max(0.0, self._tokens - 1)
        return True

    def reserve(self, longest: datetime.timedelta) -> datetime.timedelta | None:
        """Takes one token, perhaps before there is one.

        Args:
          longest: longest time to wait for the token.

        Returns:
          Time to wait before the token may be used; None if that would take
          too long, and no token was taken.
        """
        missing = 1 - self._tokens
        if missing <= _ROUNDING:
            self._tokens -= 1
            return datetime.timedelta()
        rate = self._limit.rate * self._share
        if rate <= 0 or missing / rate >= longest.total_seconds():
            return None
        self._tokens -= 1
        return datetime.timedelta(seconds=missing / rate)

    def time_to_token(self) -> datetime.timedelta | None:
        """Returns the time until there is a token; None if there will be none.

        There will be none while the share or the rate is zero, or while the
        share of the burst is less than one operation.
        """
        rate = self._limit.rate * self._share
        if rate <= 0 or self._capacity < 1 - _ROUNDING:
            return None
        missing = max(0.0, 1 - self._tokens)
        return datetime.timedelta(seconds=missing / rate)

    @property
    def _capacity(self) -> float:
        return (self._limit.burst + _EXTRA_BURST) * self._share

    def _discard_surplus(self) -> None:
        self._tokens = min(self._tokens, self._capacity)


class SlidingCount:
    """Admits at most a fixed number of operations in any window of time."""

    __slots__ = ("_admitted", "_limit", "_window")

    def __init__(self, limit: int, window: datetime.timedelta) -> None:
        self._limit = limit
        self._window = window
        self._admitted: collections.deque[datetime.datetime] = (
            collections.deque()
        )

    def __repr__(self) -> str:
        return f"SlidingCount({len(self._admitted)} of {self._limit})"

    def try_take(self, now: datetime.datetime) -> bool:
        """Counts one operation; returns whether the limit admits it."""
        while self._admitted and now - self._admitted[0] > self._window:
            self._admitted.popleft()
        if len(self._admitted) >= self._limit:
            return False
        self._admitted.append(now)
        return True
