"""Whether and when to retry a failed request: decisions without I/O.

The decision depends on what the failure says about the request. A request
that did not run may always be retried; a request with an unknown outcome only
if repeating it does no harm. A retry budget bounds retries to a share of the
requests, so that they don't add load to a group that already fails.

The delay grows exponentially from 10 ms to at most 320 ms, and a random part
of up to half is subtracted. Failures before a request was sent are told apart
from failures after that. Both follow the commit "feat(sdk): retry control-plane
requests on 502/503 and connection failures".
"""

from __future__ import annotations

import dataclasses
import datetime
import functools
import random

from hickorygate.core import errors
from hickorygate.core import reply

__all__ = [
    "Attempt",
    "RetryBudget",
    "RetryAfter",
    "GiveUp",
    "RetryDecision",
    "decide",
]

_INITIAL_DELAY = datetime.timedelta(milliseconds=10)
_MAX_DELAY = datetime.timedelta(milliseconds=320)
_MIN_JITTER_FACTOR = 0.5

_TRANSIENT_REASONS = frozenset(
    {
        reply.RejectionReason.BUSY,
        reply.RejectionReason.LAGGING,
        reply.RejectionReason.READ_ONLY,
        reply.RejectionReason.WRONG_DATABASE,
        reply.RejectionReason.CONNECTION_LIMIT,
        reply.RejectionReason.UNKNOWN_STATEMENT,
        reply.RejectionReason.FAILED,
        reply.RejectionReason.TIMED_OUT,
    }
)
"""Reasons of rejections after which a retry, or another database, may
succeed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """A failed attempt to run a request.

    Attributes:
      number: number of the attempt; 1 for the first one.
      repeatable: whether running the request twice does no harm.
      time_left: time until the request's deadline.
    """

    number: int
    repeatable: bool
    time_left: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class RetryDecision:
    """Base of the decisions about a retry."""


@dataclasses.dataclass(frozen=True, slots=True)
class GiveUp(RetryDecision):
    """No retry; the caller gets the failure."""


@dataclasses.dataclass(frozen=True, slots=True)
class RetryAfter(RetryDecision):
    """Retry after a delay.

    Attributes:
      duration: time to wait before the next attempt.
    """

    duration: datetime.timedelta


class RetryBudget:
    """Limits retries to a share of the requests.

    Each request adds that share to the balance, and each retry takes one from
    it.
    """

    __slots__ = ("_balance", "_limit", "_share")

    def __init__(self, share: float = 0.2, limit: float = 20.0) -> None:
        """Creates a full budget.

        Args:
          share: retries allowed per request.
          limit: maximum balance.
        """
        self._share = share
        self._limit = limit
        self._balance = limit

    @property
    def balance(self) -> float:
        """Number of retries that are allowed now."""
        return self._balance

    def __repr__(self) -> str:
        return f"RetryBudget(balance={self._balance:.1f})"

    def deposit(self) -> None:
        """Adds the share of one request to the balance."""
        self._balance = min(self._limit, self._balance + self._share)

    def withdraw(self) -> bool:
        """Takes one retry from the balance; returns whether it was allowed."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True


def decide(
    failure: errors.Failure,
    attempt: Attempt,
    budget: RetryBudget,
    rng: random.Random,
) -> RetryDecision:
    """Returns whether and when to retry after a failure.

    Args:
      failure: failure of the attempt.
      attempt: attempt that failed.
      budget: retry budget; a retry is taken from it.
      rng: source of the jitter.
    """
    if not _is_transient(failure) or not _may_repeat(failure, attempt):
        return GiveUp()
    delay = _backoff(attempt.number, rng)
    if delay >= attempt.time_left or not budget.withdraw():
        return GiveUp()
    return RetryAfter(delay)


def _may_repeat(failure: errors.Failure, attempt: Attempt) -> bool:
    if failure.outcome is errors.Outcome.NOT_RUN:
        return True
    return attempt.repeatable


def _backoff(number: int, rng: random.Random) -> datetime.timedelta:
    longest = min(_INITIAL_DELAY * 2 ** (number - 1), _MAX_DELAY)
    return longest * rng.uniform(_MIN_JITTER_FACTOR, 1)


@functools.singledispatch
def _is_transient(failure: errors.Failure) -> bool:
    """Returns whether a retry may succeed."""
    return False


@_is_transient.register(errors.AnswerLost)
@_is_transient.register(errors.ConnectFailed)
@_is_transient.register(errors.NoPrimary)
@_is_transient.register(errors.NoQuorum)
@_is_transient.register(errors.ReplicationUnconfirmed)
def _(failure: errors.Failure) -> bool:
    return True


@_is_transient.register
def _(failure: errors.UpstreamError) -> bool:
    return failure.refused or failure.interrupted


@_is_transient.register
def _(failure: reply.Rejection) -> bool:
    return failure.reason in _TRANSIENT_REASONS
