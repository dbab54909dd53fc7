"""When a database counts as out of reach: decisions without I/O."""

from __future__ import annotations

import datetime

__all__ = ["REFUSED_LIMIT", "SILENCE_LIMIT", "Vital"]

SILENCE_LIMIT = datetime.timedelta(milliseconds=1_000)
"""Questions unanswered for so long make a database unreachable. Lost packets
are sent again within a few hundred milliseconds."""

REFUSED_LIMIT = datetime.timedelta(milliseconds=250)
"""Refused connections for so long make it unreachable: nobody listens."""

_DOUBT_LIMIT = datetime.timedelta(milliseconds=100)
"""A question unanswered for so long makes an answer doubtful."""

_LEAST_REFUSALS = 2


class Vital:
    """Whether one database answers."""

    __slots__ = ("_asked", "_refusals", "_refused_since")

    def __init__(self) -> None:
        self._asked: datetime.datetime | None = None
        self._refusals = 0
        self._refused_since: datetime.datetime | None = None

    def __repr__(self) -> str:
        return f"Vital(asked={self._asked}, refusals={self._refusals})"

    def doubtful(self, now: datetime.datetime) -> bool:
        """Tells whether the newest question went unanswered."""
        if self._refusals:
            return True
        return self._asked is not None and now - self._asked >= _DOUBT_LIMIT

    def ask(self, now: datetime.datetime) -> None:
        """Takes in that a question was sent."""
        if self._asked is None:
            self._asked = now

    def answer(self) -> None:
        """Takes in an answer."""
        self.forgive()

    def refuse(self, now: datetime.datetime) -> None:
        """Takes in that a connection was refused or broken."""
        self._refusals += 1
        if self._refused_since is None:
            self._refused_since = now

    def lost(self, now: datetime.datetime) -> bool:
        """Tells whether it is out of reach."""
        refused = self._refused_since
        if refused is not None and self._refusals >= _LEAST_REFUSALS:
            return now - refused >= REFUSED_LIMIT
        return self._asked is not None and now - self._asked >= SILENCE_LIMIT

    def forgive(self) -> None:
        """Starts anew, also after this process itself stood still."""
        self._asked = None
        self._refusals = 0
        self._refused_since = None
