"""Classification of statements in random case, spacing and quoting.

The tests guard against a statement that changes or locks data and is
classified as a read, which could then run on a replica.
"""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies

from hickorygate.core import errors
from hickorygate.core import statement
import properties as properties

_WRITES = (
    "INSERT INTO t VALUES ( 1 )",
    "REPLACE INTO t SELECT a FROM u",
    "UPDATE t SET a = 1",
    "DELETE FROM t",
    "WITH c AS ( SELECT 1 ) UPDATE t SET a = 2",
    "WITH c AS ( SELECT 1 ) DELETE FROM t",
    "SELECT a FROM t FOR UPDATE",
    "SELECT a FROM t FOR SHARE",
    "SELECT a FROM t LOCK IN SHARE MODE",
    "( SELECT a FROM t FOR UPDATE )",
    "SELECT a INTO OUTFILE 'f' FROM t",
    "SELECT a INTO @v FROM t",
    "SELECT @v := 1",
    "SELECT GET_LOCK ( 'a' , 1 )",
    "SELECT stored ( 1 )",
    "SELECT db . count ( 1 )",
    "SELECT `count` ( 1 )",
    "EXPLAIN ANALYZE DELETE FROM t",
    "CREATE TABLE t ( a INT )",
    "CALL p ( 1 )",
    "TRUNCATE t",
    "SAVEPOINT a",
)
_READS = (
    "SELECT 1",
    "SELECT a FROM t WHERE b = 'x' AND c IN ( 1 , 2 )",
    "( SELECT a FROM t ) UNION ( SELECT COUNT ( * ) FROM u )",
    "WITH c AS ( SELECT 1 ) SELECT * FROM c",
    "SELECT REPLACE ( a , 'UPDATE' , 'DELETE' ) FROM t",
    "SELECT `update` FROM t",
    "SHOW TABLES",
    "EXPLAIN SELECT 1",
)
_STRINGS = strategies.sampled_from(
    ["';'", "'FOR UPDATE'", '"a\\"; b"', "'it''s'", "'\\\\'", "'--'", "'/*'"]
)
_GAPS = strategies.sampled_from(
    [
        " ",
        "\n\t",
        "/* ; ' */",
        "/**/",
        "/*** FOR UPDATE ***/",
        " -- ' ; \n",
        '#"\n',
        " /*+ NO_ICP(t) */ ",
    ]
)


@strategies.composite
def dressed(draw: strategies.DrawFn, texts: tuple[str, ...]) -> str:
    """Returns a statement with random case, white space and strings."""
    words = []
    for word in draw(strategies.sampled_from(texts)).split():
        if word.startswith("'"):
            word = draw(_STRINGS)
        elif draw(strategies.booleans()):
            word = word.lower()
        words.append(word)
        words.append(draw(_GAPS))
    ending = draw(strategies.sampled_from(["", ";", "; -- done", ";;\n"]))
    return draw(_GAPS) + "".join(words) + ending


class StatementProperty(unittest.TestCase):
    """Checks the class of each statement, however it is written."""

    @hypothesis.seed(
        18471385559443666880771469128722036426467294996100970514448551966230264530387491158450241704502762139897002351601483
    )
    @hypothesis.given(dressed(_WRITES))
    def test_write_is_never_a_read(self, sql: str) -> None:
        result = statement.classify(sql)
        self.assertIsInstance(result.ok, statement.Write, sql)

    @hypothesis.seed(
        3336387938056905270618921745172628012769942511552102165241051279291932782680525720279931601008408519829200897941627
    )
    @hypothesis.given(dressed(_READS))
    def test_read_stays_a_read(self, sql: str) -> None:
        result = statement.classify(sql)
        self.assertIsInstance(result.ok, statement.Read, sql)

    @hypothesis.seed(
        19722127116498839888334911238035544436248409378253683985655990500280197053239295093092853131435922377557421676800395
    )
    @hypothesis.given(dressed(_READS), dressed(_READS + _WRITES))
    def test_second_statement_is_refused(self, one: str, two: str) -> None:
        result = statement.classify(f"{one}\n;{two}")
        self.assertEqual(result.error, errors.MultipleStatements(), one)

    @hypothesis.seed(
        10541633452659125443815585849733233985657614671980747521507165075301708676349834671554567792312234786607725473656425
    )
    @hypothesis.given(strategies.text("'\"`\\;/*!-# \nSELTa(@:=.", max_size=40))
    def test_any_text_has_a_verdict(self, text: str) -> None:
        result = statement.classify("SELECT " + text)
        if result.is_ok():
            self.assertNotIn("\x00", result.ok.sql)
            self.assertIsInstance(result.ok, statement.Statement)
