"""Tests which acknowledged commits may be reported to callers."""

from __future__ import annotations

import datetime
import unittest

from hickorygate.core import position as positions
from hickorygate.core import reply
from hickorygate.testing import clock
from hickorygate.upstreams import commit_guard

_COMMIT = positions.Position(1, 9)
_LONG = datetime.timedelta(minutes=1)
_NOW = 30.0


def _replica(
    received: int = 9,
    paused_for: int = 0,
    term: int = 1,
    running: datetime.timedelta | None = _LONG,
) -> commit_guard.Replica:
    position = positions.Position(term, received)
    status = reply.ReplicationStatus(False, term, position, paused_for)
    since = None if running is None else clock.at(_NOW) - running
    return commit_guard.Replica(status, clock.at(_NOW), since)


_RESTARTED = datetime.timedelta(seconds=9)


class CommitGuardTest(unittest.TestCase):
    """Tests a primary of term 1 with the replicas b and c, and d that joins."""

    def setUp(self) -> None:
        self.guard = commit_guard.CommitGuard(1)

    def is_safe(
        self, silent: bool = False, **replicas: commit_guard.Replica
    ) -> bool:
        view = commit_guard.View(clock.at(_NOW), 1, replicas, silent)
        return self.guard.is_safe(_COMMIT, view, clock.at(_NOW))

    def observe(self, **replicas: commit_guard.Replica) -> None:
        view = commit_guard.View(clock.at(_NOW), 1, replicas, silent=False)
        self.guard.observe(view, clock.at(_NOW))

    def test_every_commit_needs_a_proof(self) -> None:
        # Guards against the loss of issue 46: without a hint at a takeover,
        # the primary's word was enough.
        self.assertTrue(self.guard.needs_proof)

    def test_services_without_synchronous_replicas_need_no_proof(self) -> None:
        self.guard.set_synchronous_replicas(0)
        self.assertFalse(self.guard.needs_proof)

    def test_a_commit_that_a_long_running_replica_holds_is_reported(
        self,
    ) -> None:
        self.assertTrue(self.is_safe(silent=True, b=_replica()))

    def test_a_commit_that_no_replica_holds_is_withheld(self) -> None:
        self.assertFalse(self.is_safe(b=_replica(8), c=_replica(8)))

    def test_a_proxy_without_replicas_withholds_commits(self) -> None:
        self.assertFalse(self.is_safe(silent=True))

    def test_a_commit_of_a_restarted_replica_is_withheld(self) -> None:
        # Guards against the loss of review/8: b restarted and acknowledged the
        # commit, and c, which is to be promoted, is paused and lacks it.
        b = _replica(running=_RESTARTED)
        c = _replica(7, paused_for=2)
        self.assertFalse(self.is_safe(b=b, c=c))
        self.assertFalse(self.is_safe(silent=True, b=b))

    def test_a_commit_that_a_paused_replica_holds_is_reported(self) -> None:
        # It takes part in the comparison of the log ends.
        c = _replica(9, paused_for=2)
        self.assertTrue(self.is_safe(silent=True, c=c))

    def test_a_commit_that_a_candidate_holds_is_reported(self) -> None:
        # A planned takeover pauses all replicas but its candidate.
        c = _replica(7, paused_for=2)
        self.assertTrue(self.is_safe(b=_replica(), c=c))

    def test_a_commit_that_the_candidate_lacks_is_withheld(self) -> None:
        restarted = _replica(9, running=_RESTARTED)
        self.assertFalse(self.is_safe(b=_replica(7), c=restarted))

    def test_a_follower_of_a_newer_primary_proves_nothing(self) -> None:
        self.assertFalse(self.is_safe(b=_replica(term=2), c=_replica(7)))

    def test_a_commit_that_only_a_joined_replica_holds_is_withheld(
        self,
    ) -> None:
        # Guards against the loss of issue 46: a takeover that doesn't know d
        # has paused c, or will.
        self.guard.record_join("d", clock.at(_NOW - 9.9))
        self.assertFalse(
            self.is_safe(c=_replica(7, paused_for=2), d=_replica())
        )
        self.assertFalse(self.is_safe(c=_replica(7), d=_replica()))

    def test_a_replica_that_every_takeover_knows_counts(self) -> None:
        self.guard.record_join("d", clock.at(_NOW - 11))
        c = _replica(7, paused_for=2)
        self.assertTrue(self.is_safe(silent=True, c=c, d=_replica()))

    def test_a_replica_that_came_back_counts_as_a_joined_one(self) -> None:
        self.guard.record_join("d", clock.at(_NOW - 20))
        self.guard.forget("d")
        self.guard.record_join("d", clock.at(_NOW - 9.9))
        self.assertFalse(self.is_safe(silent=True, d=_replica()))

    def test_only_takeovers_of_the_present_term_matter(self) -> None:
        # A takeover that began before the term can't replace its primary. So
        # writes are served soon after a takeover by young processes, too.
        self.guard.record_leader(clock.at(_NOW - 2))
        running = datetime.timedelta(seconds=3)
        self.assertTrue(self.is_safe(silent=True, b=_replica(running=running)))
        running = datetime.timedelta(seconds=1)
        self.assertFalse(self.is_safe(silent=True, b=_replica(running=running)))

    def test_a_replica_counts_if_it_was_listed_before_the_term(self) -> None:
        self.guard.record_join("d", clock.at(_NOW - 1.5))
        self.guard.record_leader(clock.at(_NOW - 2))
        self.assertFalse(self.is_safe(silent=True, d=_replica()))
        self.guard.record_leader(clock.at(_NOW - 1))
        self.assertTrue(self.is_safe(silent=True, d=_replica()))

    def test_a_term_that_began_long_ago_does_not_matter(self) -> None:
        self.guard.record_leader(clock.at(_NOW - 20))
        running = datetime.timedelta(seconds=11)
        self.assertTrue(self.is_safe(silent=True, b=_replica(running=running)))

    def test_new_replicas_that_all_receive_are_enough(self) -> None:
        # No takeover relies on a pause. This is so after a start, too.
        new = _replica(running=_RESTARTED)
        self.assertTrue(self.is_safe(b=new, c=_replica(7, running=_RESTARTED)))
        self.assertTrue(self.is_safe(b=new, c=_replica(running=None)))

    def test_new_replicas_prove_nothing_if_one_is_paused_or_silent(
        self,
    ) -> None:
        new = _replica(running=_RESTARTED)
        paused = _replica(9, paused_for=2, running=_RESTARTED)
        self.assertFalse(self.is_safe(b=new, c=paused))
        self.assertFalse(self.is_safe(silent=True, b=new))

    def test_a_replica_that_joined_a_moment_ago_holds_nothing(self) -> None:
        self.guard.record_join("d", clock.at(_NOW - 0.5))
        new = _replica(running=datetime.timedelta(seconds=0.5))
        b = _replica(7, running=_RESTARTED)
        self.assertFalse(self.is_safe(b=b, d=new))

    def test_two_synchronous_replicas_are_both_needed(self) -> None:
        self.guard.set_synchronous_replicas(2)
        self.assertFalse(self.is_safe(silent=True, b=_replica()))
        self.assertTrue(self.is_safe(silent=True, b=_replica(), c=_replica()))

    def test_paused_replicas_show_a_takeover(self) -> None:
        paused = _replica(paused_for=2)
        self.observe(b=paused, c=paused)
        self.assertTrue(self.guard.under_way)
        self.guard.record_leader(None)
        self.assertFalse(self.guard.under_way)

    def test_a_planned_takeover_does_not_hold_writes_back(self) -> None:
        self.observe(b=_replica(), c=_replica(paused_for=2))
        self.assertFalse(self.guard.under_way)

    def test_a_restarted_replica_does_not_hide_a_takeover(self) -> None:
        self.guard.record_running("b", clock.at(_NOW) - _RESTARTED)
        self.observe(b=_replica(), c=_replica(paused_for=2))
        self.assertTrue(self.guard.under_way)
        # A status of a later round doesn't say how long b has run.
        self.observe(b=_replica(running=None), c=_replica(paused_for=2))
        self.assertTrue(self.guard.under_way)

    def test_a_joined_replica_does_not_hide_a_takeover(self) -> None:
        self.guard.record_join("d", clock.at(_NOW - 0.5))
        self.observe(c=_replica(paused_for=2), d=_replica(running=None))
        self.assertTrue(self.guard.under_way)
