"""The program: reads the command line and runs one command."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
import functools
import pathlib
import signal
import sys

from absl import app
from absl import flags
import expression
import uvloop

from hickorygate import daemon as daemons
from hickorygate.core import clock as clocks
from hickorygate.core import errors
from hickorygate.core import settings as settings_lib
from hickorygate.operators import commands
from hickorygate.operators import log

__all__ = ["main", "run"]

_SETTINGS = flags.DEFINE_string("settings", None, "The settings file (YAML).")

_EXIT_FAILED = 1
_EXIT_USAGE = 2
_STOP_SIGNALS = (signal.SIGINT, signal.SIGTERM)

CommandResult = expression.Result[commands.Command, errors.UsageError]


def _parse_serve(arguments: Sequence[str]) -> CommandResult:
    if _SETTINGS.value is None:
        reason = "needs --settings FILE"
        return expression.Error(errors.UsageError("serve", reason))
    return expression.Ok(commands.Serve(pathlib.Path(_SETTINGS.value)))


_PARSERS = {"serve": _parse_serve}


def parse(arguments: Sequence[str]) -> CommandResult:
    """Makes a command of what is left after the flags."""
    known = ", ".join(sorted(_PARSERS))
    if not arguments:
        reason = f"name a command: {known}"
        return expression.Error(errors.UsageError("hickorygate", reason))
    parser = _PARSERS.get(arguments[0])
    if parser is None:
        reason = f"unknown command; known: {known}"
        return expression.Error(errors.UsageError(arguments[0], reason))
    return parser(arguments[1:])


@functools.singledispatch
async def execute(
    command: commands.Command,
) -> expression.Result[None, errors.Failure]:
    """Runs a command."""
    raise TypeError(f"no way to run {command!r}; register one")


@execute.register
async def _(
    command: commands.Serve,
) -> expression.Result[None, errors.Failure]:
    loaded = settings_lib.load(command.settings)
    if loaded.is_error():
        return expression.Error(loaded.error)
    settings = loaded.ok
    log.set_up(settings.name, settings.log)
    daemon = daemons.Daemon(settings, clocks.SystemClock())
    await daemon.start()
    await _stop_signal()
    await daemon.close()
    return expression.Ok(None)


async def _stop_signal() -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in _STOP_SIGNALS:
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()


def main(argv: Sequence[str]) -> int:
    """Runs the command that the arguments name; returns the exit code."""
    command = parse(argv[1:])
    if command.is_error():
        print(f"hickorygate: {command.error.message}", file=sys.stderr)
        return _EXIT_USAGE
    result = uvloop.run(execute(command.ok))
    if result.is_error():
        print(f"hickorygate: {result.error.message}", file=sys.stderr)
        return _EXIT_FAILED
    return 0


def run() -> None:
    """Entry point of the installed program."""
    app.run(main)
