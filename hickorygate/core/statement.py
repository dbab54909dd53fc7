"""What a statement does, found in one cheap pass and never by parsing.

The class of a statement decides how it is routed; routing dispatches on it.
A statement whose class is not certain counts as a write.
"""

from __future__ import annotations

import dataclasses
import functools
import re

import expression

from hickorygate.core import errors

__all__ = [
    "Begin",
    "Commit",
    "Read",
    "Rollback",
    "SetAutocommit",
    "SetVariable",
    "Statement",
    "Use",
    "Write",
    "classify",
]

_CACHED_STATEMENTS = 4_096
_LEADING_NOISE = re.compile(
    r"(?:\s+|/\*(?!!).*?\*/|--[ \t][^\n]*\n|#[^\n]*\n)+", re.S
)
_FIRST_WORD = re.compile(r"[A-Za-z]+")
_SEPARATOR = re.compile(
    r"'(?:[^'\\]|\\.|'')*'|\"(?:[^\"\\]|\\.|\"\")*\"|`[^`]*`|/\*.*?\*/|(;)",
    re.S,
)
_LOCKING_READ = re.compile(
    r"\bFOR\s+(?:UPDATE|SHARE)\b|\bLOCK\s+IN\s+SHARE\s+MODE\b"
    r"|\bINTO\s+(?:@|OUTFILE|DUMPFILE)"
    r"|\b(?:GET_LOCK|RELEASE_LOCK|RELEASE_ALL_LOCKS|LAST_INSERT_ID"
    r"|FOUND_ROWS|ROW_COUNT|SLEEP|UUID_SHORT)\s*\(|:=",
    re.I,
)
_SET_AUTOCOMMIT = re.compile(
    r"SET\s+(?:SESSION\s+|@@(?:SESSION\.)?)?AUTOCOMMIT\s*=\s*"
    r"(1|0|ON|OFF|TRUE|FALSE)\s*$",
    re.I,
)
_USE = re.compile(r"USE\s+`?([^`\s;]+)`?\s*$", re.I)
_READ_WORDS = frozenset({"SELECT", "SHOW", "DESCRIBE", "DESC", "EXPLAIN"})
_TRUE_WORDS = frozenset({"1", "ON", "TRUE"})


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """Base of all classes of statement.

    Attributes:
      sql: the text as the caller sent it, without a closing semicolon.
    """

    sql: str


@dataclasses.dataclass(frozen=True, slots=True)
class Read(Statement):
    """Changes nothing and may run on a replica."""


@dataclasses.dataclass(frozen=True, slots=True)
class Write(Statement):
    """Changes data, locks, or can't be told from one that does."""


@dataclasses.dataclass(frozen=True, slots=True)
class Begin(Statement):
    """Opens a transaction."""


@dataclasses.dataclass(frozen=True, slots=True)
class Commit(Statement):
    """Ends a transaction and keeps it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Rollback(Statement):
    """Ends a transaction and drops it."""


@dataclasses.dataclass(frozen=True, slots=True)
class SetAutocommit(Statement):
    """Switches autocommit."""

    enabled: bool


@dataclasses.dataclass(frozen=True, slots=True)
class SetVariable(Statement):
    """Sets session variables."""


@dataclasses.dataclass(frozen=True, slots=True)
class Use(Statement):
    """Selects a schema."""

    schema: str


def _has_second_statement(sql: str) -> bool:
    return any(match.group(1) for match in _SEPARATOR.finditer(sql))


def _set(sql: str, body: str) -> Statement:
    match = _SET_AUTOCOMMIT.match(body)
    if match:
        return SetAutocommit(sql, match.group(1).upper() in _TRUE_WORDS)
    return SetVariable(sql)


def _read_or_write(sql: str, body: str) -> Statement:
    if _LOCKING_READ.search(body):
        return Write(sql)
    return Read(sql)


def _rollback(sql: str, body: str) -> Statement:
    if re.search(r"\bTO\b", body, re.I):
        return Write(sql)
    return Rollback(sql)


def _start(sql: str, body: str) -> Statement:
    if re.match(r"START\s+TRANSACTION\b", body, re.I):
        return Begin(sql)
    return Write(sql)


def _by_first_word(sql: str, body: str) -> Statement:
    match = _FIRST_WORD.match(body)
    word = match.group().upper() if match else ""
    if word in _READ_WORDS:
        return _read_or_write(sql, body)
    if word == "SET":
        return _set(sql, body)
    if word == "BEGIN":
        return Begin(sql)
    if word == "START":
        return _start(sql, body)
    if word == "COMMIT":
        return Commit(sql)
    if word == "ROLLBACK":
        return _rollback(sql, body)
    use = _USE.match(body)
    if use:
        return Use(sql, use.group(1))
    return Write(sql)


@functools.lru_cache(maxsize=_CACHED_STATEMENTS)
def classify(
    text: str,
) -> expression.Result[Statement, errors.MultipleStatements]:
    """Tells what a statement does.

    Args:
      text: one statement; a closing semicolon is dropped.
    """
    sql = text.strip().removesuffix(";").rstrip()
    if ";" in sql and _has_second_statement(sql):
        return expression.Error(errors.MultipleStatements())
    noise = _LEADING_NOISE.match(sql)
    body = sql[noise.end() :] if noise else sql
    return expression.Ok(_by_first_word(sql, body))
