"""Runs one session's statements where routing says."""

from __future__ import annotations

import functools

import expression

from hickorygate.callers import environment as environments
from hickorygate.callers import failures
from hickorygate.callers import handler as handlers
from hickorygate.callers import idempotency
from hickorygate.callers import measuring
from hickorygate.callers import pin as pins
from hickorygate.callers import reading
from hickorygate.callers import routing
from hickorygate.callers import session as sessions
from hickorygate.callers import transaction as transactions
from hickorygate.callers import work as works
from hickorygate.callers import writing
from hickorygate.core import errors
from hickorygate.core import request as requests
from hickorygate.core import sheet as sheets
from hickorygate.core import statement as statements
from hickorygate.core import types
from hickorygate.upstreams import answer as answers
from hickorygate.upstreams import link as links

__all__ = ["Executor"]

GroupResult = expression.Result[links.GroupLink, errors.Failure]

_BEGIN = "BEGIN"


class Executor:
    """Runs one session's statements, one at a time."""

    __slots__ = ("_env", "_pin", "_session", "_transaction")

    def __init__(
        self, session: sessions.Session, env: environments.Environment
    ) -> None:
        self._session = session
        self._env = env
        self._transaction: transactions.Transaction | None = None
        self._pin: pins.Pin | None = None

    @property
    def session(self) -> sessions.Session:
        """The session that this executor serves."""
        return self._session

    def __repr__(self) -> str:
        return f"Executor({self._session.user!r})"

    async def run(
        self, statement: statements.Statement, request: requests.Request
    ) -> handlers.AnswerResult:
        """Runs a statement where routing says."""
        if self._pin is not None and self._pin.lost:
            return expression.Error(failures.SessionStateLost())
        route = routing.route(statement, self._session)
        work = works.Work(statement, request)
        if self._transaction is not None:
            work.trace.group = self._transaction.group.view.group.name
        result = await _run(route, self, work)
        self._measure(route, work, result)
        return result

    async def close(self) -> None:
        """Drops an open transaction and what the session left behind."""
        if self._transaction is not None:
            self._transaction.drop()
            self._forget_transaction()
        if self._pin is not None:
            self._pin.drop()
            self._pin = None
            self._session.pinned = False

    async def read(self, work: works.Work) -> handlers.AnswerResult:
        """Runs a read outside a transaction."""
        group = self._group(work)
        if group.is_error():
            return expression.Error(group.error)
        reader = reading.Reader(self._env, group.ok, self._session)
        return await reader.run(work)

    async def write(self, work: works.Work) -> handlers.AnswerResult:
        """Runs a write outside a transaction."""
        group = self._group(work)
        if group.is_error():
            return expression.Error(group.error)
        return await self._writer(group.ok).run(work)

    async def pinned(self, work: works.Work) -> handlers.AnswerResult:
        """Runs a statement on the connection that the session keeps."""
        group = self._group(work)
        if group.is_error():
            return expression.Error(group.error)
        writer = self._writer(group.ok)
        if self._pin is None:
            taken = await self._take_pin(group.ok, writer, work)
            if taken.is_error():
                return expression.Error(taken.error)
        pin = self._pin
        assert pin is not None, "taken above"
        result = await pin.run(self._session, work.statement.sql)
        reads = isinstance(work.statement, statements.Read)
        if result.is_error() or reads:
            return result
        return await writer.durable(pin.primary, result)

    async def begin(
        self, sql: str, work: works.Work
    ) -> expression.Result[answers.Answer, errors.Failure]:
        """Opens a transaction; one that is open is kept first."""
        checked = idempotency.check(work, in_transaction=True)
        if checked.is_error():
            return expression.Error(checked.error)
        if self._transaction is not None:
            kept = await self.commit()
            if kept.is_error():
                return kept
        group = self._group(work)
        if group.is_error():
            return expression.Error(group.error)
        self._transaction = transactions.Transaction(
            group.ok, self._session, self._writer(group.ok), sql, self._pin
        )
        self._session.in_transaction = True
        return expression.Ok(answers.NOTHING)

    async def in_transaction(self, work: works.Work) -> handlers.AnswerResult:
        """Runs a statement of the open transaction."""
        transaction = self._transaction
        assert transaction is not None, "routing found no transaction"
        checked = idempotency.check(work, in_transaction=True)
        if checked.is_error():
            return expression.Error(checked.error)
        result = await transaction.run(work)
        if transaction.lost:
            transaction.drop()
            self._forget_transaction()
        return result

    async def commit(self) -> handlers.AnswerResult:
        """Keeps the open transaction."""
        transaction = self._forget_transaction()
        if transaction is None:
            return expression.Ok(answers.NOTHING)
        return await transaction.commit()

    async def roll_back(self) -> handlers.AnswerResult:
        """Drops the open transaction."""
        transaction = self._forget_transaction()
        if transaction is None:
            return expression.Ok(answers.NOTHING)
        return await transaction.roll_back()

    def select_schema(self, schema: types.SchemaName) -> handlers.AnswerResult:
        """Selects a schema that the sheet knows."""
        sheet = self._env.fleet.sheet
        if sheet is None:
            return expression.Error(errors.NotReady())
        place = sheet.place(schema)
        if place.is_error():
            return expression.Error(place.error)
        _, group = place.ok
        if self._leaves_group(group.name):
            return expression.Error(failures.TransactionSpansGroups(schema))
        self._session.schema = schema
        return expression.Ok(answers.NOTHING)

    async def set_autocommit(self, enabled: bool) -> handlers.AnswerResult:
        """Switches autocommit; switching it on keeps what is open."""
        self._session.autocommit = enabled
        if enabled:
            return await self.commit()
        return expression.Ok(answers.NOTHING)

    def _place(self) -> expression.Result[sheets.Group, errors.Failure]:
        """Finds the group that owns the selected schema."""
        sheet = self._env.fleet.sheet
        if sheet is None:
            return expression.Error(errors.NotReady())
        return sheet.place(self._session.schema).map(lambda place: place[1])

    def _group(self, work: works.Work) -> GroupResult:
        place = self._place()
        if place.is_error():
            return expression.Error(place.error)
        work.trace.group = place.ok.name
        return expression.Ok(self._env.fleet.group(place.ok.name))

    def _measure(
        self,
        route: routing.Route,
        work: works.Work,
        result: handlers.AnswerResult,
    ) -> None:
        now = self._env.clock.now()
        measured = measuring.served(route, work, result, now)
        if measured is not None:
            self._env.recorder.record(measured)

    def _leaves_group(self, name: types.GroupName) -> bool:
        """Whether a schema's group isn't that of what is held open."""
        if self._transaction is None and self._pin is None:
            return False
        held = self._place()
        return held.is_error() or held.ok.name != name

    async def _take_pin(
        self,
        group: links.GroupLink,
        writer: writing.Writer,
        work: works.Work,
    ) -> pins.PinResult:
        primary = await writer.primary_for_reads(work)
        if primary.is_error():
            return expression.Error(primary.error)
        taken = await pins.take(group, primary.ok, self._session, work.request)
        if taken.is_ok():
            self._pin = taken.ok
            self._session.pinned = True
        return taken

    def _writer(self, group: links.GroupLink) -> writing.Writer:
        return writing.Writer(self._env, group, self._session)

    def _forget_transaction(self) -> transactions.Transaction | None:
        transaction, self._transaction = self._transaction, None
        self._session.in_transaction = False
        return transaction


@functools.singledispatch
async def _run(
    route: routing.Route, executor: Executor, work: works.Work
) -> handlers.AnswerResult:
    raise TypeError(f"no way to run {route!r}; register one")


@_run.register
async def _(
    route: routing.ToAny, executor: Executor, work: works.Work
) -> handlers.AnswerResult:
    return await executor.read(work)


@_run.register
async def _(
    route: routing.ToPrimary, executor: Executor, work: works.Work
) -> handlers.AnswerResult:
    return await executor.write(work)


@_run.register
async def _(
    route: routing.ToPinned, executor: Executor, work: works.Work
) -> handlers.AnswerResult:
    return await executor.pinned(work)


@_run.register
async def _(
    route: routing.InTransaction, executor: Executor, work: works.Work
) -> handlers.AnswerResult:
    return await executor.in_transaction(work)


@_run.register
async def _(
    route: routing.CommitFirst, executor: Executor, work: works.Work
) -> handlers.AnswerResult:
    return await executor.commit_first(work)


@_run.register
async def _(
    route: routing.Refuse, executor: Executor, work: works.Work
) -> handlers.AnswerResult:
    return expression.Error(failures.ConnectionStateNeeded())


@_run.register
async def _(
    route: routing.OpenTransaction, executor: Executor, work: works.Work
) -> handlers.AnswerResult:
    return await executor.begin(work.statement.sql, work)


@_run.register
async def _(
    route: routing.OpenImplicitly, executor: Executor, work: works.Work
) -> handlers.AnswerResult:
    begun = await executor.begin(_BEGIN, work)
    if begun.is_error():
        return begun
    return await executor.in_transaction(work)


@_run.register
async def _(
    route: routing.EndTransaction, executor: Executor, work: works.Work
) -> handlers.AnswerResult:
    if route.keep:
        return await executor.commit()
    return await executor.roll_back()


@_run.register
async def _(
    route: routing.SelectSchema, executor: Executor, work: works.Work
) -> handlers.AnswerResult:
    return executor.select_schema(route.schema)


@_run.register
async def _(
    route: routing.SwitchAutocommit, executor: Executor, work: works.Work
) -> handlers.AnswerResult:
    return await executor.set_autocommit(route.enabled)


@_run.register
async def _(
    route: routing.KeepLocally, executor: Executor, work: works.Work
) -> handlers.AnswerResult:
    return expression.Ok(answers.NOTHING)
