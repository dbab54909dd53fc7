"""Which databases may serve a read."""

from __future__ import annotations

import datetime
import unittest

from hickorygate.callers import freshness
from hickorygate.callers import session as sessions
from hickorygate.core import position as positions
from hickorygate.core import rank as ranks
from hickorygate.core import request as requests
from hickorygate.core import sheet as sheets
from hickorygate.upstreams import group as groups

_START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
_SECOND = datetime.timedelta(seconds=1)
_RANK = ranks.Rank("urgent", 0, _SECOND, 0.5)
_GROUP = sheets.Group(
    name="g",
    schemas=("s",),
    databases=tuple(
        sheets.Database(name, "127.0.0.1", 3306 + n, "zone", 20, 3)
        for n, name in enumerate("abc")
    ),
)
_PRIMARY = positions.Role.PRIMARY
_REPLICA = positions.Role.REPLICA


def status(
    name: str,
    role: positions.Role,
    term: int,
    applied: int,
    base: int = 0,
    log_term: int | None = None,
) -> positions.DatabaseStatus:
    """Returns a status of a database that fell silent to no one."""
    return positions.DatabaseStatus(
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
    """One view, one session, one read."""

    def setUp(self) -> None:
        self.view = groups.GroupView(_GROUP)
        self.session = sessions.Session("vindpoot", _START)

    def see(self, seen: positions.DatabaseStatus, at: int) -> None:
        """Takes in a status asked for so many seconds after the start."""
        asked = _START + at * _SECOND
        self.view.observe(groups.Sighting(seen, asked, asked))

    def see_group(self, at: int, applied: int = 5) -> None:
        """Takes in a healthy group in term 1."""
        self.see(status("a", _PRIMARY, 1, applied), at)
        self.see(status("b", _REPLICA, 1, applied), at)
        self.see(status("c", _REPLICA, 1, applied), at)

    def plan(
        self, staleness: datetime.timedelta | None = 60 * _SECOND, at: int = 10
    ) -> freshness.Plan:
        """Plans a read so many seconds after the start."""
        now = _START + at * _SECOND
        request = requests.Request(_RANK, now, now + _SECOND, staleness)
        return freshness.plan(self.view, self.session, request, now)

    def test_unsettled_until_a_majority_answered_after_arrival(self) -> None:
        self.see_group(at=0)
        self.assertEqual(self.plan(), freshness.UnsettledFloor())
        self.see(status("a", _PRIMARY, 1, 5), at=1)
        self.assertEqual(self.plan(), freshness.UnsettledFloor())
        self.see(status("b", _REPLICA, 1, 5), at=1)
        self.assertIsInstance(self.plan(), freshness.FromReplicas)

    def test_settled_floor_covers_what_the_primary_had(self) -> None:
        self.see_group(at=1, applied=7)
        self.plan()
        self.assertEqual(self.session.floor("g"), positions.Position(1, 7))

    def test_majority_that_was_fenced_since_settles_nothing(self) -> None:
        self.see(status("a", _PRIMARY, 1, 5), at=1)
        self.see(status("b", _REPLICA, 2, 5), at=1)
        self.see(status("c", _REPLICA, 2, 5), at=1)
        self.assertEqual(self.plan(), freshness.UnsettledFloor())

    def test_newer_floor_than_the_view_waits(self) -> None:
        self.see_group(at=1)
        self.session.raise_floor("g", positions.Position(2, 1))
        self.assertEqual(self.plan(), freshness.OldView())
        self.assertEqual(self.plan(staleness=None), freshness.OldView())

    def test_replica_below_the_floor_is_left_out(self) -> None:
        self.see(status("a", _PRIMARY, 1, 9), at=1)
        self.see(status("b", _REPLICA, 1, 9), at=1)
        self.see(status("c", _REPLICA, 1, 4), at=1)
        self.session.raise_floor("g", positions.Position(1, 9))
        self.assertEqual(self.plan(), freshness.FromReplicas(("b",), "a"))

    def test_replica_of_an_old_term_is_left_out(self) -> None:
        self.see(status("a", _PRIMARY, 2, 9, base=5), at=1)
        self.see(status("b", _REPLICA, 1, 20), at=1)
        self.see(status("c", _REPLICA, 2, 9, base=5, log_term=1), at=1)
        self.session.raise_floor("g", positions.Position(1, 3))
        self.assertEqual(self.plan(), freshness.FromPrimary("a"))

    def test_floor_of_an_old_term_needs_the_base(self) -> None:
        self.see(status("a", _PRIMARY, 2, 9, base=5), at=1)
        self.see(status("b", _REPLICA, 2, 4, base=5), at=1)
        self.see(status("c", _REPLICA, 2, 5, base=5), at=1)
        old_floor = positions.Position(1, 3)
        fresh = [seen.database for seen in self.view.replicas_at(old_floor)]
        self.assertEqual(fresh, ["c"])

    def test_no_staleness_goes_to_the_primary(self) -> None:
        self.see_group(at=1)
        plan = self.plan(staleness=None)
        self.assertEqual(plan, freshness.FromPrimary("a"))

    def test_replica_older_than_the_read_accepts_is_left_out(self) -> None:
        self.see_group(at=1)
        plan = self.plan(staleness=5 * _SECOND, at=10)
        self.assertEqual(plan, freshness.FromPrimary("a"))

    def test_leaving_replica_gets_no_reads(self) -> None:
        self.see_group(at=1)
        self.view.leave(frozenset({"b"}))
        self.assertEqual(self.plan(), freshness.FromReplicas(("c",), "a"))
