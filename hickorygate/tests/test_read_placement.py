"""Tests the choice of the database that serves a read."""

from __future__ import annotations

import datetime
import random
import unittest

from hickorygate.callers import read_placement
from hickorygate.core import catalog
from hickorygate.core import position as positions
from hickorygate.upstreams import failure_rate
from hickorygate.upstreams import member as members

_START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
_FLOOR = positions.Position(1, 5)


def _candidate(
    name: str,
    offset: int = 9,
    leads: bool = False,
    load: int = 0,
    near: bool = True,
    failing: float = 0.0,
    unit_cost: float | None = None,
) -> read_placement.ReadCandidate:
    member = members.Member(name, 1, "s", "h", 1, "a", 2, False, leads)
    position = positions.Position(1, offset)
    return read_placement.ReadCandidate(
        member, position, leads, load, near, failing, unit_cost
    )


class ReadPlacementTest(unittest.TestCase):
    """The least loaded database that has reached the floor is chosen."""

    def choose(self, *candidates: read_placement.ReadCandidate) -> str | None:
        chosen = read_placement.choose_database(
            candidates, _FLOOR, random.Random(1)
        )
        return chosen.member.id if chosen else None

    def test_a_replica_is_preferred_to_the_primary(self) -> None:
        primary = _candidate("a", leads=True)
        self.assertEqual(self.choose(primary, _candidate("b", load=1)), "b")
        self.assertEqual(self.choose(primary, _candidate("b", load=3)), "a")

    def test_a_lagging_replica_is_not_chosen(self) -> None:
        self.assertIsNone(self.choose(_candidate("b", offset=4)))
        primary = _candidate("a", leads=True, load=9)
        self.assertEqual(self.choose(primary, _candidate("b", 4)), "a")

    def test_the_same_zone_is_preferred_at_equal_load(self) -> None:
        far = _candidate("b", near=False)
        self.assertEqual(self.choose(far, _candidate("c")), "c")

    def test_a_database_that_fails_one_in_five_is_avoided(self) -> None:
        failing = _candidate("b", failing=0.2)
        self.assertEqual(self.choose(failing, _candidate("c", load=1)), "c")

    def test_a_learned_slow_database_is_avoided_until_others_are_full(
        self,
    ) -> None:
        # With fixed costs it gets as many reads as the others.
        slow = _candidate("b", unit_cost=5.0)
        self.assertEqual(
            self.choose(slow, _candidate("c", load=3, unit_cost=1.0)), "c"
        )
        self.assertEqual(
            self.choose(slow, _candidate("c", load=5, unit_cost=1.0)), "b"
        )

    def test_a_slow_primary_is_avoided_more_than_a_slow_replica(self) -> None:
        # Reads at a slow primary delay the writes, which must go there.
        primary = _candidate("a", leads=True, unit_cost=1.0)
        self.assertEqual(
            self.choose(primary, _candidate("b", unit_cost=2.5)), "b"
        )
        self.assertEqual(
            self.choose(primary, _candidate("b", unit_cost=3.5)), "a"
        )

    def test_only_read_your_writes_has_a_session_floor(self) -> None:
        floors = {"s": _FLOOR}
        second = datetime.timedelta(seconds=1)
        own = read_placement.session_floor(
            catalog.ReadYourWrites(second), floors, "s"
        )
        self.assertEqual(own, _FLOOR)
        bounded = read_placement.session_floor(
            catalog.BoundedStaleness(second), floors, "s"
        )
        self.assertIsNone(bounded)


class FailureRateTest(unittest.TestCase):
    """The failure share rises with failures and decays over time."""

    def test_the_failure_share_decays(self) -> None:
        rate = failure_rate.FailureRate()
        for _ in range(6):
            rate.note(True, _START)
        self.assertGreater(rate.share(_START), 0.5)
        later = _START + datetime.timedelta(seconds=12)
        self.assertLess(rate.share(later), 0.05)

    def test_one_failure_weighs_little(self) -> None:
        rate = failure_rate.FailureRate()
        rate.note(True, _START)
        self.assertLess(rate.share(_START), 0.3)
