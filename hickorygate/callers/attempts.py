"""Tries a request again for as long as that is allowed and worth it."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable

import expression

from hickorygate.callers import environment as environments
from hickorygate.callers import handler as handlers
from hickorygate.callers import retrying
from hickorygate.callers import work as works
from hickorygate.core import errors
from hickorygate.core import measurement as measurements

__all__ = ["run"]

Try = Callable[[], Awaitable[handlers.AnswerResult]]


async def run(
    env: environments.Environment,
    work: works.Work,
    repeatable: bool,
    attempt: Try,
) -> handlers.AnswerResult:
    """Runs attempts until one succeeds or `core.retry` gives up.

    Args:
      env: clock, randomness and the budget of retries.
      work: the request.
      repeatable: whether running it twice does no harm.
      attempt: tries once.

    Returns:
      The last answer. If it says that the request did not run but an earlier
      attempt may have run it, the earlier failure is returned instead.
    """
    env.retries.deposit()
    unsettled: errors.Failure | None = None
    number = 1
    while True:
        result = await attempt()
        if result.is_ok():
            return result
        failure = result.error
        if unsettled is None and failure.outcome is errors.Outcome.UNKNOWN:
            unsettled = failure
        delay = retrying.next_delay(
            env, work.request, failure, number, repeatable
        )
        if delay is None:
            return _final(failure, unsettled)
        env.recorder.record(measurements.Retried(work.request.rank, failure))
        await env.clock.sleep(delay)
        number += 1


def _final(
    failure: errors.Failure, unsettled: errors.Failure | None
) -> handlers.AnswerResult:
    not_run = failure.outcome is errors.Outcome.NOT_RUN
    if not_run and unsettled is not None:
        return expression.Error(unsettled)
    return expression.Error(failure)
