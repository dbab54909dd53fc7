"""Tests that only values that can't be represented are replaced."""

from __future__ import annotations

import json
import unittest

from hickorygate.platform import lenient_json

_ODD = '"odd": 1e999'


class LenientJsonTest(unittest.TestCase):
    """Each document has one value that can't be represented."""

    def check(self, text: str, expected: object) -> None:
        body = f'{{{_ODD}, "kept": {text}}}'.encode()
        self.assertEqual(
            lenient_json.loads(body), {"odd": None, "kept": expected}
        )

    def test_everything_else_is_kept(self) -> None:
        for value in (
            [1, -2.5, 1e3, True, False, None, {}],
            {"a": {"b": [[], [{"c": "d"}]]}},
            'brackets [{ " } ] and \\ in text, \\ud800 as text',
            "ä\u20ac\n\t",
            2**63,
        ):
            with self.subTest(value=value):
                self.check(json.dumps(value), value)
                self.check(json.dumps(value, ensure_ascii=False), value)

    def test_pairs_of_surrogates_and_bytes_are_replaced(self) -> None:
        self.check(r'"\ud83d\ude00"', "\ufffd\ufffd")
        body = b'{"kept": "a\xffb"}'
        self.assertEqual(lenient_json.loads(body), {"kept": "a\ufffdb"})

    def test_what_is_nested_deeper_becomes_null(self) -> None:
        depth = 3_000
        self.check(
            json.dumps(["before"])[:-1]
            + ", "
            + "[" * depth
            + "]" * depth
            + "]",
            ["before", json.loads("[" * 62 + "null" + "]" * 62)],
        )

    def test_other_texts_are_no_json(self) -> None:
        for text in ("", "{", "[1,]", '{"a" 1}', "]", '"', "[" * 99, "nul"):
            with self.subTest(text=text):
                self.assertRaises(ValueError, lenient_json.loads, text.encode())
