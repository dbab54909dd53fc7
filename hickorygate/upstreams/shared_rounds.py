"""Coalesces concurrent requests to refresh a group into shared rounds."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

__all__ = ["SharedRounds"]


class SharedRounds:
    """Runs rounds, at most one at a time.

    Each request is served by a round that starts after the request. All
    requests that arrive while a round is running share the next round.
    """

    __slots__ = ("_current_round", "_next_round", "_run_round")

    def __init__(self, run: Callable[[], Awaitable[None]]) -> None:
        """Creates the rounds; none is running yet.

        Args:
          run: runs one round.
        """
        self._run_round = run
        self._current_round: asyncio.Task[None] | None = None
        self._next_round: asyncio.Task[None] | None = None

    def __repr__(self) -> str:
        running = (
            self._current_round is not None and not self._current_round.done()
        )
        return f"SharedRounds(running={running})"

    async def next(self) -> None:
        """Waits for the end of a round that starts after this call."""
        if self._next_round is None:
            self._next_round = asyncio.create_task(
                self._run_after(self._current_round)
            )
        # A cancelled request must not cancel the round of the other requests.
        await asyncio.shield(self._next_round)

    async def close(self) -> None:
        """Cancels the round that is running and the next one."""
        tasks = [
            t for t in (self._current_round, self._next_round) if t is not None
        ]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run_after(self, previous: asyncio.Task[None] | None) -> None:
        if previous is not None:
            await asyncio.wait([previous])
        self._current_round = asyncio.current_task()
        self._next_round = None
        await self._run_round()
