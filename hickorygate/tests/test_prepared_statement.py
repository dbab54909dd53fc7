"""Tests prepared statements: placeholders, parameters and literals."""

from __future__ import annotations

import decimal
import struct
import unittest

from hickorygate.callers import packet
from hickorygate.callers import parameter
from hickorygate.callers import prepared_statement
from hickorygate.callers import protocol_errors
from hickorygate.core import errors

_LIMIT = 1_000_000
_MEGABYTE = 1_048_576


def _execution_body(
    kinds: list[tuple[int, int]], nulls: int, values: bytes
) -> bytes:
    """Builds the part of an execution packet after the statement id."""
    bitmap = nulls.to_bytes((len(kinds) + 7) // 8, "little")
    types = b"".join(bytes(kind) for kind in kinds)
    return b"\x00" + b"\x01\x00\x00\x00" + bitmap + b"\x01" + types + values


class PlaceholderTest(unittest.TestCase):
    """Finds the placeholders of a statement."""

    def test_quoted_question_marks_are_no_placeholders(self) -> None:
        for sql, count in {
            "SELECT ?": 1,
            "SELECT '?', \"?\", `?` /* ? */ -- ?\n, ?, ?": 2,
            "SELECT 'it''s ?\\'?', ?": 1,
            "SELECT 1": 0,
        }.items():
            with self.subTest(sql):
                self.assertEqual(
                    prepared_statement.parse_placeholders(
                        1, sql
                    ).parameter_count,
                    count,
                )

    def test_hostile_text_is_scanned_in_one_pass(self) -> None:
        for word in ("'\\", "\"'", "?'", "/*", "`?"):
            with self.subTest(word):
                sql = word * (_MEGABYTE // 64 // len(word))
                self.assertTrue(
                    prepared_statement.parse_placeholders(1, sql).sql_parts
                )


class LiteralTest(unittest.TestCase):
    """Writes values as SQL literals."""

    def test_literals(self) -> None:
        for value, sql in (
            (None, "NULL"),
            (-5, " -5"),
            (18_446_744_073_709_551_615, " 18446744073709551615"),
            (1.5, " 1.5e0"),
            (1e300, " 1e+300"),
            (decimal.Decimal("-0.10"), " -0.10"),
            ("it's", "'it''s'"),
            ("a\\' OR 1=1 -- ", "'a\\\\'' OR 1=1 -- '"),
            ("nul\x00", "'nul\\0'"),
            (parameter.Binary(b"\x00'\xff"), "x'0027ff'"),
        ):
            with self.subTest(value):
                self.assertEqual(parameter.sql_literal(value), sql)

    def test_non_finite_number_is_refused(self) -> None:
        for value in (float("nan"), float("inf")):
            with self.assertRaises(errors.FailureError) as caught:
                parameter.sql_literal(value)
            failure = caught.exception.failure
            self.assertIsInstance(failure, protocol_errors.BadParameter)


class ExecuteTest(unittest.TestCase):
    """Decodes execution packets as callers send them."""

    def execute_sql(self, sql: str, body: bytes) -> str:
        statement = prepared_statement.parse_placeholders(1, sql)
        reader = packet.PacketReader(body)
        return prepared_statement.read_execution(
            reader, statement, False, _LIMIT
        ).sql

    def test_values_of_all_types(self) -> None:
        for kind, unsigned, data, sql in (
            (1, 0, b"\xff", " -1"),
            (1, 0x80, b"\xff", " 255"),
            (3, 0, b"\xfe\xff\xff\xff", " -2"),
            (8, 0x80, b"\xff" * 8, " 18446744073709551615"),
            (5, 0, struct.pack("<d", 0.1), " 0.1e0"),
            (253, 0, b"\x04a'b?", "'a''b?'"),
            (253, 0, b"\x02\xff\xfe", "x'fffe'"),
            (252, 0, b"\x02ab", "x'6162'"),
            (246, 0, b"\x041.50", " 1.50"),
            (10, 0, b"\x04\xea\x07\x03\x01", "'2026-03-01'"),
            (12, 0, b"\x00", "'0000-00-00'"),
            (
                12,
                0,
                b"\x0b\xea\x07\x03\x01\x06\x07\x08\x01\x00\x00\x00",
                "'2026-03-01 06:07:08.000001'",
            ),
            (11, 0, b"\x08\x01\x01\x00\x00\x00\x02\x03\x04", "'-26:03:04'"),
            (6, 0, b"", "NULL"),
        ):
            with self.subTest(kind=kind, data=data):
                body = _execution_body([(kind, unsigned)], 0, data)
                self.assertEqual(
                    self.execute_sql("SELECT ?", body), f"SELECT {sql}"
                )

    def test_nulls_and_long_data_keep_their_order(self) -> None:
        statement = prepared_statement.parse_placeholders(1, "VALUES (?, ?, ?)")
        statement.append_long_data(2, b"lo", _LIMIT)
        statement.append_long_data(2, b"ng", _LIMIT)
        body = _execution_body(
            [(3, 0), (253, 0), (253, 0)], 0b010, b"\x07\x00\x00\x00"
        )
        execution = prepared_statement.read_execution(
            packet.PacketReader(body), statement, False, _LIMIT
        )
        self.assertEqual(execution.sql, "VALUES ( 7, NULL, 'long')")

    def test_types_are_kept_for_the_next_execution(self) -> None:
        statement = prepared_statement.parse_placeholders(1, "SELECT ?")
        first = _execution_body([(1, 0)], 0, b"\x01")
        second = b"\x00\x01\x00\x00\x00\x00\x00\x02"
        sqls = [
            prepared_statement.read_execution(
                packet.PacketReader(b), statement, False, _LIMIT
            ).sql
            for b in (first, second)
        ]
        self.assertEqual(sqls, ["SELECT  1", "SELECT  2"])

    def test_query_attributes_are_read(self) -> None:
        attributes = b"\x01\x01\x00\x01\xfe\x00\x10hickorygate_rank\x06urgent"
        self.assertEqual(
            prepared_statement.read_attributes(packet.PacketReader(attributes)),
            {"hickorygate_rank": "urgent"},
        )

    def test_truncated_packets_are_malformed(self) -> None:
        whole = _execution_body(
            [(3, 0), (253, 0)], 0, b"\x07\x00\x00\x00\x02ab"
        )
        for size in range(len(whole)):
            with self.subTest(size):
                with self.assertRaises(errors.FailureError) as caught:
                    self.execute_sql("SELECT ?, ?", whole[:size])
                failure = caught.exception.failure
                self.assertIsInstance(failure, protocol_errors.MalformedPacket)

    def test_oversized_long_data_is_refused(self) -> None:
        statement = prepared_statement.parse_placeholders(1, "SELECT ?")
        statement.append_long_data(0, b"x" * 11, 10)
        body = packet.PacketReader(_execution_body([(253, 0)], 0, b""))
        with self.assertRaises(errors.FailureError) as caught:
            prepared_statement.read_execution(body, statement, False, 10)
        failure = caught.exception.failure
        self.assertEqual(failure, errors.StatementTooLarge(11, 10))
