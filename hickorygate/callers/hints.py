"""Hints: what a caller asks for besides the statement itself.

A hint is a name and a value. It comes in a comment at either end of the
statement, as a query attribute, as a session variable or as a connection
attribute, and each place goes before the next in that order. The sheet's
defaults for the user fill in what is left.
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
from hickorygate.core import request as requests
from hickorygate.core import sheet as sheets
from hickorygate.core import token as tokens
from hickorygate.core import types

__all__ = ["PREFIX", "Hints", "changed", "in_comments", "parse", "resolve"]

PREFIX = "hickorygate_"
"""Every hint's name starts with this; other names are not ours."""

_KEY_LIMIT = 128
"""Characters of the longest idempotency key."""

_COMMENT_AHEAD = re.compile(r"\s*/\*(?![!+])([^*]*)\*/")
_COMMENT_BEHIND = re.compile(r"/\*(?![!+])([^*]*)\*/[\s;]*\Z")
_PAIR = re.compile(
    r"\s*(?P<name>[\w.%-]+)\s*=\s*'(?P<value>(?:[^'\\]|\\.)*)'\s*(?:,|\Z)"
)
_OUR_NAME = re.compile(rf"\b{PREFIX}\w*\s*=")

_Name = Annotated[str, pydantic.StringConstraints(pattern=r"^[\w.-]{1,63}$")]


class _HintsModel(pydantic.BaseModel):
    """The border: names as callers write them, without the prefix."""

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
            pydantic.StringConstraints(min_length=1, max_length=_KEY_LIMIT),
        ]
        | None
    ) = None


@dataclasses.dataclass(frozen=True, slots=True)
class Hints:
    """Hints of one place; None where a place says nothing.

    Attributes:
      rank: name of a rank of the service.
      read_class: name of a kind of read of the service.
      staleness: the age of data that a read accepts; goes before
        `read_class`, and a place gives one of the two at the most.
      token: a session token.
      idempotency_key: repeats of a write with the same key run once.
    """

    rank: types.RankName | None = None
    read_class: str | None = None
    staleness: datetime.timedelta | None = None
    token: str | None = None
    idempotency_key: str | None = None

    def over(self, other: Hints) -> Hints:
        """Returns these hints, with the gaps filled from another place."""
        ages = self if self._has_age else other
        return Hints(
            rank=self.rank or other.rank,
            read_class=ages.read_class,
            staleness=ages.staleness,
            token=self.token or other.token,
            idempotency_key=self.idempotency_key or other.idempotency_key,
        )

    @property
    def _has_age(self) -> bool:
        return self.staleness is not None or self.read_class is not None


HintsResult = expression.Result[Hints, errors.BadHint]

_NO_HINTS = Hints()
_FIELDS = {"staleness": "read_class", "staleness_ms": "staleness"}
"""Hints whose field in `Hints` has another name."""


def parse(pairs: Mapping[str, str | int | None]) -> HintsResult:
    """Validates the hints among some names and values.

    Args:
      pairs: names with their prefix; names without it are left out.
    """
    ours = {
        name.removeprefix(PREFIX): _text(value)
        for name, value in pairs.items()
        if name.startswith(PREFIX) and value is not None
    }
    if not ours:
        return expression.Ok(_NO_HINTS)
    try:
        model = _HintsModel.model_validate(ours)
    except pydantic.ValidationError as error:
        return expression.Error(_bad_hint(error, ours))
    if model.staleness is not None and model.staleness_ms is not None:
        reason = "staleness_ms is given as well; give one of the two"
        return _refused("staleness", model.staleness, reason)
    return expression.Ok(_hints(model))


def changed(hints: Hints, pairs: Mapping[str, str | None]) -> HintsResult:
    """Returns hints after some were set; None clears one."""
    new = parse(pairs)
    if new.is_error():
        return new
    names = [
        name.removeprefix(PREFIX)
        for name, value in pairs.items()
        if value is None
    ]
    cleared = {_FIELDS.get(name, name): None for name in names}
    unknown = cleared.keys() - {f.name for f in dataclasses.fields(Hints)}
    if unknown:
        return _refused(next(iter(unknown)), "", _unknown())
    return expression.Ok(new.ok.over(dataclasses.replace(hints, **cleared)))


def in_comments(
    sql: str,
) -> expression.Result[tuple[Hints, str], errors.BadHint]:
    """Reads the hints in a comment at either end of a statement.

    The form is sqlcommenter's: `/*name='value',name='value'*/` with
    percent-encoded values. The comment behind goes before the one ahead.

    Returns:
      The hints, and the statement without the comments that held nothing
      but hints.
    """
    if PREFIX not in sql:
        return expression.Ok((_NO_HINTS, sql))
    found = _NO_HINTS
    for pattern in (_COMMENT_AHEAD, _COMMENT_BEHIND):
        match = _comment(pattern, sql)
        if match is None:
            continue
        pairs = _pairs(match.group(1))
        if pairs.is_error():
            return expression.Error(pairs.error)
        hints = parse(pairs.ok)
        if hints.is_error():
            return expression.Error(hints.error)
        found = hints.ok.over(found)
        if pairs.ok and all(name.startswith(PREFIX) for name in pairs.ok):
            sql = (sql[: match.start()] + sql[match.end() :]).strip()
    return expression.Ok((found, sql))


def resolve(
    hints: Hints,
    service: sheets.Service,
    user: types.CallerName,
    arrived: datetime.datetime,
) -> expression.Result[requests.Request, errors.BadHint]:
    """Turns hints into one statement's terms of service.

    Args:
      hints: of all places, merged.
      service: the service that owns the selected schema.
      user: whose defaults in the sheet apply.
      arrived: when the proxy read the statement.
    """
    rank = _rank(hints, service, user)
    if rank.is_error():
        return expression.Error(rank.error)
    staleness = _staleness(hints, service, user)
    if staleness.is_error():
        return expression.Error(staleness.error)
    return expression.Ok(
        requests.Request(
            rank=rank.ok,
            arrived=arrived,
            deadline=arrived + rank.ok.target,
            staleness=staleness.ok,
            idempotency_key=hints.idempotency_key,
        )
    )


def _text(value: str | int | bytes) -> str:
    if isinstance(value, bytes):
        return value.decode("utf-8", "replace")
    return str(value)


def _refused(
    name: str, value: str, reason: str
) -> expression.Result[Hints, errors.BadHint]:
    return expression.Error(errors.BadHint(PREFIX + name, value, reason))


def _bad_hint(
    error: pydantic.ValidationError, ours: Mapping[str, str]
) -> errors.BadHint:
    first = error.errors(include_url=False)[0]
    name = str(first["loc"][0])
    reason = first["msg"]
    if first["type"] == "extra_forbidden":
        reason = _unknown()
    return errors.BadHint(PREFIX + name, ours.get(name, ""), reason)


def _unknown() -> str:
    known = ", ".join(PREFIX + field for field in _HintsModel.model_fields)
    return f"unknown; the hints are {known}"


def _hints(model: _HintsModel) -> Hints:
    age = model.staleness_ms
    return Hints(
        rank=model.rank,
        read_class=model.staleness,
        staleness=None if age is None else datetime.timedelta(milliseconds=age),
        token=model.token,
        idempotency_key=model.idempotency_key,
    )


def _comment(pattern: re.Pattern[str], sql: str) -> re.Match[str] | None:
    """Finds a comment; the one behind starts at the last `/*`."""
    if pattern is _COMMENT_AHEAD:
        return pattern.match(sql)
    start = sql.rfind("/*")
    return pattern.match(sql, start) if start >= 0 else None


def _pairs(
    comment: str,
) -> expression.Result[dict[str, str], errors.BadHint]:
    pairs: dict[str, str] = {}
    end = 0
    while match := _PAIR.match(comment, end):
        name = urllib.parse.unquote(match["name"])
        value = match["value"].replace("\\'", "'")
        pairs[name] = urllib.parse.unquote(value)
        end = match.end()
    left = _OUR_NAME.search(comment, end)
    if left is not None:
        name = left.group().rstrip("= \t\r\n")
        reason = "write it as name='value', with commas between"
        rest = comment[left.end() :].strip()
        return expression.Error(errors.BadHint(name, rest, reason))
    return expression.Ok(pairs)


def _rank(
    hints: Hints, service: sheets.Service, user: types.CallerName
) -> expression.Result[ranks.Rank, errors.BadHint]:
    if hints.rank is not None:
        rank = service.rank(hints.rank)
        if rank is not None:
            return expression.Ok(rank)
        known = ", ".join(rank.name for rank in service.ranks)
        reason = f"service {service.name!r} has the ranks {known}"
        return _refused("rank", hints.rank, reason)
    defaults = service.user(user)
    rank = service.rank(defaults.rank) if defaults else None
    return expression.Ok(rank or service.ranks[-1])


def _staleness(
    hints: Hints, service: sheets.Service, user: types.CallerName
) -> expression.Result[datetime.timedelta | None, errors.BadHint]:
    if hints.staleness is not None:
        return expression.Ok(hints.staleness)
    if hints.read_class is not None:
        read_class = service.read_class(hints.read_class)
        if read_class is not None:
            return expression.Ok(read_class.staleness)
        known = ", ".join(reads.name for reads in service.reads) or "none"
        reason = f"service {service.name!r} has the read classes {known}"
        return _refused("staleness", hints.read_class, reason)
    defaults = service.user(user)
    name = defaults.reads if defaults else None
    read_class = service.read_class(name) if name else None
    return expression.Ok(read_class.staleness if read_class else None)
