"""Handles the signals that end a command: SIGINT and SIGTERM."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import signal

__all__ = ["handle_stop", "wait_for_stop"]

_STOP_SIGNALS = (signal.SIGINT, signal.SIGTERM)


def handle_stop(action: Callable[[], None]) -> None:
    """Calls a function on the running event loop at each stop signal."""
    loop = asyncio.get_running_loop()
    for number in _STOP_SIGNALS:
        loop.add_signal_handler(number, action)


async def wait_for_stop() -> None:
    """Waits until a stop signal arrives."""
    stopped = asyncio.Event()
    handle_stop(stopped.set)
    await stopped.wait()
