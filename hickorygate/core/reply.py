"""What a database answers to one request, and how a refusal is classed."""

from __future__ import annotations

import dataclasses
import enum
from typing import TypeAlias

import expression

from hickorygate.core import errors
from hickorygate.core import position as positions
from hickorygate.core import types

__all__ = [
    "Answer",
    "GroupStatus",
    "Reason",
    "Rejection",
    "Reply",
    "Result",
    "SessionState",
]


class SessionState(enum.Enum):
    """Where a session stands after an answer."""

    IDLE = "idle"
    IN_TRANSACTION = "in transaction"
    FAILED = "failed transaction"


class Reason(enum.Enum):
    """Why a request was refused."""

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
        """Whether the refused request is known to have had no effect."""
        return self not in _MAY_HAVE_RUN


_MAY_HAVE_RUN = frozenset({Reason.FAILED, Reason.TIMED_OUT, Reason.IN_DOUBT})


@dataclasses.dataclass(frozen=True, slots=True)
class Rejection(errors.Failure):
    """A request was refused, by a database or by this proxy.

    Attributes:
      reason: the class of the refusal.
      detail: what was refused, and the way out.
    """

    reason: Reason
    detail: str = ""

    @property
    def outcome(self) -> errors.Outcome:
        """What is known about the request."""
        if self.reason.not_run:
            return errors.Outcome.NOT_RUN
        if self.reason is Reason.FAILED:
            return errors.Outcome.RAN
        return errors.Outcome.UNKNOWN

    @property
    def message(self) -> str:
        """Text for a person."""
        return f"{self.reason.value}: {self.detail}"


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A request was run.

    Attributes:
      rows: the rows, encoded as the database sent them.
      signature: the database's proof that it ran the request; empty for a
        statement that was answered here.
    """

    rows: tuple[bytes, ...] = ()
    signature: bytes = b""


Result: TypeAlias = expression.Result[Answer, errors.Failure]


@dataclasses.dataclass(frozen=True, slots=True)
class GroupStatus:
    """What a database says of its place in the group.

    Attributes:
      leads: whether it is a primary.
      term: that it leads or follows.
      received: the end of its log; reads may see less.
      paused_for: the term that it waits for; 0 if it isn't paused.
    """

    leads: bool
    term: types.Term
    received: positions.Position
    paused_for: types.Term


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """One database's whole answer to one request.

    Attributes:
      result: the answer or the refusal.
      state: where the connection stands now.
      position: of the database's log, as reads see it; None if not told.
      group: its place in the group, where that was asked for.
    """

    result: Result
    state: SessionState
    position: positions.Position | None = None
    group: GroupStatus | None = None
