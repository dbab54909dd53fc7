"""Runs one proxy on the users' platform until a signal stops it."""

from __future__ import annotations

import asyncio
import os
import pathlib
import signal
import sys

import expression

from hickorygate.core import clock
from hickorygate.core import errors
from hickorygate.operators import event_log
from hickorygate.platform import process as processes
from hickorygate.platform import settings as settings_lib

__all__ = ["SETTINGS_VARIABLE", "serve"]

SETTINGS_VARIABLE = "HICKORYGATE_CONFIG"
"""Environment variable that holds the path of the settings file."""


async def serve(
    metrics_port: int | None,
) -> expression.Result[None, errors.Failure]:
    """Serves callers until SIGTERM or SIGINT; SIGHUP reloads the settings.

    Args:
      metrics_port: TCP port that serves metrics; None for no metrics.
    """
    path = pathlib.Path(os.environ.get(SETTINGS_VARIABLE, ""))
    settings = settings_lib.load(path)
    if settings.is_error():
        return expression.Error(settings.error)
    handler = event_log.NonBlockingHandler(sys.stdout.fileno())
    process = processes.Process(
        settings.ok, path, metrics_port, clock.SystemClock(), handler
    )
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, process.stop)
    loop.add_signal_handler(signal.SIGINT, process.stop)
    loop.add_signal_handler(signal.SIGHUP, process.reload)
    try:
        return await process.run()
    finally:
        await process.close()
