"""The commands of the program, one data class each."""

from __future__ import annotations

import dataclasses
import pathlib

__all__ = ["Command", "Serve"]


@dataclasses.dataclass(frozen=True, slots=True)
class Command:
    """Base of the commands."""


@dataclasses.dataclass(frozen=True, slots=True)
class Serve(Command):
    """Runs a proxy until it is told to stop."""

    settings: pathlib.Path
