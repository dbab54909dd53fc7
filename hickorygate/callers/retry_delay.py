"""Decides whether and when a caller's statement is retried."""

from __future__ import annotations

import datetime
import random
from typing import Protocol

from hickorygate.core import clock as clocks
from hickorygate.core import errors
from hickorygate.core import request_context
from hickorygate.core import retry

__all__ = ["RetryEnvironment", "next_delay"]


class RetryEnvironment(Protocol):
    """The parts of a session's environment that retries need."""

    @property
    def clock(self) -> clocks.Clock:
        """The source of the current time."""

    @property
    def retries(self) -> retry.RetryBudget:
        """The budget that limits retries to a share of the requests."""

    @property
    def rng(self) -> random.Random:
        """The random generator for jitter."""


def next_delay(
    env: RetryEnvironment,
    request: request_context.RequestContext,
    failure: errors.Failure,
    number: int,
    repeatable: bool,
) -> datetime.timedelta | None:
    """Returns the delay before the next attempt, or None to give up.

    Args:
      env: clock, retry budget and random generator.
      request: terms of the statement; no attempt starts after its deadline.
      failure: failure of the last attempt.
      number: number of that attempt, starting at 1.
      repeatable: whether running the statement twice is harmless.
    """
    time_left = request.time_left(env.clock.now())
    attempt = retry.Attempt(number, repeatable, time_left)
    verdict = retry.decide(failure, attempt, env.retries, env.rng)
    return verdict.duration if isinstance(verdict, retry.RetryAfter) else None
