"""Whether and when a caller's statement is tried again."""

from __future__ import annotations

import datetime
import random
from typing import Protocol

from hickorygate.core import clock as clocks
from hickorygate.core import errors
from hickorygate.core import request as requests
from hickorygate.core import retry

__all__ = ["Sources", "next_delay"]


class Sources(Protocol):
    """What a retry takes from a session's environment."""

    @property
    def clock(self) -> clocks.Clock:
        """The time."""

    @property
    def retries(self) -> retry.Budget:
        """Bounds retries to a share of the requests."""

    @property
    def rng(self) -> random.Random:
        """Source of jitter."""


def next_delay(
    env: Sources,
    request: requests.Request,
    failure: errors.Failure,
    number: int,
    repeatable: bool,
) -> datetime.timedelta | None:
    """Returns how long to wait before another try; None to give up.

    Args:
      env: clock, randomness and the budget of retries.
      request: the terms of service; nothing is tried past its deadline.
      failure: why the try failed.
      number: 1 for the first try.
      repeatable: whether running the request twice does no harm.
    """
    left = request.time_left(env.clock.now())
    attempt = retry.Attempt(number, repeatable, left)
    verdict = retry.decide(failure, attempt, env.retries, env.rng)
    return verdict.duration if isinstance(verdict, retry.Delay) else None
