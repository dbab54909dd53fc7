"""The clock that is passed to all code that needs the time."""

from __future__ import annotations

import asyncio
import datetime
import time
from typing import Protocol

__all__ = ["Clock", "SystemClock"]


class Clock(Protocol):
    """Source of time.

    Modules that make decisions get the current time as an argument and never
    read a clock themselves.
    """

    def now(self) -> datetime.datetime:
        """Returns the time in UTC; within a process it never goes back."""

    async def sleep(self, duration: datetime.timedelta) -> None:
        """Waits without blocking the event loop."""


class SystemClock:
    """The system clock, read once at the start so that it never goes back.

    The elapsed time includes the time during which the machine was suspended,
    so that a process that was frozen computes the age of its data correctly.
    """

    __slots__ = ("_boot_time_at_start", "_wall_time_at_start")

    def __init__(self) -> None:
        self._wall_time_at_start = datetime.datetime.now(datetime.UTC)
        self._boot_time_at_start = time.clock_gettime(time.CLOCK_BOOTTIME)

    def __repr__(self) -> str:
        return f"SystemClock(anchor={self._wall_time_at_start.isoformat()})"

    def now(self) -> datetime.datetime:
        """Returns the wall time at the start plus the elapsed time, in UTC."""
        elapsed = (
            time.clock_gettime(time.CLOCK_BOOTTIME) - self._boot_time_at_start
        )
        return self._wall_time_at_start + datetime.timedelta(seconds=elapsed)

    async def sleep(self, duration: datetime.timedelta) -> None:
        """Waits in the running event loop."""
        await asyncio.sleep(duration.total_seconds())
