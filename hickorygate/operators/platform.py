"""`hickorygate platform`: runs one proxy on the users' platform."""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses

from absl import flags
import expression

from hickorygate.operators import command as commands
from hickorygate.platform import running

__all__ = ["FAMILY", "ServePlatform"]

_NAME = "platform"

_FLAGS = commands.new_flags()
_METRICS_PORT = flags.DEFINE_integer(
    "metrics-port",
    None,
    "TCP port to serve the metrics on; without the flag, none are served.",
    lower_bound=1,
    upper_bound=65_535,
    flag_values=_FLAGS,
)


@dataclasses.dataclass(frozen=True, slots=True)
class ServePlatform(commands.Command):
    """Runs a proxy with the settings file of the users' platform.

    Attributes:
      metrics_port: TCP port of the metrics; None to serve none.
    """

    metrics_port: int | None


def _parse(words: Sequence[str]) -> commands.ParseResult:
    if words:
        return commands.usage_error(_NAME, f"unexpected argument {words[0]!r}")
    return expression.Ok(ServePlatform(_METRICS_PORT.value))


FAMILY = commands.CommandFamily(
    _NAME,
    (
        commands.CommandUsage(
            "platform [--metrics-port N]",
            "run one proxy on the users' platform",
        ),
    ),
    _FLAGS,
    _parse,
)


@commands.execute.register
async def _(command: ServePlatform) -> commands.Result:
    return await running.serve(command.metrics_port)
