"""Tests the encoding of rows in the text and the binary protocol."""

from __future__ import annotations

import struct
import unittest

from hickorygate.callers import result_encoding
from hickorygate.upstreams import answer

_UNSIGNED = 32


class BinaryRowTest(unittest.TestCase):
    """Binary encoding of cells, by the type of the column."""

    def cell(self, code: int, cell: object, flags: int = 0) -> bytes:
        column = answer.Column("a", code, 63, flags)
        encoders = result_encoding.binary_encoders((column,))
        return result_encoding.encode_binary_row(encoders, (cell,))[2:]

    def test_cells(self) -> None:
        for code, flags, cell, data in (
            (1, 0, "-1", b"\xff"),
            (1, _UNSIGNED, b"255", b"\xff"),
            (8, 0, 7, (7).to_bytes(8, "little")),
            (8, _UNSIGNED, "18446744073709551615", b"\xff" * 8),
            (13, 0, "2026", b"\xea\x07"),
            (4, 0, "1.5", struct.pack("<f", 1.5)),
            (5, 0, "0.1", struct.pack("<d", 0.1)),
            (246, 0, "1.50", b"\x041.50"),
            (253, 0, "é", b"\x02\xc3\xa9"),
            (252, 0, b"\x00\xff", b"\x02\x00\xff"),
            (245, 0, "{}", b"\x02{}"),
            (16, 0, b"\x01", b"\x01\x01"),
            (10, 0, "2026-03-01", b"\x04\xea\x07\x03\x01"),
            (12, 0, "0000-00-00 00:00:00", b"\x00"),
            (
                12,
                0,
                "2026-03-01 06:07:08",
                b"\x07\xea\x07\x03\x01\x06\x07\x08",
            ),
            (
                7,
                0,
                "2026-03-01 06:07:08.5",
                b"\x0b\xea\x07\x03\x01\x06\x07\x08\x20\xa1\x07\x00",
            ),
            (11, 0, "-26:03:04", b"\x08\x01\x01\x00\x00\x00\x02\x03\x04"),
            (11, 0, "00:00:00", b"\x00"),
        ):
            with self.subTest(code=code, cell=cell):
                self.assertEqual(self.cell(code, cell, flags), data)

    def test_integer_too_wide_for_its_column_is_a_value_error(self) -> None:
        for code, flags, cell in (
            (1, 0, "128"),
            (1, 0, "-129"),
            (1, _UNSIGNED, "256"),
            (8, 0, "9223372036854775808"),
            (13, _UNSIGNED, "-1"),
        ):
            with self.subTest(code=code, cell=cell):
                with self.assertRaises(ValueError):
                    self.cell(code, cell, flags)

    def test_nulls_are_set_in_the_bitmap(self) -> None:
        columns = tuple(answer.Column("a", 6, 63) for _ in range(7))
        encoders = result_encoding.binary_encoders(columns)
        row = result_encoding.encode_binary_row(encoders, (None,) * 7)
        self.assertEqual(row, b"\x00\xfc\x01")


class TextRowTest(unittest.TestCase):
    """Text encoding of cells, and column definitions."""

    def test_cells(self) -> None:
        row = result_encoding.encode_text_row(
            (None, "é", b"\xff", 7, 1.5, "x" * 300)
        )
        long = b"\xfc\x2c\x01" + b"x" * 300
        self.assertEqual(row, b"\xfb\x02\xc3\xa9\x01\xff\x017\x031.5" + long)

    def test_column_has_charset_flags_and_decimals(self) -> None:
        column = answer.Column("n", 246, 63, _UNSIGNED, 2, 12)
        self.assertEqual(
            result_encoding.encode_column(column),
            b"\x03def\x00\x00\x00\x01n\x01n\x0c\x3f\x00\x0c\x00\x00\x00"
            b"\xf6\x20\x00\x02\x00\x00",
        )
