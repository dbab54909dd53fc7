"""Leases pooled connections, prepares them and runs statements on them."""

from __future__ import annotations

from collections.abc import AsyncIterator
import dataclasses
import functools

import expression

from hickorygate.callers import failures
from hickorygate.callers import handler
from hickorygate.callers import leased_rows
from hickorygate.callers import session as sessions
from hickorygate.callers import statement_execution
from hickorygate.core import errors
from hickorygate.core import request_context
from hickorygate.core import types
from hickorygate.upstreams import answer
from hickorygate.upstreams import connection as connections
from hickorygate.upstreams import group_link

__all__ = ["LeaseResult", "acquire", "apply_session_state", "run_once"]

LeaseResult = expression.Result[connections.Connection, errors.Failure]


async def acquire(
    link: group_link.DatabaseLink,
    session: sessions.Session,
    request: request_context.RequestContext,
) -> LeaseResult:
    """Leases a connection and prepares it for a session.

    Args:
      link: link to the database.
      session: session whose schema and variables the connection gets.
      request: terms of the statement, including rank and deadline.

    Returns:
      The connection, or a failure whose outcome says that the statement was
      not run.
    """
    acquired = await link.pool.acquire(request)
    if acquired.is_error():
        return acquired
    connection = acquired.ok
    try:
        prepared = await apply_session_state(connection, session)
    except BaseException:
        link.pool.release(connection)
        raise
    if prepared.is_error():
        link.pool.release(connection)
        name = connection.database.name
        return expression.Error(_as_not_run(prepared.error, name))
    return acquired


async def apply_session_state(
    connection: connections.Connection, session: sessions.Session
) -> expression.Result[None, errors.Failure]:
    """Selects the session's schema and sets its variables on a connection."""
    timeout = statement_execution.STATEMENT_TIMEOUT
    selected = await connection.ensure_schema(session.schema, timeout)
    if selected.is_error():
        return selected
    return await connection.set_variables(session.variables, timeout)


async def run_once(
    link: group_link.DatabaseLink,
    session: sessions.Session,
    work: statement_execution.StatementExecution,
) -> handler.AnswerResult:
    """Runs one statement on a connection leased for it.

    If the rows of the answer are still arriving, the connection is released
    once the rows have been read or abandoned.
    """
    acquired = await acquire(link, session, work.request)
    if acquired.is_error():
        return expression.Error(acquired.error)
    connection = acquired.ok
    try:
        result = await connection.execute(
            work.statement.sql, statement_execution.STATEMENT_TIMEOUT
        )
    except BaseException:
        link.pool.release(connection)
        raise
    match result:
        case expression.Result(
            tag="ok", ok=answer.ResultSet(rows=AsyncIterator()) as table
        ):
            leased = leased_rows.LeasedRows(table.rows, link.pool, connection)
            return expression.Ok(dataclasses.replace(table, rows=leased))
    link.pool.release(connection)
    return result


@functools.singledispatch
def _as_not_run(
    failure: errors.Failure, database: types.DatabaseName
) -> errors.Failure:
    """Converts a failure to prepare a connection into one of outcome NOT_RUN.

    The statement itself was never sent.
    """
    return failure


@_as_not_run.register
def _(
    failure: errors.AnswerLost, database: types.DatabaseName
) -> errors.Failure:
    return errors.ConnectFailed(database, failure.reason)


@_as_not_run.register
def _(
    failure: errors.UpstreamError, database: types.DatabaseName
) -> errors.Failure:
    if failure.interrupted:
        return errors.ConnectFailed(database, failure.text)
    return failures.PreparationFailed(database, failure.text)
