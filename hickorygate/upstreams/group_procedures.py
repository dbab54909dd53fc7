"""Stored procedures of a group: status, fence, promote, follow and wait.

The SQL that queries and changes the state of a platform database within its
group is in this module only.
"""

from __future__ import annotations

import datetime
from typing import Annotated

import expression
import pydantic

from hickorygate.core import errors
from hickorygate.core import position as positions
from hickorygate.core import types
from hickorygate.upstreams import answer
from hickorygate.upstreams import connection as connections

__all__ = ["fence", "follow", "promote", "read_status", "wait"]

_TERM_REFUSED_CODE = 3_100
"""Error code with which a database refuses a term."""

_ServerText = Annotated[
    str,
    pydantic.BeforeValidator(
        lambda v: v.decode() if isinstance(v, bytes) else v
    ),
]
_ServerInt = Annotated[int, pydantic.BeforeValidator(lambda v: int(v))]


class _StatusRow(pydantic.BaseModel):
    """Result row of every procedure of the group."""

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
        """Returns the row as the status of the named database."""
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
"""Status that a procedure returned, or the failure of the call."""


async def read_status(
    connection: connections.Connection, timeout: datetime.timedelta
) -> StatusResult:
    """Returns the status of a database."""
    return await _call_procedure(connection, "CALL group_status()", timeout)


async def fence(
    connection: connections.Connection,
    term: types.Term,
    owner: types.ProxyName,
    timeout: datetime.timedelta,
) -> StatusResult:
    """Makes a database refuse all terms below a term.

    A database accepts each term from one owner only. The same owner may repeat
    the call, so a call whose answer was lost is sent again.

    Args:
      connection: connection to the database.
      term: term to fence the database at.
      owner: identifies the proxy process that runs the failover.
      timeout: time limit of the call.
    """
    sql = f"CALL group_fence({term}, {_quote(owner)})"
    return await _call_procedure(connection, sql, timeout, term)


async def promote(
    connection: connections.Connection,
    term: types.Term,
    owner: types.ProxyName,
    timeout: datetime.timedelta,
) -> StatusResult:
    """Makes a fenced database the primary of its term; may be repeated.

    Args:
      connection: connection to the database.
      term: term that the database is fenced at.
      owner: owner of the fence, as passed to `fence`.
      timeout: time limit of the call.
    """
    sql = f"CALL group_promote({term}, {_quote(owner)})"
    return await _call_procedure(connection, sql, timeout, term)


async def follow(
    connection: connections.Connection,
    term: types.Term,
    primary: types.DatabaseName,
    timeout: datetime.timedelta,
) -> StatusResult:
    """Makes a database follow the primary of a term; may be repeated."""
    sql = f"CALL group_follow({term}, {_quote(primary)})"
    return await _call_procedure(connection, sql, timeout, term)


async def wait(
    connection: connections.Connection,
    position: positions.Position,
    timeout: datetime.timedelta,
) -> StatusResult:
    """Waits until a replica holds a position under the position's term.

    The database answers when it holds the position, when its term changes or
    when the time is over. The status in the answer shows which case it was.

    Args:
      connection: connection to the replica.
      position: position to wait for.
      timeout: longest time that the database may wait; the call itself may
        take twice as long.
    """
    milliseconds = int(timeout.total_seconds() * 1_000)
    sql = f"CALL group_wait({position.term}, {position.offset}, {milliseconds})"
    return await _call_procedure(connection, sql, timeout * 2)


def _quote(name: str) -> str:
    escaped = name.replace("\\", "\\\\").replace("'", "''")
    return f"'{escaped}'"


async def _call_procedure(
    connection: connections.Connection,
    sql: str,
    timeout: datetime.timedelta,
    term: types.Term = 0,
) -> StatusResult:
    name = connection.database.name
    result = await connection.execute(sql, timeout)
    match result:
        case expression.Result(tag="ok", ok=answer.ResultSet() as table):
            return _parse_status(name, table)
        case expression.Result(
            tag="error", error=errors.UpstreamError() as failure
        ) if failure.code == _TERM_REFUSED_CODE:
            return expression.Error(
                errors.ControlRefused(name, term, failure.text)
            )
        case expression.Result(tag="error", error=failure):
            return expression.Error(failure)
    return expression.Error(errors.AnswerLost(name, "no status row came"))


def _parse_status(
    name: types.DatabaseName, table: answer.ResultSet
) -> StatusResult:
    column_names = [column.name for column in table.columns]
    try:
        cells = dict(zip(column_names, table.rows[0], strict=True))
        return expression.Ok(_StatusRow.model_validate(cells).status(name))
    except (LookupError, ValueError) as error:
        reason = f"malformed status: {error}"
        return expression.Error(errors.AnswerLost(name, reason))
