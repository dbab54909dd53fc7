"""Entry point of the program: parses the command line and runs a command."""

from __future__ import annotations

from collections.abc import Sequence
import os
import sys

from absl import flags
import expression
import uvloop

from hickorygate.core import errors
from hickorygate.operators import bench
from hickorygate.operators import command as commands
from hickorygate.operators import demo
from hickorygate.operators import failures
from hickorygate.operators import platform
from hickorygate.operators import proxy_commands
from hickorygate.operators import serve
from hickorygate.operators import sheet
from hickorygate.operators import standin
from hickorygate.operators import timeline

__all__ = ["FAMILIES", "main", "parse", "run"]

_PROGRAM = "hickorygate"
_HELP = frozenset({"help", "-h", "--help"})
FAMILIES = {
    family.name: family
    for family in (
        serve.FAMILY,
        platform.FAMILY,
        sheet.FAMILY,
        proxy_commands.STATUS,
        proxy_commands.DRAIN,
        timeline.FAMILY,
        demo.FAMILY,
        standin.FAMILY,
        bench.FAMILY,
    )
}


def _usage() -> str:
    usages = [u for family in FAMILIES.values() for u in family.usages]
    width = max(len(usage.syntax) for usage in usages)
    lines = [
        f"  {_PROGRAM} {usage.syntax:<{width}}  {usage.description}"
        for usage in usages
    ]
    return "\n".join(["usage:", *lines])


def parse(words: Sequence[str]) -> commands.ParseResult:
    """Parses the words after the program's name into a command."""
    family = FAMILIES.get(words[0]) if words else None
    if family is None:
        name = words[0] if words else _PROGRAM
        known = ", ".join(FAMILIES)
        return commands.usage_error(
            name, f"not a command; expected one of: {known}"
        )
    family.flags.unparse_flags()
    try:
        arguments = family.flags(list(words))
    except flags.Error as error:
        reason = f"{error}; see `{_PROGRAM} help`"
        return expression.Error(failures.UsageError(family.name, reason))
    return family.parse(arguments[1:])


def main(argv: Sequence[str]) -> int:
    """Runs the program.

    Args:
      argv: name of the program and its arguments.

    Returns:
      The exit code.
    """
    words = argv[1:]
    if not words or _HELP.intersection(words):
        print(_usage(), file=sys.stdout if words else sys.stderr)
        return commands.ExitCode.DONE if words else commands.ExitCode.USAGE
    command = parse(words)
    if command.is_error():
        return _report_failure(command.error)
    try:
        result = uvloop.run(commands.execute(command.ok))
    except KeyboardInterrupt:
        return commands.ExitCode.INTERRUPTED
    return _report_failure(result.error) if result.is_error() else 0


def _report_failure(failure: errors.Failure) -> int:
    print(f"{_PROGRAM}: {failure.message}", file=sys.stderr)
    return commands.exit_code(failure)


def run() -> None:
    """Runs the program and exits; entry point of the installed script."""
    try:
        code = main(sys.argv)
        sys.stdout.flush()
    except BrokenPipeError:
        # The reader of standard output has closed it. The rest of the output
        # is discarded; otherwise the flush at exit would fail again.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        code = commands.ExitCode.FAILED
    sys.exit(code)
