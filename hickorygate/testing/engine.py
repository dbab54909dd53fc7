"""SQL engine of a stand-in database: in-memory SQLite for MySQL's dialect.

Most statements mean the same in both dialects. A statement that SQLite
rejects, or that contains a backslash, is translated first.
"""

from __future__ import annotations

import functools
import re
import sqlite3

import expression
import sqlglot
from sqlglot import errors as sqlglot_errors

from hickorygate.core import errors
from hickorygate.upstreams import answer

__all__ = ["SqlEngine"]

_CACHED_TRANSLATIONS = 1_024
_LONGLONG = 8
_DOUBLE = 5
_VAR_STRING = 253
_BLOB = 252
_UTF8MB4 = 45
_BINARY = 63
_DUPLICATE = (1062, "23000")
_NO_TABLE = (1146, "42S02")
_SYNTAX = (1064, "42000")
_TABLE_EXISTS = (1050, "42S01")


_CREATE_IF_MISSING = re.compile(
    r"\s*CREATE\s+TABLE\s+IF\s+NOT\s+EXISTS\s+`?(\w+)", re.I
)


@functools.lru_cache(maxsize=_CACHED_TRANSLATIONS)
def _translate(sql: str) -> str:
    try:
        return sqlglot.transpile(sql, read="mysql", write="sqlite")[0]
    except (sqlglot_errors.SqlglotError, IndexError):
        return sql


def _column(name: str, value: object) -> answer.Column:
    if isinstance(value, int):
        return answer.Column(name, _LONGLONG, _BINARY)
    if isinstance(value, float):
        return answer.Column(name, _DOUBLE, _BINARY)
    if isinstance(value, bytes):
        return answer.Column(name, _BLOB, _BINARY)
    return answer.Column(name, _VAR_STRING, _UTF8MB4)


def _failure(error: sqlite3.Error) -> errors.UpstreamError:
    text = str(error)
    if isinstance(error, sqlite3.IntegrityError):
        code, sqlstate = _DUPLICATE
    elif "no such table" in text:
        code, sqlstate = _NO_TABLE
    elif "already exists" in text:
        code, sqlstate = _TABLE_EXISTS
    else:
        code, sqlstate = _SYNTAX
    return errors.UpstreamError(code, sqlstate, text)


class SqlEngine:
    """The data of one database."""

    __slots__ = ("_data",)

    def __init__(self) -> None:
        self._data = sqlite3.connect(":memory:", isolation_level=None)

    def __repr__(self) -> str:
        return f"SqlEngine(in_transaction={self._data.in_transaction})"

    def run(
        self, sql: str
    ) -> expression.Result[answer.Answer, errors.UpstreamError]:
        """Runs one statement."""
        try:
            cursor = self._execute(sql)
            rows = cursor.fetchall()
        except sqlite3.Error as error:
            return expression.Error(_failure(error))
        if cursor.description is None:
            return expression.Ok(
                answer.OkAnswer(
                    warnings=0,
                    affected_rows=max(cursor.rowcount, 0),
                    last_insert_id=self._insert_id(sql, cursor),
                )
            )
        return expression.Ok(self._table(cursor, rows))

    def notes_of(self, sql: str) -> tuple[answer.Note, ...]:
        """Returns the notes that MySQL would add if the statement ran now."""
        match = _CREATE_IF_MISSING.match(sql)
        if match is None or not self._has_table(match.group(1)):
            return ()
        text = f"Table '{match.group(1)}' already exists"
        return (answer.Note("Note", _TABLE_EXISTS[0], text),)

    def begin(self) -> None:
        """Opens a transaction."""
        self._data.execute("BEGIN")

    def commit(self) -> None:
        """Commits the open transaction, if any."""
        if self._data.in_transaction:
            self._data.execute("COMMIT")

    def rollback(self) -> None:
        """Rolls back the open transaction, if any."""
        if self._data.in_transaction:
            self._data.execute("ROLLBACK")

    def clear(self) -> None:
        """Deletes all data."""
        self._data.close()
        self._data = sqlite3.connect(":memory:", isolation_level=None)

    def _has_table(self, name: str) -> bool:
        found = self._data.execute(
            "SELECT 1 FROM sqlite_master WHERE type = 'table' AND name = ?",
            (name,),
        )
        return found.fetchone() is not None

    def _execute(self, sql: str) -> sqlite3.Cursor:
        if "\\" in sql:
            return self._data.execute(_translate(sql))
        try:
            return self._data.execute(sql)
        except sqlite3.OperationalError:
            translated = _translate(sql)
            if translated == sql:
                raise
            return self._data.execute(translated)

    def _insert_id(self, sql: str, cursor: sqlite3.Cursor) -> int:
        if sql.lstrip()[:6].upper() != "INSERT":
            return 0
        return cursor.lastrowid or 0

    def _table(
        self, cursor: sqlite3.Cursor, rows: list[tuple[object, ...]]
    ) -> answer.ResultSet:
        first = rows[0] if rows else (None,) * len(cursor.description)
        columns = tuple(
            _column(field[0], value)
            for field, value in zip(cursor.description, first, strict=True)
        )
        return answer.ResultSet(warnings=0, columns=columns, rows=rows)
