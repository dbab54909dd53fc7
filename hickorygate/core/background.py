"""Tasks that run beside their owner and end with it."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

__all__ = ["Background"]


class Background:
    """The tasks of one owner.

    A task that fails is reported to the loop's exception handler at once; a
    process that serves sets one that answers "not live" from then on.
    """

    __slots__ = ("_tasks",)

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def __repr__(self) -> str:
        return f"Background(tasks={len(self._tasks)})"

    def start(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Starts a task; it is kept until it ends."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    async def close(self) -> None:
        """Cancels the tasks and waits for their end."""
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _ended(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        task.get_loop().call_exception_handler(
            {
                "message": "a background task failed",
                "exception": task.exception(),
                "task": task,
            }
        )
