"""Tests when a primary counts as lost, with simulated time."""

from __future__ import annotations

import datetime
import unittest

from hickorygate.core import position
from hickorygate.upstreams import primary_failure

_START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
_DETECTION = datetime.timedelta(seconds=1)


def _at(seconds: float) -> datetime.datetime:
    return _START + datetime.timedelta(seconds=seconds)


class PrimaryFailureTest(unittest.TestCase):
    """A majority of the group must report that it has no primary."""

    def setUp(self) -> None:
        self.detector = primary_failure.PrimaryFailureDetector(2, _DETECTION)
        for name in "abc":
            self.add_status(name, 0, 0)

    def add_status(
        self,
        name: str,
        at: float,
        silence: float = 0,
        term: int = 1,
        fenced: int = 1,
    ) -> None:
        role = position.Role.PRIMARY if name == "a" else position.Role.REPLICA
        status = position.DatabaseStatus(
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
        self.detector.record_status(status, _at(at))

    def test_proxy_without_network_deposes_no_primary(self) -> None:
        for name in "abc":
            self.detector.record_probe_failure(name)
        self.assertIsNone(self.detector.reason(_at(60)))

    def test_unreachable_primary_with_connected_replicas_stays(self) -> None:
        self.detector.record_probe_failure("a")
        for at in (5, 6):
            self.add_status("b", at, silence=0.1)
            self.add_status("c", at, silence=0.1)
        self.assertIsNone(self.detector.reason(_at(6)))

    def test_primary_without_connected_replicas_is_lost(self) -> None:
        self.detector.record_probe_failure("a")
        for at in (2, 2.1):
            self.add_status("b", at, silence=at)
            self.add_status("c", at, silence=at)
        self.assertEqual(self.detector.reason(_at(2.1)), "primary lost")

    def test_one_disconnected_replica_is_no_majority(self) -> None:
        self.detector.record_probe_failure("a")
        for at in (2, 2.1):
            self.add_status("b", at, silence=at)
            self.add_status("c", at, silence=0.1)
        self.assertIsNone(self.detector.reason(_at(2.1)))

    def test_single_report_of_resumed_replicas_does_not_count(self) -> None:
        self.detector.record_probe_failure("a")
        self.add_status("b", 3, silence=3)
        self.add_status("c", 3, silence=3)
        self.assertIsNone(self.detector.reason(_at(3)))

    def test_answering_primary_without_replicas_gets_a_longer_time(
        self,
    ) -> None:
        for at in (1.2, 1.3):
            self.add_status("a", at)
            self.add_status("b", at, silence=at)
            self.add_status("c", at, silence=at)
        self.assertIsNone(self.detector.reason(_at(1.3)))
        self.assertEqual(
            self.detector.reason(_at(1.6)),
            "primary cut off from its replicas",
        )

    def test_silence_from_before_the_current_term_does_not_count(self) -> None:
        for at in (5, 5.1):
            self.add_status("a", at, term=2, fenced=2)
            self.add_status("b", at, silence=5, term=2, fenced=2)
            self.add_status("c", at, silence=5, term=2, fenced=2)
        self.assertIsNone(self.detector.reason(_at(5.1)))

    def test_primary_fenced_by_an_unfinished_run_is_replaced(self) -> None:
        for at in (1, 2.5, 2.6):
            self.add_status("a", at, fenced=2)
        self.assertEqual(
            self.detector.reason(_at(2.6)), "primary fenced and none promoted"
        )
