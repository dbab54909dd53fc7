"""Tests the decoding of valid and invalid platform objects."""

from __future__ import annotations

import datetime
import unittest

from hickorygate.core import catalog as catalogs
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
_ROUTE = {
    "name": "r-1",
    "host": "fiti832",
    "type": "read_your_writes",
    "timeout_ms": 1000,
    "latency_goal_ms": 400,
    "priority": 1,
    "service": "huvo11a",
    "max_staleness_ms": 2500,
}
_CONFIGURATION = {
    "version": 7,
    "routes": [_ROUTE],
    "services": [{"name": "huvo11a", "max_conns": 22, "sync_replicas": 1}],
    "limits": {"tx_idle_ms": 3000},
}


class MemberTest(unittest.TestCase):
    """Decoding of service discovery entries."""

    def test_a_valid_entry_is_a_database(self) -> None:
        member = object_decoding.decode_member("i-1", _ENTRY)
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
                self.assertIsNone(object_decoding.decode_member("i-1", entry))
        for value in (None, "text", [], {}):
            with self.subTest(value):
                self.assertIsNone(object_decoding.decode_member("i-1", value))


class CatalogTest(unittest.TestCase):
    """Decoding of the configuration."""

    def test_routes_are_found_by_database_name(self) -> None:
        catalog = object_decoding.decode_catalog(_CONFIGURATION).ok
        route = catalog.routes["fiti832"]
        staleness = datetime.timedelta(milliseconds=2_500)
        self.assertEqual(route.consistency, catalogs.ReadYourWrites(staleness))
        self.assertEqual(route.rank.order, 1)
        self.assertEqual(catalog.services["huvo11a"].connections, 22)

    def test_an_invalid_configuration_is_a_failure(self) -> None:
        for value in (
            None,
            {},
            {**_CONFIGURATION, "version": "x"},
            {**_CONFIGURATION, "routes": [{**_ROUTE, "type": "any"}]},
        ):
            with self.subTest(value):
                self.assertTrue(
                    object_decoding.decode_catalog(value).is_error()
                )
