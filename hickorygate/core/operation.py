"""What a caller asks of its session, whatever front end it came through."""

from __future__ import annotations

import dataclasses

__all__ = [
    "Begin",
    "Commit",
    "Deallocate",
    "Execute",
    "Operation",
    "Prepare",
    "Read",
    "Rollback",
    "SetValue",
    "Shape",
    "Unknown",
    "Write",
]


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """What a prepared name stands for.

    Attributes:
      writes: whether executing it changes data.
      body: the statement's text.
    """

    writes: bool
    body: str


@dataclasses.dataclass(frozen=True, slots=True)
class Operation:
    """Base of what callers ask for."""


@dataclasses.dataclass(frozen=True, slots=True)
class Begin(Operation):
    """Opens a transaction; one that only reads may run on a replica."""

    read_only: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Commit(Operation):
    """Keeps the open transaction; `text` is passed on unchanged."""

    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Rollback(Operation):
    """Drops the open transaction."""


@dataclasses.dataclass(frozen=True, slots=True)
class Read(Operation):
    """Reads; `text` is passed on unchanged."""

    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Write(Operation):
    """Changes data; `text` is passed on unchanged."""

    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Execute(Operation):
    """Runs a prepared statement.

    Attributes:
      name: as the caller prepared it.
      arguments: passed on unchanged.
    """

    name: str
    arguments: str


@dataclasses.dataclass(frozen=True, slots=True)
class SetValue(Operation):
    """Sets a session value."""

    name: str
    value: str


@dataclasses.dataclass(frozen=True, slots=True)
class Prepare(Operation):
    """Gives a statement a name for the rest of the session."""

    name: str
    shape: Shape


@dataclasses.dataclass(frozen=True, slots=True)
class Deallocate(Operation):
    """Forgets a prepared name."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown(Operation):
    """Text that is no operation."""

    text: str
