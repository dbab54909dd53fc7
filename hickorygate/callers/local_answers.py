"""Answers statements from the proxy's own state, without a database.

Clients and drivers send such statements when they connect. A SELECT is
answered here only if all of its items are known to the proxy. Otherwise the
whole statement is sent to a database.
"""

from __future__ import annotations

import dataclasses
import functools
import re

from hickorygate.callers import session as sessions
from hickorygate.core import types
from hickorygate.upstreams import answer

__all__ = [
    "COUNT_COLUMNS",
    "NOTE_COLUMNS",
    "SERVER_VERSION",
    "CallerConnectionState",
    "answer_show_warnings",
    "answer_select",
]

SERVER_VERSION = "8.0.29"
"""MySQL version that the front end reports and whose protocol it speaks."""

_VERSION_COMMENT = "hickorygate"
_MAX_SELECT_LENGTH = 4_096
"""Maximum length of a SELECT that is parsed here, in characters."""

_CACHED_SELECTS = 256
_LONGLONG = 8
_VAR_STRING = 253
_BINARY = 63
_UTF8MB4 = 45
_SELECT = re.compile(
    r"\s*(?:/\*[^*!]*\*/\s*)?SELECT\s+(?P<items>[^'\"#]+?)"
    r"(?:\s+LIMIT\s+1)?\s*\Z",
    re.I,
)
_ITEM = re.compile(
    r"(?:@@(?:(?:SESSION|LOCAL|GLOBAL)\s*\.\s*)?(?P<variable>\w+)"
    r"|(?P<call>[A-Za-z_]+)\s*\(\s*\)|(?P<number>\d{1,18}))"
    r"(?:\s+(?:AS\s+)?`?(?P<alias>\w+)`?)?\Z",
    re.I,
)
_LIMIT = re.compile(r"\bLIMIT\s+(?:(\d+)\s*,\s*)?(\d+)\s*\Z", re.I)
_SHOW_COUNT = re.compile(r"\s*SHOW\s+COUNT\b", re.I)
_SHOW_ERRORS = re.compile(r"\bERRORS\b", re.I)

NOTE_COLUMNS = (
    answer.Column("Level", _VAR_STRING, _UTF8MB4),
    answer.Column("Code", _LONGLONG, _BINARY),
    answer.Column("Message", _VAR_STRING, _UTF8MB4),
)
"""Columns of the answer to SHOW WARNINGS."""

COUNT_COLUMNS = (answer.Column("@@session.warning_count", _LONGLONG, _BINARY),)
"""Column of the answer to SHOW COUNT(*) WARNINGS."""

_CONSTANTS: dict[str, types.Cell] = {
    "auto_increment_increment": 1,
    "character_set_client": "utf8mb4",
    "character_set_connection": "utf8mb4",
    "character_set_results": "utf8mb4",
    "character_set_server": "utf8mb4",
    "init_connect": "",
    "interactive_timeout": 28_800,
    "license": "",
    "net_read_timeout": 30,
    "net_write_timeout": 60,
    "performance_schema": 0,
    "version": SERVER_VERSION,
    "version_comment": _VERSION_COMMENT,
    "wait_timeout": 28_800,
}


@dataclasses.dataclass(slots=True)
class CallerConnectionState:
    """State of one client connection that statements can ask for.

    Attributes:
      connection_id: identifier that the greeting announced.
      statement_limit: maximum length of a statement, in bytes.
      last_insert_id: last automatically generated ID; 0 if there is none.
      row_count: number of rows that the last statement changed; -1 after a
        result with rows.
      notes: warnings of the last statement.
    """

    connection_id: int
    statement_limit: int
    last_insert_id: int = 0
    row_count: int = -1
    notes: tuple[answer.Note, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class _Item:
    """One item of a SELECT: a variable, a function call or a number.

    Attributes:
      label: name of the column.
      name: variable or call in lower case; empty for a number.
      number: value of a number; None for a variable or a call.
    """

    label: str
    name: str
    number: int | None


def answer_select(
    sql: str, session: sessions.Session, connection_state: CallerConnectionState
) -> answer.ResultSet | None:
    """Answers a SELECT whose items are all known to the proxy.

    Args:
      sql: text of the statement.
      session: session of the caller.
      connection_state: state of the caller's connection.

    Returns:
      The answer, or None if a database must answer the statement.
    """
    if len(sql) > _MAX_SELECT_LENGTH:
        return None
    items = _parse_items(sql)
    if items is None:
        return None
    values = _known_values(session, connection_state)
    cells: list[types.Cell] = []
    for item in items:
        if item.number is None and item.name not in values:
            return None
        cells.append(values[item.name] if item.number is None else item.number)
    columns = tuple(
        _column(item.label, cell)
        for item, cell in zip(items, cells, strict=True)
    )
    return answer.ResultSet(warnings=0, columns=columns, rows=[tuple(cells)])


def answer_show_warnings(
    sql: str, notes: tuple[answer.Note, ...]
) -> answer.ResultSet:
    """Answers SHOW WARNINGS, SHOW ERRORS and their SHOW COUNT variants."""
    if _SHOW_ERRORS.search(sql):
        notes = tuple(note for note in notes if note.level == "Error")
    if _SHOW_COUNT.match(sql):
        return answer.ResultSet(0, COUNT_COLUMNS, [(len(notes),)])
    limit = _LIMIT.search(sql)
    if limit:
        start = int(limit.group(1) or 0)
        notes = notes[start : start + int(limit.group(2))]
    rows = [(note.level, note.code, note.text) for note in notes]
    return answer.ResultSet(0, NOTE_COLUMNS, rows)


@functools.lru_cache(maxsize=_CACHED_SELECTS)
def _parse_items(sql: str) -> tuple[_Item, ...] | None:
    match = _SELECT.match(" ".join(sql.split()))
    if match is None:
        return None
    items = []
    for text in match["items"].split(","):
        item = _ITEM.match(text.strip())
        if item is None:
            return None
        items.append(_parse_item(item))
    return tuple(items)


def _parse_item(match: re.Match[str]) -> _Item:
    label = match["alias"] or match.group().split()[0]
    if match["number"]:
        return _Item(label, "", int(match["number"]))
    if match["call"]:
        return _Item(label, match["call"].lower() + "()", None)
    return _Item(label, match["variable"].lower(), None)


def _known_values(
    session: sessions.Session, connection_state: CallerConnectionState
) -> dict[str, types.Cell]:
    user = f"{session.user}@%"
    return _CONSTANTS | {
        "autocommit": int(session.autocommit),
        "connection_id()": connection_state.connection_id,
        "current_user()": user,
        "database()": session.schema,
        "hickorygate_rank": session.hints.rank or session.attribute_hints.rank,
        "last_insert_id": connection_state.last_insert_id,
        "last_insert_id()": connection_state.last_insert_id,
        "max_allowed_packet": connection_state.statement_limit,
        "row_count()": connection_state.row_count,
        "schema()": session.schema,
        "session_user()": user,
        "user()": user,
        "version()": SERVER_VERSION,
        "warning_count": len(connection_state.notes),
    }


def _column(label: str, cell: types.Cell) -> answer.Column:
    if isinstance(cell, int):
        return answer.Column(label, _LONGLONG, _BINARY)
    return answer.Column(label, _VAR_STRING, _UTF8MB4)
