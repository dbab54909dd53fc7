"""Tests of the classification of statements."""

from __future__ import annotations

import unittest

from hickorygate.core import errors
from hickorygate.core import statement as statements

_MEGABYTE = 1_048_576

_CLASSES = {
    "BEGIN": statements.Begin("BEGIN"),
    "start transaction read only": statements.Begin(
        "start transaction read only", read_only=True
    ),
    "COMMIT;": statements.Commit("COMMIT"),
    "rollback work": statements.Rollback("rollback work"),
    "ROLLBACK TO a": statements.Write("ROLLBACK TO a"),
    "SAVEPOINT a": statements.Write("SAVEPOINT a"),
    "USE `alerts_1`": statements.UseSchema("USE `alerts_1`", "alerts_1"),
    "SET @@autocommit = 0": statements.SetAutocommit(
        "SET @@autocommit = 0", False
    ),
    "SET NAMES utf8mb4": statements.SetVariable("SET NAMES utf8mb4"),
    "SET @a = 1": statements.PinsConnection("SET @a = 1"),
    "SELECT @a": statements.PinsConnection("SELECT @a"),
    "LOCK TABLES t READ": statements.PinsConnection("LOCK TABLES t READ"),
    "create temporary table t (a int)": statements.PinsConnection(
        "create temporary table t (a int)"
    ),
    "/*!40101 SET NAMES utf8 */": statements.PinsConnection(
        "/*!40101 SET NAMES utf8 */"
    ),
    "DROP TABLE t": statements.ImplicitCommit("DROP TABLE t"),
    "SELECT LAST_INSERT_ID()": statements.ConnectionBound(
        "SELECT LAST_INSERT_ID()"
    ),
    "SHOW WARNINGS": statements.ShowWarnings("SHOW WARNINGS"),
    "SHOW COUNT(*) ERRORS": statements.ShowWarnings("SHOW COUNT(*) ERRORS"),
    "SELECT 'a;b'; -- c": statements.Read("SELECT 'a;b'"),
    "CALL p()": statements.Write("CALL p()"),
    "nonsense": statements.Write("nonsense"),
}
_REFUSED = {
    "": errors.EmptyStatement,
    " ; /* only */ -- a comment": errors.EmptyStatement,
    "SELECT 1; SELECT 2": errors.MultipleStatements,
    "LOAD DATA LOCAL INFILE 'f' INTO TABLE t": errors.UnsupportedStatement,
    "KILL 7": errors.UnsupportedStatement,
    "COMMIT AND CHAIN": errors.UnsupportedStatement,
    "PREPARE s FROM 'DELETE FROM t'": errors.UnsupportedStatement,
    "CALL group_fence(9, 'me')": errors.UnsupportedStatement,
    "CALL `group_promote`(9, 'me')": errors.UnsupportedStatement,
    "/*!CALL group_fence(9, 'me')*/": errors.UnsupportedStatement,
    "START SLAVE": errors.UnsupportedStatement,
}
_HOSTILE = (
    "'",
    "'\\",
    "''",
    "`",
    "/*",
    "/**",
    "*/*",
    "--\n",
    "#",
    "(",
    "a",
    "a (",
    ". ",
    "`(",
    "` ",
    "@",
    ";",
    "\\'",
    "/*!",
    "SET a=",
)


class StatementTest(unittest.TestCase):
    """Results of `classify`."""

    def test_classes(self) -> None:
        for sql, expected in _CLASSES.items():
            with self.subTest(sql):
                self.assertEqual(statements.classify(sql).ok, expected)

    def test_refusals(self) -> None:
        for sql, expected in _REFUSED.items():
            with self.subTest(sql):
                self.assertIsInstance(statements.classify(sql).error, expected)

    def test_hostile_megabytes_take_one_pass(self) -> None:
        """Guards against backtracking, which takes hours for a megabyte."""
        for word in _HOSTILE:
            for lead in ("", "SELECT ", "WITH "):
                with self.subTest(word=word, lead=lead):
                    text = lead + word * (_MEGABYTE // len(word))
                    verdict = statements.classify(text)
                    self.assertTrue(verdict.is_ok() or verdict.is_error())
