"""Sessions that run the statements of gateways, and their replies."""

from __future__ import annotations

import datetime

import expression

from hickorygate.callers import caller_session
from hickorygate.callers import caller_session_state
from hickorygate.callers import session_context
from hickorygate.core import operation as operations
from hickorygate.core import reply as replies
from hickorygate.proxies import statement_messages as messages

__all__ = [
    "make_call",
    "open_session",
    "reply_to_unknown",
    "set_state",
    "to_message",
]

_MILLISECOND = datetime.timedelta(milliseconds=1)


def open_session(
    message: messages.RunStatement,
    start: messages.TransactionStart | None,
    env: session_context.SessionContext,
) -> caller_session.CallerSession:
    """Returns a session in the state of the gateway's session.

    Args:
      message: first statement of the session.
      start: kind of the transaction; None for a single statement.
      env: dependencies of the sessions.
    """
    session = caller_session.CallerSession(
        message.database, env, message.workspace
    )
    set_state(session.state, message)
    route = session.route()
    if start is not None and route is not None:
        now = session.now()
        read_only = start is messages.TransactionStart.READ_ONLY
        session.state.transaction = caller_session_state.OpenTransaction(
            route, read_only, now, now
        )
    return session


def make_call(
    message: messages.RunStatement, env: session_context.SessionContext
) -> caller_session_state.CallerRequest:
    """Returns the request of a statement; it arrives now."""
    now = env.clock.now()
    time_left = message.time_left_ms * _MILLISECOND
    return caller_session_state.CallerRequest(
        message.request_id,
        now,
        env.shutdown.limit(now + time_left),
        workspace=message.workspace,
    )


def set_state(
    state: caller_session_state.CallerSessionState,
    message: messages.RunStatement,
) -> None:
    """Gives a session the state of the gateway's session."""
    state.values = dict(message.values)
    state.raise_floor(message.service, message.floor)
    match message.operation:
        case operations.Execute(name=name):
            assert message.prepared is not None, "the codec has checked it"
            state.prepared_statements[name] = message.prepared


def reply_to_unknown(
    message: messages.RunStatement,
) -> messages.StatementReply:
    """Returns the answer to a statement of a transaction that isn't open."""
    match message.operation:
        case operations.Rollback():
            return messages.StatementReply(
                message.number, messages.Verdict.ANSWERED
            )
        case operations.Commit():
            state = replies.TransactionState.IDLE
        case _:
            state = replies.TransactionState.FAILED
    return messages.StatementReply(
        number=message.number,
        verdict=messages.Verdict.REJECTED,
        reason=replies.RejectionReason.ABORTED,
        detail="the transaction has ended",
        state=state,
    )


def to_message(
    message: messages.RunStatement,
    reply: replies.Reply,
    call: caller_session_state.CallerRequest,
    version: int,
) -> messages.StatementReply:
    """Returns the message with the reply to a statement.

    Args:
      message: the statement.
      reply: reply of the session.
      call: request of the statement.
      version: version of the configuration in force.
    """
    match reply.result:
        case expression.Result(tag="ok", ok=answer):
            return messages.StatementReply(
                number=message.number,
                verdict=messages.Verdict.ANSWERED,
                rows=answer.rows,
                signature=answer.signature,
                state=reply.state,
                position=reply.position,
                served_by=call.served_by,
                version=version,
            )
    rejection = replies.as_rejection(reply.result.error)
    return messages.StatementReply(
        number=message.number,
        verdict=messages.Verdict.REJECTED,
        reason=rejection.reason,
        detail=rejection.detail,
        state=reply.state,
        position=reply.position,
        served_by=call.served_by,
        version=version,
    )
