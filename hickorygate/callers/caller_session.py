"""The session of one caller of the line protocol; runs decoded operations.

The session answers each operation exactly once. Session values, prepared
statements and transaction boundaries are kept in the proxy; only operations
that must run in a database are sent to one.
"""

from __future__ import annotations

import asyncio
import datetime
import functools

import expression

from hickorygate.callers import access
from hickorygate.callers import caller_session_state
from hickorygate.callers import forwarded_statements
from hickorygate.callers import forwarded_transactions
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
from hickorygate.core import workspace as workspaces

__all__ = ["CallerSession"]

_IDLE = replies.TransactionState.IDLE
_IN_TRANSACTION = replies.TransactionState.IN_TRANSACTION
_FAILED = replies.TransactionState.FAILED
_EMPTY_ANSWER = expression.Ok(replies.Answer())


class CallerSession:
    """The session of one caller.

    The front end passes in one operation at a time.
    """

    __slots__ = (
        "_call",
        "_checked",
        "_env",
        "_interruption",
        "_revoked",
        "_state",
        "_state_size",
        "_task",
    )

    def __init__(
        self,
        database: types.SchemaName,
        env: session_context.SessionContext,
        workspace: types.WorkspaceName = "",
        credential: workspaces.Credential | None = None,
    ) -> None:
        """Creates the session.

        Args:
          database: database name that the caller connected to.
          env: dependencies that all sessions share.
          workspace: workspace of the caller; empty if it has none.
          credential: digest of the caller's key; None if it sent none.
        """
        self._env = env
        self._state = caller_session_state.CallerSessionState(
            database, workspace=workspace, credential=credential
        )
        self._checked: catalog.Catalog | None = None
        self._revoked: replies.Rejection | None = None
        self._call: caller_session_state.CallerRequest | None = None
        self._task: asyncio.Task[object] | None = None
        self._interruption: replies.Rejection | None = None
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

    @property
    def is_revoked(self) -> bool:
        """Whether the session's key no longer identifies its workspace."""
        return self._revoked is not None

    @property
    def is_running(self) -> bool:
        """Whether an operation runs."""
        return self._task is not None

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
        self.check_access()
        now = self.now()
        transaction = self._state.transaction
        route = self.route() if transaction is None else transaction.route
        timeout = route.timeout if route else datetime.timedelta()
        deadline = self._env.shutdown.limit(now + timeout)
        call = caller_session_state.CallerRequest(
            query, now, deadline, workspace=self._state.workspace
        )
        reply = await self.process(operation, call)
        self._record_end(operation, call, reply)
        return reply

    async def process(
        self,
        operation: operations.Operation,
        call: caller_session_state.CallerRequest,
    ) -> replies.Reply:
        """Runs an operation of a request; its end is not recorded.

        A serving proxy calls this method for a statement of another proxy,
        which has checked the caller's key and records the end.

        Args:
          operation: operation to run.
          call: request of the operation; its attributes are updated.
        """
        self.check_access()
        if self._revoked is not None:
            return self.reply(expression.Error(self._revoked))
        reply = await self._run_unless_interrupted(operation, call)
        if self._state.transaction is not None:
            self._state.transaction.last_active = self.now()
        return reply

    def check_access(self) -> None:
        """Applies the configuration in force to the session's key.

        If the key no longer identifies the session's workspace, the session is
        revoked: its transaction is rolled back, and an operation that was not
        sent to a database yet is rejected. One that was sent gets its answer.
        """
        checked = self._env.fleet.catalog
        if checked is None or checked is self._checked or self.is_revoked:
            return
        self._checked = checked
        state = self._state
        renewed = access.renew(
            checked, state.database, state.workspace, state.credential
        )
        if renewed.is_error():
            self._revoke(renewed.error)
        elif renewed.ok != state.workspace:
            self._change_workspace(renewed.ok)

    def _revoke(self, rejection: replies.Rejection) -> None:
        self._revoked = rejection
        self._env.journal.record(
            platform_events.SessionRevoked(
                self._state.database, self._state.workspace, not self.idle
            )
        )
        if self._task is None:
            self.close()
        else:
            self.interrupt(rejection)

    def _change_workspace(self, workspace: types.WorkspaceName) -> None:
        """Continues the session for another workspace."""
        self._state.workspace = workspace
        if self._task is None:
            self._abort_foreign_transaction()
        else:
            reason = replies.RejectionReason.BUSY
            detail = "the workspace of the key changed; retry"
            self.interrupt(replies.Rejection(reason, detail))

    def _abort_foreign_transaction(self) -> None:
        """Aborts a transaction on a connection of another workspace."""
        transaction = self._state.transaction
        held = transaction.holder if transaction else None
        if held is not None and held.workspace != self._state.workspace:
            self.abort_open_transaction()

    def interrupt(self, rejection: replies.Rejection) -> None:
        """Ends the running operation unless its statement is in flight.

        A statement at a serving proxy ends there unless it is in flight.
        """
        if self._task is None or self._call is None:
            return
        if self._call.recall is not None:
            self._call.recall(rejection)
        elif not self._call.in_flight and self._interruption is None:
            self._interruption = rejection
            self._task.cancel()

    async def _run_unless_interrupted(
        self,
        operation: operations.Operation,
        call: caller_session_state.CallerRequest,
    ) -> replies.Reply:
        task = asyncio.current_task()
        assert task is not None, "operations run in a task"
        self._task, self._call = task, call
        try:
            reply = await self._run_operation(operation, call)
        except asyncio.CancelledError:
            if self._interruption is None or task.uncancel():
                raise
            reply = self._answer_interrupted(self._interruption)
        finally:
            self._task = self._call = self._interruption = None
        if self.is_revoked:
            self.close()
        else:
            self._abort_foreign_transaction()
        return reply

    def _answer_interrupted(
        self, rejection: replies.Rejection
    ) -> replies.Reply:
        """Answers an operation that was ended before it was sent."""
        transaction = self._state.transaction
        if self.is_revoked:
            self.close()
        elif transaction is not None:
            transaction_statements.abort_transaction(self._env, transaction)
            return self.rejection(
                replies.RejectionReason.ABORTED, rejection.detail
            )
        return self.reply(expression.Error(rejection))

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
            forwarded = await forwarded_transactions.run(
                operation, self, transaction, call
            )
            if forwarded is not None:
                return forwarded
            return await transaction_statements.run(
                operation, self, transaction, call
            )
        route = self.route()
        if route is None:
            return self.rejection(
                replies.RejectionReason.UNKNOWN_DATABASE, self._state.database
            )
        forwarded = await forwarded_statements.run(operation, self, route, call)
        if forwarded is not None:
            return forwarded
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
        if transaction is not None and transaction.has_started:
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
                signature=b"" if failure else reply.result.ok.signature,
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
    if transaction is not None and transaction.has_started:
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
