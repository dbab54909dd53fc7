"""Exponential backoff with a limit and jitter, without I/O."""

from __future__ import annotations

import datetime
import random

__all__ = ["Backoff"]


class Backoff:
    """Exponential backoff: the wait doubles with each consecutive failure."""

    __slots__ = ("_failures", "_first", "_generator", "_longest")

    def __init__(
        self,
        first: datetime.timedelta,
        longest: datetime.timedelta,
        generator: random.Random,
    ) -> None:
        """Creates a backoff without failures.

        Args:
          first: maximum wait after the first failure.
          longest: maximum wait after any number of failures.
          generator: source of the jitter.
        """
        self._first = first
        self._longest = longest
        self._generator = generator
        self._failures = 0

    def __repr__(self) -> str:
        return f"Backoff(failures={self._failures})"

    def reset(self) -> None:
        """Records a success, which resets the count of failures."""
        self._failures = 0

    def record_failure(self) -> datetime.timedelta:
        """Records a failure and returns the time to wait after it.

        Returns:
          The time to wait, chosen at random between half of the current bound
          and the whole bound.
        """
        bound = min(self._first * 2**self._failures, self._longest)
        if bound < self._longest:
            self._failures += 1
        return bound * self._generator.uniform(0.5, 1)
