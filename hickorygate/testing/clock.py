"""A clock that moves only when it is told to, or when someone sleeps."""

from __future__ import annotations

import asyncio
import datetime

__all__ = ["FakeClock", "at"]

_START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)


def at(seconds: float) -> datetime.datetime:
    """Returns a time so long after a test's beginning."""
    return _START + datetime.timedelta(seconds=seconds)


class FakeClock:
    """Time in a test; sleeping takes none."""

    __slots__ = ("_now",)

    def __init__(self) -> None:
        self._now = _START

    def __repr__(self) -> str:
        return f"FakeClock(now={self._now.isoformat()})"

    def now(self) -> datetime.datetime:
        """Returns the present of the test."""
        return self._now

    def advance(self, duration: datetime.timedelta) -> None:
        """Moves the present on."""
        self._now += duration

    async def sleep(self, duration: datetime.timedelta) -> None:
        """Moves the present on and lets others run."""
        self.advance(duration)
        await asyncio.sleep(0)
