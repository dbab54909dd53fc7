"""Simulates a connection to a database that sends some answers twice."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import functools
import itertools
from typing import TypeAlias

import expression

from hickorygate.core import operation
from hickorygate.core import position as positions
from hickorygate.core import reply as replies
from hickorygate.upstreams import database_request
from hickorygate.upstreams import reply_order

__all__ = ["BATCHES", "Doubling", "Exchange", "Step", "is_signed"]

_IDLE = replies.TransactionState.IDLE
_IN_TRANSACTION = replies.TransactionState.IN_TRANSACTION
_FAILED = replies.TransactionState.FAILED

_BUSY = replies.RejectionReason.BUSY
_READ_ONLY = replies.RejectionReason.READ_ONLY
_MALFORMED = replies.RejectionReason.MALFORMED

_READ = database_request.RunStatement("1", "READ 1a4")
_WRITE = database_request.RunStatement("2", "WRITE 1a4 x")
_COMMIT = database_request.RunStatement("3", "COMMIT", ends_transaction=True)
_BEGIN = database_request.Begin()
_ROLLBACK = database_request.Rollback()
_STATUS = database_request.ReadStatus()
_SET = database_request.SetValue("v", "1")
_PREPARE = database_request.Prepare(
    "p", operation.PreparedStatement(False, "q")
)

BATCHES: tuple[tuple[database_request.Request, ...], ...] = (
    (_READ,),
    (_WRITE,),
    (_BEGIN, _ROLLBACK),
    (_BEGIN, _ROLLBACK, _STATUS),
    (_STATUS,),
    (_SET, _PREPARE),
    (database_request.Reset(), _SET),
    (_BEGIN,),
    (_COMMIT,),
    (_ROLLBACK,),
)
"""Requests that proxies send together."""


Doubling: TypeAlias = Callable[[replies.Reply], int | None]
"""Returns after how many more answers a copy of a reply follows; None if none
does."""


@dataclasses.dataclass
class _Database:
    """Answers the requests of one connection; each answer is unique."""

    is_primary: bool = True
    state: replies.TransactionState = _IDLE
    offset: int = 1
    count: int = 0

    def answer(
        self, request: database_request.Request, is_busy: bool
    ) -> replies.Reply:
        self.count += 1
        match request:
            case database_request.RunStatement():
                return self._run(request, is_busy)
            case database_request.Begin():
                if not self.is_primary:
                    return self._reject(_READ_ONLY)
                self.state = _IN_TRANSACTION
            case database_request.Rollback():
                self.state = _IDLE
            case database_request.StatusRequest():
                if is_busy:
                    return self._reject(_BUSY)
                return self._reply((b"status %d" % self.count,), b"")
            case _ if self.state is _FAILED:
                return self._reject(_MALFORMED)
        return self._reply((), b"")

    def _run(
        self, request: database_request.RunStatement, is_busy: bool
    ) -> replies.Reply:
        if self.state is _FAILED and request.text != "COMMIT":
            return self._reject(_MALFORMED)
        if is_busy:
            return self._reject(_BUSY)
        if request.text == "COMMIT":
            self.state = _IDLE
        if request.text != "READ 1a4" and self.state is _IDLE:
            self.offset += 1
        return self._reply((), b"%d" % self.count)

    def _reject(self, reason: replies.RejectionReason) -> replies.Reply:
        if self.state is _IN_TRANSACTION:
            self.state = _FAILED
        rejection = replies.Rejection(reason, f"answer {self.count}")
        return self._finish(expression.Error(rejection))

    def _reply(
        self, rows: tuple[bytes, ...], signature: bytes
    ) -> replies.Reply:
        return self._finish(expression.Ok(replies.Answer(rows, signature)))

    def _finish(self, result: replies.Result) -> replies.Reply:
        return replies.Reply(
            result, self.state, positions.Position(1, self.offset)
        )


@dataclasses.dataclass(frozen=True)
class Step:
    """A batch of requests, sent before or after the replies to the last one.

    Attributes:
      batch: the requests.
      pipelined: whether it is sent before the last batch is answered.
      is_busy: whether statements and status requests are refused.
      loses_lead: whether the database stops to be the primary before it.
    """

    batch: tuple[database_request.Request, ...]
    pipelined: bool
    is_busy: bool
    loses_lead: bool


class Exchange:
    """One connection to a database, some of whose answers come twice.

    Attributes:
      own: reply to each request, by the number of its receiver.
      passed_on: reply that each receiver got.
      misfit: why the connection was closed; None if it wasn't.
      doubled: number of answers that came twice.
    """

    def __init__(self, doubling: Doubling, same_id: bool = False) -> None:
        """Creates the connection.

        Args:
          doubling: which answers come twice.
          same_id: whether all statements have the same id.
        """
        self._same_id = same_id
        self._database = _Database()
        self._order: reply_order.ReplyOrder[int | None] = (
            reply_order.ReplyOrder()
        )
        self._stream: list[replies.Reply] = []
        self._doubling = doubling
        self._late: list[tuple[int, replies.Reply]] = []
        self._receivers = itertools.count()
        self.own: dict[int, replies.Reply] = {}
        self.passed_on: dict[int, replies.Reply] = {}
        self.misfit: reply_order.Misfit | None = None
        self.doubled = 0

    def __repr__(self) -> str:
        return f"Exchange({self._order!r})"

    def play(self, steps: Iterable[Step]) -> None:
        """Sends the batches and delivers the replies, until a misfit."""
        for step in steps:
            if not step.pipelined:
                self._deliver_all()
            if self.misfit is not None:
                return
            if step.loses_lead and self._database.state is _IDLE:
                self._database.is_primary = False
            receivers = [next(self._receivers) for _ in step.batch]
            batch = [
                _with_id(request, "same" if self._same_id else str(receiver))
                for request, receiver in zip(step.batch, receivers, strict=True)
            ]
            self._send(reply_order.with_checks(batch, receivers), step.is_busy)
        self._deliver_all()

    def wrong(self) -> list[int]:
        """Returns the receivers that got the reply to another request.

        Of two successes that only change session state, or two rejections for
        the same reason, it doesn't matter which is which.
        """
        return [
            receiver
            for receiver, reply in self.passed_on.items()
            if _meaning(reply) != _meaning(self.own[receiver])
        ]

    def _send(
        self,
        sent: Iterable[tuple[database_request.Request, int | None]],
        is_busy: bool,
    ) -> None:
        for request, receiver in sent:
            self._order.send(request, receiver)
            reply = self._database.answer(request, is_busy)
            if receiver is not None:
                self.own[receiver] = reply
            self._answer(reply)

    def _answer(self, reply: replies.Reply) -> None:
        """Puts an answer into the stream, and late copies that are due."""
        self._stream.append(reply)
        delay = self._doubling(reply)
        if delay is not None:
            self.doubled += 1
            self._late.append((delay, reply))
        self._stream += [copy for left, copy in self._late if not left]
        self._late = [(left - 1, copy) for left, copy in self._late if left]

    def _deliver_all(self) -> None:
        while self._stream and self.misfit is None:
            received = self._order.receive(self._stream.pop(0))
            if isinstance(received, reply_order.Misfit):
                self.misfit = received
                return
            for settled in received.settled:
                if settled.receiver is not None:
                    self.passed_on[settled.receiver] = settled.reply
            if received.check is not None:
                self._send([(received.check, None)], False)


@functools.singledispatch
def _with_id(
    request: database_request.Request, request_id: str
) -> database_request.Request:
    """Returns a request with the id of its own if it carries one."""
    return request


@_with_id.register
def _(
    request: database_request.RunStatement, request_id: str
) -> database_request.Request:
    return dataclasses.replace(request, id=request_id)


def is_signed(reply: replies.Reply) -> bool:
    """Returns whether a reply is a success with a signature."""
    match reply.result:
        case expression.Result(tag="ok", ok=answer):
            return bool(answer.signature)
    return False


def _meaning(reply: replies.Reply) -> object:
    """Returns what a receiver learns from a reply."""
    match reply.result:
        case expression.Result(tag="ok", ok=answer):
            return answer
        case expression.Result(error=replies.Rejection() as rejection):
            return rejection.reason
    return reply.result
