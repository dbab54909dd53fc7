"""Joins requests for a fresh look at a group into shared rounds."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

__all__ = ["Rounds"]


class Rounds:
    """Runs rounds, at most one at a time.

    Whoever asks gets a round that begins after it asked; all who ask while
    one round runs share the next one.
    """

    __slots__ = ("_queued", "_run", "_running")

    def __init__(self, run: Callable[[], Awaitable[None]]) -> None:
        """Prepares.

        Args:
          run: does one round.
        """
        self._run = run
        self._running: asyncio.Task[None] | None = None
        self._queued: asyncio.Task[None] | None = None

    def __repr__(self) -> str:
        running = self._running is not None and not self._running.done()
        return f"Rounds(running={running})"

    async def next(self) -> None:
        """Waits for the end of a round that began after this call."""
        if self._queued is None:
            self._queued = asyncio.create_task(self._after(self._running))
        # One who gives up must not end the round of the others.
        await asyncio.shield(self._queued)

    async def close(self) -> None:
        """Ends what runs or waits."""
        tasks = [t for t in (self._running, self._queued) if t is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _after(self, previous: asyncio.Task[None] | None) -> None:
        if previous is not None:
            await asyncio.wait([previous])
        self._running = asyncio.current_task()
        self._queued = None
        await self._run()
