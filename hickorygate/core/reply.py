"""Replies of databases, and the reasons of rejections."""

from __future__ import annotations

import dataclasses
import enum
import functools
from typing import TypeAlias

import expression

from hickorygate.core import errors
from hickorygate.core import position as positions
from hickorygate.core import types

__all__ = [
    "Answer",
    "ReplicationStatus",
    "RejectionReason",
    "Rejection",
    "Reply",
    "Result",
    "TransactionState",
    "as_rejection",
    "shorten",
]

_SHOWN_LENGTH = 100
"""Number of characters of a caller's text that a detail shows."""


def shorten(text: str) -> str:
    """Returns a text of a caller in the length that details show."""
    if len(text) <= _SHOWN_LENGTH:
        return text
    return text[:_SHOWN_LENGTH] + "..."


class TransactionState(enum.Enum):
    """Transaction state of a connection after a reply."""

    IDLE = "idle"
    IN_TRANSACTION = "in transaction"
    FAILED = "failed transaction"


class RejectionReason(enum.Enum):
    """Why a request was rejected."""

    BUSY = "busy"
    LAGGING = "lagging"
    READ_ONLY = "read only"
    WRONG_DATABASE = "wrong database"
    CONNECTION_LIMIT = "connection limit"
    ABORTED = "aborted"
    FAILED = "failed"
    TIMED_OUT = "timed out"
    IN_DOUBT = "in doubt"
    UNKNOWN_STATEMENT = "unknown statement"
    UNKNOWN_DATABASE = "unknown database"
    ACCESS_DENIED = "access denied"
    OVERSIZED = "oversized"
    MALFORMED = "malformed"

    @property
    def not_run(self) -> bool:
        """Whether the rejected request is known to have had no effect."""
        return self not in _MAY_HAVE_RUN


_MAY_HAVE_RUN = frozenset(
    {
        RejectionReason.FAILED,
        RejectionReason.TIMED_OUT,
        RejectionReason.IN_DOUBT,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class Rejection(errors.Failure):
    """A request was rejected, by a database or by this proxy.

    Attributes:
      reason: reason of the rejection.
      detail: what was rejected, and what to do about it.
    """

    reason: RejectionReason
    detail: str = ""

    @property
    def outcome(self) -> errors.Outcome:
        """Whether the request ran."""
        if self.reason.not_run:
            return errors.Outcome.NOT_RUN
        if self.reason is RejectionReason.FAILED:
            return errors.Outcome.RAN
        return errors.Outcome.UNKNOWN

    @property
    def message(self) -> str:
        """Human-readable message."""
        return f"{self.reason.value}: {self.detail}"


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The result of a request that ran.

    Attributes:
      rows: rows, encoded as the database sent them.
      signature: signature that proves that the database ran the request;
        empty if the proxy answered the statement without a database.
    """

    rows: tuple[bytes, ...] = ()
    signature: bytes = b""


Result: TypeAlias = expression.Result[Answer, errors.Failure]


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicationStatus:
    """Replication status that a database reports.

    Attributes:
      is_primary: whether the database is a primary.
      term: term that the database leads or follows.
      received: position of the end of its log; reads may see less.
      paused_for: term whose primary the database waits for; 0 if replication
        isn't paused.
    """

    is_primary: bool
    term: types.Term
    received: positions.Position
    paused_for: types.Term


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """The complete reply of a database to one request.

    Attributes:
      result: answer or failure.
      state: transaction state of the connection after the request.
      position: position in the database's log up to which reads see commits;
        None if the database didn't report it.
      group: replication status of the database; None if the request didn't
        ask for it.
      is_greeting: whether the reply only says that the session is open.
    """

    result: Result
    state: TransactionState
    position: positions.Position | None = None
    group: ReplicationStatus | None = None
    is_greeting: bool = False


@functools.singledispatch
def as_rejection(failure: errors.Failure) -> Rejection:
    """Returns a failure as a rejection with the same outcome.

    A rejection stays as it is. For any other failure, the outcome (not run,
    ran, unknown) determines the reason.
    """
    reasons = {
        errors.Outcome.NOT_RUN: RejectionReason.BUSY,
        errors.Outcome.RAN: RejectionReason.FAILED,
        errors.Outcome.UNKNOWN: RejectionReason.IN_DOUBT,
    }
    return Rejection(reasons[failure.outcome], failure.message)


@as_rejection.register
def _(failure: Rejection) -> Rejection:
    return failure
