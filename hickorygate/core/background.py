"""Background tasks that end when their owner is closed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterable
from typing import Any

__all__ = [
    "FAILED",
    "FAILING",
    "RESTARTED",
    "BackgroundTasks",
    "cancel_until_done",
    "report_error",
]

_CANCEL_RETRY_SECONDS = 2.0
"""Time after which tasks that still run are cancelled again; longer than their
cleanup takes."""

FAILED = "a background task failed"
RESTARTED = "a background task failed and is started again"
FAILING = "a background task fails again and again"
"""Messages in the context that is passed to the loop's exception handler."""

_FIRST_RESTART_DELAY_SECONDS = 0.1
"""Delay before a failed task is started again; it doubles with each failure in
succession, `_MAX_DOUBLINGS` times at most."""

_MAX_DOUBLINGS = 6

_STABLE_SECONDS = 10.0
"""Running time after which an earlier failure of a task no longer counts."""

_MAX_FAILURES = 5
"""Number of failures in succession from which on a task counts as failing."""


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

    A task that fails is reported to the loop's exception handler at once.
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

    def keep(
        self, run: Callable[[], Coroutine[Any, Any, None]]
    ) -> asyncio.Task[None]:
        """Starts a task that is started again after an unexpected error.

        Args:
          run: the work, which normally lasts until the owner is closed; the
            task ends when it returns.
        """
        return self.start(self._restart_on_error(run))

    async def close(self) -> None:
        """Cancels the tasks and waits for their end."""
        while self._tasks:
            await cancel_until_done(self._tasks)
            # Runs the callbacks that remove ended tasks from the set.
            await asyncio.sleep(0)

    async def _restart_on_error(
        self, run: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        loop = asyncio.get_running_loop()
        failures = 0
        while True:
            began = loop.time()
            try:
                return await run()
            except Exception as error:
                if loop.time() - began >= _STABLE_SECONDS:
                    failures = 0
                failures += 1
                report_error(
                    FAILING if failures >= _MAX_FAILURES else RESTARTED,
                    error,
                    asyncio.current_task(),
                )
            doublings = min(failures - 1, _MAX_DOUBLINGS)
            delay = _FIRST_RESTART_DELAY_SECONDS * 2**doublings
            await asyncio.sleep(delay)

    def _task_ended(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            report_error(FAILED, error, task)


def report_error(
    message: str, error: BaseException, task: asyncio.Task[Any] | None
) -> None:
    """Reports an error to the exception handler of the loop.

    Args:
      message: `FAILED`, `RESTARTED` or `FAILING`.
      error: the unexpected error.
      task: task that it ended or would have ended.
    """
    asyncio.get_running_loop().call_exception_handler(
        {"message": message, "exception": error, "task": task}
    )
