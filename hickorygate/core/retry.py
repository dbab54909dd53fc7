"""Whether and when to try again: decisions without I/O.

What a failure knows of the request decides. A request that did not run may
be tried again whatever it is; one of unknown outcome only if repeating it is
harmless. A budget bounds retries to a share of the requests, so that they
don't add load to a group that already fails.

The delay (exponential, a random half taken off) is that of "feat(sdk): retry
control-plane requests on 502/503 and connection failures", which also
separates failures before the request left from those after it.
"""

from __future__ import annotations

import dataclasses
import datetime
import functools
import random

from hickorygate.core import errors
from hickorygate.core import reply as replies

__all__ = ["Attempt", "Budget", "Delay", "GiveUp", "Verdict", "decide"]

_FIRST_DELAY = datetime.timedelta(milliseconds=10)
_LONGEST_DELAY = datetime.timedelta(milliseconds=320)
_LEAST_JITTER = 0.5

_PASSING = frozenset(
    {
        replies.Reason.BUSY,
        replies.Reason.LAGGING,
        replies.Reason.READ_ONLY,
        replies.Reason.WRONG_DATABASE,
        replies.Reason.CONNECTION_LIMIT,
        replies.Reason.UNKNOWN_STATEMENT,
        replies.Reason.FAILED,
        replies.Reason.TIMED_OUT,
    }
)
"""Refusals after which another try, or another database, may do."""


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """A try that failed.

    Attributes:
      number: 1 for the first try.
      repeatable: whether running the request twice does no harm.
      time_left: until the request's deadline.
    """

    number: int
    repeatable: bool
    time_left: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Base of the verdicts."""


@dataclasses.dataclass(frozen=True, slots=True)
class GiveUp(Verdict):
    """The caller gets the failure."""


@dataclasses.dataclass(frozen=True, slots=True)
class Delay(Verdict):
    """Try again after this time."""

    duration: datetime.timedelta


class Budget:
    """Allows retries up to a share of the requests.

    Each request adds to it and each retry takes one from it.
    """

    __slots__ = ("_balance", "_limit", "_share")

    def __init__(self, share: float = 0.2, limit: float = 20.0) -> None:
        """Starts full.

        Args:
          share: retries allowed for each request.
          limit: the most retries that are saved up.
        """
        self._share = share
        self._limit = limit
        self._balance = limit

    @property
    def balance(self) -> float:
        """Retries that are allowed now."""
        return self._balance

    def __repr__(self) -> str:
        return f"Budget(balance={self._balance:.1f})"

    def deposit(self) -> None:
        """Counts a request."""
        self._balance = min(self._limit, self._balance + self._share)

    def withdraw(self) -> bool:
        """Takes one retry out, if there is one."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True


def decide(
    failure: errors.Failure,
    attempt: Attempt,
    budget: Budget,
    rng: random.Random,
) -> Verdict:
    """Tells whether to try again after a failure."""
    if not _worth_retrying(failure) or not _harmless(failure, attempt):
        return GiveUp()
    delay = _delay(attempt.number, rng)
    if delay >= attempt.time_left or not budget.withdraw():
        return GiveUp()
    return Delay(delay)


def _harmless(failure: errors.Failure, attempt: Attempt) -> bool:
    if failure.outcome is errors.Outcome.NOT_RUN:
        return True
    return attempt.repeatable


def _delay(number: int, rng: random.Random) -> datetime.timedelta:
    longest = min(_FIRST_DELAY * 2 ** (number - 1), _LONGEST_DELAY)
    return longest * rng.uniform(_LEAST_JITTER, 1)


@functools.singledispatch
def _worth_retrying(failure: errors.Failure) -> bool:
    """Tells whether another try may end differently."""
    return False


@_worth_retrying.register(errors.AnswerLost)
@_worth_retrying.register(errors.ConnectFailed)
@_worth_retrying.register(errors.NoPrimary)
@_worth_retrying.register(errors.NoQuorum)
@_worth_retrying.register(errors.ReplicationUnconfirmed)
def _(failure: errors.Failure) -> bool:
    return True


@_worth_retrying.register
def _(failure: errors.UpstreamError) -> bool:
    return failure.refused or failure.interrupted


@_worth_retrying.register
def _(failure: replies.Rejection) -> bool:
    return failure.reason in _PASSING
