"""The list of databases while entries come, lapse and go."""

from __future__ import annotations

import unittest

from hickorygate.testing import clock
from hickorygate.upstreams import member as members
from hickorygate.upstreams import stall as stalls
from hickorygate.upstreams import vital as vitals


def _member(name: str, leaving: bool = False) -> members.Member:
    return members.Member(
        name, 1, "service", "10.0.0.1", 80, "a", 2, leaving, False
    )


class ListingTest(unittest.TestCase):
    """An entry may be missing for a while."""

    def setUp(self) -> None:
        self.listing = members.Listing()
        self.listing.replace([_member("a"), _member("b")], clock.at(0))

    def names(self) -> list[str]:
        return sorted(member.id for member in self.listing.members)

    def test_a_lapsed_entry_counts_until_the_store_had_time(self) -> None:
        self.listing.replace([_member("a")], clock.at(1))
        self.assertFalse(self.listing.expire(clock.at(3.4)))
        self.assertEqual(self.names(), ["a", "b"])
        self.assertTrue(self.listing.expire(clock.at(3.6)))
        self.assertEqual(self.names(), ["a"])

    def test_one_that_is_back_counts(self) -> None:
        self.listing.remove("b", clock.at(1))
        self.listing.put(_member("b"))
        self.assertFalse(self.listing.expire(clock.at(9)))

    def test_one_that_had_announced_its_end_is_gone(self) -> None:
        self.listing.put(_member("b", leaving=True))
        self.listing.remove("b", clock.at(1))
        self.assertEqual(self.names(), ["a"])

    def test_time_without_the_store_does_not_count(self) -> None:
        self.listing.remove("b", clock.at(1))
        self.listing.restart(clock.at(8))
        self.assertFalse(self.listing.expire(clock.at(9)))
        self.assertTrue(self.listing.expire(clock.at(10.5)))
        self.assertEqual(self.names(), ["a"])


class VitalTest(unittest.TestCase):
    """When a database counts as out of reach."""

    def test_silence_must_last(self) -> None:
        vital = vitals.Vital()
        vital.ask(clock.at(0))
        self.assertFalse(vital.lost(clock.at(0.9)))
        self.assertTrue(vital.lost(clock.at(1)))

    def test_one_refused_connection_is_no_proof(self) -> None:
        vital = vitals.Vital()
        vital.refuse(clock.at(0))
        self.assertFalse(vital.lost(clock.at(0.5)))
        vital.refuse(clock.at(0.5))
        self.assertTrue(vital.lost(clock.at(0.5)))

    def test_an_answer_ends_doubt(self) -> None:
        vital = vitals.Vital()
        vital.refuse(clock.at(0))
        vital.refuse(clock.at(0.3))
        vital.answer()
        self.assertFalse(
            vital.doubtful(clock.at(0.3)) or vital.lost(clock.at(0.3))
        )


class StallTest(unittest.TestCase):
    """When a primary has stopped to acknowledge."""

    def test_commits_without_an_answer(self) -> None:
        stall = stalls.Stall()
        stall.sent(clock.at(0))
        stall.sent(clock.at(0.5))
        self.assertFalse(stall.stalled(clock.at(0.7)))
        self.assertTrue(stall.stalled(clock.at(0.8)))
        stall.answered()
        self.assertFalse(stall.stalled(clock.at(9)))

    def test_broken_connections_are_no_silence(self) -> None:
        stall = stalls.Stall()
        for at in (0, 0.3, 0.6):
            stall.sent(clock.at(at))
            stall.broken()
        self.assertFalse(stall.stalled(clock.at(2)))
