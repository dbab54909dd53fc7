"""Retries a request for as long as the retry policy allows."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable

import expression

from hickorygate.callers import environment
from hickorygate.callers import handler
from hickorygate.callers import retry_delay
from hickorygate.callers import statement_execution
from hickorygate.core import errors
from hickorygate.core import measurement

__all__ = ["run"]

AttemptFunction = Callable[[], Awaitable[handler.AnswerResult]]


async def run(
    env: environment.Environment,
    work: statement_execution.StatementExecution,
    repeatable: bool,
    attempt: AttemptFunction,
) -> handler.AnswerResult:
    """Makes attempts until one succeeds or `core.retry` gives up.

    Args:
      env: environment with the clock, the random generator, the retry budget
        and the recorder of measurements.
      work: statement and its terms.
      repeatable: whether running the statement twice is harmless.
      attempt: function that makes one attempt.

    Returns:
      The answer of the last attempt. If that failure says that the statement
      did not run but an earlier attempt may have run it, the first failure of
      unknown outcome is returned instead.
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
        delay = retry_delay.next_delay(
            env, work.request, failure, number, repeatable
        )
        if delay is None:
            return _final_result(failure, unsettled)
        env.recorder.record(
            measurement.StatementRetried(work.request.rank, failure)
        )
        await env.clock.sleep(delay)
        number += 1


def _final_result(
    failure: errors.Failure, unsettled: errors.Failure | None
) -> handler.AnswerResult:
    """Returns the failure that the caller gets.

    Args:
      failure: failure of the last attempt.
      unsettled: first failure of unknown outcome, if there was one.
    """
    not_run = failure.outcome is errors.Outcome.NOT_RUN
    if not_run and unsettled is not None:
        return expression.Error(unsettled)
    return expression.Error(failure)
