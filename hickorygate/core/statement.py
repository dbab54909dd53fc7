"""What a statement does, found in one cheap pass and never by parsing.

The class of a statement decides how it is routed; routing dispatches on it.
The pass blanks out literals, quoted names and comments, and looks at the
words that are left. A statement whose class is not certain counts as a
write, so that none that changes something is ever sent to a replica.
"""

from __future__ import annotations

import dataclasses
import functools
import re

import expression

from hickorygate.core import errors
from hickorygate.core import lexer
from hickorygate.core import words

__all__ = [
    "Begin",
    "Commit",
    "ConnectionBound",
    "ImplicitCommit",
    "Pinning",
    "Read",
    "Rollback",
    "SetAutocommit",
    "SetVariable",
    "ShowWarnings",
    "Statement",
    "Use",
    "Write",
    "classify",
]

_CACHED_STATEMENTS = 4_096
_LONGEST_CACHED = 4_096
"""Characters; longer statements are classified each time."""

_FIRST_WORD = re.compile(r"[\s(]*+([A-Z]++)")
_EXECUTABLE_COMMENT = re.compile(r"/\*M?!")

_CALL = re.compile(r"(?<![\w$])((?:\.\s*+)?[\w$]++)\s*+\(")
_MAYBE_QUOTED_CALL = re.compile(r"[`\"]\s*+(?:\(|/\*|--|#)")
_QUOTED_CALL = re.compile(r"`\s*+\(")
_CHANGE = re.compile(
    r"\b(?:UPDATE|DELETE|INTO|SHARE)\b"
    r"|\b(?:INSERT|REPLACE)\b(?!\s*+\()"
    r"|:="
)
_USER_VARIABLE = re.compile(r"(?<!@)@(?!@)")
_LOCK_CALL = re.compile(
    r"\b(?:GET_LOCK|RELEASE_LOCK|RELEASE_ALL_LOCKS)\s*+\("
    r"|\bSQL_CALC_FOUND_ROWS\b"
)
_BOUND_CALL = re.compile(r"\b(?:LAST_INSERT_ID|FOUND_ROWS|ROW_COUNT)\s*+\(")
_SHOW_WARNINGS = re.compile(r"SHOW (?:COUNT ?\( ?\* ?\) )?(?:WARNINGS|ERRORS)")
_TEMPORARY = re.compile(r"(?:CREATE|DROP) TEMPORARY\b")
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
_USE = re.compile(r"\s*USE\s+`?([^`\s;]+)`?\s*$", re.I)
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
class ShowWarnings(Statement):
    """Asks for the warnings of the statement before."""


@dataclasses.dataclass(frozen=True, slots=True)
class Write(Statement):
    """Changes data, locks, or can't be told from one that does."""


@dataclasses.dataclass(frozen=True, slots=True)
class Pinning(Write):
    """Leaves state on its connection that can't be carried to another.

    User variables, temporary tables, table locks and named locks. The
    session keeps the connection from here on, until it ends or is reset;
    the connection is closed then and not used again.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionBound(Write):
    """Asks for what the statement before left on its connection."""


@dataclasses.dataclass(frozen=True, slots=True)
class ImplicitCommit(Write):
    """Commits an open transaction before it runs, as DDL does."""


@dataclasses.dataclass(frozen=True, slots=True)
class Begin(Statement):
    """Opens a transaction."""

    read_only: bool = False


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
    """Sets session variables; see `core.assignment` for which."""


@dataclasses.dataclass(frozen=True, slots=True)
class Use(Statement):
    """Selects a schema."""

    schema: str


ClassifyResult = expression.Result[Statement, errors.Failure]


def classify(text: str) -> ClassifyResult:
    """Tells what a statement does.

    Args:
      text: one statement; a closing semicolon is dropped.

    Returns:
      The statement, or why the proxy takes none like it.
    """
    if len(text) > _LONGEST_CACHED:
        return _classify(text)
    return _classify_cached(text)


def _classify(text: str) -> ClassifyResult:
    blanked = " ".join(lexer.BLANKED.split(text)).upper()
    outline = " ".join(blanked.split()).strip("; ")
    if not outline:
        return expression.Error(errors.EmptyStatement())
    if ";" in outline:
        return expression.Error(errors.MultipleStatements())
    return _by_first_word(_one_statement(text), outline)


_classify_cached = functools.lru_cache(maxsize=_CACHED_STATEMENTS)(_classify)


def _one_statement(text: str) -> str:
    """Cuts a closing semicolon off, and what follows it."""
    if ";" not in text:
        return text.strip()
    text = text.lstrip("; \t\r\n")
    for match in lexer.SEPARATOR.finditer(text):
        if match["end"]:
            return text[: match.start()].strip()
    return text.strip()


def _by_first_word(sql: str, outline: str) -> ClassifyResult:
    if _EXECUTABLE_COMMENT.search(outline):
        return _executable(sql)
    match = _FIRST_WORD.match(outline)
    word = match.group(1) if match else ""
    if word in words.REFUSED:
        return _refused(word)
    if word in words.READS:
        return expression.Ok(_read_or_write(sql, outline))
    special = _SPECIAL.get(word)
    if special is not None:
        return special(sql, outline)
    return expression.Ok(_write(sql, outline, word))


def _refused(what: str) -> ClassifyResult:
    return expression.Error(errors.UnsupportedStatement(what))


def _executable(sql: str) -> ClassifyResult:
    if _CONTROL_CALL.search(sql):
        return _refused("CALL of a group's control procedure")
    return expression.Ok(Pinning(sql))


def _read_or_write(sql: str, outline: str) -> Statement:
    if _SHOW_WARNINGS.match(outline):
        return ShowWarnings(sql)
    if _USER_VARIABLE.search(outline) or _LOCK_CALL.search(outline):
        return Pinning(sql)
    if _BOUND_CALL.search(outline):
        return ConnectionBound(sql)
    if outline.startswith("SHOW "):
        return Read(sql)
    if _CHANGE.search(outline) or _calls_quoted_name(sql):
        return Write(sql)
    if not words.READ_CALLS.issuperset(_CALL.findall(outline)):
        return Write(sql)
    return Read(sql)


def _calls_quoted_name(sql: str) -> bool:
    """Tells whether a quoted name stands before a parenthesis."""
    if not _MAYBE_QUOTED_CALL.search(sql):
        return False
    marked = lexer.BLANKED.sub(_name_mark, sql)
    return _QUOTED_CALL.search(marked) is not None


def _name_mark(match: re.Match[str]) -> str:
    return "`" if match.group()[0] in '`"' else " "


def _write(sql: str, outline: str, word: str) -> Statement:
    if word in words.PINNING or _TEMPORARY.match(outline):
        return Pinning(sql)
    if ":=" in outline or _LOCK_CALL.search(outline):
        return Pinning(sql)
    if word in words.IMPLICIT_COMMIT:
        return ImplicitCommit(sql)
    if _USER_VARIABLE.search(outline):
        return Pinning(sql)
    if _BOUND_CALL.search(outline):
        return ConnectionBound(sql)
    return Write(sql)


def _set(sql: str, outline: str) -> ClassifyResult:
    match = _SET_AUTOCOMMIT.match(outline)
    if match:
        enabled = match.group(1) in _TRUE_WORDS
        return expression.Ok(SetAutocommit(sql, enabled))
    if _USER_VARIABLE.search(outline):
        return expression.Ok(Pinning(sql))
    return expression.Ok(SetVariable(sql))


def _begin(sql: str, outline: str) -> ClassifyResult:
    if outline in ("BEGIN", "BEGIN WORK"):
        return expression.Ok(Begin(sql))
    return _refused("BEGIN with more than WORK behind it")


def _start(sql: str, outline: str) -> ClassifyResult:
    if outline.startswith("START TRANSACTION"):
        read_only = "READ ONLY" in outline
        return expression.Ok(Begin(sql, read_only))
    return _refused("START of anything but a transaction")


def _commit(sql: str, outline: str) -> ClassifyResult:
    if _TRANSACTION_END.match(outline):
        return expression.Ok(Commit(sql))
    return _refused("COMMIT with CHAIN or RELEASE")


def _rollback(sql: str, outline: str) -> ClassifyResult:
    if _TRANSACTION_END.match(outline):
        return expression.Ok(Rollback(sql))
    if outline.startswith(("ROLLBACK TO", "ROLLBACK WORK TO")):
        return expression.Ok(Write(sql))
    return _refused("ROLLBACK with CHAIN or RELEASE")


def _call(sql: str, outline: str) -> ClassifyResult:
    if _CONTROL_CALL.search(sql):
        return _refused("CALL of a group's control procedure")
    return expression.Ok(_write(sql, outline, "CALL"))


def _use(sql: str, outline: str) -> ClassifyResult:
    match = _USE.match(lexer.COMMENT.sub(" ", sql))
    if match:
        return expression.Ok(Use(sql, match.group(1)))
    return _refused("USE without one schema's name")


_SPECIAL = {
    "BEGIN": _begin,
    "CALL": _call,
    "COMMIT": _commit,
    "ROLLBACK": _rollback,
    "SET": _set,
    "START": _start,
    "USE": _use,
}
