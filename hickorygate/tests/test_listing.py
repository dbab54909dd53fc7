"""Tests the list of databases, reachability and stall detection."""

from __future__ import annotations

import dataclasses
import unittest

from hickorygate.testing import clock
from hickorygate.upstreams import health
from hickorygate.upstreams import member as members
from hickorygate.upstreams import stall as stalls


def _member(name: str, leaving: bool = False) -> members.Member:
    return members.Member(
        name, 1, "service", "10.0.0.1", 80, "a", 2, leaving, False
    )


class ListingTest(unittest.TestCase):
    """Tests that a missing entry is kept for a limited time."""

    def setUp(self) -> None:
        self.listing = members.Listing()
        self.listing.replace([_member("a"), _member("b")], clock.at(0))

    def names(self) -> list[str]:
        return sorted(member.id for member in self.listing.members)

    def test_a_missing_entry_is_kept_until_it_expires(self) -> None:
        self.listing.replace([_member("a")], clock.at(1))
        self.assertFalse(self.listing.expire(clock.at(3.4)))
        self.assertEqual(self.names(), ["a", "b"])
        self.assertTrue(self.listing.expire(clock.at(3.6)))
        self.assertEqual(self.names(), ["a"])

    def test_an_entry_that_returns_does_not_expire(self) -> None:
        self.listing.remove("b", clock.at(1))
        self.listing.put(_member("b"), clock.at(1))
        self.assertFalse(self.listing.expire(clock.at(9)))

    def test_a_leaving_database_is_removed_at_once(self) -> None:
        self.listing.put(_member("b", leaving=True), clock.at(1))
        self.listing.remove("b", clock.at(1))
        self.assertEqual(self.names(), ["a"])

    def test_a_store_outage_restarts_the_expiry(self) -> None:
        self.listing.remove("b", clock.at(1))
        self.listing.restart(clock.at(8))
        self.assertFalse(self.listing.expire(clock.at(9)))
        self.assertTrue(self.listing.expire(clock.at(10.5)))
        self.assertEqual(self.names(), ["a"])


class RestoredListTest(unittest.TestCase):
    """Lists and changes from a store that was restored from an older copy."""

    def setUp(self) -> None:
        self.listing = members.Listing()
        self.early = _member("a")
        self.late = dataclasses.replace(self.early, leaving=True, sequence=9)
        self.listing.put(self.early, clock.at(1))
        self.listing.put(self.late, clock.at(1))

    # Guards against a database that gets work again although it announced its
    # shutdown, because the store went back to an earlier entry.
    def test_an_earlier_entry_of_a_leaving_database_is_ignored(self) -> None:
        self.listing.replace([self.early], clock.at(1))
        self.assertEqual(self.listing.members, (self.late,))
        self.assertFalse(self.listing.expire(clock.at(9)))

    # Guards against a database that is in use again after it left.
    def test_a_database_that_left_does_not_return(self) -> None:
        self.listing.remove("a", clock.at(1))
        self.listing.replace([self.early], clock.at(2))
        self.listing.put(self.late, clock.at(1))
        self.assertEqual(self.listing.members, ())

    def test_a_database_that_starts_again_is_listed(self) -> None:
        self.listing.remove("a", clock.at(1))
        again = dataclasses.replace(self.early, born=0)
        self.listing.put(again, clock.at(1))
        self.assertEqual(self.listing.members, (again,))

    def test_a_later_entry_of_a_database_that_was_dropped_is_listed(
        self,
    ) -> None:
        self.listing.remove("a", clock.at(1))
        alive = dataclasses.replace(self.late, sequence=10)
        self.listing.put(alive, clock.at(1))
        self.assertEqual(self.listing.members, (alive,))


class DatabaseHealthTest(unittest.TestCase):
    """Tests when a database counts as unreachable."""

    def test_silence_below_the_limit_is_tolerated(self) -> None:
        database_health = health.DatabaseHealth()
        database_health.record_probe(clock.at(0))
        self.assertFalse(database_health.lost(clock.at(0.9)))
        self.assertTrue(database_health.lost(clock.at(1)))

    def test_one_refused_connection_is_not_sufficient(self) -> None:
        database_health = health.DatabaseHealth()
        database_health.record_refusal(clock.at(0))
        self.assertFalse(database_health.lost(clock.at(0.5)))
        database_health.record_refusal(clock.at(0.5))
        self.assertTrue(database_health.lost(clock.at(0.5)))

    def test_an_answer_resets_the_state(self) -> None:
        database_health = health.DatabaseHealth()
        database_health.record_refusal(clock.at(0))
        database_health.record_refusal(clock.at(0.3))
        database_health.record_answer(clock.at(0))
        self.assertFalse(
            database_health.doubtful(clock.at(0.3))
            or database_health.lost(clock.at(0.3))
        )


class StallTest(unittest.TestCase):
    """Tests when a primary counts as no longer acknowledging commits."""

    def test_unanswered_commits_are_a_stall(self) -> None:
        stall = stalls.StallDetector()
        stall.record_commit(clock.at(0))
        stall.record_commit(clock.at(0.5))
        self.assertFalse(stall.stalled(clock.at(0.7)))
        self.assertTrue(stall.stalled(clock.at(0.8)))
        stall.answered()
        self.assertFalse(stall.stalled(clock.at(9)))

    def test_broken_connections_are_not_a_stall(self) -> None:
        stall = stalls.StallDetector()
        for at in (0, 0.3, 0.6):
            stall.record_commit(clock.at(at))
            stall.drop_commit()
        self.assertFalse(stall.stalled(clock.at(2)))
