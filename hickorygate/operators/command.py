"""What a command of the program is, and how its failures end it.

A module for each family of commands declares data classes, a `Family` that
parses the command line into one of them, and registers with `execute`.
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
    "Family",
    "ParseResult",
    "Result",
    "Usage",
    "execute",
    "exit_code",
    "new_flags",
    "usage",
]


class ExitCode(enum.IntEnum):
    """What the program ends with.

    Attributes:
      DONE: done.
      FAILED: failed; the message says why.
      USAGE: the command line can't be used.
      CONFLICT: another operator changed the sheet first.
      INVALID: a sheet or a settings file is invalid or can't be read.
      UNAVAILABLE: the platform or a proxy doesn't answer.
      INTERRUPTED: ended by Ctrl-C.
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
    """Base of the commands."""


Result: TypeAlias = expression.Result[None, errors.Failure]
ParseResult: TypeAlias = expression.Result[Command, errors.Failure]


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """How a command is written, and what it does."""

    words: str
    meaning: str


@dataclasses.dataclass(frozen=True, slots=True)
class Family:
    """Commands that share the first word of the command line.

    Attributes:
      name: that word.
      usages: its commands.
      flags: the flags of the family.
      parse: makes a command of the words after the name; the flags are set.
    """

    name: str
    usages: tuple[Usage, ...]
    flags: flags.FlagValues
    parse: Callable[[Sequence[str]], ParseResult]


def new_flags() -> flags.FlagValues:
    """Returns flags for a family; they may stand after other words."""
    values = flags.FlagValues()
    values.set_gnu_getopt(True)
    return values


def usage(name: str, reason: str) -> ParseResult:
    """Refuses a command line."""
    return expression.Error(failures.UsageError(name, reason))


@functools.singledispatch
async def execute(command: Command) -> Result:
    """Runs a command."""
    raise TypeError(f"no way to run {command!r}; register one")


@functools.singledispatch
def exit_code(failure: errors.Failure) -> ExitCode:
    """Returns what the program ends with after a failure."""
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
