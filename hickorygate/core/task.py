"""Background tasks that don't end unnoticed."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine

import logbook

__all__ = ["start"]

_log = logbook.Logger(__name__)


def start(work: Coroutine[None, None, None]) -> asyncio.Task[None]:
    """Runs a coroutine in the background; an exception from it is logged."""
    task = asyncio.create_task(work)
    task.add_done_callback(_report)
    return task


def _report(task: asyncio.Task[None]) -> None:
    if task.cancelled():
        return
    error = task.exception()
    if error is not None:
        _log.critical(
            "background task ended: {!r}",
            error,
            exc_info=(type(error), error, error.__traceback__),
        )
