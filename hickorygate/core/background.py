"""Background tasks that end when their owner is closed."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from collections.abc import Iterable
from typing import Any

__all__ = ["FAILED", "BackgroundTasks", "cancel_until_done"]

_CANCEL_RETRY_SECONDS = 2.0
"""Time after which tasks that still run are cancelled again; longer than their
cleanup takes."""

FAILED = "a background task failed"
"""Message in the context that is passed to the loop's exception handler."""


async def cancel_until_done(tasks: Iterable[asyncio.Task[Any]]) -> None:
    """Cancels tasks and waits for their end.

    A task can lose a cancellation that arrives together with a result
    (`asyncio.wait_for` before Python 3.12); such a task is cancelled again.
    """
    running = set(tasks)
    while running:
        for task in running:
            task.cancel()
        _, running = await asyncio.wait(running, timeout=_CANCEL_RETRY_SECONDS)


class BackgroundTasks:
    """The background tasks of one owner.

    A task that fails is reported to the loop's exception handler at once. The
    exception handler of a serving process makes its liveness check fail from
    then on.
    """

    __slots__ = ("_tasks",)

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    @property
    def running(self) -> bool:
        """Whether at least one task has not ended."""
        return bool(self._tasks)

    def __repr__(self) -> str:
        return f"BackgroundTasks(tasks={len(self._tasks)})"

    def start(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Starts a task and keeps a reference to it until it ends."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._task_ended)
        return task

    async def close(self) -> None:
        """Cancels the tasks and waits for their end."""
        while self._tasks:
            await cancel_until_done(self._tasks)
            # Runs the callbacks that remove ended tasks from the set.
            await asyncio.sleep(0)

    def _task_ended(self, task: asyncio.Task[Any]) -> None:
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
