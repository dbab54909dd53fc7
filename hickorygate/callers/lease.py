"""Runs statements on leased connections and gives the connections back."""

from __future__ import annotations

from collections.abc import AsyncIterator
import dataclasses
import functools

import expression

from hickorygate.callers import failures
from hickorygate.callers import handler as handlers
from hickorygate.callers import rows
from hickorygate.callers import session as sessions
from hickorygate.callers import work as works
from hickorygate.core import errors
from hickorygate.core import request as requests
from hickorygate.core import types
from hickorygate.upstreams import answer as answers
from hickorygate.upstreams import connection as connections
from hickorygate.upstreams import link as links

__all__ = ["LeaseResult", "acquire", "prepare", "run_once"]

LeaseResult = expression.Result[connections.Connection, errors.Failure]


async def acquire(
    link: links.DatabaseLink,
    session: sessions.Session,
    request: requests.Request,
) -> LeaseResult:
    """Leases a connection on which the session's schema is selected."""
    lease = await link.pool.acquire(request)
    if lease.is_error():
        return lease
    connection = lease.ok
    try:
        prepared = await prepare(connection, session)
    except BaseException:
        link.pool.release(connection)
        raise
    if prepared.is_error():
        link.pool.release(connection)
        name = connection.database.name
        return expression.Error(_before_statement(prepared.error, name))
    return lease


async def prepare(
    connection: connections.Connection, session: sessions.Session
) -> expression.Result[None, errors.Failure]:
    """Selects the session's schema and sets its variables."""
    limit = works.STATEMENT_TIMEOUT
    used = await connection.use(session.schema, limit)
    if used.is_error():
        return used
    return await connection.apply(session.variables, limit)


async def run_once(
    link: links.DatabaseLink, session: sessions.Session, work: works.Work
) -> handlers.AnswerResult:
    """Runs one statement on a connection of its own.

    A connection whose rows are still arriving goes back once they are read
    or given up.
    """
    lease = await acquire(link, session, work.request)
    if lease.is_error():
        return expression.Error(lease.error)
    connection = lease.ok
    try:
        result = await connection.execute(
            work.statement.sql, works.STATEMENT_TIMEOUT
        )
    except BaseException:
        link.pool.release(connection)
        raise
    match result:
        case expression.Result(
            tag="ok", ok=answers.Table(rows=AsyncIterator()) as table
        ):
            leased = rows.LeasedRows(table.rows, link.pool, connection)
            return expression.Ok(dataclasses.replace(table, rows=leased))
    link.pool.release(connection)
    return result


@functools.singledispatch
def _before_statement(
    failure: errors.Failure, database: types.DatabaseName
) -> errors.Failure:
    """Says that the statement itself was never sent."""
    return failure


@_before_statement.register
def _(
    failure: errors.AnswerLost, database: types.DatabaseName
) -> errors.Failure:
    return errors.ConnectFailed(database, failure.reason)


@_before_statement.register
def _(
    failure: errors.UpstreamError, database: types.DatabaseName
) -> errors.Failure:
    if failure.interrupted:
        return errors.ConnectFailed(database, failure.text)
    return failures.PreparationFailed(database, failure.text)
