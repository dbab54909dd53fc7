"""When a database counts as out of reach: decisions without I/O."""

from __future__ import annotations

import datetime

__all__ = ["REFUSED_LIMIT", "SILENCE_LIMIT", "Vital"]

SILENCE_LIMIT = datetime.timedelta(milliseconds=1_000)
"""Questions unanswered for so long make a database unreachable. Lost packets
are sent again within a few hundred milliseconds."""

REFUSED_LIMIT = datetime.timedelta(milliseconds=250)
"""Refused connections for so long make it unreachable: nobody listens."""

_LEAST_FAILURES = 2


class Vital:
    """Whether one database answers."""

    __slots__ = ("_asked", "_failures", "_refused_since")

    def __init__(self) -> None:
        self._asked: datetime.datetime | None = None
        self._failures = 0
        self._refused_since: datetime.datetime | None = None

    @property
    def doubtful(self) -> bool:
        """Whether the newest question failed."""
        return self._failures > 0

    def __repr__(self) -> str:
        return f"Vital(failures={self._failures})"

    def ask(self, now: datetime.datetime) -> None:
        """Takes in that a question was sent."""
        if self._asked is None:
            self._asked = now

    def answer(self) -> None:
        """Takes in an answer."""
        self._asked = None
        self._failures = 0
        self._refused_since = None

    def refuse(self, now: datetime.datetime) -> None:
        """Takes in that a connection was refused or broken."""
        self._failures += 1
        if self._refused_since is None:
            self._refused_since = now

    def miss(self) -> None:
        """Takes in that a question timed out."""
        self._failures += 1

    def lost(self, now: datetime.datetime) -> bool:
        """Tells whether it is out of reach."""
        if self._failures < _LEAST_FAILURES:
            return False
        refused = self._refused_since
        if refused is not None and now - refused >= REFUSED_LIMIT:
            return True
        return self._asked is not None and now - self._asked >= SILENCE_LIMIT

    def forgive(self) -> None:
        """Starts anew, after this process itself stood still."""
        if self._asked is not None:
            self._asked = None
        self._failures = 0
        self._refused_since = None
