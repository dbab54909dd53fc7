"""Hints: options that a caller passes along with its statements.

A hint is a name and a value. There are four sources, in descending order of
precedence: a comment at either end of the statement, a query attribute, a
session variable and a connection attribute. The user's defaults in the
configuration sheet apply where no source sets a hint.
"""

from __future__ import annotations

from collections.abc import Mapping
import dataclasses
import datetime
import re
from typing import Annotated
import urllib.parse

import expression
import pydantic

from hickorygate.core import errors
from hickorygate.core import rank as ranks
from hickorygate.core import request_context
from hickorygate.core import sheet
from hickorygate.core import token as tokens
from hickorygate.core import types

__all__ = [
    "PREFIX",
    "Hints",
    "apply_changes",
    "parse_comments",
    "parse",
    "resolve",
]

PREFIX = "hickorygate_"
"""Prefix of the names of all hints; other names are ignored."""

_MAX_KEY_LENGTH = 128
"""Maximum length of an idempotency key, in characters."""

_LEADING_COMMENT = re.compile(r"\s*/\*(?![!+])([^*]*)\*/")
_TRAILING_COMMENT = re.compile(r"/\*(?![!+])([^*]*)\*/[\s;]*\Z")
_PAIR = re.compile(
    r"\s*(?P<name>[\w.%-]+)\s*=\s*'(?P<value>(?:[^'\\]|\\.)*)'\s*(?:,|\Z)"
)
_HINT_NAME = re.compile(rf"\b{PREFIX}\w*\s*=")

_Name = Annotated[str, pydantic.StringConstraints(pattern=r"^[\w.-]{1,63}$")]


class _HintsModel(pydantic.BaseModel):
    """Validates hints by the names that callers use, without the prefix."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    rank: _Name | None = None
    staleness: _Name | None = None
    staleness_ms: Annotated[int, pydantic.Field(ge=0, le=3_600_000)] | None = (
        None
    )
    token: (
        Annotated[
            str, pydantic.StringConstraints(max_length=tokens.TOKEN_LIMIT)
        ]
        | None
    ) = None
    idempotency_key: (
        Annotated[
            str,
            pydantic.StringConstraints(
                min_length=1, max_length=_MAX_KEY_LENGTH
            ),
        ]
        | None
    ) = None


@dataclasses.dataclass(frozen=True, slots=True)
class Hints:
    """Hints of one source, or merged hints; None where a hint is not set.

    Attributes:
      rank: name of a rank of the service.
      read_class: name of a read class of the service.
      staleness: maximum age of the data that a read accepts. It takes
        precedence over `read_class`; a source sets at most one of the two.
      token: session token.
      idempotency_key: key under which repeats of a write run only once.
    """

    rank: types.RankName | None = None
    read_class: str | None = None
    staleness: datetime.timedelta | None = None
    token: str | None = None
    idempotency_key: str | None = None

    def with_fallback(self, other: Hints) -> Hints:
        """Returns these hints, with unset ones taken from another source."""
        source = self if self._has_staleness else other
        return Hints(
            rank=self.rank or other.rank,
            read_class=source.read_class,
            staleness=source.staleness,
            token=self.token or other.token,
            idempotency_key=self.idempotency_key or other.idempotency_key,
        )

    @property
    def _has_staleness(self) -> bool:
        return self.staleness is not None or self.read_class is not None


HintsResult = expression.Result[Hints, errors.BadHint]

_NO_HINTS = Hints()
_FIELD_NAMES = {"staleness": "read_class", "staleness_ms": "staleness"}
"""Names of the fields of `Hints` that differ from the hint names."""


def parse(pairs: Mapping[str, str | int | None]) -> HintsResult:
    """Validates the hints among name-value pairs.

    Args:
      pairs: values by name; names without the prefix are ignored.
    """
    prefixed = {
        name.removeprefix(PREFIX): _decode_value(value)
        for name, value in pairs.items()
        if name.startswith(PREFIX) and value is not None
    }
    if not prefixed:
        return expression.Ok(_NO_HINTS)
    try:
        model = _HintsModel.model_validate(prefixed)
    except pydantic.ValidationError as error:
        return expression.Error(_bad_hint(error, prefixed))
    if model.staleness is not None and model.staleness_ms is not None:
        reason = "staleness_ms is given as well; give one of the two"
        return _rejected("staleness", model.staleness, reason)
    return expression.Ok(_from_model(model))


def apply_changes(hints: Hints, pairs: Mapping[str, str | None]) -> HintsResult:
    """Returns the hints of a session after an assignment.

    Args:
      hints: previous hints.
      pairs: assigned values by name with prefix; None clears a hint.
    """
    new = parse(pairs)
    if new.is_error():
        return new
    names = [
        name.removeprefix(PREFIX)
        for name, value in pairs.items()
        if value is None
    ]
    cleared = {_FIELD_NAMES.get(name, name): None for name in names}
    unknown = cleared.keys() - {f.name for f in dataclasses.fields(Hints)}
    if unknown:
        return _rejected(next(iter(unknown)), "", _unknown_hint_reason())
    return expression.Ok(
        new.ok.with_fallback(dataclasses.replace(hints, **cleared))
    )


def parse_comments(
    sql: str,
) -> expression.Result[tuple[Hints, str], errors.BadHint]:
    """Parses the hints in comments at both ends of a statement.

    The comments have the sqlcommenter format: `/*name='value',name='value'*/`
    with percent-encoded values. The trailing comment takes precedence over
    the leading one.

    Returns:
      The hints, and the statement without the comments that contained only
      hints.
    """
    if PREFIX not in sql:
        return expression.Ok((_NO_HINTS, sql))
    found = _NO_HINTS
    for pattern in (_LEADING_COMMENT, _TRAILING_COMMENT):
        match = _find_comment(pattern, sql)
        if match is None:
            continue
        pairs = _parse_pairs(match.group(1))
        if pairs.is_error():
            return expression.Error(pairs.error)
        hints = parse(pairs.ok)
        if hints.is_error():
            return expression.Error(hints.error)
        found = hints.ok.with_fallback(found)
        if pairs.ok and all(name.startswith(PREFIX) for name in pairs.ok):
            sql = (sql[: match.start()] + sql[match.end() :]).strip()
    return expression.Ok((found, sql))


def resolve(
    hints: Hints,
    service: sheet.Service,
    user: types.CallerName,
    arrived: datetime.datetime,
) -> expression.Result[request_context.RequestContext, errors.BadHint]:
    """Returns the terms of one statement: rank, deadline and staleness.

    Args:
      hints: merged hints of all sources.
      service: service that owns the selected schema.
      user: user whose defaults in the configuration sheet apply.
      arrived: time at which the proxy received the statement.
    """
    rank = _resolve_rank(hints, service, user)
    if rank.is_error():
        return expression.Error(rank.error)
    staleness = _resolve_staleness(hints, service, user)
    if staleness.is_error():
        return expression.Error(staleness.error)
    return expression.Ok(
        request_context.RequestContext(
            rank=rank.ok,
            arrived=arrived,
            deadline=arrived + rank.ok.target,
            staleness=staleness.ok,
            idempotency_key=hints.idempotency_key,
        )
    )


def _decode_value(value: str | int | bytes) -> str:
    if isinstance(value, bytes):
        return value.decode("utf-8", "replace")
    return str(value)


def _rejected(
    name: str, value: str, reason: str
) -> expression.Result[Hints, errors.BadHint]:
    return expression.Error(errors.BadHint(PREFIX + name, value, reason))


def _bad_hint(
    error: pydantic.ValidationError, hints: Mapping[str, str]
) -> errors.BadHint:
    """Describes the first validation error by the name of its hint."""
    first = error.errors(include_url=False)[0]
    name = str(first["loc"][0])
    reason = first["msg"]
    if first["type"] == "extra_forbidden":
        reason = _unknown_hint_reason()
    return errors.BadHint(PREFIX + name, hints.get(name, ""), reason)


def _unknown_hint_reason() -> str:
    known = ", ".join(PREFIX + field for field in _HintsModel.model_fields)
    return f"unknown; the hints are {known}"


def _from_model(model: _HintsModel) -> Hints:
    max_age = model.staleness_ms
    return Hints(
        rank=model.rank,
        read_class=model.staleness,
        staleness=None
        if max_age is None
        else datetime.timedelta(milliseconds=max_age),
        token=model.token,
        idempotency_key=model.idempotency_key,
    )


def _find_comment(pattern: re.Pattern[str], sql: str) -> re.Match[str] | None:
    """Finds the leading or trailing comment that a pattern stands for.

    The trailing comment starts at the last `/*` of the statement.
    """
    if pattern is _LEADING_COMMENT:
        return pattern.match(sql)
    start = sql.rfind("/*")
    return pattern.match(sql, start) if start >= 0 else None


def _parse_pairs(
    comment: str,
) -> expression.Result[dict[str, str], errors.BadHint]:
    """Parses the name-value pairs of a comment.

    A malformed pair is an error only if it looks like a hint.
    """
    pairs: dict[str, str] = {}
    end = 0
    while match := _PAIR.match(comment, end):
        name = urllib.parse.unquote(match["name"])
        value = match["value"].replace("\\'", "'")
        pairs[name] = urllib.parse.unquote(value)
        end = match.end()
    malformed = _HINT_NAME.search(comment, end)
    if malformed is not None:
        name = malformed.group().rstrip("= \t\r\n")
        reason = "write it as name='value', with commas between"
        rest = comment[malformed.end() :].strip()
        return expression.Error(errors.BadHint(name, rest, reason))
    return expression.Ok(pairs)


def _resolve_rank(
    hints: Hints, service: sheet.Service, user: types.CallerName
) -> expression.Result[ranks.Rank, errors.BadHint]:
    if hints.rank is not None:
        rank = service.rank(hints.rank)
        if rank is not None:
            return expression.Ok(rank)
        known = ", ".join(rank.name for rank in service.ranks)
        reason = f"service {service.name!r} has the ranks {known}"
        return _rejected("rank", hints.rank, reason)
    defaults = service.user(user)
    rank = service.rank(defaults.rank) if defaults else None
    return expression.Ok(rank or service.ranks[-1])


def _resolve_staleness(
    hints: Hints, service: sheet.Service, user: types.CallerName
) -> expression.Result[datetime.timedelta | None, errors.BadHint]:
    if hints.staleness is not None:
        return expression.Ok(hints.staleness)
    if hints.read_class is not None:
        read_class = service.read_class(hints.read_class)
        if read_class is not None:
            return expression.Ok(read_class.staleness)
        known = ", ".join(reads.name for reads in service.reads) or "none"
        reason = f"service {service.name!r} has the read classes {known}"
        return _rejected("staleness", hints.read_class, reason)
    defaults = service.user(user)
    name = defaults.reads if defaults else None
    read_class = service.read_class(name) if name else None
    return expression.Ok(read_class.staleness if read_class else None)
