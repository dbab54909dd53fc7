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


_USABLE = (link_state.LinkQuality.GOOD, link_state.LinkQuality.SLOW)
_OUTDATED_WAIT = datetime.timedelta(milliseconds=40)
_MAX_OUTDATED_WAITS = 6
"""Time after which an outdated proxy is asked again, and how often. It rereads
the configuration at once, which takes a call to the store; running statements
at all gateways meanwhile would need more connections than there are."""


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

    __slots__ = (
        "_call",
        "_candidates",
        "_clock",
        "_links",
        "_name",
        "_outdated",
        "_sent",
        "_tried",
        "_waits",
    )

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
        self._call = call
        self._clock = session.env.clock
        self._tried: set[types.ProxyName] = set()
        self._outdated: set[types.ProxyName] = set()
        self._sent: list[types.ProxyName] = []
        self._waits = 0

    def __repr__(self) -> str:
        return f"ServerSearch({self._candidates}, sent={self._sent})"

    async def next(self) -> statement_link.StatementConnection | None:
        """Returns a connection to the best proxy that was not tried.

        Slow links are used only if no other candidate is available.

        Returns:
          The connection; None if this proxy runs the statement itself.
        """
        while self._links is not None and self._candidates:
            found = await self._find()
            if found is not None or not await self._wait_for_outdated():
                return found
        return None

    def note(self, reply: statement_link.LinkReply) -> None:
        """Records the reply of the last proxy."""
        match reply:
            case messages.StatementReply(verdict=messages.Verdict.OUTDATED):
                self._outdated.add(self._sent[-1])

    def event(self, outcome: str) -> platform_events.StatementForwarded | None:
        """Returns the event that ends the search; None if nothing was sent."""
        if not self._sent:
            return None
        return platform_events.StatementForwarded(
            self._call.id, self._sent[-1], outcome, len(self._sent)
        )

    async def _find(self) -> statement_link.StatementConnection | None:
        assert self._links is not None, "next() has checked it"
        for quality in _USABLE:
            for name in self._candidates:
                if name == self._name:
                    # This proxy is the best one that is left.
                    self._outdated.clear()
                    return None
                if name in self._tried:
                    continue
                connection = await self._links.ready(name, quality)
                if connection is not None:
                    self._tried.add(name)
                    self._sent.append(name)
                    return connection
        return None

    async def _wait_for_outdated(self) -> bool:
        """Waits for proxies that reread the configuration.

        Returns:
          Whether to ask them again.
        """
        left = self._call.deadline - self._clock.now()
        if (
            not self._outdated
            or self._waits >= _MAX_OUTDATED_WAITS
            or left <= 2 * _OUTDATED_WAIT
        ):
            return False
        self._waits += 1
        await self._clock.sleep(_OUTDATED_WAIT)
        self._tried -= self._outdated
        self._outdated.clear()
        return True


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
