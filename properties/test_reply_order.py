"""Properties: an answer that comes twice is never taken for another one."""

from __future__ import annotations

from collections.abc import Callable
import unittest

import hypothesis
from hypothesis import strategies

from hickorygate.core import reply as replies
from properties import reply_simulation

_STEPS = strategies.lists(
    strategies.builds(
        reply_simulation.Step,
        strategies.sampled_from(reply_simulation.BATCHES),
        strategies.booleans(),
        strategies.booleans(),
        strategies.sampled_from((False, False, False, True)),
    ),
    min_size=1,
    max_size=12,
)


def _once(
    doubled: int,
    delay: int,
    counts: Callable[[replies.Reply], bool] = lambda reply: True,
) -> reply_simulation.Doubling:
    """Returns a doubling of one answer.

    Args:
      doubled: number of the answer, from 0, among those that count.
      delay: number of answers between the two.
      counts: whether an answer counts.
    """
    seen = 0

    def doubling(reply: replies.Reply) -> int | None:
        nonlocal seen
        if not counts(reply):
            return None
        seen += 1
        return delay if seen - 1 == doubled else None

    return doubling


class ReplyOrderProperty(unittest.TestCase):
    """Guards against issue 49: a success with the answer of another request."""

    @hypothesis.settings(max_examples=2_000)
    @hypothesis.given(
        _STEPS, strategies.integers(0, 20), strategies.integers(0, 4)
    )
    def test_a_doubled_answer_reaches_no_other_request(
        self, steps: list[reply_simulation.Step], doubled: int, delay: int
    ) -> None:
        exchange = reply_simulation.Exchange(_once(doubled, delay))
        exchange.play(steps)
        self.assertEqual(exchange.wrong(), [])

    @hypothesis.settings(max_examples=2_000)
    @hypothesis.given(
        _STEPS, strategies.integers(0, 20), strategies.integers(0, 4)
    )
    def test_a_doubled_answer_reaches_no_request_with_the_same_id(
        self, steps: list[reply_simulation.Step], doubled: int, delay: int
    ) -> None:
        exchange = reply_simulation.Exchange(
            _once(doubled, delay), same_id=True
        )
        exchange.play(steps)
        self.assertEqual(exchange.wrong(), [])

    @hypothesis.given(
        _STEPS, strategies.integers(0, 20), strategies.integers(0, 4)
    )
    def test_a_doubled_signed_answer_fails_no_request(
        self, steps: list[reply_simulation.Step], doubled: int, delay: int
    ) -> None:
        exchange = reply_simulation.Exchange(
            _once(doubled, delay, reply_simulation.is_signed)
        )
        exchange.play(steps)
        self.assertIsNone(exchange.misfit)
        self.assertEqual(exchange.passed_on, exchange.own)

    @hypothesis.given(_STEPS)
    def test_orderly_answers_are_all_passed_on(
        self, steps: list[reply_simulation.Step]
    ) -> None:
        exchange = reply_simulation.Exchange(lambda reply: None)
        exchange.play(steps)
        self.assertIsNone(exchange.misfit)
        self.assertEqual(exchange.passed_on, exchange.own)
