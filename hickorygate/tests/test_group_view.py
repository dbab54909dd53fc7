"""Tests the conclusions that a proxy draws from the statuses of a group."""

from __future__ import annotations

import datetime
import unittest

import expression

from hickorygate.core import errors
from hickorygate.core import position
from hickorygate.core import sheet
from hickorygate.upstreams import group_view

_START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
_RECENCY = datetime.timedelta(seconds=1)


def _at(seconds: float) -> datetime.datetime:
    return _START + datetime.timedelta(seconds=seconds)


def _group() -> sheet.Group:
    databases = tuple(
        sheet.Database(name, "127.0.0.1", 1, "hobart", 20, 3) for name in "abc"
    )
    return sheet.Group("g", ("s",), databases)


class GroupViewTest(unittest.TestCase):
    """Writable primary, confirmed positions and staleness."""

    def setUp(self) -> None:
        self.view = group_view.GroupView(_group())

    def add_status(
        self,
        name: str,
        asked: float,
        received: int,
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
            received=received,
            applied=received,
            fenced=fenced,
            primary_silence=datetime.timedelta(),
            boot="x",
        )
        observation = group_view.StatusObservation(
            status, _at(asked), _at(asked + 0.01)
        )
        self.view.observe(observation)

    def test_primary_without_majority_is_not_writable(self) -> None:
        self.add_status("a", 0, received=5)
        self.assertEqual(
            self.view.writable_primary(_at(0.1), _RECENCY),
            expression.Error(errors.NoQuorum("g", 1, 2)),
        )
        self.add_status("b", 0, received=5)
        self.assertTrue(self.view.writable_primary(_at(0.1), _RECENCY).is_ok())
        self.assertTrue(self.view.writable_primary(_at(2), _RECENCY).is_error())

    def test_fenced_primary_does_not_count_as_primary(self) -> None:
        self.add_status("a", 0, received=5, fenced=2)
        self.add_status("b", 0, received=5)
        self.assertEqual(
            self.view.writable_primary(_at(0.1), _RECENCY),
            expression.Error(errors.NoPrimary("g")),
        )

    def test_fenced_majority_confirms_no_position(self) -> None:
        self.add_status("a", 2, received=5)
        self.add_status("b", 2, received=5, fenced=2)
        self.add_status("c", 2, received=5, fenced=2)
        self.assertIsNone(self.view.confirmed_position(_at(1)))

    def test_position_is_confirmed_by_requests_after_the_given_time(
        self,
    ) -> None:
        self.add_status("a", 2, received=5)
        self.add_status("b", 0.5, received=5)
        self.assertIsNone(self.view.confirmed_position(_at(1)))
        self.add_status("b", 2, received=5)
        self.assertEqual(
            self.view.confirmed_position(_at(1)), position.Position(1, 5)
        )

    def test_staleness_counts_from_the_request_to_the_primary(
        self,
    ) -> None:
        self.add_status("a", 1, received=5)
        self.add_status("c", 1, received=0)
        self.assertIsNone(self.view.staleness("b", _at(2)))
        self.add_status("b", 1.5, received=5)
        self.add_status("a", 3, received=6)
        self.add_status("c", 3, received=0)
        self.assertEqual(
            self.view.staleness("b", _at(4)), datetime.timedelta(seconds=3)
        )

    def test_late_answer_with_progress_is_recorded(self) -> None:
        self.add_status("b", 2, received=5)
        self.add_status("b", 1, received=7)
        (observation,) = self.view.observations
        self.assertEqual(observation.status.received, 7)
        self.assertEqual(observation.requested_at, _at(2))

    def test_late_answer_without_progress_is_ignored(self) -> None:
        self.add_status("b", 2, received=5)
        self.add_status("b", 1, received=4)
        (observation,) = self.view.observations
        self.assertEqual(observation.status.received, 5)

    def test_late_answer_of_another_term_is_ignored(self) -> None:
        self.add_status("b", 2, received=5, term=2, fenced=2)
        self.add_status("b", 1, received=7, term=1)
        (observation,) = self.view.observations
        self.assertEqual(observation.status.term, 2)

    def test_leaving_replica_gets_no_reads(self) -> None:
        self.add_status("a", 1, received=5)
        self.add_status("b", 1, received=5)
        self.assertEqual(len(self.view.replicas_for_floor(position.START)), 1)
        self.view.leave(frozenset({"b"}))
        self.assertEqual(self.view.replicas_for_floor(position.START), ())
