"""Base types of the command line, and the exit codes of failures.

Each family of commands has a module. The module declares a data class for each
command and a `CommandFamily` that parses the command line into one of these
classes, and registers a function with `execute` for each class.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import enum
import functools
from typing import TypeAlias

from absl import flags
import expression

from hickorygate.core import errors
from hickorygate.operators import failures

__all__ = [
    "Command",
    "ExitCode",
    "CommandFamily",
    "ParseResult",
    "Result",
    "CommandUsage",
    "execute",
    "exit_code",
    "new_flags",
    "usage_error",
]


class ExitCode(enum.IntEnum):
    """Exit codes of the program.

    Attributes:
      DONE: success.
      FAILED: failure; the message gives the reason.
      USAGE: invalid command line.
      CONFLICT: the sheet was changed by another operator in the meantime.
      INVALID: invalid or unreadable sheet or settings file.
      UNAVAILABLE: no answer from the platform or from a proxy.
      INTERRUPTED: interrupted by Ctrl-C.
    """

    DONE = 0
    FAILED = 1
    USAGE = 2
    CONFLICT = 3
    INVALID = 4
    UNAVAILABLE = 5
    INTERRUPTED = 130


@dataclasses.dataclass(frozen=True, slots=True)
class Command:
    """Base class of all commands."""


Result: TypeAlias = expression.Result[None, errors.Failure]
ParseResult: TypeAlias = expression.Result[Command, errors.Failure]


@dataclasses.dataclass(frozen=True, slots=True)
class CommandUsage:
    """The entry of a command in the help text.

    Attributes:
      syntax: syntax of the command, without the program's name.
      description: short description of what the command does.
    """

    syntax: str
    description: str


@dataclasses.dataclass(frozen=True, slots=True)
class CommandFamily:
    """Commands that share the first word of the command line.

    Attributes:
      name: first word of the command line.
      usages: help entries of the commands.
      flags: flags that the commands accept.
      parse: function that parses the words after the name into a command;
        the flags are set before the call.
    """

    name: str
    usages: tuple[CommandUsage, ...]
    flags: flags.FlagValues
    parse: Callable[[Sequence[str]], ParseResult]


def new_flags() -> flags.FlagValues:
    """Returns an empty set of flags for a family.

    Flags may follow positional arguments on the command line.
    """
    values = flags.FlagValues()
    values.set_gnu_getopt(True)
    return values


def usage_error(name: str, reason: str) -> ParseResult:
    """Returns a usage error for a command or command family."""
    return expression.Error(failures.UsageError(name, reason))


@functools.singledispatch
async def execute(command: Command) -> Result:
    """Runs a command."""
    raise TypeError(f"cannot execute {command!r}: no function is registered")


@functools.singledispatch
def exit_code(failure: errors.Failure) -> ExitCode:
    """Returns the exit code of the program for a failure."""
    return ExitCode.FAILED


@exit_code.register
def _(failure: failures.UsageError) -> ExitCode:
    return ExitCode.USAGE


@exit_code.register
def _(failure: errors.SheetConflict) -> ExitCode:
    return ExitCode.CONFLICT


@exit_code.register
def _(failure: errors.FileInvalid) -> ExitCode:
    return ExitCode.INVALID


@exit_code.register
def _(failure: errors.StoreUnavailable) -> ExitCode:
    return ExitCode.UNAVAILABLE


@exit_code.register
def _(failure: failures.ProxyUnreachable) -> ExitCode:
    return ExitCode.UNAVAILABLE
