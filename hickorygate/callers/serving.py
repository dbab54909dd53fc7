"""Chooses the serving proxy of a statement, and describes it for the link."""

from __future__ import annotations

import datetime
from typing import TYPE_CHECKING
from typing import Protocol

import expression

from hickorygate.callers import caller_session_state
from hickorygate.core import errors
from hickorygate.core import operation as operations
from hickorygate.core import platform_events
from hickorygate.core import reply as replies
from hickorygate.core import types
from hickorygate.proxies import link_state
from hickorygate.proxies import statement_link
from hickorygate.proxies import statement_messages as messages

if TYPE_CHECKING:
    from hickorygate.callers import caller_session

__all__ = [
    "ServerChoice",
    "ServerLinks",
    "ServerSearch",
    "is_not_run",
    "outcome_of",
    "run_message",
    "to_result",
]

_ANSWER_MARGIN = datetime.timedelta(milliseconds=10)
"""Time before the deadline by which a serving proxy must answer, in addition
to two round trips. Its answer that a write did not run would otherwise be too
late, and the write in doubt."""

_MAX_MARGIN_SHARE = 0.2
_MILLISECOND = datetime.timedelta(milliseconds=1)


class ServerChoice(Protocol):
    """The plan which proxies serve which statements."""

    @property
    def name(self) -> types.ProxyName:
        """Name of this proxy."""

    def candidates(
        self, service: types.ServiceName, workspace: types.WorkspaceName
    ) -> tuple[types.ProxyName, ...]:
        """Returns the candidates, best first; empty to run here."""


class ServerLinks(Protocol):
    """The links to serving proxies."""

    async def ready(
        self, server: types.ProxyName, wanted: link_state.LinkQuality
    ) -> statement_link.StatementConnection | None:
        """Returns a connection to a proxy if its link has this quality."""


class ServerSearch:
    """The search of one request for a serving proxy."""

    __slots__ = ("_candidates", "_links", "_name", "_request", "_tried")

    def __init__(
        self,
        session: caller_session.CallerSession,
        service: types.ServiceName,
        call: caller_session_state.CallerRequest,
    ) -> None:
        choice, self._links = session.env.serving, session.env.forwarder
        self._candidates: tuple[types.ProxyName, ...] = ()
        self._name = ""
        if choice is not None:
            self._candidates = choice.candidates(service, call.workspace)
            self._name = choice.name
        self._request = call.id
        self._tried: list[types.ProxyName] = []

    @property
    def tried(self) -> list[types.ProxyName]:
        """Names of the proxies that the request was sent to, in order."""
        return self._tried

    def __repr__(self) -> str:
        return f"ServerSearch({self._candidates}, tried={self._tried})"

    async def next(self) -> statement_link.StatementConnection | None:
        """Returns a connection to the best proxy that was not tried.

        Slow links are used only if no other candidate is available.

        Returns:
          The connection; None if this proxy runs the statement itself.
        """
        if self._links is None or not self._candidates:
            return None
        for quality in (
            link_state.LinkQuality.GOOD,
            link_state.LinkQuality.SLOW,
        ):
            for name in self._candidates:
                if name == self._name:
                    return None
                if name in self._tried:
                    continue
                connection = await self._links.ready(name, quality)
                if connection is not None:
                    self._tried.append(name)
                    return connection
        return None

    def event(self, outcome: str) -> platform_events.StatementForwarded | None:
        """Returns the event that ends the search; None if nothing was sent."""
        if not self._tried:
            return None
        return platform_events.StatementForwarded(
            self._request, self._tried[-1], outcome, len(self._tried)
        )


def outcome_of(reply: replies.Reply) -> str:
    """Returns a reply's outcome for the event log."""
    if reply.result.is_ok():
        return "ok"
    return replies.as_rejection(reply.result.error).reason.value


def run_message(
    connection: statement_link.StatementConnection,
    session: caller_session.CallerSession,
    operation: operations.Operation,
    call: caller_session_state.CallerRequest,
    service: types.ServiceName,
    transaction: int = messages.SINGLE_STATEMENT,
    start: messages.TransactionStart = messages.TransactionStart.CONTINUES,
) -> messages.RunStatement:
    """Returns the message that makes a serving proxy run an operation."""
    state = session.state
    prepared = None
    if isinstance(operation, operations.Execute):
        prepared = state.prepared_statements[operation.name]
    left = call.deadline - session.now()
    margin = _ANSWER_MARGIN + 2 * connection.state.round_trip
    left -= min(margin, left * _MAX_MARGIN_SHARE)
    return messages.RunStatement(
        number=connection.next_number(),
        transaction=transaction,
        start=start,
        request_id=call.id,
        operation=operation,
        prepared=prepared,
        values=state.values,
        floor=state.floors.get(service),
        database=state.database,
        service=service,
        workspace=call.workspace,
        version=session.env.fleet.version,
        time_left_ms=max(int(left / _MILLISECOND), 0),
    )


def to_result(reply: messages.StatementReply) -> replies.Result:
    """Returns the result in the reply of a serving proxy."""
    if reply.reason is None:
        answer = replies.Answer(reply.rows, reply.signature)
        return expression.Ok(answer)
    return expression.Error(replies.Rejection(reply.reason, reply.detail))


def is_not_run(reply: statement_link.LinkReply) -> bool:
    """Returns whether a statement did not run and may go elsewhere at once."""
    if isinstance(reply, messages.StatementReply):
        return not reply.verdict.served
    return reply.outcome is errors.Outcome.NOT_RUN
