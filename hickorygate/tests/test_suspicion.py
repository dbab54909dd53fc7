"""When a primary counts as lost, on a time of the test's own."""

from __future__ import annotations

import datetime
import unittest

from hickorygate.core import position as positions
from hickorygate.upstreams import suspicion as suspicions

_START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
_DETECTION = datetime.timedelta(seconds=1)


def _at(seconds: float) -> datetime.datetime:
    return _START + datetime.timedelta(seconds=seconds)


class SuspicionTest(unittest.TestCase):
    """A majority of the group must be without a primary, as it says."""

    def setUp(self) -> None:
        self.suspicion = suspicions.Suspicion(2, _DETECTION)
        for name in "abc":
            self.see(name, 0, 0)

    def see(
        self,
        name: str,
        at: float,
        silence: float = 0,
        term: int = 1,
        fenced: int = 1,
    ) -> None:
        role = positions.Role.PRIMARY if name == "a" else positions.Role.REPLICA
        status = positions.DatabaseStatus(
            name,
            role,
            term,
            base=0,
            log_term=term,
            received=1,
            applied=1,
            fenced=fenced,
            primary_silence=datetime.timedelta(seconds=silence),
            boot="x",
        )
        self.suspicion.see(status, _at(at))

    def test_one_proxy_without_network_deposes_nobody(self) -> None:
        for name in "abc":
            self.suspicion.lose(name)
        self.assertIsNone(self.suspicion.reason(_at(60)))

    def test_a_lost_primary_that_its_replicas_hear_stays(self) -> None:
        self.suspicion.lose("a")
        for at in (5, 6):
            self.see("b", at, silence=0.1)
            self.see("c", at, silence=0.1)
        self.assertIsNone(self.suspicion.reason(_at(6)))

    def test_a_primary_that_nobody_hears_is_lost(self) -> None:
        self.suspicion.lose("a")
        for at in (2, 2.1):
            self.see("b", at, silence=at)
            self.see("c", at, silence=at)
        self.assertEqual(self.suspicion.reason(_at(2.1)), "primary lost")

    def test_one_silent_replica_is_no_majority(self) -> None:
        self.suspicion.lose("a")
        for at in (2, 2.1):
            self.see("b", at, silence=at)
            self.see("c", at, silence=0.1)
        self.assertIsNone(self.suspicion.reason(_at(2.1)))

    def test_replicas_that_just_woke_say_it_once(self) -> None:
        self.suspicion.lose("a")
        self.see("b", 3, silence=3)
        self.see("c", 3, silence=3)
        self.assertIsNone(self.suspicion.reason(_at(3)))

    def test_a_primary_cut_off_from_its_replicas_gets_longer(self) -> None:
        for at in (1.2, 1.3):
            self.see("a", at)
            self.see("b", at, silence=at)
            self.see("c", at, silence=at)
        self.assertIsNone(self.suspicion.reason(_at(1.3)))
        self.assertEqual(
            self.suspicion.reason(_at(1.6)),
            "primary cut off from its replicas",
        )

    def test_silence_from_before_the_present_term_does_not_count(self) -> None:
        for at in (5, 5.1):
            self.see("a", at, term=2, fenced=2)
            self.see("b", at, silence=5, term=2, fenced=2)
            self.see("c", at, silence=5, term=2, fenced=2)
        self.assertIsNone(self.suspicion.reason(_at(5.1)))

    def test_a_primary_fenced_by_a_run_that_stopped_is_replaced(self) -> None:
        for at in (1, 2.5, 2.6):
            self.see("a", at, fenced=2)
        self.assertEqual(
            self.suspicion.reason(_at(2.6)), "primary fenced and none promoted"
        )
