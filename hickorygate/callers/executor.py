"""Runs one session's statements on the group's databases."""

from __future__ import annotations

from collections.abc import AsyncIterator
import dataclasses
import datetime
import functools
from typing import Protocol

import expression

from hickorygate.callers import routing
from hickorygate.callers import session as sessions
from hickorygate.core import clock as clocks
from hickorygate.core import errors
from hickorygate.core import position as positions
from hickorygate.core import request as requests
from hickorygate.core import sheet as sheets
from hickorygate.core import statement as statements
from hickorygate.core import types
from hickorygate.upstreams import answer as answers
from hickorygate.upstreams import connection as connections
from hickorygate.upstreams import link as links

__all__ = ["Executor", "Fleet"]

AnswerResult = expression.Result[answers.Answer, errors.Failure]

_STATEMENT_TIMEOUT = datetime.timedelta(seconds=10)
_NOTHING = answers.Done(warnings=0, affected_rows=0, last_insert_id=0)


class Fleet(Protocol):
    """What the executor needs of the databases."""

    @property
    def sheet(self) -> sheets.Sheet | None:
        """The sheet in force."""

    def group(self, name: types.GroupName) -> links.GroupLink:
        """Returns the link to a group."""


@dataclasses.dataclass(slots=True)
class _Pin:
    """The connection of an open transaction."""

    group: links.GroupLink
    primary: positions.DatabaseStatus
    link: links.DatabaseLink
    connection: connections.Connection


class Executor:
    """Runs one session's statements, one at a time."""

    __slots__ = ("_clock", "_fleet", "_pin", "_session")

    def __init__(
        self, session: sessions.Session, fleet: Fleet, clock: clocks.Clock
    ) -> None:
        self._session = session
        self._fleet = fleet
        self._clock = clock
        self._pin: _Pin | None = None

    @property
    def session(self) -> sessions.Session:
        """The session that this executor serves."""
        return self._session

    def __repr__(self) -> str:
        return f"Executor({self._session.user!r})"

    async def run(
        self, statement: statements.Statement, request: requests.Request
    ) -> AnswerResult:
        """Runs a statement where routing says."""
        route = routing.route(statement, self._session)
        return await _run(route, self, statement, request)

    async def close(self) -> None:
        """Drops an open transaction; its connection is closed."""
        if self._pin is not None:
            self._pin.connection.close()
            self._unpin()

    def group(self) -> expression.Result[links.GroupLink, errors.Failure]:
        """Returns the group that owns the selected schema."""
        sheet = self._fleet.sheet
        if sheet is None:
            return expression.Error(errors.NotReady())
        return sheet.place(self._session.schema).map(
            lambda place: self._fleet.group(place[1].name)
        )

    async def on_primary(
        self, statement: statements.Statement, request: requests.Request
    ) -> AnswerResult:
        """Runs a write and waits until it is durable."""
        match self.group():
            case expression.Result(tag="error", error=failure):
                return expression.Error(failure)
            case expression.Result(tag="ok", ok=group):
                return await self._write(group, statement, request)

    async def on_any(
        self, statement: statements.Statement, request: requests.Request
    ) -> AnswerResult:
        """Runs a read on a replica if one has reached the floor."""
        match self.group():
            case expression.Result(tag="error", error=failure):
                return expression.Error(failure)
            case expression.Result(tag="ok", ok=group):
                return await self._read(group, statement, request)

    async def on_pinned(
        self, statement: statements.Statement, request: requests.Request
    ) -> AnswerResult:
        """Runs a statement of the open transaction."""
        pin = self._pin
        assert pin is not None, "routing found no open transaction"
        applied = await pin.connection.apply(
            self._session.variables, _STATEMENT_TIMEOUT
        )
        if applied.is_error():
            return expression.Error(applied.error)
        result = await pin.connection.execute(statement.sql, _STATEMENT_TIMEOUT)
        if pin.connection.closed:
            self._unpin()
        return result

    async def open_transaction(
        self, statement: statements.Statement, request: requests.Request
    ) -> AnswerResult:
        """Takes a connection to the primary and opens a transaction."""
        match self.group():
            case expression.Result(tag="error", error=failure):
                return expression.Error(failure)
            case expression.Result(tag="ok", ok=group):
                return await self._open(group, statement, request)

    async def end_transaction(
        self,
        statement: statements.Statement,
        request: requests.Request,
        keep: bool,
    ) -> AnswerResult:
        """Ends the transaction; a kept one waits until it is durable."""
        pin = self._pin
        assert pin is not None, "routing found no open transaction"
        result = await self.on_pinned(statement, request)
        if self._pin is not None:
            self._unpin()
        if keep and result.is_ok():
            return await self._durable(pin.group, pin.primary, result)
        return result

    def select_schema(self, schema: types.SchemaName) -> AnswerResult:
        """Selects a schema that the sheet knows."""
        sheet = self._fleet.sheet
        if sheet is None:
            return expression.Error(errors.NotReady())
        place = sheet.place(schema)
        if place.is_ok():
            self._session.schema = schema
        return place.map(lambda _: _NOTHING)

    def keep_locally(self, statement: statements.Statement) -> AnswerResult:
        """Changes what the proxy remembers."""
        if isinstance(statement, statements.SetAutocommit):
            self._session.autocommit = statement.enabled
        return expression.Ok(_NOTHING)

    async def _write(
        self,
        group: links.GroupLink,
        statement: statements.Statement,
        request: requests.Request,
    ) -> AnswerResult:
        primary = group.view.primary
        if primary is None:
            return expression.Error(errors.NoPrimary(group.view.group.name))
        result = await self._on_database(
            group.link(primary.database), statement, request
        )
        if result.is_error():
            return result
        return await self._durable(group, primary, result)

    async def _durable(
        self,
        group: links.GroupLink,
        primary: positions.DatabaseStatus,
        result: AnswerResult,
    ) -> AnswerResult:
        name = group.view.group.name
        durable = await group.durable(primary.database, primary.term)
        if durable.is_error():
            return expression.Error(durable.error)
        self._session.raise_floor(name, durable.ok)
        return result

    async def _read(
        self,
        group: links.GroupLink,
        statement: statements.Statement,
        request: requests.Request,
    ) -> AnswerResult:
        name = group.view.group.name
        settled = name in self._session.settled
        floor = self._session.floor(name)
        replicas = group.view.replicas_at(floor) if settled else ()
        if replicas:
            link = group.link(replicas[0].database)
            return await self._on_database(link, statement, request)
        primary = group.view.primary
        if primary is None:
            return expression.Error(errors.NoPrimary(name))
        link = group.link(primary.database)
        return await self._on_database(link, statement, request)

    async def _open(
        self,
        group: links.GroupLink,
        statement: statements.Statement,
        request: requests.Request,
    ) -> AnswerResult:
        primary = group.view.primary
        if primary is None:
            return expression.Error(errors.NoPrimary(group.view.group.name))
        link = group.link(primary.database)
        lease = await self._lease(link, request)
        if lease.is_error():
            return expression.Error(lease.error)
        self._pin = _Pin(group, primary, link, lease.ok)
        self._session.in_transaction = True
        return await self.on_pinned(statement, request)

    def _unpin(self) -> None:
        if self._pin is not None:
            self._pin.link.pool.release(self._pin.connection)
        self._pin = None
        self._session.in_transaction = False

    async def _lease(
        self, link: links.DatabaseLink, request: requests.Request
    ) -> expression.Result[connections.Connection, errors.Failure]:
        lease = await link.pool.acquire(request)
        if lease.is_error():
            return lease
        used = await lease.ok.use(self._session.schema, _STATEMENT_TIMEOUT)
        if used.is_ok():
            variables = self._session.variables
            used = await lease.ok.apply(variables, _STATEMENT_TIMEOUT)
        if used.is_error():
            link.pool.release(lease.ok)
            return expression.Error(used.error)
        return lease

    async def _on_database(
        self,
        link: links.DatabaseLink,
        statement: statements.Statement,
        request: requests.Request,
    ) -> AnswerResult:
        lease = await self._lease(link, request)
        if lease.is_error():
            return expression.Error(lease.error)
        connection = lease.ok
        try:
            result = await connection.execute(statement.sql, _STATEMENT_TIMEOUT)
        except BaseException:
            link.pool.release(connection)
            raise
        match result:
            case expression.Result(tag="ok", ok=answers.Table() as table):
                if isinstance(table.rows, AsyncIterator):
                    rows = _released(table.rows, link, connection)
                    return expression.Ok(dataclasses.replace(table, rows=rows))
        link.pool.release(connection)
        return result


async def _released(
    rows: AsyncIterator[types.Row],
    link: links.DatabaseLink,
    connection: connections.Connection,
) -> AsyncIterator[types.Row]:
    """Passes rows on, then gives the connection back."""
    try:
        async for row in rows:
            yield row
    finally:
        link.pool.release(connection)


@functools.singledispatch
async def _run(
    route: routing.Route,
    executor: Executor,
    statement: statements.Statement,
    request: requests.Request,
) -> AnswerResult:
    raise TypeError(f"no way to run {route!r}; register one")


@_run.register
async def _(
    route: routing.ToAny,
    executor: Executor,
    statement: statements.Statement,
    request: requests.Request,
) -> AnswerResult:
    return await executor.on_any(statement, request)


@_run.register
async def _(
    route: routing.ToPrimary,
    executor: Executor,
    statement: statements.Statement,
    request: requests.Request,
) -> AnswerResult:
    return await executor.on_primary(statement, request)


@_run.register
async def _(
    route: routing.ToPinned,
    executor: Executor,
    statement: statements.Statement,
    request: requests.Request,
) -> AnswerResult:
    return await executor.on_pinned(statement, request)


@_run.register
async def _(
    route: routing.OpenTransaction,
    executor: Executor,
    statement: statements.Statement,
    request: requests.Request,
) -> AnswerResult:
    return await executor.open_transaction(statement, request)


@_run.register
async def _(
    route: routing.EndTransaction,
    executor: Executor,
    statement: statements.Statement,
    request: requests.Request,
) -> AnswerResult:
    return await executor.end_transaction(statement, request, route.keep)


@_run.register
async def _(
    route: routing.SelectSchema,
    executor: Executor,
    statement: statements.Statement,
    request: requests.Request,
) -> AnswerResult:
    return executor.select_schema(route.schema)


@_run.register
async def _(
    route: routing.KeepLocally,
    executor: Executor,
    statement: statements.Statement,
    request: requests.Request,
) -> AnswerResult:
    return executor.keep_locally(statement)
