"""Tests of whether and when a failed request is retried."""

from __future__ import annotations

import datetime
import random
import unittest

from hickorygate.core import errors
from hickorygate.core import retry

_PLENTY = datetime.timedelta(seconds=5)
_LOST = errors.AnswerLost("alert-db-1a", "cut")
_NOT_CONNECTED = errors.ConnectFailed("alert-db-1a", "refused")


class DecideTest(unittest.TestCase):
    """Decisions by failure, attempt, deadline and retry budget."""

    def setUp(self) -> None:
        self.budget = retry.RetryBudget()
        self.rng = random.Random(1)

    def decide(
        self,
        failure: errors.Failure,
        repeatable: bool,
        time_left: datetime.timedelta = _PLENTY,
        number: int = 1,
    ) -> retry.RetryDecision:
        attempt = retry.Attempt(number, repeatable, time_left)
        return retry.decide(failure, attempt, self.budget, self.rng)

    def test_unknown_outcome_is_not_repeated(self) -> None:
        verdict = self.decide(_LOST, repeatable=False)
        self.assertEqual(verdict, retry.GiveUp())

    def test_unknown_outcome_is_repeated_where_harmless(self) -> None:
        verdict = self.decide(_LOST, repeatable=True)
        self.assertIsInstance(verdict, retry.RetryAfter)

    def test_request_that_did_not_run_is_retried(self) -> None:
        verdict = self.decide(_NOT_CONNECTED, repeatable=False)
        self.assertIsInstance(verdict, retry.RetryAfter)

    def test_error_from_a_database_is_not_retried(self) -> None:
        failure = errors.UpstreamError(1064, "42000", "syntax")
        self.assertEqual(self.decide(failure, True), retry.GiveUp())

    def test_interrupted_write_is_not_repeated(self) -> None:
        failure = errors.UpstreamError(1053, "08S01", "", interrupted=True)
        self.assertEqual(failure.outcome, errors.Outcome.UNKNOWN)
        self.assertEqual(self.decide(failure, False), retry.GiveUp())
        self.assertIsInstance(self.decide(failure, True), retry.RetryAfter)

    def test_overload_is_left_to_the_caller_to_retry(self) -> None:
        failure = errors.Overloaded("urgent", _PLENTY)
        self.assertEqual(self.decide(failure, True), retry.GiveUp())

    def test_no_retry_past_the_deadline(self) -> None:
        verdict = self.decide(
            _NOT_CONNECTED, True, time_left=datetime.timedelta(milliseconds=4)
        )
        self.assertEqual(verdict, retry.GiveUp())

    def test_delay_grows_and_is_bounded(self) -> None:
        longest = datetime.timedelta(milliseconds=320)
        for number in range(1, 15):
            verdict = self.decide(_NOT_CONNECTED, True, number=number)
            assert isinstance(verdict, retry.RetryAfter)
            ceiling = datetime.timedelta(milliseconds=10) * 2 ** (number - 1)
            self.assertLessEqual(verdict.duration, min(ceiling, longest))
            self.assertGreaterEqual(verdict.duration, min(ceiling, longest) / 2)

    def test_budget_bounds_retries_to_a_share(self) -> None:
        budget = retry.RetryBudget(share=0.2, limit=5)
        retries = 0
        for _ in range(1_000):
            budget.deposit()
            retries += budget.withdraw()
        self.assertLessEqual(retries, 5 + 0.2 * 1_000)
        self.assertGreaterEqual(retries, 0.19 * 1_000)
