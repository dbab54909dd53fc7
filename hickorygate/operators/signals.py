"""Handles the signals that end a command: SIGINT and SIGTERM."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import signal

__all__ = ["on_stop_signal", "wait_for_stop_signal"]

_STOP_SIGNALS = (signal.SIGINT, signal.SIGTERM)


def on_stop_signal(action: Callable[[], None]) -> None:
    """Calls a function on the running event loop at each stop signal."""
    loop = asyncio.get_running_loop()
    for number in _STOP_SIGNALS:
        loop.add_signal_handler(number, action)


async def wait_for_stop_signal() -> None:
    """Waits until a stop signal arrives."""
    stopped = asyncio.Event()
    on_stop_signal(stopped.set)
    await stopped.wait()
