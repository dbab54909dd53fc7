"""Tells from replicas' logs whether a silent primary still works, without I/O.

A proxy that gets no answer from a primary can't tell whether the primary failed
or only the path to it. The replicas can: while their logs grow, the primary
commits, so it runs and others reach it.
"""

from __future__ import annotations

import collections
from collections.abc import Mapping
import datetime

from hickorygate.core import position as positions
from hickorygate.upstreams import member as members

__all__ = ["LogGrowth"]

_RETENTION = datetime.timedelta(seconds=3)
"""Time for which observed log ends are kept."""


class LogGrowth:
    """The log ends of replicas over the last seconds."""

    __slots__ = ("_observations",)

    def __init__(self) -> None:
        self._observations: collections.deque[
            tuple[
                datetime.datetime, Mapping[members.MemberId, positions.Position]
            ]
        ] = collections.deque()

    def __repr__(self) -> str:
        return f"LogGrowth({len(self._observations)})"

    def record(
        self,
        ends: Mapping[members.MemberId, positions.Position],
        now: datetime.datetime,
    ) -> None:
        """Records the ends of the replicas' logs."""
        self._observations.append((now, ends))
        while now - self._observations[0][0] > _RETENTION:
            self._observations.popleft()

    def grew_since(self, start: datetime.datetime) -> bool:
        """Returns whether a log was seen to grow after a time."""
        first: dict[members.MemberId, positions.Position] = {}
        for seen, ends in self._observations:
            if seen < start:
                continue
            for name, end in ends.items():
                if end > first.setdefault(name, end):
                    return True
        return False
