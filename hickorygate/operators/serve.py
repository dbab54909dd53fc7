"""`hickorygate serve`: runs one proxy until a shutdown is requested."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
import dataclasses
import datetime
import pathlib
from typing import Any
from typing import Protocol

from absl import flags
import expression
import logbook

from hickorygate import daemon as daemons
from hickorygate.core import background
from hickorygate.core import clock
from hickorygate.core import events
from hickorygate.core import settings as settings_lib
from hickorygate.operators import command as commands
from hickorygate.operators import failures
from hickorygate.operators import log
from hickorygate.operators import signals
from hickorygate.operators import unexpected_errors

__all__ = [
    "FAMILY",
    "Closable",
    "Monitored",
    "Serve",
    "close",
    "install_exception_handler",
]

_NAME = "serve"
_CLOSE_TIMEOUT = datetime.timedelta(seconds=5)
"""Time for all components to close once the callers are gone."""

_log = logbook.Logger(__name__)

_FLAGS = commands.new_flags()
_SETTINGS = flags.DEFINE_string(
    "settings", None, "YAML file with the settings.", flag_values=_FLAGS
)


@dataclasses.dataclass(frozen=True, slots=True)
class Serve(commands.Command):
    """Runs a proxy until a shutdown is requested.

    Attributes:
      settings: path of the settings file.
    """

    settings: pathlib.Path


def _parse(words: Sequence[str]) -> commands.ParseResult:
    if words:
        return commands.usage_error(_NAME, f"unexpected argument {words[0]!r}")
    if _SETTINGS.value is None:
        return commands.usage_error(_NAME, "needs --settings FILE")
    return expression.Ok(Serve(pathlib.Path(_SETTINGS.value)))


FAMILY = commands.CommandFamily(
    _NAME,
    (commands.CommandUsage("serve --settings FILE", "run one proxy"),),
    _FLAGS,
    _parse,
)


@commands.execute.register
async def _(command: Serve) -> commands.Result:
    match settings_lib.load(command.settings):
        case expression.Result(tag="error", error=failure):
            return expression.Error(failure)
        case expression.Result(tag="ok", ok=settings):
            return await _serve(settings)


async def _serve(settings: settings_lib.Settings) -> commands.Result:
    log.configure_logging(settings.name, settings.log)
    daemon = daemons.Daemon(settings, clock.SystemClock())
    install_exception_handler(daemon)
    ended = await daemon.start()
    if ended.is_ok():
        _log_addresses(daemon)
        ended = await _wait_until_drained(daemon)
    await close(daemon)
    return ended


class Closable(Protocol):
    """A component that can be closed."""

    async def close(self) -> None:
        """Stops the component."""


async def close(
    daemon: Closable, timeout: datetime.timedelta = _CLOSE_TIMEOUT
) -> None:
    """Closes a daemon; a component that doesn't end is logged and left behind.

    A process that is told to stop must end, whatever one of its tasks waits
    for.

    Args:
      daemon: daemon to close.
      timeout: time after which the process ends anyway.
    """
    try:
        async with asyncio.timeout(timeout.total_seconds()):
            await daemon.close()
    except TimeoutError:
        current = asyncio.current_task()
        for task in asyncio.all_tasks() - {current}:
            _log.error("still running after {}: {!r}", timeout, task)


class Monitored(Protocol):
    """A daemon that is told of unexpected errors."""

    def record_error(self, event: events.TaskFailed) -> None:
        """Records an error after which the process goes on."""

    def record_crash(self) -> None:
        """Records that a task can't do its work any more."""


def install_exception_handler(daemon: Monitored) -> None:
    """Logs and records the errors that reach the event loop.

    A task that fails is started again, or was one unit of work. Only a task
    that fails again and again makes the liveness check fail.
    """
    loop = asyncio.get_running_loop()

    def handle(_: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        error = context.get("exception")
        trace = (type(error), error, error.__traceback__) if error else None
        _log.error("{}", context["message"], exc_info=trace)
        daemon.record_error(unexpected_errors.describe(context))
        if context["message"] == background.FAILING:
            daemon.record_crash()

    loop.set_exception_handler(handle)


def _log_addresses(daemon: daemons.Daemon) -> None:
    _log.info(
        "listening: callers on port {}, operators on {}, proxies on {}",
        daemon.port,
        daemon.admin,
        daemon.mesh.address,
    )


async def _wait_until_drained(daemon: daemons.Daemon) -> commands.Result:
    """Waits until a graceful shutdown is complete.

    The first stop signal starts the shutdown; a second one ends the wait
    before the shutdown is complete.
    """
    first_signal = asyncio.Event()
    second_signal = asyncio.Event()

    def stop() -> None:
        if first_signal.is_set():
            second_signal.set()
        first_signal.set()
        daemon.drain()

    signals.on_stop_signal(stop)
    waits = {
        asyncio.create_task(daemon.wait_until_drained()),
        asyncio.create_task(second_signal.wait()),
    }
    _, pending = await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for wait in pending:
        wait.cancel()
    if second_signal.is_set():
        return expression.Error(failures.ShutdownInterrupted(daemon.callers))
    return expression.Ok(None)
