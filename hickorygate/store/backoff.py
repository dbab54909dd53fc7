"""How long to wait after failures: bounded, jittered, without I/O."""

from __future__ import annotations

import datetime
import random

__all__ = ["Backoff"]


class Backoff:
    """Doubles the wait with each failure in a row, up to a limit."""

    __slots__ = ("_failures", "_first", "_generator", "_longest")

    def __init__(
        self,
        first: datetime.timedelta,
        longest: datetime.timedelta,
        generator: random.Random,
    ) -> None:
        """Starts without failures.

        Args:
          first: the longest wait after one failure.
          longest: the longest wait after any number.
          generator: source of the jitter.
        """
        self._first = first
        self._longest = longest
        self._generator = generator
        self._failures = 0

    def __repr__(self) -> str:
        return f"Backoff(failures={self._failures})"

    def succeed(self) -> None:
        """Forgets the failures."""
        self._failures = 0

    def fail(self) -> datetime.timedelta:
        """Counts a failure; returns the wait, half to all of the bound."""
        bound = min(self._first * 2**self._failures, self._longest)
        if bound < self._longest:
            self._failures += 1
        return bound * self._generator.uniform(0.5, 1)
