"""How often a database has failed lately: decisions without I/O.

A database may fail or mute a part of its requests although it answers
questions about itself.
"""

from __future__ import annotations

import datetime
import math

__all__ = ["Grade"]

_MEMORY = datetime.timedelta(seconds=3)
"""Time constant with which failures are forgotten."""

_PRIOR = 3.0
"""Answers that are assumed before any came."""


class Grade:
    """Failures and answers of one database, the newest weighing most."""

    __slots__ = ("_answers", "_failures", "_seen")

    def __init__(self) -> None:
        self._answers = 0.0
        self._failures = 0.0
        self._seen: datetime.datetime | None = None

    def __repr__(self) -> str:
        return f"Grade({self._failures:.1f} of {self._answers:.1f})"

    def note(self, failed: bool, now: datetime.datetime) -> None:
        """Takes in how one request ended."""
        self._fade(now)
        self._answers += 1
        self._failures += failed

    def share(self, now: datetime.datetime) -> float:
        """Returns the share of requests that failed lately, 0 to 1."""
        self._fade(now)
        return self._failures / (self._answers + _PRIOR)

    def _fade(self, now: datetime.datetime) -> None:
        if self._seen is not None:
            kept = math.exp(-((now - self._seen) / _MEMORY))
            self._answers *= kept
            self._failures *= kept
        self._seen = now
