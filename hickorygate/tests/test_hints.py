"""Tests the sources, precedence and validation of hints."""

from __future__ import annotations

import datetime
import unittest

from hickorygate.callers import hints
from hickorygate.core import errors
from hickorygate.core import rank
from hickorygate.core import sheet

_NOW = datetime.datetime(2026, 3, 1, 6, 0, tzinfo=datetime.UTC)
_SECOND = datetime.timedelta(seconds=1)
_SERVICE = sheet.Service(
    name="alert-db",
    ranks=(
        rank.Rank("urgent", 0, _SECOND, 0.5),
        rank.Rank("history", 1, 10 * _SECOND, 0.1),
    ),
    reads=(sheet.ReadClass("lookup", 2 * _SECOND),),
    users=(sheet.User("vindpoot", "urgent", "lookup"),),
    groups=(),
)


class CommentTest(unittest.TestCase):
    """Parses hints in comments at both ends of a statement."""

    def read(self, sql: str) -> tuple[hints.Hints, str]:
        return hints.parse_comments(sql).ok

    def test_leading_and_trailing_comment(self) -> None:
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

    def test_comment_with_other_keys_stays_in_the_statement(self) -> None:
        sql = "SELECT 1 /*hickorygate_rank='urgent',traceparent='00-1'*/"
        self.assertEqual(self.read(sql), (hints.Hints(rank="urgent"), sql))

    def test_strings_and_executable_comments_are_ignored(self) -> None:
        for sql in (
            "SELECT '/*hickorygate_rank=''urgent''*/' FROM t",
            "/*!hickorygate_rank='urgent'*/ SELECT 1",
        ):
            with self.subTest(sql):
                self.assertEqual(self.read(sql), (hints.Hints(), sql))

    def test_invalid_hints_are_rejected_by_name(self) -> None:
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
                failure = hints.parse_comments(sql).error
                self.assertIsInstance(failure, errors.BadHint)
                self.assertEqual(failure.name, name)


class ResolveTest(unittest.TestCase):
    """Resolves hints to the terms of a statement."""

    def test_defaults_are_those_of_the_user_or_the_last_rank(self) -> None:
        known = hints.resolve(hints.Hints(), _SERVICE, "vindpoot", _NOW).ok
        self.assertEqual(known.rank.name, "urgent")
        self.assertEqual(known.staleness, 2 * _SECOND)
        self.assertEqual(known.deadline, _NOW + _SECOND)
        other = hints.resolve(hints.Hints(), _SERVICE, "nobody", _NOW).ok
        self.assertEqual(other.rank.name, "history")
        self.assertIsNone(other.staleness)

    def test_staleness_of_the_higher_source_takes_precedence(self) -> None:
        higher = hints.Hints(staleness=datetime.timedelta())
        lower = hints.Hints(read_class="lookup", rank="history")
        merged = higher.with_fallback(lower)
        request = hints.resolve(merged, _SERVICE, "vindpoot", _NOW).ok
        self.assertEqual(request.staleness, datetime.timedelta())
        self.assertEqual(request.rank.name, "history")

    def test_unknown_names_are_rejected(self) -> None:
        for bad in (hints.Hints(rank="x"), hints.Hints(read_class="x")):
            with self.subTest(bad):
                result = hints.resolve(bad, _SERVICE, "vindpoot", _NOW)
                self.assertIsInstance(result.error, errors.BadHint)

    def test_session_variables_are_set_and_cleared(self) -> None:
        set_hints = hints.apply_changes(
            hints.Hints(rank="urgent"), {"hickorygate_staleness_ms": "5"}
        ).ok
        cleared = hints.apply_changes(
            set_hints,
            {"hickorygate_rank": None, "hickorygate_staleness_ms": None},
        )
        self.assertEqual(cleared.ok, hints.Hints())
        unknown = hints.apply_changes(set_hints, {"hickorygate_x": None})
        self.assertIsInstance(unknown.error, errors.BadHint)
