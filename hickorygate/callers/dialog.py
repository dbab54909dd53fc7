"""One caller's session: takes operations, answers each once.

Session values, prepared names and the borders of transactions are kept here;
a database is asked only for what must run there.
"""

from __future__ import annotations

import datetime
import functools

import expression

from hickorygate.callers import dialog_state as states
from hickorygate.callers import single
from hickorygate.callers import surroundings
from hickorygate.callers import transacting
from hickorygate.core import catalog as catalogs
from hickorygate.core import decisions
from hickorygate.core import errors
from hickorygate.core import operation as operations
from hickorygate.core import reply as replies
from hickorygate.core import types

__all__ = ["Dialog"]

_IDLE = replies.SessionState.IDLE
_OPEN = replies.SessionState.IN_TRANSACTION
_FAILED = replies.SessionState.FAILED
_DONE = expression.Ok(replies.Answer())


class Dialog:
    """A session; operations come one at a time."""

    __slots__ = ("_env", "_state")

    def __init__(
        self, database: types.SchemaName, env: surroundings.Surroundings
    ) -> None:
        self._env = env
        self._state = states.DialogState(database)

    @property
    def state(self) -> states.DialogState:
        """What is remembered of the session."""
        return self._state

    @property
    def env(self) -> surroundings.Surroundings:
        """What the session works with."""
        return self._env

    @property
    def idle(self) -> bool:
        """Whether no transaction is open."""
        return self._state.transaction is None

    def __repr__(self) -> str:
        return f"Dialog({self._state.database!r})"

    def now(self) -> datetime.datetime:
        """Returns the time."""
        return self._env.clock.now()

    def route(self) -> catalogs.Route | None:
        """Returns the terms that hold from the next transaction on."""
        return self._env.fleet.route(self._state.database)

    async def perform(
        self, query: str, operation: operations.Operation
    ) -> replies.Reply:
        """Runs an operation and returns its whole answer."""
        now = self.now()
        open_ = self._state.transaction
        route = self.route() if open_ is None else open_.route
        timeout = route.timeout if route else datetime.timedelta()
        call = states.Call(query, now, now + timeout)
        reply = await self._perform(operation, call)
        if self._state.transaction is not None:
            self._state.transaction.active = self.now()
        self._record(operation, call, reply)
        return reply

    async def _perform(
        self, operation: operations.Operation, call: states.Call
    ) -> replies.Reply:
        open_ = self._state.transaction
        if open_ is not None and open_.failed:
            return await transacting.after_failure(operation, self, open_)
        local = _answer_here(operation, self)
        if local is not None:
            return local
        if open_ is not None:
            return await transacting.run(operation, self, open_, call)
        route = self.route()
        if route is None:
            return self.refuse(
                replies.Reason.UNKNOWN_DATABASE, self._state.database
            )
        return await single.run(operation, self, route, call)

    def expire(self, now: datetime.datetime) -> None:
        """Ends a transaction that has been idle for too long."""
        open_ = self._state.transaction
        limit = self._env.fleet.transaction_idle
        if open_ is not None and now - open_.active >= limit:
            self.drop_transaction()

    def drop_transaction(self) -> None:
        """Gives up an open transaction; its next statement is told so."""
        open_ = self._state.transaction
        if open_ is not None and not open_.failed:
            transacting.give_up(self._env, open_)
            open_.untold = True

    def close(self) -> None:
        """Rolls back what is open."""
        open_ = self._state.transaction
        self._state.transaction = None
        if open_ is not None and open_.loan is not None:
            transacting.give_up(self._env, open_)

    def refuse(self, reason: replies.Reason, detail: str) -> replies.Reply:
        """Answers with a refusal of this proxy's own."""
        rejection = replies.Rejection(reason, detail)
        return self.reply(expression.Error(rejection))

    def reply(self, result: replies.Result) -> replies.Reply:
        """Answers without a database."""
        return replies.Reply(result, self.session_state())

    def session_state(self) -> replies.SessionState:
        """Returns where the session stands."""
        open_ = self._state.transaction
        if open_ is None:
            return _IDLE
        return _FAILED if open_.failed else _OPEN

    def _record(
        self,
        operation: operations.Operation,
        call: states.Call,
        reply: replies.Reply,
    ) -> None:
        failure = reply.result.error if reply.result.is_error() else None
        now = self.now()
        self._env.journal.record(
            decisions.RequestEnded(
                request=call.id,
                database=self._state.database,
                kind=type(operation).__name__,
                served_by=call.served_by,
                outcome=_outcome(failure),
                detail=failure.message if failure else "",
                version=self._env.fleet.version,
                floor=call.floor.position if call.floor else None,
                floor_age=now - call.floor.since if call.floor else None,
                tries=call.tries,
                took=now - call.arrived,
            )
        )


def _outcome(failure: errors.Failure | None) -> str:
    if failure is None:
        return "ok"
    if isinstance(failure, replies.Rejection):
        return failure.reason.value
    return failure.outcome.value


@functools.singledispatch
def _answer_here(
    operation: operations.Operation, dialog: Dialog
) -> replies.Reply | None:
    """Answers what needs no database; None for what does."""
    return None


@_answer_here.register(operations.SetValue)
def _(operation: operations.SetValue, dialog: Dialog) -> replies.Reply:
    dialog.state.values[operation.name] = operation.value
    return dialog.reply(_DONE)


@_answer_here.register(operations.Prepare)
def _(operation: operations.Prepare, dialog: Dialog) -> replies.Reply:
    dialog.state.shapes[operation.name] = operation.shape
    return dialog.reply(_DONE)


@_answer_here.register(operations.Deallocate)
def _(operation: operations.Deallocate, dialog: Dialog) -> replies.Reply:
    dialog.state.shapes.pop(operation.name, None)
    return dialog.reply(_DONE)


@_answer_here.register(operations.Begin)
def _(operation: operations.Begin, dialog: Dialog) -> replies.Reply:
    if dialog.state.transaction is not None:
        return dialog.refuse(
            replies.Reason.MALFORMED, "a transaction is open; end it first"
        )
    route = dialog.route()
    if route is None:
        return dialog.refuse(
            replies.Reason.UNKNOWN_DATABASE, dialog.state.database
        )
    now = dialog.now()
    dialog.state.transaction = states.Transaction(
        route, operation.read_only, now, now
    )
    return dialog.reply(_DONE)


@_answer_here.register(operations.Rollback)
def _(operation: operations.Rollback, dialog: Dialog) -> replies.Reply | None:
    open_ = dialog.state.transaction
    if open_ is not None and open_.loan is not None:
        return None
    dialog.state.transaction = None
    return dialog.reply(_DONE)


@_answer_here.register(operations.Commit)
def _(operation: operations.Commit, dialog: Dialog) -> replies.Reply | None:
    if dialog.state.transaction is not None:
        return None
    return dialog.refuse(
        replies.Reason.MALFORMED, "no transaction is open; begin one first"
    )


@_answer_here.register(operations.Execute)
def _(operation: operations.Execute, dialog: Dialog) -> replies.Reply | None:
    if operation.name in dialog.state.shapes:
        return None
    open_ = dialog.state.transaction
    if open_ is not None:
        transacting.give_up(dialog.env, open_)
    return dialog.refuse(
        replies.Reason.UNKNOWN_STATEMENT,
        f"{operation.name!r} isn't prepared in this session",
    )


@_answer_here.register(operations.Unknown)
def _(operation: operations.Unknown, dialog: Dialog) -> replies.Reply:
    open_ = dialog.state.transaction
    if open_ is not None:
        transacting.give_up(dialog.env, open_)
    return dialog.refuse(replies.Reason.MALFORMED, "not a statement")
