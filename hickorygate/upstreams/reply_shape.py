"""Decides whether a reply can be the answer to a request, without I/O.

A reply doesn't name the request that it answers. What it holds (a signature,
rows, the transaction state) still excludes most requests.
"""

from __future__ import annotations

import dataclasses
import functools

from hickorygate.core import reply as replies
from hickorygate.upstreams import database_request

__all__ = ["confirms_order", "misfit", "needs_confirmation"]

_IDLE = replies.TransactionState.IDLE
_IN_TRANSACTION = replies.TransactionState.IN_TRANSACTION
_FAILED = replies.TransactionState.FAILED
_BUSY = replies.RejectionReason.BUSY
_MALFORMED = replies.RejectionReason.MALFORMED
_READ_ONLY = replies.RejectionReason.READ_ONLY


@dataclasses.dataclass(frozen=True, slots=True)
class _Shape:
    """What the answer to a request holds if the request succeeded.

    Attributes:
      signed: whether it has a signature.
      has_rows: whether it has rows; None if it may have some.
      state: transaction state after the request.
    """

    state: replies.TransactionState
    signed: bool = False
    has_rows: bool | None = False


_SIGNED = {
    state: _Shape(signed=True, has_rows=None, state=state)
    for state in replies.TransactionState
}
_OPENED = _Shape(state=_IN_TRANSACTION)
_CLOSED = _Shape(state=_IDLE)
_UNCHANGED = {state: _Shape(state=state) for state in replies.TransactionState}
_STATUS = {
    state: _Shape(has_rows=True, state=state)
    for state in replies.TransactionState
}


def misfit(
    request: database_request.Request,
    reply: replies.Reply,
    before: replies.TransactionState,
) -> str | None:
    """Returns why a reply can't be the answer to a request; None if it can.

    Args:
      request: oldest request without an answer.
      reply: next reply on the connection.
      before: transaction state before the request.
    """
    if reply.result.is_ok():
        opens_session = isinstance(request, database_request.OpenSession)
        if reply.is_greeting != opens_session:
            return "a greeting" if reply.is_greeting else "no greeting"
        answer = reply.result.ok
        return _answer_misfit(answer, reply.state, _shape(request, before))
    if before is _IDLE and reply.state is not _IDLE:
        return "the error of a transaction"
    if before is _FAILED and _reason(reply) is _MALFORMED:
        # So is every request in a failed transaction but its end.
        return None
    return _error_misfit(request, reply)


def _answer_misfit(
    answer: replies.Answer, state: replies.TransactionState, shape: _Shape
) -> str | None:
    """Returns why an answer doesn't have a shape; None if it has."""
    if bool(answer.signature) is not shape.signed:
        return "no signature" if shape.signed else "a signature"
    if shape.has_rows not in (None, bool(answer.rows)):
        return "no rows" if shape.has_rows else "rows"
    return None if state is shape.state else "another transaction state"


@functools.singledispatch
def _shape(
    request: database_request.Request, before: replies.TransactionState
) -> _Shape:
    """Returns the shape of the answer to a request.

    The default is for requests that change session state only.

    Args:
      request: the request.
      before: transaction state before it.
    """
    return _UNCHANGED[before]


@_shape.register
def _(
    request: database_request.Execute, before: replies.TransactionState
) -> _Shape:
    return _SIGNED[before]


@_shape.register
def _(
    request: database_request.RunStatement, before: replies.TransactionState
) -> _Shape:
    return _SIGNED[_IDLE if request.ends_transaction else before]


@_shape.register
def _(
    request: database_request.Begin, before: replies.TransactionState
) -> _Shape:
    return _OPENED


@_shape.register(database_request.Rollback)
@_shape.register(database_request.OpenSession)
def _(
    request: database_request.Request, before: replies.TransactionState
) -> _Shape:
    return _CLOSED


@_shape.register
def _(
    request: database_request.StatusRequest, before: replies.TransactionState
) -> _Shape:
    return _STATUS[before]


@functools.singledispatch
def _error_misfit(
    request: database_request.Request, reply: replies.Reply
) -> str | None:
    """Returns why an error isn't the answer to a request; None if it may be."""
    return None


@_error_misfit.register
def _(request: database_request.CheckOrder, reply: replies.Reply) -> str | None:
    # A database that has lost the lead refuses whatever a transaction sends.
    lost_lead = _reason(reply) is _READ_ONLY and reply.state is not _IDLE
    return None if lost_lead else "an error"


@_error_misfit.register(database_request.Rollback)
@_error_misfit.register(database_request.Reset)
@_error_misfit.register(database_request.SetValue)
@_error_misfit.register(database_request.Prepare)
def _(request: database_request.Request, reply: replies.Reply) -> str | None:
    return "an error"


@_error_misfit.register
def _(
    request: database_request.StatusRequest, reply: replies.Reply
) -> str | None:
    return None if _reason(reply) is _BUSY else "an error"


def _reason(reply: replies.Reply) -> replies.RejectionReason | None:
    """Returns why an error rejects its request; None if it doesn't."""
    match reply.result.error:
        case replies.Rejection(reason=reason):
            return reason
    return None


@functools.singledispatch
def needs_confirmation(
    request: database_request.Request, reply: replies.Reply
) -> bool:
    """Returns whether a fitting reply may still be that of another request.

    An error may be the answer to any request. A success that isn't signed may
    be an earlier one of the same kind.
    """
    return reply.result.is_error()


@needs_confirmation.register
def _(request: database_request.OpenSession, reply: replies.Reply) -> bool:
    return False


@needs_confirmation.register(database_request.Begin)
@needs_confirmation.register(database_request.StatusRequest)
def _(request: database_request.Request, reply: replies.Reply) -> bool:
    return True


@functools.singledispatch
def confirms_order(
    request: database_request.Request, reply: replies.Reply
) -> bool:
    """Returns whether a fitting reply shows that those before it were right.

    Had one of them been out of place, then the reply to a statement, to a
    status request or to the opening of a transaction would have come instead.
    """
    return reply.result.is_ok()


@confirms_order.register(database_request.OpenSession)
@confirms_order.register(database_request.Begin)
@confirms_order.register(database_request.RunStatement)
@confirms_order.register(database_request.Execute)
@confirms_order.register(database_request.StatusRequest)
def _(request: database_request.Request, reply: replies.Reply) -> bool:
    return False


@confirms_order.register
def _(request: database_request.CheckOrder, reply: replies.Reply) -> bool:
    return True
