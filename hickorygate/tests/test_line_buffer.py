"""Tests where messages end, and how long they may be."""

from __future__ import annotations

import unittest

from hickorygate.platform import line_buffer
from hickorygate.platform import object_decoding
from hickorygate.platform import workspace_decoding

_LIMIT = line_buffer.MESSAGE_LIMIT


class LineBufferTest(unittest.TestCase):
    """Only CR LF ends a message."""

    # Guards against a message that a lone LF or CR ends (issue 49).
    def test_other_characters_belong_to_the_field(self) -> None:
        for field in (
            b"a\nQUERY 2 WRITE 1 forged",
            b"\n",
            b"\n\n",
            b"a\rb",
            b"\r",
            b"a\r\r",
            b"\n\r",
            b"a\0b",
            b"\x0b\x0c\x1c\x1d\x1e",
            "\x85\u2028\u2029".encode(),
            b"\xff\xfe\xed\xa0\x80",
        ):
            with self.subTest(field):
                buffer = line_buffer.LineBuffer()
                self.assertEqual(
                    buffer.feed(field + b"\r\nnext\r\n"), [field, b"next"]
                )
                self.assertEqual(buffer.size, 0)

    # Guards against an end that is missed between CR and LF.
    def test_an_end_may_arrive_in_two_pieces(self) -> None:
        buffer = line_buffer.LineBuffer()
        for data, lines in (
            (b"a\r", []),
            (b"\n", [b"a"]),
            (b"b\r", []),
            (b"\r", []),
            (b"\nc\r", [b"b\r"]),
            (b"", []),
            (b"\n\r\n", [b"c", b""]),
        ):
            self.assertEqual(buffer.feed(data), lines)

    # Guards against a limit that the two bytes of the end shift.
    def test_the_size_limit_is_exact(self) -> None:
        buffer = line_buffer.LineBuffer()
        buffer.append(b"x" * _LIMIT)
        self.assertFalse(buffer.oversized)
        buffer.append(b"\r")
        self.assertFalse(buffer.oversized)
        buffer.append(b"\n")
        self.assertTrue(buffer.has_line)
        self.assertFalse(buffer.oversized)
        self.assertEqual(len(buffer.pop()), _LIMIT)
        for data in (
            b"x" * (_LIMIT + 1),
            b"x" * (_LIMIT + 1) + b"\r",
            b"x" * (_LIMIT + 1) + b"\r\n",
            b"x" * _LIMIT + b"\n",
            b"x" * _LIMIT + b"\r\r",
            b"x" * _LIMIT + b"\r\r\n",
        ):
            with self.subTest(end=data[-3:]):
                buffer.clear()
                buffer.append(data)
                self.assertTrue(buffer.oversized)

    def test_a_cleared_buffer_holds_no_half_of_an_end(self) -> None:
        buffer = line_buffer.LineBuffer()
        buffer.append(b"a\r")
        buffer.clear()
        self.assertEqual(buffer.feed(b"\n\r\n"), [b"\n"])


class EncodingTest(unittest.TestCase):
    """A line is one message."""

    # Guards against a field that smuggles a second message (issue 49).
    def test_a_field_with_cr_lf_is_not_encoded(self) -> None:
        for line in (b"CONNECT a\r\nQUERY", b"\r\n", b"a\r\n", b"a\r\r\n"):
            with self.subTest(line), self.assertRaises(ValueError):
                line_buffer.encode_line(line)

    def test_other_fields_are_encoded_unchanged(self) -> None:
        for line in (b"", b"a\nb", b"a\r", b"\n", b"\xff\0"):
            with self.subTest(line):
                self.assertEqual(line_buffer.encode_line(line), line + b"\r\n")


class StoredNamesTest(unittest.TestCase):
    """Names of the store that become fields of `CONNECT` to a database."""

    # Guards against a stored name that smuggles a second message (issue 49).
    def test_a_name_that_ends_or_splits_a_field_is_refused(self) -> None:
        for end in ("\r\n", "\n", "\r", " ", "\u2028", "\x85", "\0"):
            for name in (f"a{end}QUERY", f"a{end}", f"{end}a"):
                with self.subTest(name=name):
                    entry = {
                        "service": name,
                        "address": "10.0.0.1:80",
                        "zone": "a",
                        "slots": 4,
                        "state": "ready",
                        "db_role": "replica",
                    }
                    found = object_decoding.decode_member("i-1", entry)
                    self.assertTrue(found.is_error())
                    found = object_decoding.decode_member(
                        name, {**entry, "service": "s"}
                    )
                    self.assertTrue(found.is_error())
                    listed = workspace_decoding.decode_workspaces(
                        [{"name": name, "api_keys": ["k"]}]
                    )
                    self.assertEqual(len(listed.workspaces), 0)
