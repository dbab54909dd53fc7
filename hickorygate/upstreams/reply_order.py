"""Assigns the replies on a connection to its requests, without I/O.

A database answers the requests of a connection in their order, and a reply
doesn't name its request. If a database answers one of them twice, each later
reply is taken for the answer to the request after its own. This module notices
that before a wrong answer is passed on:

- A reply with a signature that came before is a second copy, and is dropped.
  If a request with the same id waits, it may also be the answer to that one.
- A reply must fit its request (`reply_shape`), and its position must not be
  older than that of the reply before.
- An error, a status, the opening of a transaction and a signature that came
  before for the same request id are withheld until a later reply confirms that
  the order is still right. If no request is outstanding whose reply could do
  so, a `CheckOrder` request is sent for that purpose.

Not noticed: two second answers without signatures that arrive one after the
other while two requests of the same kinds are outstanding, if the log hasn't
grown in between. Of two successes that only change session state, it doesn't
matter which is which.
"""

from __future__ import annotations

import collections
from collections.abc import Sequence
import dataclasses
from typing import Generic
from typing import TypeVar

from hickorygate.core import position as positions
from hickorygate.core import reply as replies
from hickorygate.upstreams import database_request
from hickorygate.upstreams import reply_shape

__all__ = ["Misfit", "Received", "ReplyOrder", "Settled", "with_checks"]

_KEPT_SIGNATURES = 256
"""Number of signatures that a connection remembers."""

_Receiver = TypeVar("_Receiver")


@dataclasses.dataclass(frozen=True, slots=True)
class Settled(Generic[_Receiver]):
    """A reply that certainly belongs to its request.

    Attributes:
      receiver: who sent the request, as passed to `ReplyOrder.send`.
      reply: the reply.
    """

    receiver: _Receiver
    reply: replies.Reply


@dataclasses.dataclass(frozen=True, slots=True)
class Received(Generic[_Receiver]):
    """What follows from a reply.

    Attributes:
      settled: replies that are to be passed on, in order.
      check: request to send now, so that the withheld replies are confirmed;
        None if there is nothing to confirm, or another reply will do so.
      repeated: whether the reply is a second copy of an earlier one.
    """

    settled: tuple[Settled[_Receiver], ...] = ()
    check: database_request.CheckOrder | None = None
    repeated: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Misfit:
    """A reply isn't the answer to the oldest request.

    The connection must be closed: it isn't known which requests have run.

    Attributes:
      reason: what is wrong with the reply.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class _Outstanding(Generic[_Receiver]):
    request: database_request.Request
    receiver: _Receiver


class ReplyOrder(Generic[_Receiver]):
    """The requests of one connection and the replies to them."""

    __slots__ = (
        "_confirming",
        "_outstanding",
        "_position",
        "_signatures",
        "_state",
        "_withheld",
    )

    def __init__(self) -> None:
        self._outstanding: collections.deque[_Outstanding[_Receiver]] = (
            collections.deque()
        )
        self._withheld: list[Settled[_Receiver]] = []
        self._signatures: dict[bytes, str] = {}
        self._state = replies.TransactionState.IDLE
        self._position: positions.Position | None = None

    @property
    def next_request(self) -> database_request.Request | None:
        """The oldest request without a reply; None if there is none."""
        return self._outstanding[0].request if self._outstanding else None

    @property
    def receivers(self) -> list[_Receiver]:
        """Who waits for a reply, withheld ones first."""
        withheld = [settled.receiver for settled in self._withheld]
        return withheld + [sent.receiver for sent in self._outstanding]

    @property
    def outstanding(self) -> list[database_request.Request]:
        """Requests without a reply, oldest first."""
        return [sent.request for sent in self._outstanding]

    def __repr__(self) -> str:
        return (
            f"ReplyOrder(outstanding={len(self._outstanding)}, "
            f"withheld={len(self._withheld)})"
        )

    def send(
        self, request: database_request.Request, receiver: _Receiver
    ) -> None:
        """Records that a request was sent.

        Args:
          request: the request.
          receiver: who gets the reply.
        """
        self._outstanding.append(_Outstanding(request, receiver))

    def receive(self, reply: replies.Reply) -> Received[_Receiver] | Misfit:
        """Assigns a reply to the oldest request without one."""
        signature = _signature(reply)
        if self._is_second_copy(signature):
            return Received(repeated=True)
        if not self._outstanding:
            return Misfit("an answer to nothing")
        sent = self._outstanding[0]
        reason = self._misfit(sent.request, reply)
        if reason is not None:
            return Misfit(reason)
        self._outstanding.popleft()
        may_be_copy = signature in self._signatures
        self._state = reply.state
        self._position = reply.position or self._position
        if signature:
            self._remember(signature, database_request.id_of(sent.request))
        return self._settle(sent, reply, may_be_copy)

    def _misfit(
        self, request: database_request.Request, reply: replies.Reply
    ) -> str | None:
        """Returns why a reply isn't the answer to a request, or None."""
        found = reply_shape.misfit(request, reply, self._state)
        if found is not None:
            return f"{found} in answer to {type(request).__name__}"
        if reply.position is None or self._position is None:
            return None
        if reply.position < self._position:
            return "an answer is older than the one before"
        return None

    def _is_second_copy(self, signature: bytes) -> bool:
        """Returns whether the reply with a signature has come before."""
        request_id = self._signatures.get(signature)
        if request_id is None:
            return False
        waiting = self.next_request
        return waiting is None or database_request.id_of(waiting) != request_id

    def _remember(self, signature: bytes, request_id: str) -> None:
        self._signatures[signature] = request_id
        if len(self._signatures) > _KEPT_SIGNATURES:
            del self._signatures[next(iter(self._signatures))]

    def _settle(
        self,
        sent: _Outstanding[_Receiver],
        reply: replies.Reply,
        may_be_copy: bool,
    ) -> Received[_Receiver]:
        settled = Settled(sent.receiver, reply)
        if reply_shape.confirms_order(sent.request, reply):
            confirmed = (*self._withheld, settled)
            self._withheld.clear()
            return Received(confirmed)
        doubtful = may_be_copy or reply_shape.needs_confirmation(
            sent.request, reply
        )
        if not (doubtful or self._withheld):
            return Received((settled,))
        self._withheld.append(settled)
        if self._outstanding:
            return Received()
        return Received(check=database_request.CheckOrder())


def with_checks(
    batch: Sequence[database_request.Request], receivers: Sequence[_Receiver]
) -> list[tuple[database_request.Request, _Receiver | None]]:
    """Returns what to send for a batch, with the checks that it needs anyway.

    A check follows each status request, and the opening of a transaction if
    nothing else follows it. Nobody receives the reply to a check.

    Args:
      batch: requests to send.
      receivers: who gets the replies, in the same order.
    """
    sent: list[tuple[database_request.Request, _Receiver | None]] = []
    for request, receiver in zip(batch, receivers, strict=True):
        sent.append((request, receiver))
        is_last = request is batch[-1]
        if isinstance(request, database_request.StatusRequest) or (
            is_last and isinstance(request, database_request.Begin)
        ):
            sent.append((database_request.CheckOrder(), None))
    return sent


def _signature(reply: replies.Reply) -> bytes:
    """Returns the signature of an answer; empty if it has none."""
    return reply.result.ok.signature if reply.result.is_ok() else b""
