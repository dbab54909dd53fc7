"""The session of one caller of the line protocol; runs decoded operations.

The session answers each operation exactly once. Session values, prepared
statements and transaction boundaries are kept in the proxy; only operations
that must run in a database are sent to one.
"""

from __future__ import annotations

import datetime
import functools

import expression

from hickorygate.callers import caller_session_state
from hickorygate.callers import session_context
from hickorygate.callers import single_statements
from hickorygate.callers import transaction_statements
from hickorygate.core import catalog
from hickorygate.core import errors
from hickorygate.core import operation as operations
from hickorygate.core import platform_events
from hickorygate.core import reply as replies
from hickorygate.core import session_limits
from hickorygate.core import types

__all__ = ["CallerSession"]

_IDLE = replies.TransactionState.IDLE
_IN_TRANSACTION = replies.TransactionState.IN_TRANSACTION
_FAILED = replies.TransactionState.FAILED
_EMPTY_ANSWER = expression.Ok(replies.Answer())


class CallerSession:
    """The session of one caller.

    The front end passes in one operation at a time.
    """

    __slots__ = ("_env", "_state", "_state_size")

    def __init__(
        self, database: types.SchemaName, env: session_context.SessionContext
    ) -> None:
        self._env = env
        self._state = caller_session_state.CallerSessionState(database)
        self._state_size = session_limits.SessionStateSize(env.session_state)

    @property
    def state(self) -> caller_session_state.CallerSessionState:
        """State of the session that lasts between operations."""
        return self._state

    @property
    def state_size(self) -> session_limits.SessionStateSize:
        """Memory of the values and prepared statements of the session."""
        return self._state_size

    @property
    def env(self) -> session_context.SessionContext:
        """Dependencies that all sessions share."""
        return self._env

    @property
    def idle(self) -> bool:
        """Whether no transaction is open."""
        return self._state.transaction is None

    def __repr__(self) -> str:
        return f"CallerSession({self._state.database!r})"

    def now(self) -> datetime.datetime:
        """Returns the current time."""
        return self._env.clock.now()

    def route(self) -> catalog.Route | None:
        """Returns the route that the next transaction will use.

        Returns:
          The current route of the database name, or None if the configuration
          has no route for the name.
        """
        return self._env.fleet.route(self._state.database)

    async def perform(
        self, query: str, operation: operations.Operation
    ) -> replies.Reply:
        """Runs an operation and returns its complete reply.

        Args:
          query: request id that the caller assigned.
          operation: operation to run.
        """
        now = self.now()
        transaction = self._state.transaction
        route = self.route() if transaction is None else transaction.route
        timeout = route.timeout if route else datetime.timedelta()
        deadline = self._env.shutdown.limit(now + timeout)
        call = caller_session_state.CallerRequest(query, now, deadline)
        reply = await self._run_operation(operation, call)
        if self._state.transaction is not None:
            self._state.transaction.last_active = self.now()
        self._record_end(operation, call, reply)
        return reply

    async def _run_operation(
        self,
        operation: operations.Operation,
        call: caller_session_state.CallerRequest,
    ) -> replies.Reply:
        transaction = self._state.transaction
        if transaction is not None and transaction.failed:
            return await transaction_statements.answer_after_abort(
                operation, self, transaction
            )
        local = _answer_locally(operation, self)
        if local is not None:
            return local
        if transaction is not None:
            return await transaction_statements.run(
                operation, self, transaction, call
            )
        route = self.route()
        if route is None:
            return self.rejection(
                replies.RejectionReason.UNKNOWN_DATABASE, self._state.database
            )
        return await single_statements.run(operation, self, route, call)

    def expire(self, now: datetime.datetime) -> None:
        """Aborts the open transaction if it has reached the idle limit."""
        transaction = self._state.transaction
        limit = self._env.fleet.transaction_idle
        if transaction is not None and now - transaction.last_active >= limit:
            self.abort_open_transaction()

    def abort_open_transaction(self) -> None:
        """Aborts the open transaction between two statements.

        The reply to the next statement of the transaction reports the abort.
        """
        transaction = self._state.transaction
        if transaction is not None and not transaction.failed:
            transaction_statements.abort_transaction(self._env, transaction)
            transaction.abort_unreported = True

    def close(self) -> None:
        """Ends the session and rolls back its open transaction."""
        self._state_size.clear()
        transaction = self._state.transaction
        self._state.transaction = None
        if (
            transaction is not None
            and transaction.pooled_connection is not None
        ):
            transaction_statements.abort_transaction(self._env, transaction)

    def rejection(
        self, reason: replies.RejectionReason, detail: str
    ) -> replies.Reply:
        """Returns a reply with a rejection that this proxy issues itself."""
        rejection = replies.Rejection(reason, detail)
        return self.reply(expression.Error(rejection))

    def reply(self, result: replies.Result) -> replies.Reply:
        """Returns a reply that was produced without a database."""
        return replies.Reply(result, self.session_state())

    def session_state(self) -> replies.TransactionState:
        """Returns the transaction state that callers see."""
        transaction = self._state.transaction
        if transaction is None:
            return _IDLE
        return _FAILED if transaction.failed else _IN_TRANSACTION

    def _record_end(
        self,
        operation: operations.Operation,
        call: caller_session_state.CallerRequest,
        reply: replies.Reply,
    ) -> None:
        failure = reply.result.error if reply.result.is_error() else None
        now = self.now()
        self._env.journal.record(
            platform_events.RequestEnded(
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


def _too_much_state(session: CallerSession) -> replies.Reply:
    """Rejects an operation that would make the session keep too much."""
    transaction = session.state.transaction
    if transaction is not None:
        transaction_statements.abort_transaction(session.env, transaction)
    return session.rejection(
        replies.RejectionReason.OVERSIZED,
        "the session keeps too many or too large values and statements; "
        "replace or deallocate some",
    )


@functools.singledispatch
def _answer_locally(
    operation: operations.Operation, session: CallerSession
) -> replies.Reply | None:
    """Answers an operation in the proxy.

    Returns:
      The reply, or None if the operation needs a database.
    """
    return None


@_answer_locally.register(operations.SetValue)
def _(operation: operations.SetValue, session: CallerSession) -> replies.Reply:
    if not session.state_size.put(
        session_limits.StateKind.VALUE, operation.name, operation.value
    ):
        return _too_much_state(session)
    session.state.values[operation.name] = operation.value
    return session.reply(_EMPTY_ANSWER)


@_answer_locally.register(operations.Prepare)
def _(operation: operations.Prepare, session: CallerSession) -> replies.Reply:
    if not session.state_size.put(
        session_limits.StateKind.PREPARED,
        operation.name,
        operation.prepared.text,
    ):
        return _too_much_state(session)
    session.state.prepared_statements[operation.name] = operation.prepared
    return session.reply(_EMPTY_ANSWER)


@_answer_locally.register(operations.Deallocate)
def _(
    operation: operations.Deallocate, session: CallerSession
) -> replies.Reply:
    session.state.prepared_statements.pop(operation.name, None)
    session.state_size.remove(session_limits.StateKind.PREPARED, operation.name)
    return session.reply(_EMPTY_ANSWER)


@_answer_locally.register(operations.Begin)
def _(operation: operations.Begin, session: CallerSession) -> replies.Reply:
    if session.state.transaction is not None:
        return session.rejection(
            replies.RejectionReason.MALFORMED,
            "a transaction is open; end it first",
        )
    route = session.route()
    if route is None:
        return session.rejection(
            replies.RejectionReason.UNKNOWN_DATABASE, session.state.database
        )
    now = session.now()
    session.state.transaction = caller_session_state.OpenTransaction(
        route, operation.read_only, now, now
    )
    return session.reply(_EMPTY_ANSWER)


@_answer_locally.register(operations.Rollback)
def _(
    operation: operations.Rollback, session: CallerSession
) -> replies.Reply | None:
    transaction = session.state.transaction
    if transaction is not None and transaction.pooled_connection is not None:
        return None
    session.state.transaction = None
    return session.reply(_EMPTY_ANSWER)


@_answer_locally.register(operations.Commit)
def _(
    operation: operations.Commit, session: CallerSession
) -> replies.Reply | None:
    if session.state.transaction is not None:
        return None
    return session.rejection(
        replies.RejectionReason.MALFORMED,
        "no transaction is open; begin one first",
    )


@_answer_locally.register(operations.Execute)
def _(
    operation: operations.Execute, session: CallerSession
) -> replies.Reply | None:
    if operation.name in session.state.prepared_statements:
        return None
    transaction = session.state.transaction
    if transaction is not None:
        transaction_statements.abort_transaction(session.env, transaction)
    return session.rejection(
        replies.RejectionReason.UNKNOWN_STATEMENT,
        f"{replies.shorten(operation.name)!r} isn't prepared in this session",
    )


@_answer_locally.register(operations.Unknown)
def _(operation: operations.Unknown, session: CallerSession) -> replies.Reply:
    transaction = session.state.transaction
    if transaction is not None:
        transaction_statements.abort_transaction(session.env, transaction)
    return session.rejection(
        replies.RejectionReason.MALFORMED, "not a statement"
    )
