"""Tests the decoding of valid and invalid service discovery entries."""

from __future__ import annotations

import unittest

from hickorygate.platform import object_decoding

_ENTRY = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "nl-west-a",
    "version": "v1",
    "slots": 3,
    "state": "ready",
    "cold_left_ms": 0,
    "db_role": "replica",
    "seq_no": 4,
    "born": 1769342630486,
}


class MemberTest(unittest.TestCase):
    """Decoding of service discovery entries."""

    def test_a_valid_entry_is_a_database(self) -> None:
        member = object_decoding.decode_member("i-1", _ENTRY).ok
        self.assertEqual((member.host, member.port), ("10.128.0.9", 8080))
        self.assertFalse(member.leads or member.leaving or member.warming)

    def test_invalid_entries_are_ignored(self) -> None:
        for change in (
            {"slots": "3"},
            {"slots": 0},
            {"state": "resting"},
            {"db_role": None},
            {"address": "nowhere"},
            {"service": 7},
            {"born": "yesterday"},
        ):
            with self.subTest(change):
                entry = {**_ENTRY, **change}
                self.assertTrue(
                    object_decoding.decode_member("i-1", entry).is_error()
                )
        for value in (None, "text", [], {}):
            with self.subTest(value):
                self.assertTrue(
                    object_decoding.decode_member("i-1", value).is_error()
                )

    def test_an_address_that_no_connection_can_have_is_ignored(self) -> None:
        # Guards against review/9: such an entry counted as a silent replica, so
        # no primary was replaced any more.
        for address in (
            "\ufffd\ufffd:8080",
            "\ud8f7\ud8f7:8080",
            "10.0.0.1\r\nX:8080",
            "a b:8080",
            "\x00:8080",
            "10.0.0.1:\u0668\u0660",
            f"{'a' * 64}.example:8080",
            "..:8080",
        ):
            with self.subTest(address):
                entry = {**_ENTRY, "address": address}
                found = object_decoding.decode_member("i-1", entry)
                self.assertIn("address", found.error.message)

    def test_names_that_no_message_can_hold_are_ignored(self) -> None:
        for name in ("", "i 1", "i-1\r\nQUERY", "\ufffd"):
            with self.subTest(name):
                self.assertTrue(
                    object_decoding.decode_member(name, _ENTRY).is_error()
                )
                entry = {**_ENTRY, "service": name}
                self.assertTrue(
                    object_decoding.decode_member("i-1", entry).is_error()
                )
