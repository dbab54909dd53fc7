"""A fake clock that advances only on `advance` and `sleep`."""

from __future__ import annotations

import asyncio
import datetime

__all__ = ["FakeClock", "at"]

_START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)


def at(seconds: float) -> datetime.datetime:
    """Returns the time this many seconds after the start of `FakeClock`."""
    return _START + datetime.timedelta(seconds=seconds)


class FakeClock:
    """A clock for tests, on which sleeping takes no real time."""

    __slots__ = ("_now",)

    def __init__(self) -> None:
        self._now = _START

    def __repr__(self) -> str:
        return f"FakeClock(now={self._now.isoformat()})"

    def now(self) -> datetime.datetime:
        """Returns the present time of the test."""
        return self._now

    def advance(self, duration: datetime.timedelta) -> None:
        """Advances the present time."""
        self._now += duration

    async def sleep(self, duration: datetime.timedelta) -> None:
        """Advances the present time and yields to other tasks once."""
        self.advance(duration)
        await asyncio.sleep(0)
