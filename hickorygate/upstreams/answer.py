"""Answers of a database to a statement."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Sequence
import dataclasses

from hickorygate.core import types

__all__ = ["EMPTY_ANSWER", "Answer", "Column", "OkAnswer", "Note", "ResultSet"]


@dataclasses.dataclass(frozen=True, slots=True)
class Column:
    """A column of a result set.

    Attributes:
      name: label of the column.
      type_code: MySQL column type number.
      charset: MySQL character set number; 63 is binary.
      flags: MySQL column flags, such as unsigned.
      decimals: number of digits after the decimal point.
      length: maximum length of a cell, in bytes; 0 if unknown.
    """

    name: str
    type_code: int
    charset: int
    flags: int = 0
    decimals: int = 0
    length: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Note:
    """A row of SHOW WARNINGS.

    Attributes:
      level: "Note", "Warning" or "Error".
      code: MySQL error number.
      text: message of the database.
    """

    level: str
    code: int
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Base class of the answers.

    Attributes:
      warnings: number of warnings that the database reported.
      notes: the warnings themselves; empty if the rows are still arriving.
    """

    warnings: int
    notes: tuple[Note, ...] = dataclasses.field(default=(), kw_only=True)


@dataclasses.dataclass(frozen=True, slots=True)
class OkAnswer(Answer):
    """The answer to a statement that returns no rows.

    Attributes:
      affected_rows: number of rows that the statement changed.
      last_insert_id: AUTO_INCREMENT value that the statement generated; 0 if
        none.
    """

    affected_rows: int
    last_insert_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class ResultSet(Answer):
    """The answer to a statement that returns rows.

    Attributes:
      columns: columns of the result set.
      rows: rows, complete or still arriving; their cells are in MySQL's text
        format, as the database sent them.
    """

    columns: tuple[Column, ...]
    rows: Sequence[types.Row] | AsyncIterator[types.Row]


EMPTY_ANSWER = OkAnswer(warnings=0, affected_rows=0, last_insert_id=0)
"""The answer to a statement that has no effect."""
