"""Tests the decision which databases may serve a read."""

from __future__ import annotations

import datetime
import unittest

from hickorygate.callers import freshness
from hickorygate.callers import session
from hickorygate.core import position
from hickorygate.core import rank
from hickorygate.core import request_context
from hickorygate.core import sheet
from hickorygate.upstreams import group_view

_START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
_SECOND = datetime.timedelta(seconds=1)
_RANK = rank.Rank("urgent", 0, _SECOND, 0.5)
_GROUP = sheet.Group(
    name="g",
    schemas=("s",),
    databases=tuple(
        sheet.Database(name, "127.0.0.1", 3306 + n, "zone", 20, 3)
        for n, name in enumerate("abc")
    ),
)
_PRIMARY = position.Role.PRIMARY
_REPLICA = position.Role.REPLICA


def status(
    name: str,
    role: position.Role,
    term: int,
    applied: int,
    base: int = 0,
    log_term: int | None = None,
) -> position.DatabaseStatus:
    """Returns the status of a database whose primary is not silent."""
    return position.DatabaseStatus(
        database=name,
        role=role,
        term=term,
        base=base,
        log_term=term if log_term is None else log_term,
        received=applied,
        applied=applied,
        fenced=term,
        primary_silence=datetime.timedelta(),
        boot="1",
    )


class PlanTest(unittest.TestCase):
    """Plans one read of one session on one view of a group."""

    def setUp(self) -> None:
        self.view = group_view.GroupView(_GROUP)
        self.session = session.Session("vindpoot", _START)

    def observe(self, observed: position.DatabaseStatus, at: int) -> None:
        """Observes a status requested `at` seconds after the start."""
        requested = _START + at * _SECOND
        self.view.observe(
            group_view.StatusObservation(observed, requested, requested)
        )

    def observe_group(self, at: int, applied: int = 5) -> None:
        """Observes a healthy group in term 1, `at` seconds after the start."""
        self.observe(status("a", _PRIMARY, 1, applied), at)
        self.observe(status("b", _REPLICA, 1, applied), at)
        self.observe(status("c", _REPLICA, 1, applied), at)

    def plan(
        self, staleness: datetime.timedelta | None = 60 * _SECOND, at: int = 10
    ) -> freshness.ReadPlan:
        """Plans a read `at` seconds after the start."""
        now = _START + at * _SECOND
        request = request_context.RequestContext(
            _RANK, now, now + _SECOND, staleness
        )
        return freshness.plan_read(self.view, self.session, request, now)

    def test_floor_is_unknown_until_a_majority_answers_after_arrival(
        self,
    ) -> None:
        self.observe_group(at=0)
        self.assertEqual(self.plan(), freshness.UnknownFloor())
        self.observe(status("a", _PRIMARY, 1, 5), at=1)
        self.assertEqual(self.plan(), freshness.UnknownFloor())
        self.observe(status("b", _REPLICA, 1, 5), at=1)
        self.assertIsInstance(self.plan(), freshness.FromReplicas)

    def test_new_floor_is_the_position_of_the_primary(self) -> None:
        self.observe_group(at=1, applied=7)
        self.plan()
        self.assertEqual(self.session.floor("g"), position.Position(1, 7))

    def test_fenced_majority_does_not_determine_the_floor(self) -> None:
        self.observe(status("a", _PRIMARY, 1, 5), at=1)
        self.observe(status("b", _REPLICA, 2, 5), at=1)
        self.observe(status("c", _REPLICA, 2, 5), at=1)
        self.assertEqual(self.plan(), freshness.UnknownFloor())

    def test_floor_of_a_newer_term_than_the_view_waits(self) -> None:
        self.observe_group(at=1)
        self.session.raise_floor("g", position.Position(2, 1))
        self.assertEqual(self.plan(), freshness.OutdatedView())
        self.assertEqual(self.plan(staleness=None), freshness.OutdatedView())

    def test_replica_below_the_floor_is_excluded(self) -> None:
        self.observe(status("a", _PRIMARY, 1, 9), at=1)
        self.observe(status("b", _REPLICA, 1, 9), at=1)
        self.observe(status("c", _REPLICA, 1, 4), at=1)
        self.session.raise_floor("g", position.Position(1, 9))
        self.assertEqual(self.plan(), freshness.FromReplicas(("b",), "a"))

    def test_replica_of_an_old_term_is_excluded(self) -> None:
        self.observe(status("a", _PRIMARY, 2, 9, base=5), at=1)
        self.observe(status("b", _REPLICA, 1, 20), at=1)
        self.observe(status("c", _REPLICA, 2, 9, base=5, log_term=1), at=1)
        self.session.raise_floor("g", position.Position(1, 3))
        self.assertEqual(self.plan(), freshness.FromPrimary("a"))

    def test_floor_of_an_old_term_requires_the_base(self) -> None:
        self.observe(status("a", _PRIMARY, 2, 9, base=5), at=1)
        self.observe(status("b", _REPLICA, 2, 4, base=5), at=1)
        self.observe(status("c", _REPLICA, 2, 5, base=5), at=1)
        old_floor = position.Position(1, 3)
        fresh = [
            replica.database
            for replica in self.view.replicas_for_floor(old_floor)
        ]
        self.assertEqual(fresh, ["c"])

    def test_read_without_staleness_goes_to_the_primary(self) -> None:
        self.observe_group(at=1)
        plan = self.plan(staleness=None)
        self.assertEqual(plan, freshness.FromPrimary("a"))

    def test_replica_with_too_old_data_is_excluded(self) -> None:
        self.observe_group(at=1)
        plan = self.plan(staleness=5 * _SECOND, at=10)
        self.assertEqual(plan, freshness.FromPrimary("a"))

    def test_leaving_replica_gets_no_reads(self) -> None:
        self.observe_group(at=1)
        self.view.leave(frozenset({"b"}))
        self.assertEqual(self.plan(), freshness.FromReplicas(("c",), "a"))
