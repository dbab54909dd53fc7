"""Tasks that run beside their owner and end with it."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

__all__ = ["FAILED", "Background"]

_CANCEL_AGAIN_SECONDS = 2.0
"""Longer than cleaning up takes."""

FAILED = "a background task failed"
"""Message of the context that the loop's exception handler gets."""


class Background:
    """The tasks of one owner.

    A task that fails is reported to the loop's exception handler at once; a
    process that serves sets one that answers "not live" from then on.
    """

    __slots__ = ("_tasks",)

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    @property
    def running(self) -> bool:
        """Whether any task has not ended."""
        return bool(self._tasks)

    def __repr__(self) -> str:
        return f"Background(tasks={len(self._tasks)})"

    def start(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Starts a task; it is kept until it ends."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    async def close(self) -> None:
        """Cancels the tasks and waits for their end.

        A task can lose a cancellation that comes together with a result
        (`asyncio.wait_for` before Python 3.12); it is cancelled again.
        """
        while self._tasks:
            for task in self._tasks:
                task.cancel()
            await asyncio.wait(self._tasks, timeout=_CANCEL_AGAIN_SECONDS)
            # Lets the tasks that have ended be forgotten.
            await asyncio.sleep(0)

    def _ended(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        task.get_loop().call_exception_handler(
            {
                "message": FAILED,
                "exception": task.exception(),
                "task": task,
            }
        )
