"""Tests the takeover state machine step by step, with times set by the test."""

from __future__ import annotations

import dataclasses
import unittest

from hickorygate.core import position as positions
from hickorygate.core import reply
from hickorygate.testing import clock
from hickorygate.upstreams import promotion_order
from hickorygate.upstreams import takeover
from hickorygate.upstreams import takeover_events
from hickorygate.upstreams import takeover_plan
from hickorygate.upstreams import takeover_timing

_ACCEPTED = promotion_order.OrderOutcome.ACCEPTED
_REFUSED = promotion_order.OrderOutcome.REFUSED
_UNKNOWN = promotion_order.OrderOutcome.UNKNOWN


def _plan(
    candidate: str | None = None,
    pause: str = "bc",
    absent: int = 1,
    leaving: str = "",
) -> takeover_plan.Plan:
    return takeover_plan.Plan(
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
) -> reply.ReplicationStatus:
    position = positions.Position(term, received)
    return reply.ReplicationStatus(False, term, position, paused_for)


class TakeoverTest(unittest.TestCase):
    """Tests that the replica with the greatest log end is promoted."""

    def begin(self, plan: takeover_plan.Plan) -> list[takeover_events.Effect]:
        """Starts a takeover whose replicas answer the inspection."""
        self.takeover = takeover.Takeover(plan, clock.at(0))
        effects = self.takeover.advance(clock.at(0))
        names = sorted(plan.pause | frozenset(plan.candidate or ""))
        self.assertEqual(
            effects, [takeover_events.InspectReplica(n) for n in names]
        )
        for name in names:
            effects = self.inspect(name)
        return effects

    def inspect(
        self, name: str, at: float = 0.0
    ) -> list[takeover_events.Effect]:
        status = _status(5, paused_for=0)
        return self.feed(takeover_events.ReplicaInspected(name, status), at)

    def feed(
        self, event: takeover_events.Event, at: float = 0.1
    ) -> list[takeover_events.Effect]:
        done = takeover.handle(event, self.takeover, clock.at(at))
        return done + self.takeover.advance(clock.at(at))

    def pause(self, name: str, received: int) -> list[takeover_events.Effect]:
        return self.feed(takeover_events.ReplicaPaused(name, _status(received)))

    def verify(
        self, *effects: takeover_events.Effect, at: float = 0.1, **received: int
    ) -> list[takeover_events.Effect]:
        """Answers the requests to verify pauses; returns what follows."""
        following = list(effects)
        for effect in effects:
            assert isinstance(effect, takeover_events.InspectReplica), effect
            following = self.feed(
                takeover_events.ReplicaInspected(
                    effect.member,
                    _status(received[effect.member]),
                    effect.number,
                ),
                at,
            )
        return following

    def test_no_replica_is_paused_unless_enough_answer(self) -> None:
        # A paused replica no longer acknowledges the commits of a primary that
        # may still work, so it is only paused if the takeover can succeed.
        self.takeover = takeover.Takeover(_plan(), clock.at(0))
        self.takeover.advance(clock.at(0))
        self.assertEqual(self.inspect("b"), [])
        lost = self.feed(takeover_events.ReplicaInspected("c", None), at=0.1)
        self.assertEqual(lost, [])
        again = self.takeover.advance(clock.at(0.5))
        self.assertEqual(again, [takeover_events.InspectReplica("c")])
        (end,) = self.takeover.advance(clock.at(1.5))
        self.assertFalse(end.succeeded)

    def test_another_primary_ends_the_inspection(self) -> None:
        # It was promoted before this takeover began, and needs its replicas.
        self.takeover = takeover.Takeover(_plan(), clock.at(0))
        self.takeover.advance(clock.at(0))
        status = dataclasses.replace(_status(9, paused_for=0), is_primary=True)
        found = takeover_events.ReplicaInspected("b", status)
        effects = takeover.handle(found, self.takeover, clock.at(0.1))
        self.assertFalse(effects[0].succeeded)

    def test_a_former_primary_does_not_end_the_inspection(self) -> None:
        # It was replaced a term ago and hasn't stepped down yet.
        plan = dataclasses.replace(_plan(), term=3)
        self.takeover = takeover.Takeover(plan, clock.at(0))
        self.takeover.advance(clock.at(0))
        former = dataclasses.replace(_status(9, paused_for=0), is_primary=True)
        found = takeover_events.ReplicaInspected("b", former)
        effects = takeover.handle(found, self.takeover, clock.at(0.1))
        self.assertEqual(effects, [])

    def test_a_primary_that_answers_again_is_kept(self) -> None:
        self.takeover = takeover.Takeover(_plan(), clock.at(0))
        self.takeover.advance(clock.at(0))
        returned = takeover_events.LeaderFound("a", 1)
        (end,) = takeover.handle(returned, self.takeover, clock.at(0.1))
        self.assertFalse(end.succeeded)

    def test_a_stalled_primary_that_answers_is_replaced(self) -> None:
        plan = dataclasses.replace(_plan(), leader_answers=True)
        self.takeover = takeover.Takeover(plan, clock.at(0))
        self.takeover.advance(clock.at(0))
        stalled = takeover_events.LeaderFound("a", 1)
        effects = takeover.handle(stalled, self.takeover, clock.at(0.1))
        self.assertEqual(effects, [])

    def test_a_newer_term_ends_the_inspection(self) -> None:
        self.takeover = takeover.Takeover(_plan(), clock.at(0))
        self.takeover.advance(clock.at(0))
        newer = takeover_events.ReplicaInspected("b", _status(9, term=2))
        effects = takeover.handle(newer, self.takeover, clock.at(0.1))
        self.assertFalse(effects[0].succeeded)

    def test_all_replicas_are_paused_first(self) -> None:
        self.assertEqual(
            self.begin(_plan()),
            [
                takeover_events.PauseReplica("b", 2),
                takeover_events.PauseReplica("c", 2),
            ],
        )
        self.assertEqual(self.pause("b", 5), [])

    def test_the_replica_with_the_greatest_log_end_is_promoted(self) -> None:
        self.begin(_plan())
        self.pause("b", 5)
        self.assertEqual(
            self.verify(*self.pause("c", 6), b=5, c=6),
            [takeover_events.OrderPromotion("c")],
        )

    def test_a_replica_without_a_response_is_paused_again(self) -> None:
        # This replica could have the only copy of an acknowledged commit.
        self.begin(_plan())
        self.pause("b", 5)
        lost = self.feed(takeover_events.ReplicaPaused("c", None))
        self.assertEqual(lost, [])
        again = self.takeover.advance(clock.at(0.5))
        self.assertEqual(again, [takeover_events.PauseReplica("c", 2)])

    def test_a_leaving_replica_is_not_preferred(self) -> None:
        self.begin(_plan(leaving="c"))
        self.pause("c", 5)
        self.assertEqual(
            self.verify(*self.pause("b", 5), b=5, c=5),
            [takeover_events.OrderPromotion("b")],
        )

    def test_a_leaving_replica_with_the_greatest_log_end_is_promoted(
        self,
    ) -> None:
        self.begin(_plan(leaving="c"))
        self.pause("b", 5)
        self.assertEqual(
            self.verify(*self.pause("c", 6), b=5, c=6),
            [takeover_events.OrderPromotion("c")],
        )

    def test_a_pause_for_a_lower_term_does_not_count(self) -> None:
        self.begin(_plan())
        self.pause("b", 5)
        lower_term = takeover_events.ReplicaPaused(
            "c", _status(9, paused_for=0)
        )
        self.assertEqual(self.feed(lower_term), [])

    def test_a_newer_term_aborts_the_takeover(self) -> None:
        self.begin(_plan())
        self.pause("b", 5)
        newer = takeover_events.ReplicaPaused("c", _status(9, term=2))
        effects = takeover.handle(newer, self.takeover, clock.at(0.1))
        self.assertFalse(effects[0].succeeded)

    def test_a_candidate_is_promoted_after_it_caught_up(self) -> None:
        self.begin(_plan(candidate="b", pause="c", absent=0))
        compared = self.pause("c", 5)
        self.assertEqual(compared, [takeover_events.CompareCandidate("a", "b")])
        behind = takeover_events.CandidateSeen(
            positions.Position(1, 9), positions.Position(1, 8)
        )
        self.assertEqual(self.feed(behind), [])
        level = takeover_events.CandidateSeen(
            positions.Position(1, 9), positions.Position(1, 9)
        )
        self.assertEqual(
            self.verify(*self.feed(level, 0.4), at=0.4, c=5),
            [takeover_events.OrderPromotion("b")],
        )

    def test_no_replica_is_paused_if_the_candidate_leads_already(self) -> None:
        # Guards against the loss of review/6: the plan rests on a former
        # primary, and the pauses for one term more would never end.
        plan = dataclasses.replace(
            _plan(candidate="b", pause="c", absent=0),
            term=3,
            leader_answers=True,
        )
        self.takeover = takeover.Takeover(plan, clock.at(0))
        self.takeover.advance(clock.at(0))
        self.assertEqual(self.inspect("c"), [])
        leads = dataclasses.replace(
            _status(9, term=2, paused_for=0), is_primary=True
        )
        found = takeover_events.ReplicaInspected("b", leads)
        (end,) = takeover.handle(found, self.takeover, clock.at(0.1))
        self.assertFalse(end.succeeded)

    def test_a_primary_that_was_replaced_ends_the_comparison(self) -> None:
        self.begin(_plan(candidate="b", pause="c", absent=0))
        self.pause("c", 5)
        replaced = takeover_events.LeaderReplaced("a is no longer the primary")
        (end,) = takeover.handle(replaced, self.takeover, clock.at(0.2))
        self.assertFalse(end.succeeded)

    def order(self) -> None:
        """Brings a takeover to the order to promote c, which holds most."""
        self.begin(_plan())
        self.pause("b", 5)
        self.verify(*self.pause("c", 6), b=5, c=6)

    def restart(
        self,
        name: str,
        received: int,
        effects: list[takeover_events.Effect],
    ) -> list[takeover_events.Effect]:
        """Answers the request for a status of a replica that restarted."""
        (number,) = (
            effect.number
            for effect in effects
            if isinstance(effect, takeover_events.InspectReplica)
            and effect.member == name
        )
        status = _status(received, paused_for=0)
        return self.feed(
            takeover_events.ReplicaInspected(name, status, number), 0.5
        )

    def test_a_refused_order_is_repeated(self) -> None:
        # What is known of the pauses is as old as the order, so they are
        # verified again first.
        self.order()
        refused = takeover_events.PromotionEnded(_REFUSED)
        self.assertEqual(self.feed(refused, 0.15), [])
        effects = self.takeover.advance(clock.at(0.4))
        self.assertEqual(
            self.verify(*effects, at=0.4, b=5, c=6),
            [takeover_events.OrderPromotion("c")],
        )

    def test_a_replica_that_restarted_before_the_order_is_paused_again(
        self,
    ) -> None:
        # Guards against the loss of review/8: the restart ended its pause, and
        # it received commits that the other one lacks.
        self.begin(_plan())
        self.pause("b", 5)
        asked = self.pause("c", 6)
        restarted = takeover_events.ReplicaInspected(
            "b", _status(9, paused_for=0), asked[0].number
        )
        self.assertEqual(
            self.feed(restarted),
            [
                takeover_events.RecordLostPause("b", ordered=False),
                takeover_events.PauseReplica("b", 2),
            ],
        )
        effects = self.verify(*self.pause("b", 9), b=9, c=6)
        self.assertEqual(effects, [takeover_events.OrderPromotion("b")])

    def test_a_replica_that_was_paused_twice_is_compared_anew(self) -> None:
        # Guards against the choice of a database that lacks commits: this one
        # restarted, received more, and was paused again by another takeover.
        self.begin(_plan())
        self.pause("b", 5)
        asked = self.pause("c", 6)
        effects = self.verify(asked[0], b=9)
        self.assertEqual(
            effects,
            [
                takeover_events.RecordLostPause("b", ordered=False),
                takeover_events.PauseReplica("b", 2),
            ],
        )
        effects = self.verify(*self.pause("b", 9), b=9, c=6)
        self.assertEqual(effects, [takeover_events.OrderPromotion("b")])

    def test_an_answer_from_before_the_pause_verifies_nothing(self) -> None:
        self.begin(_plan())
        self.pause("b", 5)
        asked = self.pause("c", 6)
        late = takeover_events.ReplicaInspected(
            "b", _status(5), asked[0].number - 1
        )
        self.assertEqual(self.feed(late), [])
        effects = self.verify(asked[1], c=6)
        self.assertEqual(effects, [])

    def test_a_replica_that_restarted_after_the_order_is_paused_again(
        self,
    ) -> None:
        self.order()
        watched = self.feed(takeover_events.PromotionEnded(_ACCEPTED), 0.2)
        effects = self.restart("b", 9, watched)
        self.assertEqual(
            effects[:2],
            [
                takeover_events.RecordLostPause("b", ordered=True),
                takeover_events.PauseReplica("b", 2),
            ],
        )

    def test_a_replica_that_lost_its_log_ends_the_takeover(self) -> None:
        # It may have had the only copy of an acknowledged commit.
        self.order()
        self.feed(takeover_events.PromotionEnded(_REFUSED), 0.15)
        self.restart("c", 0, self.takeover.advance(clock.at(0.5)))
        (end,) = takeover.handle(
            takeover_events.ReplicaPaused("c", _status(0)),
            self.takeover,
            clock.at(0.6),
        )
        self.assertFalse(end.succeeded)

    def test_a_replica_that_joined_is_paused_before_the_order(self) -> None:
        self.begin(_plan())
        self.pause("b", 5)
        asked = self.pause("c", 6)
        self.takeover.add_replicas(frozenset("abcd"), clock.at(0.2))
        self.assertEqual(self.verify(asked[0], b=5, at=0.2)[0].member, "d")
        self.assertEqual(self.takeover.stage, takeover.Stage.PAUSING)

    def join_after_order(
        self, outcome: promotion_order.OrderOutcome
    ) -> list[takeover_events.Effect]:
        """Lets d join while the order of c is unanswered."""
        self.order()
        self.takeover.add_replicas(frozenset("abcd"), clock.at(0.15))
        self.feed(takeover_events.PromotionEnded(outcome), 0.2)
        for name, received in (("b", 5), ("c", 6)):
            self.pause(name, received)
        return self.verify(*self.pause("d", 6), b=5, c=6, d=6)

    def test_an_accepted_order_is_followed_by_no_other(self) -> None:
        # Guards against two promotions: the second database may lack what the
        # first one acknowledged.
        following = self.join_after_order(_ACCEPTED)
        self.assertNotIn(takeover_events.OrderPromotion("d"), following)

    def test_an_order_without_an_answer_is_followed_by_no_other(self) -> None:
        # It may take effect.
        following = self.join_after_order(_UNKNOWN)
        self.assertNotIn(takeover_events.OrderPromotion("d"), following)

    def test_a_refused_order_lets_another_database_be_chosen(self) -> None:
        self.order()
        self.takeover.add_replicas(frozenset("abcd"), clock.at(0.15))
        self.feed(takeover_events.PromotionEnded(_REFUSED), 0.2)
        effects = self.takeover.advance(clock.at(0.4))
        self.assertEqual(effects, [takeover_events.PauseReplica("d", 2)])
        paused = takeover_events.ReplicaPaused("d", _status(7))
        asked = self.feed(paused, 0.4)
        effects = self.verify(*asked, at=0.4, b=5, c=6, d=7)
        self.assertEqual(effects, [takeover_events.OrderPromotion("d")])

    def test_an_order_without_an_answer_is_repeated(self) -> None:
        self.order()
        self.feed(takeover_events.PromotionEnded(_UNKNOWN), 1.1)
        again = self.takeover.advance(clock.at(1.3))
        self.assertIn(takeover_events.OrderPromotion("c"), again)

    def test_a_refusal_after_an_order_without_an_answer_decides_nothing(
        self,
    ) -> None:
        # The first order may take effect.
        self.order()
        self.feed(takeover_events.PromotionEnded(_UNKNOWN), 1.1)
        self.takeover.advance(clock.at(1.3))
        self.feed(takeover_events.PromotionEnded(_REFUSED), 1.4)
        self.assertEqual(self.takeover.stage, takeover.Stage.AWAITING)
        again = self.takeover.advance(clock.at(1.6))
        self.assertIn(takeover_events.OrderPromotion("c"), again)

    def test_a_replica_that_joins_after_the_order_is_paused(self) -> None:
        self.order()
        self.takeover.add_replicas(frozenset("abcd"), clock.at(0.15))
        asked = self.takeover.advance(clock.at(0.15))
        effects = self.restart("d", 6, asked)
        self.assertIn(takeover_events.PauseReplica("d", 2), effects)
        self.assertEqual(self.takeover.stage, takeover.Stage.PROMOTING)

    def test_a_replica_that_restarted_during_a_refused_order_is_paused_again(
        self,
    ) -> None:
        # The log end that was compared before the order is outdated.
        self.order()
        self.restart("b", 9, self.takeover.advance(clock.at(0.3)))
        self.feed(takeover_events.PromotionEnded(_REFUSED), 0.6)
        effects = self.takeover.advance(clock.at(0.8))
        self.assertEqual(effects, [takeover_events.PauseReplica("b", 2)])
        paused = takeover_events.ReplicaPaused("b", _status(9))
        asked = self.feed(paused, 0.8)
        effects = self.verify(*asked, at=0.8, b=9, c=6)
        self.assertEqual(effects, [takeover_events.OrderPromotion("b")])

    def test_the_takeover_lasts_until_its_order_is_overdue(self) -> None:
        # Guards against another takeover beside an order that takes effect.
        self.order()
        self.feed(takeover_events.PromotionEnded(_ACCEPTED), 5.9)
        self.assertEqual(self.finished(8.8), [])
        (end,) = self.finished(8.9)
        self.assertFalse(end.succeeded)

    def test_no_order_is_requested_late(self) -> None:
        # An order must not take effect after the span of a takeover.
        self.order()
        self.feed(takeover_events.PromotionEnded(_UNKNOWN), 5.9)
        late = self.takeover.advance(clock.at(6.1))
        self.assertNotIn(takeover_events.OrderPromotion("c"), late)

    def test_an_order_that_is_never_answered_ends_the_takeover(self) -> None:
        self.order()
        self.assertEqual(self.finished(9.9), [])
        self.assertEqual(len(self.finished(10)), 1)

    def finished(self, at: float) -> list[takeover_events.Effect]:
        """Returns the end of the takeover if it ends now."""
        return [
            effect
            for effect in self.takeover.advance(clock.at(at))
            if isinstance(effect, takeover_events.Finish)
        ]

    def test_no_order_is_sent_after_another_holder_of_the_lease(self) -> None:
        # The other one may have promoted a database meanwhile.
        self.order()
        lost = takeover_events.LeaseLost()
        (end,) = takeover.handle(lost, self.takeover, clock.at(0.2))
        self.assertFalse(end.succeeded)

    def test_an_order_without_an_answer_outlasts_the_lease(self) -> None:
        self.order()
        self.feed(takeover_events.PromotionEnded(_UNKNOWN), 1.1)
        self.takeover.advance(clock.at(1.3))
        lost = takeover_events.LeaseLost()
        effects = takeover.handle(lost, self.takeover, clock.at(1.4))
        self.assertEqual(effects, [])
        self.assertEqual(self.takeover.stage, takeover.Stage.AWAITING)

    def test_an_order_takes_effect_within_the_span_of_the_takeover(
        self,
    ) -> None:
        self.order()
        latest = max(
            at / 10
            for at in range(200)
            if self.takeover.may_order(clock.at(at / 10))
        )
        effect = latest + takeover_timing.EFFECT_SPAN.total_seconds()
        self.assertLess(effect, takeover_timing.TAKEOVER_SPAN.total_seconds())

    def test_a_new_primary_ends_the_takeover_and_the_former_is_demoted(
        self,
    ) -> None:
        self.begin(_plan())
        found = takeover_events.LeaderFound("c", 2)
        effects = takeover.handle(found, self.takeover, clock.at(1))
        self.assertEqual(
            effects, [takeover_events.Finish(True, "a", "c is the primary")]
        )

    def test_the_return_of_the_former_primary_does_not_end_the_takeover(
        self,
    ) -> None:
        self.begin(_plan())
        found = takeover_events.LeaderFound("a", 1)
        self.assertEqual(takeover.handle(found, self.takeover, clock.at(1)), [])

    def test_the_takeover_times_out(self) -> None:
        self.begin(_plan())
        self.pause("b", 5)
        effects = self.takeover.advance(clock.at(6))
        self.assertFalse(effects[0].succeeded)
