"""Tests which databases a takeover counts as silent."""

from __future__ import annotations

import datetime
import unittest

from hickorygate.upstreams import group_state
from hickorygate.upstreams import member as members
from hickorygate.upstreams import takeover_plan
from hickorygate.upstreams import takeover_trigger


def _plan(
    listed: str, lost: str | None, departed: frozenset[str] = frozenset()
) -> takeover_plan.Plan:
    """Returns the plan after the loss of a primary."""
    situation = takeover_trigger.GroupSnapshot(
        leader=None,
        lost=group_state.Leader(lost, 1) if lost else None,
        members={
            name: members.Member(name, 1, "s", "h", 1, "a", 2, False, False)
            for name in listed
        },
        departed=departed,
        positions={},
        unreachable=frozenset(),
        stalled=False,
        progressing=False,
        patience=datetime.timedelta(),
        term=1,
        synchronous_replicas=1,
    )
    plan = takeover_plan.plan("s", takeover_trigger.Lost(), situation)
    assert plan is not None, "there are candidates"
    return plan


class TakeoverPlanTest(unittest.TestCase):
    """The lost primary and another database may hold the only copies."""

    def assert_all_others_needed(self, plan: takeover_plan.Plan) -> None:
        self.assertFalse(plan.suffices({"b"}))
        self.assertTrue(plan.suffices({"b", "c"}))

    def test_a_listed_primary_is_silent(self) -> None:
        self.assert_all_others_needed(_plan("abc", "a"))

    def test_a_departed_primary_is_silent(self) -> None:
        plan = _plan("bc", "a", frozenset(("a@1",)))
        self.assert_all_others_needed(plan)

    def test_an_unknown_primary_is_silent(self) -> None:
        # Guards against the loss of what it and a silent replica hold: this
        # process started after the primary's entry was gone.
        self.assert_all_others_needed(_plan("bc", None))

    def test_a_former_primary_that_is_neither_listed_nor_departed_is_silent(
        self,
    ) -> None:
        self.assert_all_others_needed(_plan("bc", "a"))

    def test_an_unknown_primary_may_be_the_silent_database(self) -> None:
        # It isn't known which one is the primary, so none may be missing.
        plan = _plan("abc", None)
        self.assertFalse(plan.suffices({"b", "c"}))
        self.assertTrue(plan.suffices({"a", "b", "c"}))
