"""Schedules a graceful shutdown that interrupts no request.

This module does no I/O.
"""

from __future__ import annotations

import dataclasses
import datetime

__all__ = ["ShutdownNotice", "ShutdownSchedule", "ShutdownStep"]

_NOTICE_PERIOD = datetime.timedelta(seconds=2.2)
"""Time until the platform sends no new callers: it checks readiness once a
second and removes a proxy after two failed checks."""

_NOTICE_SHARE = 0.4
"""Largest share of the grace period that the notice may take."""

_TRANSACTIONS_SHARE = 0.5
"""Share of the grace period after which open transactions are aborted."""

_CLOSED_SHARE = 0.75
"""Share of the grace period after which all idle sessions are closed."""

_MARGIN = datetime.timedelta(milliseconds=500)
"""Time between the exit of the process and the end of the grace period."""

_ANSWER_MARGIN = datetime.timedelta(milliseconds=200)
"""Time between the last answers and the exit of the process, in which they are
sent."""


@dataclasses.dataclass(slots=True)
class ShutdownNotice:
    """What the sessions of a process need to know of its shutdown.

    Attributes:
      answer_by: time by which each request must be answered; None before a
        shutdown.
      refuses_sessions: whether new sessions are refused, because a request
        that they send could not be answered before the exit.
    """

    answer_by: datetime.datetime | None = None
    refuses_sessions: bool = False

    def limit(self, deadline: datetime.datetime) -> datetime.datetime:
        """Returns the deadline of a request, brought forward if necessary."""
        if self.answer_by is None:
            return deadline
        return min(deadline, self.answer_by)


@dataclasses.dataclass(frozen=True, slots=True)
class ShutdownStep:
    """What is due at one time of the shutdown.

    Attributes:
      close_share: share of the idle sessions that must be closed by now, 0 to
        1.
      abort_transactions: whether open transactions are aborted.
      refuse_sessions: whether new sessions are refused.
      exit: whether the process exits, whatever is still open.
    """

    close_share: float
    abort_transactions: bool
    refuse_sessions: bool
    exit: bool


class ShutdownSchedule:
    """The schedule of one graceful shutdown.

    Sessions are closed evenly between the end of the notice, when the
    platform sends no new callers, and a fixed share of the grace period.
    """

    __slots__ = ("_began", "_grace")

    def __init__(
        self, began: datetime.datetime, grace: datetime.timedelta
    ) -> None:
        self._began = began
        self._grace = grace

    @property
    def answer_by(self) -> datetime.datetime:
        """The time by which each request must be answered."""
        return self._began + self._grace - _MARGIN - _ANSWER_MARGIN

    def __repr__(self) -> str:
        return f"ShutdownSchedule(began={self._began}, grace={self._grace})"

    def at(self, now: datetime.datetime) -> ShutdownStep:
        """Returns what is due at a time."""
        elapsed = now - self._began
        notice = min(_NOTICE_PERIOD, self._grace * _NOTICE_SHARE)
        closed = self._grace * _CLOSED_SHARE
        share = (elapsed - notice) / max(closed - notice, _MARGIN)
        return ShutdownStep(
            close_share=min(max(share, 0.0), 1.0),
            abort_transactions=elapsed >= self._grace * _TRANSACTIONS_SHARE,
            refuse_sessions=elapsed >= closed,
            exit=elapsed >= self._grace - _MARGIN,
        )
