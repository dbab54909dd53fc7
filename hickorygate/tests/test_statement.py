"""Tests of the classification of statements."""

from __future__ import annotations

import unittest

from hickorygate.core import errors
from hickorygate.core import statement

_MEGABYTE = 1_048_576

_CLASSES = {
    "BEGIN": statement.Begin("BEGIN"),
    "start transaction read only": statement.Begin(
        "start transaction read only", read_only=True
    ),
    "COMMIT;": statement.Commit("COMMIT"),
    "rollback work": statement.Rollback("rollback work"),
    "ROLLBACK TO a": statement.Write("ROLLBACK TO a"),
    "SAVEPOINT a": statement.Write("SAVEPOINT a"),
    "USE `alerts_1`": statement.UseSchema("USE `alerts_1`", "alerts_1"),
    "USE `a#b`": statement.UseSchema("USE `a#b`", "a#b"),
    "USE /* c */ `a``b` # d": statement.UseSchema(
        "USE /* c */ `a``b` # d", "a`b"
    ),
    "SET @@autocommit = 0": statement.SetAutocommit(
        "SET @@autocommit = 0", False
    ),
    "SET NAMES utf8mb4": statement.SetVariable("SET NAMES utf8mb4"),
    "SET @a = 1": statement.PinsConnection("SET @a = 1"),
    "SELECT @a": statement.PinsConnection("SELECT @a"),
    "LOCK TABLES t READ": statement.PinsConnection("LOCK TABLES t READ"),
    "create temporary table t (a int)": statement.PinsConnection(
        "create temporary table t (a int)"
    ),
    "/*!40101 SET NAMES utf8 */": statement.PinsConnection(
        "/*!40101 SET NAMES utf8 */"
    ),
    "DROP TABLE t": statement.ImplicitCommit("DROP TABLE t"),
    "SELECT LAST_INSERT_ID()": statement.ConnectionBound(
        "SELECT LAST_INSERT_ID()"
    ),
    "SHOW WARNINGS": statement.ShowWarnings("SHOW WARNINGS"),
    "SHOW COUNT(*) ERRORS": statement.ShowWarnings("SHOW COUNT(*) ERRORS"),
    "SELECT 'a;b'; -- c": statement.Read("SELECT 'a;b'"),
    "CALL p()": statement.Write("CALL p()"),
    "nonsense": statement.Write("nonsense"),
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
                self.assertEqual(statement.classify(sql).ok, expected)

    def test_refusals(self) -> None:
        for sql, expected in _REFUSED.items():
            with self.subTest(sql):
                self.assertIsInstance(statement.classify(sql).error, expected)

    def test_hostile_megabytes_take_one_pass(self) -> None:
        """Guards against backtracking, which takes hours for a megabyte."""
        for word in _HOSTILE:
            for lead in ("", "SELECT ", "WITH "):
                with self.subTest(word=word, lead=lead):
                    text = lead + word * (_MEGABYTE // len(word))
                    verdict = statement.classify(text)
                    self.assertTrue(verdict.is_ok() or verdict.is_error())
