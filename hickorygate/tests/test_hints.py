"""Hints: their places, their order and what is refused."""

from __future__ import annotations

import datetime
import unittest

from hickorygate.callers import hints
from hickorygate.core import errors
from hickorygate.core import rank as ranks
from hickorygate.core import sheet as sheets

_NOW = datetime.datetime(2026, 3, 1, 6, 0, tzinfo=datetime.UTC)
_SECOND = datetime.timedelta(seconds=1)
_SERVICE = sheets.Service(
    name="alert-db",
    ranks=(
        ranks.Rank("urgent", 0, _SECOND, 0.5),
        ranks.Rank("history", 1, 10 * _SECOND, 0.1),
    ),
    reads=(sheets.ReadClass("lookup", 2 * _SECOND),),
    users=(sheets.User("vindpoot", "urgent", "lookup"),),
    groups=(),
)


class CommentTest(unittest.TestCase):
    """Hints in a comment at either end of a statement."""

    def read(self, sql: str) -> tuple[hints.Hints, str]:
        return hints.in_comments(sql).ok

    def test_comment_ahead_and_behind(self) -> None:
        comment = "/*hickorygate_rank='urgent',hickorygate_staleness_ms='7'*/"
        expected = hints.Hints(
            rank="urgent", staleness=datetime.timedelta(milliseconds=7)
        )
        for sql in (f"{comment} SELECT 1", f"SELECT 1 {comment} ;"):
            with self.subTest(sql):
                self.assertEqual(self.read(sql), (expected, "SELECT 1"))

    def test_values_are_percent_decoded(self) -> None:
        sql = "SELECT 1 /*hickorygate_idempotency_key='a%27%20b%2C'*/"
        self.assertEqual(self.read(sql)[0].idempotency_key, "a' b,")

    def test_other_peoples_keys_stay_in_the_statement(self) -> None:
        sql = "SELECT 1 /*hickorygate_rank='urgent',traceparent='00-1'*/"
        self.assertEqual(self.read(sql), (hints.Hints(rank="urgent"), sql))

    def test_strings_and_executable_comments_are_no_hints(self) -> None:
        for sql in (
            "SELECT '/*hickorygate_rank=''urgent''*/' FROM t",
            "/*!hickorygate_rank='urgent'*/ SELECT 1",
        ):
            with self.subTest(sql):
                self.assertEqual(self.read(sql), (hints.Hints(), sql))

    def test_bad_comments_are_refused_by_name(self) -> None:
        for sql, name in (
            ("SELECT 1 /*hickorygate_rank=urgent*/", "hickorygate_rank"),
            ("SELECT 1 /*hickorygate_speed='9'*/", "hickorygate_speed"),
            (
                "/*hickorygate_staleness_ms='-1'*/ SELECT 1",
                "hickorygate_staleness_ms",
            ),
            (
                "SELECT 1 /*hickorygate_staleness='a',"
                "hickorygate_staleness_ms='1'*/",
                "hickorygate_staleness",
            ),
        ):
            with self.subTest(sql):
                failure = hints.in_comments(sql).error
                self.assertIsInstance(failure, errors.BadHint)
                self.assertEqual(failure.name, name)


class ResolveTest(unittest.TestCase):
    """From hints to terms of service."""

    def test_user_defaults_then_last_rank(self) -> None:
        mine = hints.resolve(hints.Hints(), _SERVICE, "vindpoot", _NOW).ok
        self.assertEqual(mine.rank.name, "urgent")
        self.assertEqual(mine.staleness, 2 * _SECOND)
        self.assertEqual(mine.deadline, _NOW + _SECOND)
        other = hints.resolve(hints.Hints(), _SERVICE, "nobody", _NOW).ok
        self.assertEqual(other.rank.name, "history")
        self.assertIsNone(other.staleness)

    def test_staleness_of_a_nearer_place_goes_first(self) -> None:
        near = hints.Hints(staleness=datetime.timedelta())
        far = hints.Hints(read_class="lookup", rank="history")
        merged = near.over(far)
        request = hints.resolve(merged, _SERVICE, "vindpoot", _NOW).ok
        self.assertEqual(request.staleness, datetime.timedelta())
        self.assertEqual(request.rank.name, "history")

    def test_unknown_names_are_refused(self) -> None:
        for bad in (hints.Hints(rank="x"), hints.Hints(read_class="x")):
            with self.subTest(bad):
                result = hints.resolve(bad, _SERVICE, "vindpoot", _NOW)
                self.assertIsInstance(result.error, errors.BadHint)

    def test_session_variables_are_set_and_cleared(self) -> None:
        set_hints = hints.changed(
            hints.Hints(rank="urgent"), {"hickorygate_staleness_ms": "5"}
        ).ok
        cleared = hints.changed(
            set_hints,
            {"hickorygate_rank": None, "hickorygate_staleness_ms": None},
        )
        self.assertEqual(cleared.ok, hints.Hints())
        unknown = hints.changed(set_hints, {"hickorygate_x": None})
        self.assertIsInstance(unknown.error, errors.BadHint)
