"""Runs a proxy on the users' platform: `python -m hickorygate.platform`."""

from __future__ import annotations

import asyncio
import os
import pathlib
import signal
import sys

from absl import flags
import expression
import uvloop

from hickorygate.core import clock as clocks
from hickorygate.operators import event_log
from hickorygate.platform import process as processes
from hickorygate.platform import settings as settings_lib

_SETTINGS_VARIABLE = "HICKORYGATE_CONFIG"
_FAILED = 1
_INVALID = 4

_FLAGS = flags.FlagValues()
_METRICS_PORT = flags.DEFINE_integer(
    "metrics_port",
    None,
    "TCP port of the metrics; none without it.",
    lower_bound=1,
    upper_bound=65_535,
    flag_values=_FLAGS,
)


async def _serve(
    settings: settings_lib.PlatformSettings, path: pathlib.Path
) -> int:
    handler = event_log.StdoutHandler(sys.stdout.fileno())
    process = processes.Process(
        settings, path, _METRICS_PORT.value, clocks.SystemClock(), handler
    )
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, process.stop)
    loop.add_signal_handler(signal.SIGINT, process.stop)
    loop.add_signal_handler(signal.SIGHUP, process.reload)
    ended = await process.run()
    await process.close()
    if ended.is_error():
        print(ended.error.message, file=sys.stderr)
        return _FAILED
    return 0


def main(argv: list[str]) -> int:
    """Runs a proxy until it is told to stop; returns the exit code."""
    try:
        _FLAGS(argv)
    except flags.Error as error:
        print(f"hickorygate.platform: {error}", file=sys.stderr)
        return _INVALID
    path = pathlib.Path(os.environ.get(_SETTINGS_VARIABLE, ""))
    match settings_lib.load(path):
        case expression.Result(tag="ok", ok=settings):
            return uvloop.run(_serve(settings, path))
        case expression.Result(tag="error", error=failure):
            print(failure.message, file=sys.stderr)
    return _INVALID


if __name__ == "__main__":
    sys.exit(main(sys.argv))
