"""Tests the takeover state machine step by step, with times set by the test."""

from __future__ import annotations

import unittest

from hickorygate.core import position as positions
from hickorygate.core import reply as replies
from hickorygate.testing import clock
from hickorygate.upstreams import takeover as takeovers


def _plan(
    candidate: str | None = None,
    pause: str = "bc",
    absent: int = 1,
    leaving: str = "",
) -> takeovers.Plan:
    return takeovers.Plan(
        service="service",
        term=2,
        reason="test",
        leader="a",
        candidate=candidate,
        pause=frozenset(pause),
        max_silent=1,
        unreachable_count=absent,
        leaving=frozenset(leaving),
    )


def _status(
    received: int, term: int = 1, paused_for: int = 2
) -> replies.ReplicationStatus:
    position = positions.Position(term, received)
    return replies.ReplicationStatus(False, term, position, paused_for)


class TakeoverTest(unittest.TestCase):
    """Tests that the replica with the greatest log end is promoted."""

    def begin(self, plan: takeovers.Plan) -> list[takeovers.Effect]:
        self.takeover = takeovers.Takeover(plan, clock.at(0))
        return self.takeover.advance(clock.at(0))

    def feed(
        self, event: takeovers.Event, at: float = 0.1
    ) -> list[takeovers.Effect]:
        done = takeovers.handle(event, self.takeover, clock.at(at))
        return done + self.takeover.advance(clock.at(at))

    def pause(self, name: str, received: int) -> list[takeovers.Effect]:
        return self.feed(takeovers.ReplicaPaused(name, _status(received)))

    def test_all_replicas_are_paused_first(self) -> None:
        self.assertEqual(
            self.begin(_plan()),
            [takeovers.PauseReplica("b", 2), takeovers.PauseReplica("c", 2)],
        )
        self.assertEqual(self.pause("b", 5), [])

    def test_the_replica_with_the_greatest_log_end_is_promoted(self) -> None:
        self.begin(_plan())
        self.pause("b", 5)
        self.assertEqual(self.pause("c", 6), [takeovers.OrderPromotion("c")])

    def test_a_replica_without_a_response_is_paused_again(self) -> None:
        # This replica could have the only copy of an acknowledged commit.
        self.begin(_plan())
        self.pause("b", 5)
        lost = self.feed(takeovers.ReplicaPaused("c", None))
        self.assertEqual(lost, [])
        again = self.takeover.advance(clock.at(0.5))
        self.assertEqual(again, [takeovers.PauseReplica("c", 2)])

    def test_a_leaving_replica_is_not_preferred(self) -> None:
        self.begin(_plan(leaving="c"))
        self.pause("c", 5)
        self.assertEqual(self.pause("b", 5), [takeovers.OrderPromotion("b")])

    def test_a_leaving_replica_with_the_greatest_log_end_is_promoted(
        self,
    ) -> None:
        self.begin(_plan(leaving="c"))
        self.pause("b", 5)
        self.assertEqual(self.pause("c", 6), [takeovers.OrderPromotion("c")])

    def test_a_pause_for_a_lower_term_does_not_count(self) -> None:
        self.begin(_plan())
        self.pause("b", 5)
        lower_term = takeovers.ReplicaPaused("c", _status(9, paused_for=0))
        self.assertEqual(self.feed(lower_term), [])

    def test_a_newer_term_aborts_the_takeover(self) -> None:
        self.begin(_plan())
        self.pause("b", 5)
        newer = takeovers.ReplicaPaused("c", _status(9, term=2))
        effects = takeovers.handle(newer, self.takeover, clock.at(0.1))
        self.assertFalse(effects[0].succeeded)

    def test_a_candidate_is_promoted_after_it_caught_up(self) -> None:
        self.begin(_plan(candidate="b", pause="c", absent=0))
        compared = self.pause("c", 5)
        self.assertEqual(compared, [takeovers.CompareCandidate("a", "b")])
        behind = takeovers.CandidateSeen(
            positions.Position(1, 9), positions.Position(1, 8)
        )
        self.assertEqual(self.feed(behind), [])
        level = takeovers.CandidateSeen(
            positions.Position(1, 9), positions.Position(1, 9)
        )
        self.assertEqual(self.feed(level, 0.4), [takeovers.OrderPromotion("b")])

    def test_a_refused_order_is_repeated(self) -> None:
        self.begin(_plan())
        self.pause("b", 5)
        self.pause("c", 6)
        refused = takeovers.PromotionEnded(False)
        self.assertEqual(self.feed(refused, 0.15), [])
        self.assertEqual(
            self.takeover.advance(clock.at(0.4)),
            [takeovers.OrderPromotion("c")],
        )

    def test_a_new_primary_ends_the_takeover_and_the_former_is_demoted(
        self,
    ) -> None:
        self.begin(_plan())
        found = takeovers.LeaderFound("c", 2)
        effects = takeovers.handle(found, self.takeover, clock.at(1))
        self.assertEqual(
            effects, [takeovers.Finish(True, "a", "c is the primary")]
        )

    def test_the_return_of_the_former_primary_does_not_end_the_takeover(
        self,
    ) -> None:
        self.begin(_plan())
        found = takeovers.LeaderFound("a", 1)
        self.assertEqual(
            takeovers.handle(found, self.takeover, clock.at(1)), []
        )

    def test_the_takeover_times_out(self) -> None:
        self.begin(_plan())
        self.pause("b", 5)
        effects = self.takeover.advance(clock.at(6))
        self.assertFalse(effects[0].succeeded)
