"""Classification of SQL statements in one cheap pass, without a parser.

Routing dispatches on the class of a statement. The pass blanks out literals,
quoted names and comments, and examines the remaining words. A statement whose
class is not certain counts as a write, so that a statement that changes data
is never sent to a replica.
"""

from __future__ import annotations

import dataclasses
import functools
import re

import expression

from hickorygate.core import errors
from hickorygate.core import sql_keywords
from hickorygate.core import sql_patterns

__all__ = [
    "Begin",
    "Commit",
    "ConnectionBound",
    "ImplicitCommit",
    "PinsConnection",
    "Read",
    "Rollback",
    "SetAutocommit",
    "SetVariable",
    "ShowWarnings",
    "Statement",
    "UseSchema",
    "Write",
    "classify",
]

_CACHE_SIZE = 4_096
_MAX_CACHED_LENGTH = 4_096
"""Maximum length in characters of a statement whose class is cached; longer
statements are classified each time."""

_FIRST_WORD = re.compile(r"[\s(]*+([A-Z]++)")
_EXECUTABLE_COMMENT = re.compile(r"/\*M?!")

_FUNCTION_CALL = re.compile(r"(?<![\w$])((?:\.\s*+)?[\w$]++)\s*+\(")
_POSSIBLE_QUOTED_CALL = re.compile(r"[`\"]\s*+(?:\(|/\*|--|#)")
_QUOTED_CALL = re.compile(r"`\s*+\(")
_WRITING_CLAUSE = re.compile(
    r"\b(?:UPDATE|DELETE|INTO|SHARE)\b"
    r"|\b(?:INSERT|REPLACE)\b(?!\s*+\()"
    r"|:="
)
_USER_VARIABLE = re.compile(r"(?<!@)@(?!@)")
_PINNING_CALL = re.compile(
    r"\b(?:GET_LOCK|RELEASE_LOCK|RELEASE_ALL_LOCKS)\s*+\("
    r"|\bSQL_CALC_FOUND_ROWS\b"
)
_CONNECTION_BOUND_CALL = re.compile(
    r"\b(?:LAST_INSERT_ID|FOUND_ROWS|ROW_COUNT)\s*+\("
)
_SHOW_WARNINGS = re.compile(r"SHOW (?:COUNT ?\( ?\* ?\) )?(?:WARNINGS|ERRORS)")
_TEMPORARY_TABLE = re.compile(r"(?:CREATE|DROP) TEMPORARY\b")
_CONTROL_CALL = re.compile(
    r"\bgroup_(?:status|fence|promote|follow|wait)\b", re.I
)
_TRANSACTION_END = re.compile(
    r"(?:COMMIT|ROLLBACK)(?: WORK)?(?: AND NO CHAIN)?(?: NO RELEASE)?$"
)
_SET_AUTOCOMMIT = re.compile(
    r"SET (?:SESSION |LOCAL |@@(?:SESSION\.|LOCAL\.)?)?"
    r"AUTOCOMMIT ?:?= ?(1|0|ON|OFF|TRUE|FALSE)$"
)
_USE = re.compile(
    r"\s*USE\s+(?:`(?P<quoted>(?:[^`]|``)+)`|(?P<plain>[^`\s;]+))\s*", re.I
)
_TRUE_WORDS = frozenset({"1", "ON", "TRUE"})


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """Base of all classes of statement.

    Attributes:
      sql: text as the caller sent it, without a closing semicolon.
    """

    sql: str


@dataclasses.dataclass(frozen=True, slots=True)
class Read(Statement):
    """Changes no data and may run on a replica."""


@dataclasses.dataclass(frozen=True, slots=True)
class ShowWarnings(Statement):
    """Returns the warnings or errors of the previous statement."""


@dataclasses.dataclass(frozen=True, slots=True)
class Write(Statement):
    """Changes data, takes locks, or may do so."""


@dataclasses.dataclass(frozen=True, slots=True)
class PinsConnection(Write):
    """Leaves state on its connection that can't be moved to another one.

    Such state is user variables, temporary tables, table locks and named
    locks. After the statement, the session keeps the connection until the
    session ends or is reset; then the connection is closed and not reused.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionBound(Write):
    """Reads state that the previous statement left on its connection."""


@dataclasses.dataclass(frozen=True, slots=True)
class ImplicitCommit(Write):
    """Commits an open transaction before it runs, like DDL."""


@dataclasses.dataclass(frozen=True, slots=True)
class Begin(Statement):
    """Opens a transaction.

    Attributes:
      read_only: whether the transaction is declared READ ONLY.
    """

    read_only: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Commit(Statement):
    """Commits the open transaction."""


@dataclasses.dataclass(frozen=True, slots=True)
class Rollback(Statement):
    """Rolls the open transaction back."""


@dataclasses.dataclass(frozen=True, slots=True)
class SetAutocommit(Statement):
    """Turns autocommit on or off."""

    enabled: bool


@dataclasses.dataclass(frozen=True, slots=True)
class SetVariable(Statement):
    """Sets session variables; `core.assignment` parses which ones."""


@dataclasses.dataclass(frozen=True, slots=True)
class UseSchema(Statement):
    """Selects a schema."""

    schema: str


ClassifyResult = expression.Result[Statement, errors.Failure]


def classify(text: str) -> ClassifyResult:
    """Classifies a statement.

    Args:
      text: one statement; a closing semicolon is dropped.

    Returns:
      The classified statement, or the failure why the proxy doesn't accept it.
    """
    if len(text) > _MAX_CACHED_LENGTH:
        return _classify(text)
    return _classify_cached(text)


def _classify(text: str) -> ClassifyResult:
    blanked = " ".join(sql_patterns.QUOTED_OR_COMMENT.split(text)).upper()
    outline = " ".join(blanked.split()).strip("; ")
    if not outline:
        return expression.Error(errors.EmptyStatement())
    if ";" in outline:
        return expression.Error(errors.MultipleStatements())
    return _classify_by_first_word(_strip_semicolon(text), outline)


_classify_cached = functools.lru_cache(maxsize=_CACHE_SIZE)(_classify)


def _strip_semicolon(text: str) -> str:
    """Returns the text without a closing semicolon and what follows it."""
    if ";" not in text:
        return text.strip()
    text = text.lstrip("; \t\r\n")
    for match in sql_patterns.SEPARATOR.finditer(text):
        if match["end"]:
            return text[: match.start()].strip()
    return text.strip()


def _classify_by_first_word(sql: str, outline: str) -> ClassifyResult:
    if _EXECUTABLE_COMMENT.search(outline):
        return _classify_executable_comment(sql)
    match = _FIRST_WORD.match(outline)
    word = match.group(1) if match else ""
    if word in sql_keywords.REFUSED:
        return _refused(word)
    if word in sql_keywords.READS:
        return expression.Ok(_classify_read(sql, outline))
    classifier = _CLASSIFIERS.get(word)
    if classifier is not None:
        return classifier(sql, outline)
    return expression.Ok(_classify_write(sql, outline, word))


def _refused(kind: str) -> ClassifyResult:
    return expression.Error(errors.UnsupportedStatement(kind))


def _classify_executable_comment(sql: str) -> ClassifyResult:
    if _CONTROL_CALL.search(sql):
        return _refused("CALL of a group's control procedure")
    return expression.Ok(PinsConnection(sql))


def _classify_read(sql: str, outline: str) -> Statement:
    if _SHOW_WARNINGS.match(outline):
        return ShowWarnings(sql)
    if _USER_VARIABLE.search(outline) or _PINNING_CALL.search(outline):
        return PinsConnection(sql)
    if _CONNECTION_BOUND_CALL.search(outline):
        return ConnectionBound(sql)
    if outline.startswith("SHOW "):
        return Read(sql)
    if _WRITING_CLAUSE.search(outline) or _calls_quoted_name(sql):
        return Write(sql)
    if not sql_keywords.READ_CALLS.issuperset(_FUNCTION_CALL.findall(outline)):
        return Write(sql)
    return Read(sql)


def _calls_quoted_name(sql: str) -> bool:
    """Returns whether a quoted name comes directly before a parenthesis."""
    if not _POSSIBLE_QUOTED_CALL.search(sql):
        return False
    masked = sql_patterns.QUOTED_OR_COMMENT.sub(_mask, sql)
    return _QUOTED_CALL.search(masked) is not None


def _remove_comments(sql: str) -> str:
    """Replaces each comment by a space; quoted text stays as it is."""
    return sql_patterns.QUOTED_OR_COMMENT.sub(
        lambda match: match[0] if match[0][0] in "'\"`" else " ", sql
    )


def _mask(match: re.Match[str]) -> str:
    return "`" if match.group()[0] in '`"' else " "


def _classify_write(sql: str, outline: str, word: str) -> Statement:
    if word in sql_keywords.PINNING or _TEMPORARY_TABLE.match(outline):
        return PinsConnection(sql)
    if ":=" in outline or _PINNING_CALL.search(outline):
        return PinsConnection(sql)
    if word in sql_keywords.IMPLICIT_COMMIT:
        return ImplicitCommit(sql)
    if _USER_VARIABLE.search(outline):
        return PinsConnection(sql)
    if _CONNECTION_BOUND_CALL.search(outline):
        return ConnectionBound(sql)
    return Write(sql)


def _classify_set(sql: str, outline: str) -> ClassifyResult:
    match = _SET_AUTOCOMMIT.match(outline)
    if match:
        enabled = match.group(1) in _TRUE_WORDS
        return expression.Ok(SetAutocommit(sql, enabled))
    if _USER_VARIABLE.search(outline):
        return expression.Ok(PinsConnection(sql))
    return expression.Ok(SetVariable(sql))


def _classify_begin(sql: str, outline: str) -> ClassifyResult:
    if outline in ("BEGIN", "BEGIN WORK"):
        return expression.Ok(Begin(sql))
    return _refused("BEGIN with more than WORK behind it")


def _classify_start(sql: str, outline: str) -> ClassifyResult:
    if outline.startswith("START TRANSACTION"):
        read_only = "READ ONLY" in outline
        return expression.Ok(Begin(sql, read_only))
    return _refused("START of anything but a transaction")


def _classify_commit(sql: str, outline: str) -> ClassifyResult:
    if _TRANSACTION_END.match(outline):
        return expression.Ok(Commit(sql))
    return _refused("COMMIT with CHAIN or RELEASE")


def _classify_rollback(sql: str, outline: str) -> ClassifyResult:
    if _TRANSACTION_END.match(outline):
        return expression.Ok(Rollback(sql))
    if outline.startswith(("ROLLBACK TO", "ROLLBACK WORK TO")):
        return expression.Ok(Write(sql))
    return _refused("ROLLBACK with CHAIN or RELEASE")


def _classify_call(sql: str, outline: str) -> ClassifyResult:
    if _CONTROL_CALL.search(sql):
        return _refused("CALL of a group's control procedure")
    return expression.Ok(_classify_write(sql, outline, "CALL"))


def _classify_use(sql: str, outline: str) -> ClassifyResult:
    match = _USE.fullmatch(_remove_comments(sql))
    if match is None:
        return _refused("USE without one schema's name")
    quoted = match["quoted"]
    schema = match["plain"] if quoted is None else quoted.replace("``", "`")
    return expression.Ok(UseSchema(sql, schema))


_CLASSIFIERS = {
    "BEGIN": _classify_begin,
    "CALL": _classify_call,
    "COMMIT": _classify_commit,
    "ROLLBACK": _classify_rollback,
    "SET": _classify_set,
    "START": _classify_start,
    "USE": _classify_use,
}
