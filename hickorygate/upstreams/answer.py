"""What a database answers to a statement."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Sequence
import dataclasses

from hickorygate.core import types

__all__ = ["NOTHING", "Answer", "Column", "Done", "Note", "Table"]


@dataclasses.dataclass(frozen=True, slots=True)
class Column:
    """A column of a result.

    Attributes:
      name: its label.
      type_code: MySQL's column type number.
      charset: MySQL's character set number; 63 is binary.
      flags: MySQL's column flags, such as unsigned.
      decimals: digits behind the point.
      length: the longest cell, in bytes; 0 if it isn't known.
    """

    name: str
    type_code: int
    charset: int
    flags: int = 0
    decimals: int = 0
    length: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Note:
    """One line of SHOW WARNINGS.

    Attributes:
      level: Note, Warning or Error.
      code: MySQL error number.
      text: the database's message.
    """

    level: str
    code: int
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Base of the answers.

    Attributes:
      warnings: how many the database counted.
      notes: their text, where the answer came whole.
    """

    warnings: int
    notes: tuple[Note, ...] = dataclasses.field(default=(), kw_only=True)


@dataclasses.dataclass(frozen=True, slots=True)
class Done(Answer):
    """A statement without rows ran."""

    affected_rows: int
    last_insert_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class Table(Answer):
    """Rows, complete or still arriving.

    Attributes:
      columns: one for each cell of a row.
      rows: cells as the database sent them, in MySQL's text form.
    """

    columns: tuple[Column, ...]
    rows: Sequence[types.Row] | AsyncIterator[types.Row]


NOTHING = Done(warnings=0, affected_rows=0, last_insert_id=0)
"""The answer to a statement that changed nothing."""
