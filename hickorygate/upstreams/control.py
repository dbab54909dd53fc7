"""The group's stored procedures: status, fence, promote, follow, wait.

This module alone knows how a database of the platform is asked about its
place in the group and told to change it.
"""

from __future__ import annotations

import datetime
from typing import Annotated

import expression
import pydantic

from hickorygate.core import errors
from hickorygate.core import position as positions
from hickorygate.core import types
from hickorygate.upstreams import answer as answers
from hickorygate.upstreams import connection as connections

__all__ = ["fence", "follow", "promote", "read_status", "wait"]

_REFUSED_TERM = 3_100
_ServerText = Annotated[
    str,
    pydantic.BeforeValidator(
        lambda v: v.decode() if isinstance(v, bytes) else v
    ),
]
_ServerInt = Annotated[int, pydantic.BeforeValidator(lambda v: int(v))]


class _StatusRow(pydantic.BaseModel):
    """The row that every procedure of the group answers with."""

    model_config = pydantic.ConfigDict(extra="ignore")

    role: _ServerText
    term: _ServerInt
    base: _ServerInt
    log_term: _ServerInt
    received: _ServerInt
    applied: _ServerInt
    fenced: _ServerInt
    primary_silence_ms: _ServerInt
    boot: _ServerText

    def status(self, name: types.DatabaseName) -> positions.DatabaseStatus:
        """Returns the row as the data class used inside."""
        return positions.DatabaseStatus(
            database=name,
            role=positions.Role(self.role),
            term=self.term,
            base=self.base,
            log_term=self.log_term,
            received=self.received,
            applied=self.applied,
            fenced=self.fenced,
            primary_silence=datetime.timedelta(
                milliseconds=self.primary_silence_ms
            ),
            boot=self.boot,
        )


StatusResult = expression.Result[positions.DatabaseStatus, errors.Failure]


async def read_status(
    connection: connections.Connection, timeout: datetime.timedelta
) -> StatusResult:
    """Asks a database for its status."""
    return await _call(connection, "CALL group_status()", timeout)


async def fence(
    connection: connections.Connection,
    term: types.Term,
    owner: types.ProxyName,
    timeout: datetime.timedelta,
) -> StatusResult:
    """Makes a database refuse all terms below this one.

    A database takes each term from one owner only; the same owner may repeat
    it, so a lost answer is settled by asking again.
    """
    sql = f"CALL group_fence({term}, {_quoted(owner)})"
    return await _call(connection, sql, timeout, term)


async def promote(
    connection: connections.Connection,
    term: types.Term,
    owner: types.ProxyName,
    timeout: datetime.timedelta,
) -> StatusResult:
    """Makes a fenced database the primary of its term; may be repeated."""
    sql = f"CALL group_promote({term}, {_quoted(owner)})"
    return await _call(connection, sql, timeout, term)


async def follow(
    connection: connections.Connection,
    term: types.Term,
    primary: types.DatabaseName,
    timeout: datetime.timedelta,
) -> StatusResult:
    """Points a database at the primary of a term; may be repeated."""
    sql = f"CALL group_follow({term}, {_quoted(primary)})"
    return await _call(connection, sql, timeout, term)


async def wait(
    connection: connections.Connection,
    position: positions.Position,
    timeout: datetime.timedelta,
) -> StatusResult:
    """Waits until a replica holds a position under its term.

    The answer comes when the position is held, the term changes or the time
    is over; the caller reads from it which of these it was.
    """
    milliseconds = int(timeout.total_seconds() * 1_000)
    sql = f"CALL group_wait({position.term}, {position.offset}, {milliseconds})"
    return await _call(connection, sql, timeout * 2)


def _quoted(name: str) -> str:
    escaped = name.replace("\\", "\\\\").replace("'", "''")
    return f"'{escaped}'"


async def _call(
    connection: connections.Connection,
    sql: str,
    timeout: datetime.timedelta,
    term: types.Term = 0,
) -> StatusResult:
    name = connection.database.name
    result = await connection.execute(sql, timeout)
    match result:
        case expression.Result(tag="ok", ok=answers.Table() as table):
            return _status(name, table)
        case expression.Result(
            tag="error", error=errors.UpstreamError() as failure
        ) if failure.code == _REFUSED_TERM:
            return expression.Error(
                errors.GroupRefused(name, term, failure.text)
            )
        case expression.Result(tag="error", error=failure):
            return expression.Error(failure)
    return expression.Error(errors.AnswerLost(name, "no status row came"))


def _status(name: types.DatabaseName, table: answers.Table) -> StatusResult:
    labels = [column.name for column in table.columns]
    try:
        cells = dict(zip(labels, table.rows[0], strict=True))
        return expression.Ok(_StatusRow.model_validate(cells).status(name))
    except (LookupError, ValueError) as error:
        reason = f"malformed status: {error}"
        return expression.Error(errors.AnswerLost(name, reason))
