"""Executes the statements of one session along their routes."""

from __future__ import annotations

import functools

import expression

from hickorygate.callers import environment
from hickorygate.callers import failures
from hickorygate.callers import handler
from hickorygate.callers import idempotency
from hickorygate.callers import pinned_connection
from hickorygate.callers import reading
from hickorygate.callers import routing
from hickorygate.callers import session as sessions
from hickorygate.callers import statement_execution
from hickorygate.callers import statement_measurement
from hickorygate.callers import transaction as transactions
from hickorygate.callers import writing
from hickorygate.core import errors
from hickorygate.core import request_context
from hickorygate.core import sheet as sheets
from hickorygate.core import statement as statements
from hickorygate.core import types
from hickorygate.upstreams import answer
from hickorygate.upstreams import group_link

__all__ = ["Executor"]

GroupResult = expression.Result[group_link.GroupLink, errors.Failure]

_BEGIN = "BEGIN"


class Executor:
    """Executes the statements of one session, one at a time.

    The executor holds the open transaction and the pinned connection of the
    session, if there are any.
    """

    __slots__ = ("_env", "_pinned", "_session", "_transaction")

    def __init__(
        self, session: sessions.Session, env: environment.Environment
    ) -> None:
        self._session = session
        self._env = env
        self._transaction: transactions.Transaction | None = None
        self._pinned: pinned_connection.PinnedConnection | None = None

    @property
    def session(self) -> sessions.Session:
        """The session whose statements this executor runs."""
        return self._session

    def __repr__(self) -> str:
        return f"Executor({self._session.user!r})"

    async def run(
        self,
        statement: statements.Statement,
        request: request_context.RequestContext,
    ) -> handler.AnswerResult:
        """Routes a statement, executes it and records a measurement.

        Args:
          statement: classified statement.
          request: rank, deadline and other terms of the statement.

        Returns:
          The answer, or a `SessionStateLost` failure if the pinned connection
          has ended.
        """
        if self._pinned is not None and self._pinned.lost:
            return expression.Error(failures.SessionStateLost())
        route = routing.route(statement, self._session)
        work = statement_execution.StatementExecution(statement, request)
        if self._transaction is not None:
            work.trace.group = self._transaction.group.view.group.name
        result = await _execute_route(route, self, work)
        self._record_measurement(route, work, result)
        return result

    async def close(self) -> None:
        """Discards the open transaction and the pinned connection.

        Closing the connections makes the database roll back and discard the
        state that the session left on them.
        """
        if self._transaction is not None:
            self._transaction.abort()
            self._clear_transaction()
        if self._pinned is not None:
            self._pinned.discard()
            self._pinned = None
            self._session.pinned = False

    async def read(
        self, work: statement_execution.StatementExecution
    ) -> handler.AnswerResult:
        """Executes a read outside a transaction."""
        group = self._group_link(work)
        if group.is_error():
            return expression.Error(group.error)
        reader = reading.Reader(self._env, group.ok, self._session)
        return await reader.run(work)

    async def write(
        self, work: statement_execution.StatementExecution
    ) -> handler.AnswerResult:
        """Executes a write outside a transaction."""
        group = self._group_link(work)
        if group.is_error():
            return expression.Error(group.error)
        return await self._make_writer(group.ok).run(work)

    async def run_pinned(
        self, work: statement_execution.StatementExecution
    ) -> handler.AnswerResult:
        """Executes a statement on the session's pinned connection.

        A session without a pinned connection gets one first. The answer to a
        statement other than a read is returned once the write is durable.
        """
        group = self._group_link(work)
        if group.is_error():
            return expression.Error(group.error)
        writer = self._make_writer(group.ok)
        if self._pinned is None:
            acquired = await self._acquire_pin(group.ok, writer, work)
            if acquired.is_error():
                return expression.Error(acquired.error)
        pinned = self._pinned
        assert pinned is not None, (
            f"no pinned connection for a {type(work.statement).__name__}"
        )
        result = await pinned.run(self._session, work.statement.sql)
        reads = isinstance(work.statement, statements.Read)
        if result.is_error() or reads:
            return result
        return await writer.wait_until_durable(pinned.primary, result)

    async def begin(
        self, sql: str, work: statement_execution.StatementExecution
    ) -> expression.Result[answer.Answer, errors.Failure]:
        """Opens a transaction, after committing the one that is open.

        No database is contacted until the first statement of the transaction.

        Args:
          sql: statement that begins the transaction.
          work: statement that opens the transaction, explicitly or not.
        """
        checked = idempotency.check(work, in_transaction=True)
        if checked.is_error():
            return expression.Error(checked.error)
        if self._transaction is not None:
            committed = await self.commit()
            if committed.is_error():
                return committed
        group = self._group_link(work)
        if group.is_error():
            return expression.Error(group.error)
        self._transaction = transactions.Transaction(
            group.ok,
            self._session,
            self._make_writer(group.ok),
            sql,
            self._pinned,
        )
        self._session.in_transaction = True
        return expression.Ok(answer.EMPTY_ANSWER)

    async def run_in_transaction(
        self, work: statement_execution.StatementExecution
    ) -> handler.AnswerResult:
        """Executes a statement in the open transaction.

        The transaction ends if its connection has closed.
        """
        transaction = self._transaction
        assert transaction is not None, (
            f"no open transaction for a {type(work.statement).__name__}"
        )
        checked = idempotency.check(work, in_transaction=True)
        if checked.is_error():
            return expression.Error(checked.error)
        result = await transaction.run(work)
        if transaction.lost:
            transaction.abort()
            self._clear_transaction()
        return result

    async def commit(self) -> handler.AnswerResult:
        """Commits the open transaction, if there is one."""
        transaction = self._clear_transaction()
        if transaction is None:
            return expression.Ok(answer.EMPTY_ANSWER)
        return await transaction.commit()

    async def commit_first(
        self, work: statement_execution.StatementExecution
    ) -> handler.AnswerResult:
        """Commits the open transaction, then executes a write on its own.

        The write isn't executed if the commit fails.
        """
        committed = await self.commit()
        if committed.is_error():
            return committed
        if self._pinned is not None:
            return await self.run_pinned(work)
        return await self.write(work)

    async def roll_back(self) -> handler.AnswerResult:
        """Rolls back the open transaction, if there is one."""
        transaction = self._clear_transaction()
        if transaction is None:
            return expression.Ok(answer.EMPTY_ANSWER)
        return await transaction.roll_back()

    def select_schema(self, schema: types.SchemaName) -> handler.AnswerResult:
        """Selects a schema that a group of the configuration sheet owns.

        While a transaction or a pinned connection is open, the schema must be
        in the same group.
        """
        sheet = self._env.fleet.sheet
        if sheet is None:
            return expression.Error(errors.NotReady())
        placement = sheet.locate_schema(schema)
        if placement.is_error():
            return expression.Error(placement.error)
        _, group = placement.ok
        if self._differs_from_group_in_use(group.name):
            return expression.Error(failures.TransactionSpansGroups(schema))
        self._session.schema = schema
        return expression.Ok(answer.EMPTY_ANSWER)

    async def set_autocommit(self, enabled: bool) -> handler.AnswerResult:
        """Sets autocommit; enabling it commits the open transaction."""
        self._session.autocommit = enabled
        if enabled:
            return await self.commit()
        return expression.Ok(answer.EMPTY_ANSWER)

    def _selected_group(
        self,
    ) -> expression.Result[sheets.Group, errors.Failure]:
        """Returns the group that owns the selected schema."""
        sheet = self._env.fleet.sheet
        if sheet is None:
            return expression.Error(errors.NotReady())
        return sheet.locate_schema(self._session.schema).map(
            lambda placement: placement[1]
        )

    def _group_link(
        self, work: statement_execution.StatementExecution
    ) -> GroupResult:
        """Returns the link to the selected group.

        Records the name of the group in the statement's trace.
        """
        group = self._selected_group()
        if group.is_error():
            return expression.Error(group.error)
        work.trace.group = group.ok.name
        return expression.Ok(self._env.fleet.group(group.ok.name))

    def _record_measurement(
        self,
        route: routing.Route,
        work: statement_execution.StatementExecution,
        result: handler.AnswerResult,
    ) -> None:
        now = self._env.clock.now()
        measurement = statement_measurement.served(route, work, result, now)
        if measurement is not None:
            self._env.recorder.record(measurement)

    def _differs_from_group_in_use(self, name: types.GroupName) -> bool:
        """Returns whether a group differs from the group in use.

        A group is in use while a transaction or a pinned connection is open.
        """
        if self._transaction is None and self._pinned is None:
            return False
        in_use = self._selected_group()
        return in_use.is_error() or in_use.ok.name != name

    async def _acquire_pin(
        self,
        group: group_link.GroupLink,
        writer: writing.Writer,
        work: statement_execution.StatementExecution,
    ) -> pinned_connection.PinResult:
        primary = await writer.primary_for_reads(work)
        if primary.is_error():
            return expression.Error(primary.error)
        acquired = await pinned_connection.acquire(
            group, primary.ok, self._session, work.request
        )
        if acquired.is_ok():
            self._pinned = acquired.ok
            self._session.pinned = True
        return acquired

    def _make_writer(self, group: group_link.GroupLink) -> writing.Writer:
        return writing.Writer(self._env, group, self._session)

    def _clear_transaction(self) -> transactions.Transaction | None:
        transaction, self._transaction = self._transaction, None
        self._session.in_transaction = False
        return transaction


@functools.singledispatch
async def _execute_route(
    route: routing.Route,
    executor: Executor,
    work: statement_execution.StatementExecution,
) -> handler.AnswerResult:
    raise TypeError(f"no handler for route {route!r}; register one")


@_execute_route.register
async def _(
    route: routing.ToFreshDatabase,
    executor: Executor,
    work: statement_execution.StatementExecution,
) -> handler.AnswerResult:
    return await executor.read(work)


@_execute_route.register
async def _(
    route: routing.ToPrimary,
    executor: Executor,
    work: statement_execution.StatementExecution,
) -> handler.AnswerResult:
    return await executor.write(work)


@_execute_route.register
async def _(
    route: routing.ToPinned,
    executor: Executor,
    work: statement_execution.StatementExecution,
) -> handler.AnswerResult:
    return await executor.run_pinned(work)


@_execute_route.register
async def _(
    route: routing.InTransaction,
    executor: Executor,
    work: statement_execution.StatementExecution,
) -> handler.AnswerResult:
    return await executor.run_in_transaction(work)


@_execute_route.register
async def _(
    route: routing.CommitFirst,
    executor: Executor,
    work: statement_execution.StatementExecution,
) -> handler.AnswerResult:
    return await executor.commit_first(work)


@_execute_route.register
async def _(
    route: routing.RejectStatement,
    executor: Executor,
    work: statement_execution.StatementExecution,
) -> handler.AnswerResult:
    return expression.Error(failures.ConnectionStateNeeded())


@_execute_route.register
async def _(
    route: routing.BeginTransaction,
    executor: Executor,
    work: statement_execution.StatementExecution,
) -> handler.AnswerResult:
    return await executor.begin(work.statement.sql, work)


@_execute_route.register
async def _(
    route: routing.BeginImplicitly,
    executor: Executor,
    work: statement_execution.StatementExecution,
) -> handler.AnswerResult:
    begun = await executor.begin(_BEGIN, work)
    if begun.is_error():
        return begun
    return await executor.run_in_transaction(work)


@_execute_route.register
async def _(
    route: routing.EndTransaction,
    executor: Executor,
    work: statement_execution.StatementExecution,
) -> handler.AnswerResult:
    if route.is_commit:
        return await executor.commit()
    return await executor.roll_back()


@_execute_route.register
async def _(
    route: routing.SelectSchema,
    executor: Executor,
    work: statement_execution.StatementExecution,
) -> handler.AnswerResult:
    return executor.select_schema(route.schema)


@_execute_route.register
async def _(
    route: routing.SwitchAutocommit,
    executor: Executor,
    work: statement_execution.StatementExecution,
) -> handler.AnswerResult:
    return await executor.set_autocommit(route.enabled)


@_execute_route.register
async def _(
    route: routing.AcknowledgeLocally,
    executor: Executor,
    work: statement_execution.StatementExecution,
) -> handler.AnswerResult:
    return expression.Ok(answer.EMPTY_ANSWER)
