"""A loop on which time passes only while nothing else happens.

Sockets are real, so whole programs run on it; timers don't wait, so neither
the machine's speed nor its load changes what a test sees.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
import datetime
import selectors
from typing import Any
from typing import TypeVar

__all__ = ["LoopClock", "VirtualLoop", "run"]

_EPOCH = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)

_DELIVERY_SECONDS = 0.000_2
"""Real time that bytes between two sockets of one process may take; only
after it does time move on."""

ResultT = TypeVar("ResultT")


class _Selector(selectors.DefaultSelector):
    """Moves virtual time on in place of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.elapsed = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            return super().select(None)
        ready = super().select(min(timeout, _DELIVERY_SECONDS))
        if not ready:
            self.elapsed += max(timeout, 0.0)
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time is that of its timers."""

    def __init__(self) -> None:
        self._virtual = _Selector()
        super().__init__(self._virtual)

    def time(self) -> float:
        """Returns the seconds that have passed."""
        return self._virtual.elapsed


class LoopClock:
    """The clock of whatever runs on a `VirtualLoop`."""

    __slots__ = ("_loop",)

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def __repr__(self) -> str:
        return f"LoopClock(now={self.now().isoformat()})"

    def now(self) -> datetime.datetime:
        """Returns the loop's time."""
        return _EPOCH + datetime.timedelta(seconds=self._loop.time())

    async def sleep(self, duration: datetime.timedelta) -> None:
        """Waits on the loop."""
        await asyncio.sleep(duration.total_seconds())


def run(work: Coroutine[Any, Any, ResultT]) -> ResultT:
    """Runs a coroutine to its end on a loop of its own."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(work)
