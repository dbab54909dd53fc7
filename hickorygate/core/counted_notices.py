"""Decides which of many equal incidents are reported; does no I/O."""

from __future__ import annotations

import collections
import datetime
from typing import Generic
from typing import TypeVar

__all__ = ["CountedNotices"]

_INTERVAL = datetime.timedelta(seconds=10)
"""Shortest time between two reports of one kind of incident."""


_Kind = TypeVar("_Kind")


class CountedNotices(Generic[_Kind]):
    """Counts incidents by kind and reports the first of each interval."""

    __slots__ = ("_reported", "_unreported", "_totals")

    def __init__(self) -> None:
        self._reported: dict[_Kind, datetime.datetime] = {}
        self._unreported: collections.Counter[_Kind] = collections.Counter()
        self._totals: collections.Counter[_Kind] = collections.Counter()

    @property
    def totals(self) -> collections.Counter[_Kind]:
        """Number of incidents since the start, by kind."""
        return self._totals

    def __repr__(self) -> str:
        return f"CountedNotices({self._totals.total()})"

    def add(self, kind: _Kind, now: datetime.datetime) -> int:
        """Counts an incident.

        Returns:
          The number of incidents since the last report if this one is to be
          reported; 0 if it isn't.
        """
        self._totals[kind] += 1
        self._unreported[kind] += 1
        last = self._reported.get(kind)
        if last is not None and now - last < _INTERVAL:
            return 0
        self._reported[kind] = now
        return self._unreported.pop(kind)
