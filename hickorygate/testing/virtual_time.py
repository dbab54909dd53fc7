"""An event loop whose time advances only while no I/O is ready.

Sockets are real, so whole programs can run on the loop. Timers don't wait in
real time, so the speed and the load of the machine don't affect what a test
sees.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
import datetime
import selectors
from typing import Any
from typing import TypeVar
import unittest

__all__ = ["LoopClock", "VirtualLoop", "VirtualTimeTestCase", "run"]

_EPOCH = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)

_DELIVERY_SECONDS = 0.000_2
"""Real time that is allowed for delivery between two sockets of one process;
virtual time advances only after that."""

ResultT = TypeVar("ResultT")


class _Selector(selectors.DefaultSelector):
    """A selector that advances virtual time instead of waiting.

    Attributes:
      elapsed: virtual time in seconds since the start.
    """

    def __init__(self) -> None:
        super().__init__()
        self.elapsed = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            return super().select(None)
        # The loop itself registers one descriptor, to be woken by signals.
        has_sockets = len(self.get_map()) > 1
        delivery = _DELIVERY_SECONDS if has_sockets else 0
        ready = super().select(min(timeout, delivery))
        if not ready:
            self.elapsed += max(timeout, 0.0)
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop that runs on virtual time."""

    def __init__(self) -> None:
        self._virtual = _Selector()
        super().__init__(self._virtual)

    def time(self) -> float:
        """Returns the virtual time in seconds since the loop was created."""
        return self._virtual.elapsed


class LoopClock:
    """A clock that shows the time of an event loop."""

    __slots__ = ("_loop",)

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def __repr__(self) -> str:
        return f"LoopClock(now={self.now().isoformat()})"

    def now(self) -> datetime.datetime:
        """Returns the loop's time, counted from a fixed date."""
        return _EPOCH + datetime.timedelta(seconds=self._loop.time())

    async def sleep(self, duration: datetime.timedelta) -> None:
        """Sleeps for a duration of the loop's time."""
        await asyncio.sleep(duration.total_seconds())


def run(coroutine: Coroutine[Any, Any, ResultT]) -> ResultT:
    """Runs a coroutine to completion on a new `VirtualLoop`."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(coroutine)


class _VirtualLoopPolicy(asyncio.DefaultEventLoopPolicy):
    """Creates a `VirtualLoop` wherever a new event loop is requested."""

    def new_event_loop(self) -> asyncio.AbstractEventLoop:
        return VirtualLoop()


class VirtualTimeTestCase(unittest.IsolatedAsyncioTestCase):
    """A test case whose asynchronous tests run on virtual time."""

    @classmethod
    def setUpClass(cls) -> None:
        """Selects the virtual loop for the tests of the class."""
        super().setUpClass()
        former = asyncio.get_event_loop_policy()
        cls.addClassCleanup(asyncio.set_event_loop_policy, former)
        asyncio.set_event_loop_policy(_VirtualLoopPolicy())
