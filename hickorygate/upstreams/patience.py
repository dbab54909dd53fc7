"""How long a request waits for a primary that is being replaced: no I/O.

Waiting is worth it only if the new primary will lead before the request's
time is over. How long a replacement takes is learned from the last ones.
"""

from __future__ import annotations

import datetime

from hickorygate.core import request as request_lib

__all__ = ["Patience"]

_FIRST_GUESS = datetime.timedelta(milliseconds=2_000)
"""Detection, pauses, promotion, before any replacement was seen."""

_WEIGHT = 0.5
"""Of the newest replacement in the moving average."""

_SLACK = datetime.timedelta(milliseconds=250)
"""How much later than expected a replacement may be."""

_CHANCE = 0.2
"""The part of the rank's target that is waited where nothing is expected; a
primary may only have been out of sight."""


class Patience:
    """The replacements of one group's primary."""

    __slots__ = ("_lost", "_typical")

    def __init__(self) -> None:
        self._lost: datetime.datetime | None = None
        self._typical = _FIRST_GUESS

    def __repr__(self) -> str:
        return f"Patience(typical={self._typical})"

    def lose(self, now: datetime.datetime) -> None:
        """Takes in that the primary is lost."""
        if self._lost is None:
            self._lost = now

    def find(self, now: datetime.datetime) -> None:
        """Takes in that a primary leads."""
        if self._lost is None:
            return
        took = now - self._lost
        self._typical += _WEIGHT * (took - self._typical)
        self._lost = None

    def until(
        self, request: request_lib.Request, now: datetime.datetime
    ) -> datetime.datetime:
        """Returns until when a request should wait for a primary."""
        if self._lost is None:
            return request.deadline
        chance = min(now + _CHANCE * request.rank.target, request.deadline)
        expected = self._lost + self._typical
        if expected > request.deadline or now > expected + _SLACK:
            return chance
        return min(max(expected + _SLACK, chance), request.deadline)

    def retry_after(self, now: datetime.datetime) -> datetime.timedelta:
        """Returns when to come back."""
        if self._lost is None:
            return _SLACK
        return max(self._lost + self._typical - now, _SLACK)
