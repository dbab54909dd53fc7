"""Parsing of SET statements, and replay of session variables.

A pooled connection serves many sessions, so the proxy stores a session's
variables and sets them again on each connection that the session uses. Only
variables that can be set again are accepted; others are refused, never
silently dropped.
"""

from __future__ import annotations

import dataclasses
import re
from typing import NamedTuple

import expression

from hickorygate.core import errors

__all__ = [
    "Assignment",
    "Autocommit",
    "Hint",
    "IgnoredAssignment",
    "SessionVariable",
    "ReplayStep",
    "Variables",
    "parse_set",
    "replay",
]

_HINT_PREFIX = "hickorygate_"
_LITERAL = r"(?:'(?:[^'\\]|\\.|'')*+'|\"(?:[^\"\\]|\\.|\"\")*+\")"
_ITEM = re.compile(
    rf"\s*((?:{_LITERAL}|[^,'\"()]|\((?:{_LITERAL}|[^'\"])*\))++)(?:,|\Z)",
    re.S,
)
_VARIABLE_ASSIGNMENT = re.compile(
    r"(?:@@)?(?:(?P<scope>GLOBAL|PERSIST|PERSIST_ONLY|SESSION|LOCAL)"
    r"(?:\s+|\s*\.\s*))?`?(?P<name>\w+)`?\s*:?=\s*(?P<value>.+)\Z",
    re.I | re.S,
)
_NAMES = re.compile(
    r"(?:NAMES|CHARSET|CHARACTER\s+SET)\s+['\"]?(?P<charset>\w+)['\"]?"
    r"(?:\s+COLLATE\s+['\"]?(?P<collation>\w+)['\"]?)?\s*\Z",
    re.I,
)
_TRANSACTION = re.compile(
    r"(?:SESSION|LOCAL)\s+TRANSACTION\s+"
    r"(?:ISOLATION\s+LEVEL\s+(?P<level>READ\s+UNCOMMITTED|READ\s+COMMITTED"
    r"|REPEATABLE\s+READ|SERIALIZABLE)|READ\s+(?P<mode>ONLY|WRITE))\s*\Z",
    re.I,
)
_WORD_OR_NUMBER = re.compile(r"-?[\w.]+\Z")
_QUOTED = re.compile(rf"{_LITERAL}\Z", re.S)
_LITERAL_EXPRESSION = re.compile(
    rf"(?:CONCAT|REPLACE|@@(?:SESSION\.)?\w+|{_LITERAL}|[\s,()])++\Z",
    re.I | re.S,
)
_UTF8 = frozenset({"utf8", "utf8mb3", "utf8mb4", "default"})
_CHARSET_VARIABLES = frozenset(
    {
        "character_set_client",
        "character_set_connection",
        "character_set_results",
    }
)
_IGNORED_VARIABLES = frozenset(
    {
        "interactive_timeout",
        "net_read_timeout",
        "net_write_timeout",
        "wait_timeout",
    }
)
"""Timeouts of the caller's connection to the proxy. They don't concern the
connections to the databases, so assigning them has no effect there."""

_REPLAYED_VARIABLES = frozenset(
    {
        "auto_increment_increment",
        "auto_increment_offset",
        "collation_connection",
        "default_storage_engine",
        "div_precision_increment",
        "explicit_defaults_for_timestamp",
        "foreign_key_checks",
        "group_concat_max_len",
        "innodb_lock_wait_timeout",
        "innodb_strict_mode",
        "lock_wait_timeout",
        "max_execution_time",
        "max_join_size",
        "optimizer_switch",
        "sql_auto_is_null",
        "sql_big_selects",
        "sql_mode",
        "sql_notes",
        "sql_quote_show_create",
        "sql_safe_updates",
        "sql_select_limit",
        "sql_warnings",
        "time_zone",
        "transaction_isolation",
        "transaction_read_only",
        "tx_isolation",
        "tx_read_only",
        "unique_checks",
    }
)
_REFUSED_SQL_MODE = "NO_BACKSLASH_ESCAPES"
_RESET_WORDS = frozenset({"DEFAULT", "NULL"})
_TRUE_WORDS = frozenset({"1", "ON", "TRUE"})
_FALSE_WORDS = frozenset({"0", "OFF", "FALSE"})


@dataclasses.dataclass(frozen=True, slots=True)
class Assignment:
    """Base of the assignments of a SET statement."""


@dataclasses.dataclass(frozen=True, slots=True)
class IgnoredAssignment(Assignment):
    """An assignment that has no effect on the connections to the databases."""


@dataclasses.dataclass(frozen=True, slots=True)
class Autocommit(Assignment):
    """Turns autocommit on or off."""

    enabled: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Hint(Assignment):
    """Sets a hint of the session.

    Attributes:
      name: name of the variable that holds the hint, in lower case.
      value: value of the hint; None clears it.
    """

    name: str
    value: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class SessionVariable(Assignment):
    """Sets a variable that is set again on each connection.

    Attributes:
      name: name of the variable, in lower case.
      value: SQL expression of the value; None for the server's default.
    """

    name: str
    value: str | None


Variables = tuple[SessionVariable, ...]
"""A session's variables, in the order in which they were first set."""


class ReplayStep(NamedTuple):
    """One statement of a replay.

    Attributes:
      sql: text of the statement.
      variables: variables that are set on the connection after the statement.
    """

    sql: str
    variables: Variables


AssignmentResult = expression.Result[Assignment, errors.Failure]


def parse_set(
    sql: str,
) -> expression.Result[tuple[Assignment, ...], errors.Failure]:
    """Parses a SET statement.

    Args:
      sql: text of the statement; it begins with SET.

    Returns:
      The assignments in order, or the failure of the first refused one.
    """
    body = sql.strip()[len("SET") :].strip()
    whole = _NAMES.match(body) or _TRANSACTION.match(body)
    items = [body] if whole else _split_assignments(body)
    if items is None:
        return expression.Error(errors.UnsupportedStatement("SET of this form"))
    assignments = []
    for item in items:
        result = _parse_assignment(item.strip())
        if result.is_error():
            return expression.Error(result.error)
        assignments.append(result.ok)
    return expression.Ok(tuple(assignments))


def replay(old: Variables, new: Variables) -> list[ReplayStep]:
    """Returns the statements that replace one session's variables by another's.

    All old variables are reset to the server's defaults first, since a new
    value may be computed from the default.

    Args:
      old: variables that are set on the connection.
      new: variables of the session that will use the connection.
    """
    steps = []
    if old:
        resets = ", ".join(_reset_clause(variable) for variable in old)
        steps.append(ReplayStep(f"SET {resets}", ()))
    if new:
        sets = ", ".join(f"{v.name} = {v.value}" for v in new)
        steps.append(ReplayStep(f"SET {sets}", new))
    return steps


def _reset_clause(variable: SessionVariable) -> str:
    if variable.name == "collation_connection":
        return "NAMES utf8mb4"
    return f"{variable.name} = DEFAULT"


def _split_assignments(body: str) -> list[str] | None:
    """Splits the assignments at commas; returns None if that is impossible."""
    items = []
    end = 0
    while end < len(body):
        match = _ITEM.match(body, end)
        if match is None:
            return None
        items.append(match.group(1))
        end = match.end()
    return items or None


def _parse_assignment(item: str) -> AssignmentResult:
    names = _NAMES.match(item)
    if names:
        return _parse_names(names["charset"], names["collation"])
    transaction = _TRANSACTION.match(item)
    if transaction:
        return expression.Ok(_parse_transaction(transaction))
    target = _VARIABLE_ASSIGNMENT.match(item)
    if target is None:
        return expression.Error(errors.UnsupportedStatement("SET of this form"))
    scope = (target["scope"] or "SESSION").upper()
    name = target["name"].lower()
    if scope not in ("SESSION", "LOCAL"):
        reason = f"{scope} variables are the database's; set them there"
        return expression.Error(errors.UnsupportedVariable(name, reason))
    return _parse_variable(name, target["value"].strip())


def _parse_names(charset: str, collation: str | None) -> AssignmentResult:
    if charset.lower() not in _UTF8:
        return expression.Error(errors.UnsupportedCharset(charset))
    value = f"'{collation}'" if collation else None
    return expression.Ok(SessionVariable("collation_connection", value))


def _parse_transaction(match: re.Match[str]) -> Assignment:
    if match["level"]:
        level = "-".join(match["level"].upper().split())
        return SessionVariable("transaction_isolation", f"'{level}'")
    read_only = match["mode"].upper() == "ONLY"
    return SessionVariable("transaction_read_only", str(int(read_only)))


def _parse_variable(name: str, value: str) -> AssignmentResult:
    if name.startswith(_HINT_PREFIX):
        return _parse_hint(name, value)
    if name == "autocommit":
        return _parse_autocommit(value)
    if name in _CHARSET_VARIABLES:
        return _parse_charset(value)
    if name in _IGNORED_VARIABLES:
        return expression.Ok(IgnoredAssignment())
    if name not in _REPLAYED_VARIABLES:
        reason = "it can't be carried from one connection to the next"
        return expression.Error(errors.UnsupportedVariable(name, reason))
    if _REFUSED_SQL_MODE in value.upper():
        reason = (
            f"{_REFUSED_SQL_MODE} changes how strings are read; leave it out"
        )
        return expression.Error(errors.UnsupportedVariable(name, reason))
    if value.upper() == "DEFAULT":
        return expression.Ok(SessionVariable(name, None))
    for pattern in (_WORD_OR_NUMBER, _QUOTED, _LITERAL_EXPRESSION):
        if pattern.match(value):
            return expression.Ok(SessionVariable(name, value))
    reason = "the value must be a literal, or CONCAT or REPLACE of literals"
    return expression.Error(errors.UnsupportedVariable(name, reason))


def _parse_hint(name: str, value: str) -> AssignmentResult:
    if value.upper() in _RESET_WORDS:
        return expression.Ok(Hint(name, None))
    if _QUOTED.match(value):
        return expression.Ok(Hint(name, _unquote(value)))
    if _WORD_OR_NUMBER.match(value):
        return expression.Ok(Hint(name, value))
    reason = "the value must be a literal"
    return expression.Error(errors.BadHint(name, value, reason))


def _parse_autocommit(value: str) -> AssignmentResult:
    word = _unquote(value).upper()
    if word in _TRUE_WORDS or word in _FALSE_WORDS:
        return expression.Ok(Autocommit(word in _TRUE_WORDS))
    reason = "the value must be 0 or 1"
    return expression.Error(errors.UnsupportedVariable("autocommit", reason))


def _parse_charset(value: str) -> AssignmentResult:
    charset = _unquote(value)
    if charset.lower() in _UTF8 or charset.upper() == "NULL":
        return expression.Ok(IgnoredAssignment())
    return expression.Error(errors.UnsupportedCharset(charset))


def _unquote(value: str) -> str:
    if not _QUOTED.match(value):
        return value
    quote = value[0]
    return value[1:-1].replace(quote * 2, quote).replace("\\" + quote, quote)
