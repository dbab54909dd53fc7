"""Estimates how long a transaction waits for a connection; does no I/O.

Transactions hold connections while their callers pause, so their number and
not the load of the database decides when one becomes free. The rate at which
connections were lent while others waited is expected to last. Without this
estimate, transactions waited until their deadline and then failed.
"""

from __future__ import annotations

import datetime
import math

__all__ = ["LendingRate"]

_DECAY_SECONDS = 2.0
"""Time constant of the decay of past measurements."""

_MIN_OBSERVED_SECONDS = 0.5
"""Time with waiting transactions before which no wait is estimated."""

_MIN_LENT = 0.5
"""Number of connections assumed to be lent if none was."""


class LendingRate:
    """The rate at which waiting transactions get connections of a pool."""

    __slots__ = ("_last", "_lent", "_observed")

    def __init__(self) -> None:
        self._lent = 0.0
        self._observed = 0.0
        self._last: datetime.datetime | None = None

    def __repr__(self) -> str:
        return f"LendingRate({self._lent:.1f} in {self._observed:.1f} s)"

    def advance(self, waiting: int, now: datetime.datetime) -> None:
        """Takes account of the time since the last call.

        Args:
          waiting: number of transactions that waited meanwhile.
          now: current time.
        """
        elapsed = (now - (self._last or now)).total_seconds()
        self._last = now
        if elapsed <= 0:
            return
        decay = math.exp(-elapsed / _DECAY_SECONDS)
        self._lent *= decay
        self._observed *= decay
        if waiting:
            # The integral of the decaying weight over the elapsed time.
            self._observed += _DECAY_SECONDS * (1 - decay)

    def record(self) -> None:
        """Records that a waiting transaction got a connection."""
        self._lent += 1

    def expected_wait(self, ahead: int) -> datetime.timedelta:
        """Returns how long a transaction is going to wait.

        Args:
          ahead: number of transactions that are served before.
        """
        if self._observed < _MIN_OBSERVED_SECONDS:
            return datetime.timedelta()
        rate = max(self._lent, _MIN_LENT) / self._observed
        return datetime.timedelta(seconds=(ahead + 1) / rate)
