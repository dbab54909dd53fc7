"""Sends statements outside transactions to serving proxies."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

import expression

from hickorygate.callers import caller_session_state
from hickorygate.callers import serving
from hickorygate.callers import statement_io
from hickorygate.core import catalog
from hickorygate.core import errors
from hickorygate.core import operation as operations
from hickorygate.core import reply as replies
from hickorygate.proxies import statement_link
from hickorygate.proxies import statement_messages as messages

if TYPE_CHECKING:
    from hickorygate.callers import caller_session

__all__ = ["run"]

_LOCAL = "local"


class _ForwardedStatement:
    """One statement, and the proxies that it is sent to."""

    def __init__(
        self,
        operation: operations.Operation,
        session: caller_session.CallerSession,
        route: catalog.Route,
        call: caller_session_state.CallerRequest,
    ) -> None:
        self._operation = operation
        self._session = session
        self._route = route
        self._call = call
        self._search = serving.ServerSearch(session, route.service, call)
        self._writes = statement_io.statement(operation, session.state).writes

    async def run(self) -> replies.Reply | None:
        """Runs the statement at a serving proxy.

        A statement that did not run goes to the next candidate at once, a read
        without an answer if the retry budget allows it. A write without an
        answer is in doubt and never repeated.

        Returns:
          The reply; None if this proxy has to run the statement itself.
        """
        reply = await self._run()
        event = self._search.event(
            _LOCAL if reply is None else serving.outcome_of(reply)
        )
        if event is not None:
            self._session.env.journal.record(event)
        return reply

    async def _run(self) -> replies.Reply | None:
        env = self._session.env
        connection = await self._search.next()
        if connection is not None:
            env.retries.deposit()
        while connection is not None:
            answered = await self._send(connection)
            self._search.note(answered)
            if not serving.is_not_run(answered):
                if isinstance(answered, messages.StatementReply):
                    return self._to_reply(answered)
                if self._writes or not self._may_repeat():
                    return self._to_failure(answered)
            connection = await self._search.next()
        return None

    async def _send(
        self, connection: statement_link.StatementConnection
    ) -> statement_link.LinkReply:
        call = self._call
        call.tries += 1
        call.served_by = connection.server
        message = serving.run_message(
            connection,
            self._session,
            self._operation,
            call,
            self._route.service,
        )
        call.recall = functools.partial(connection.recall, message.number)
        try:
            return await connection.run(message, call.deadline, self._writes)
        finally:
            call.recall = None

    def _may_repeat(self) -> bool:
        """Returns whether time and the retry budget allow another attempt."""
        if self._session.now() >= self._call.deadline:
            return False
        return self._session.env.retries.withdraw()

    def _to_reply(self, answered: messages.StatementReply) -> replies.Reply:
        self._call.served_by = answered.served_by or self._call.served_by
        result = serving.to_result(answered)
        if self._writes and result.is_ok():
            self._session.state.raise_floor(
                self._route.service, answered.position
            )
        return replies.Reply(result, answered.state, answered.position)

    def _to_failure(self, failure: errors.Failure) -> replies.Reply:
        """Returns the reply for a statement whose answer was lost.

        A read without an answer at its deadline is reported as timed out and
        not as in doubt, since a read changes nothing.
        """
        if not self._writes and self._session.now() >= self._call.deadline:
            return self._session.rejection(
                replies.RejectionReason.TIMED_OUT, failure.message
            )
        return self._session.reply(expression.Error(failure))


@functools.singledispatch
async def run(
    operation: operations.Operation,
    session: caller_session.CallerSession,
    route: catalog.Route,
    call: caller_session_state.CallerRequest,
) -> replies.Reply | None:
    """Runs an operation outside a transaction at a serving proxy.

    Returns:
      The reply; None if this proxy has to run the operation itself.
    """
    return None


@run.register(operations.Read)
@run.register(operations.Write)
@run.register(operations.Execute)
async def _(
    operation: operations.Operation,
    session: caller_session.CallerSession,
    route: catalog.Route,
    call: caller_session_state.CallerRequest,
) -> replies.Reply | None:
    if session.env.serving is None:
        return None
    return await _ForwardedStatement(operation, session, route, call).run()
