"""Tests of parsing SET statements and of replaying session variables."""

from __future__ import annotations

import unittest

from hickorygate.core import assignment
from hickorygate.core import errors

_MODE = "CONCAT(@@sql_mode, ',STRICT_ALL_TABLES')"
_MEGABYTE = 1_048_576


class ParseTest(unittest.TestCase):
    """Accepted and refused SET statements."""

    def test_accepted(self) -> None:
        variable = assignment.SessionVariable
        for sql, expected in {
            "SET NAMES utf8mb4": (variable("collation_connection", None),),
            "SET NAMES 'utf8' COLLATE utf8mb4_bin": (
                variable("collation_connection", "'utf8mb4_bin'"),
            ),
            "SET character_set_results = NULL": (
                assignment.IgnoredAssignment(),
            ),
            "SET @@SESSION.time_zone = '+00:00'": (
                variable("time_zone", "'+00:00'"),
            ),
            "SET SESSION TRANSACTION ISOLATION LEVEL READ COMMITTED": (
                variable("transaction_isolation", "'READ-COMMITTED'"),
            ),
            f"set autocommit=0, session sql_mode={_MODE}": (
                assignment.Autocommit(False),
                variable("sql_mode", _MODE),
            ),
            "SET hickorygate_rank = 'a''b', @@hickorygate_token = NULL": (
                assignment.Hint("hickorygate_rank", "a'b"),
                assignment.Hint("hickorygate_token", None),
            ),
        }.items():
            with self.subTest(sql):
                self.assertEqual(assignment.parse_set(sql).ok, expected)

    def test_refused(self) -> None:
        for sql, expected in {
            "SET NAMES latin1": errors.UnsupportedCharset,
            "SET character_set_client = gbk": errors.UnsupportedCharset,
            "SET GLOBAL time_zone = 'UTC'": errors.UnsupportedVariable,
            "SET @@PERSIST.time_zone = 'UTC'": errors.UnsupportedVariable,
            "SET sql_log_bin = 0": errors.UnsupportedVariable,
            "SET sql_mode = 'NO_BACKSLASH_ESCAPES'": errors.UnsupportedVariable,
            "SET sql_mode = (SELECT f())": errors.UnsupportedVariable,
            "SET time_zone = 'UTC', sql_log_bin = 0": (
                errors.UnsupportedVariable
            ),
            "SET TRANSACTION READ ONLY": errors.UnsupportedStatement,
            "SET PASSWORD = 'x'": errors.UnsupportedVariable,
            "SET ROLE admin": errors.UnsupportedStatement,
            "SET": errors.UnsupportedStatement,
            "SET a": errors.UnsupportedStatement,
            "SET hickorygate_rank = f()": errors.BadHint,
        }.items():
            with self.subTest(sql):
                self.assertIsInstance(assignment.parse_set(sql).error, expected)

    def test_hostile_megabytes_take_one_pass(self) -> None:
        """Guards against patterns that backtrack over hostile text."""
        for word in ("'", "(", "a=", ",", "a=(", "a ", "@@", "a='", "\\'"):
            with self.subTest(word):
                text = "SET a=" + word * (_MEGABYTE // len(word))
                self.assertTrue(assignment.parse_set(text).is_error())


class ReplayTest(unittest.TestCase):
    """Statements that replace one session's variables by another's."""

    def test_old_variables_are_reset_before_new_ones_are_set(self) -> None:
        old = (
            assignment.SessionVariable("time_zone", "'+01:00'"),
            assignment.SessionVariable("collation_connection", "'utf8_bin'"),
        )
        new = (assignment.SessionVariable("sql_mode", "'ANSI'"),)
        steps = assignment.replay(old, new)
        self.assertEqual(
            [step.sql for step in steps],
            [
                "SET time_zone = DEFAULT, NAMES utf8mb4",
                "SET sql_mode = 'ANSI'",
            ],
        )
        self.assertEqual([step.variables for step in steps], [(), new])
