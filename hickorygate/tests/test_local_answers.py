"""Tests the statements that the proxy answers without a database."""

from __future__ import annotations

import datetime
import unittest

from hickorygate.callers import local_answers
from hickorygate.callers import session
from hickorygate.upstreams import answer

_NOTES = (
    answer.Note("Warning", 1265, "Data truncated"),
    answer.Note("Error", 1062, "Duplicate entry"),
)


class SelectTest(unittest.TestCase):
    """Tells SELECTs of known items from those that need a database."""

    def setUp(self) -> None:
        now = datetime.datetime(2026, 3, 1, tzinfo=datetime.UTC)
        self.session = session.Session("vindpoot", now, schema="alerts_1")
        self.connection_state = local_answers.CallerConnectionState(
            7, 1_024, last_insert_id=9
        )

    def rows(self, sql: str) -> list[tuple[object, ...]] | None:
        table = local_answers.answer_select(
            sql, self.session, self.connection_state
        )
        return None if table is None else list(table.rows)

    def test_known_items_are_answered(self) -> None:
        for sql, row in {
            "SELECT 1": (1,),
            "select @@version_comment limit 1": ("hickorygate",),
            "SELECT DATABASE(), connection_id()": ("alerts_1", 7),
            "/* driver */ SELECT  @@session.autocommit AS a": (1,),
            "SELECT @@max_allowed_packet, LAST_INSERT_ID()": (1_024, 9),
        }.items():
            with self.subTest(sql):
                self.assertEqual(self.rows(sql), [row])

    def test_other_statements_go_to_a_database(self) -> None:
        for sql in (
            "SELECT @@server_uuid",
            "SELECT 1, @@server_uuid",
            "SELECT '1'",
            "SELECT a FROM t",
            "SELECT 1 FROM t",
            "SELECT NOW()",
            "SELECT 1 " + " " * 5_000,
        ):
            with self.subTest(sql):
                self.assertIsNone(self.rows(sql))

    def test_column_labels(self) -> None:
        sql = "SELECT @@autocommit, @@version AS `v`"
        table = local_answers.answer_select(
            sql, self.session, self.connection_state
        )
        labels = [column.name for column in table.columns]
        self.assertEqual(labels, ["@@autocommit", "v"])


class NoteTest(unittest.TestCase):
    """Answers SHOW WARNINGS, SHOW ERRORS and their SHOW COUNT variants."""

    def test_warning_rows(self) -> None:
        all_rows = [(n.level, n.code, n.text) for n in _NOTES]
        for sql, rows in {
            "SHOW WARNINGS": all_rows,
            "SHOW WARNINGS LIMIT 1, 5": all_rows[1:],
            "show errors": all_rows[1:],
            "SHOW COUNT(*) WARNINGS": [(2,)],
            "SHOW COUNT(*) ERRORS": [(1,)],
        }.items():
            with self.subTest(sql):
                self.assertEqual(
                    local_answers.answer_show_warnings(sql, _NOTES).rows, rows
                )
