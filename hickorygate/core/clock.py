"""The clock that is passed to everything that needs the time."""

from __future__ import annotations

import asyncio
import datetime
import time
from typing import Protocol

__all__ = ["Clock", "SystemClock"]


class Clock(Protocol):
    """Source of time; decisions get `now` from it and never read it."""

    def now(self) -> datetime.datetime:
        """Returns the time in UTC; it never goes back in one process."""

    async def sleep(self, duration: datetime.timedelta) -> None:
        """Waits without blocking the loop."""


class SystemClock:
    """The machine's clock, anchored once so that it never steps back.

    It counts the time that the machine was suspended, so that a process that
    was frozen knows how old its knowledge is.
    """

    __slots__ = ("_anchor", "_started")

    def __init__(self) -> None:
        self._anchor = datetime.datetime.now(datetime.UTC)
        self._started = time.clock_gettime(time.CLOCK_BOOTTIME)

    def __repr__(self) -> str:
        return f"SystemClock(anchor={self._anchor.isoformat()})"

    def now(self) -> datetime.datetime:
        """Returns the anchored wall time in UTC."""
        elapsed = time.clock_gettime(time.CLOCK_BOOTTIME) - self._started
        return self._anchor + datetime.timedelta(seconds=elapsed)

    async def sleep(self, duration: datetime.timedelta) -> None:
        """Waits on the running loop."""
        await asyncio.sleep(duration.total_seconds())
