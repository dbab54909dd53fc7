"""`hickorygate standin`: runs a stand-in platform and stand-in databases."""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses
import pathlib

from absl import flags
import expression

from hickorygate.core import clock
from hickorygate.core import errors
from hickorygate.core import sheet as sheets
from hickorygate.core import yaml_validation
from hickorygate.operators import command as commands
from hickorygate.operators import signals
from hickorygate.testing import stand_ins

__all__ = ["FAMILY", "StandIn"]

_NAME = "standin"

_FLAGS = commands.new_flags()
_SHEET = flags.DEFINE_string(
    "sheet",
    None,
    "Sheet that lists the databases to run.",
    flag_values=_FLAGS,
)
_PORT = flags.DEFINE_integer(
    "platform-port",
    0,
    "TCP port of the platform's object API; 0 for any free port.",
    lower_bound=0,
    upper_bound=65_535,
    flag_values=_FLAGS,
)


@dataclasses.dataclass(frozen=True, slots=True)
class StandIn(commands.Command):
    """Runs stand-ins for the platform and for the databases of a sheet.

    Attributes:
      sheet: path of the sheet that lists the databases.
      platform_port: TCP port of the platform's object API; 0 for any free port.
    """

    sheet: pathlib.Path
    platform_port: int


def _parse(words: Sequence[str]) -> commands.ParseResult:
    if words:
        return commands.usage_error(_NAME, f"unexpected argument {words[0]!r}")
    if _SHEET.value is None:
        return commands.usage_error(_NAME, "needs --sheet FILE")
    return expression.Ok(StandIn(pathlib.Path(_SHEET.value), _PORT.value))


FAMILY = commands.CommandFamily(
    _NAME,
    (
        commands.CommandUsage(
            "standin --sheet FILE [--platform-port N]",
            "run a stand-in platform and stand-in databases",
        ),
    ),
    _FLAGS,
    _parse,
)


@commands.execute.register
async def _(command: StandIn) -> commands.Result:
    path = str(command.sheet)
    sheet = yaml_validation.read_file(command.sheet).bind(
        lambda text: sheets.parse(text, path=path)
    )
    if sheet.is_error():
        return expression.Error(sheet.error)
    servers = stand_ins.StandIns(clock.SystemClock())
    try:
        await servers.start(sheet.ok, command.platform_port)
        print(
            f"platform at {servers.url}, databases at the addresses in {path}"
        )
        print("press Ctrl-C to stop", flush=True)
        await signals.wait_for_stop_signal()
    except OSError as error:
        return expression.Error(errors.ListenFailed("standin", str(error)))
    finally:
        await servers.stop()
    return expression.Ok(None)
