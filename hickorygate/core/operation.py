"""Operations that a caller requests, independent of the front end."""

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
    "PreparedStatement",
    "Unknown",
    "Write",
]


@dataclasses.dataclass(frozen=True, slots=True)
class PreparedStatement:
    """A statement to prepare.

    Attributes:
      writes: whether the statement changes data.
      text: text of the statement.
    """

    writes: bool
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Operation:
    """Base of the operations."""


@dataclasses.dataclass(frozen=True, slots=True)
class Begin(Operation):
    """Opens a transaction; a read-only one may run on a replica."""

    read_only: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Commit(Operation):
    """Commits the open transaction; `text` is passed on unchanged."""

    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Rollback(Operation):
    """Rolls the open transaction back."""


@dataclasses.dataclass(frozen=True, slots=True)
class Read(Operation):
    """Reads data; `text` is passed on unchanged."""

    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Write(Operation):
    """Changes data; `text` is passed on unchanged."""

    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Execute(Operation):
    """Runs a prepared statement.

    Attributes:
      name: name under which the caller prepared the statement.
      arguments: text of the arguments, passed on unchanged.
    """

    name: str
    arguments: str


@dataclasses.dataclass(frozen=True, slots=True)
class SetValue(Operation):
    """Sets a named value of the session."""

    name: str
    value: str


@dataclasses.dataclass(frozen=True, slots=True)
class Prepare(Operation):
    """Prepares a statement under a name, for the rest of the session."""

    name: str
    prepared: PreparedStatement


@dataclasses.dataclass(frozen=True, slots=True)
class Deallocate(Operation):
    """Removes a prepared statement."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown(Operation):
    """Text that could not be decoded as an operation."""

    text: str
