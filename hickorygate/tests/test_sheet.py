"""Parsing of sheets, and the error messages for invalid ones.

An invalid sheet must be rejected with an error that names the line, the value
and how to correct it.
"""

from __future__ import annotations

import datetime
import pathlib
import tempfile
import unittest

from hickorygate.core import errors
from hickorygate.core import sheet as sheets
from hickorygate.core import yaml_validation

_GOOD = """\
format: 1
proxies: 5
services:
  - name: alert-db
    ranks:
      - {name: report, target_ms: 250, floor: 0.5}
      - {name: sighting, target_ms: 1000, floor: 0.2}
    reads:
      - {name: lookup, staleness_ms: 2000}
    users:
      - {name: vets, rank: sighting, reads: lookup}
    groups:
      - name: alert-db-1
        schemas: [alerts_1]
        databases:
          - {name: db-a, host: a, port: 1, zone: z, connections: 20, slots: 3}
          - {name: db-b, host: b, port: 1, zone: z, connections: 20, slots: 3}
      - name: alert-db-2
        schemas: [alerts_2]
        databases:
          - {name: db-c, host: c, port: 1, zone: z, connections: 20, slots: 3}
entry_instances: [entry-1]
planned_stops:
  - {instance: entry-1, at: 2026-03-01T06:00:00Z}
"""

_BAD = (
    ("unknown key", "proxies: 5", "proxies: 5\ncolour: red", 3, "colour"),
    ("negative limit", "connections: 20", "connections: -1", 16, "-1"),
    ("rank twice", "name: sighting,", "name: report,", 7, "rank occurs twice"),
    ("database in two groups", "name: db-c", "name: db-a", 21, "database occu"),
    ("schema in two groups", "[alerts_2]", "[alerts_1]", 19, "schema occurs"),
    ("group twice", "alert-db-2", "alert-db-1", 18, "group occurs twice"),
    ("address twice", "host: b", "host: a", 17, "address occurs twice"),
    ("unknown rank", "rank: sighting", "rank: urgent", 11, "'urgent'"),
    ("unknown reads", "reads: lookup", "reads: stale", 11, "'stale'"),
    ("floors over 1", "floor: 0.5", "floor: 0.9", 5, "add up to 1.1"),
    ("more slots", "slots: 3}\nentry", "slots: 21}\nentry", 21, "20 connec"),
    ("few connections", "proxies: 5", "proxies: 11", 16, "need 22"),
    ("unknown instance", "instance: entry-1", "instance: x", 24, "'x'"),
    ("naive time", "06:00:00Z", "06:00:00", 24, "timezone"),
    ("key twice", "proxies: 5", "proxies: 5\nproxies: 4", 3, "occurs twice"),
    ("not YAML", "proxies: 5", "proxies: [", 4, "YAML"),
    ("huge number", "proxies: 5", "proxies: " + "5" * 5_000, None, "4300"),
    ("no mapping", _GOOD, "- 1", 1, "mapping"),
    ("nothing", _GOOD, "", None, "mapping"),
    ("nested", _GOOD, "[" * 100_000, 1, "depth"),
)


def _problems(text: str) -> tuple[errors.FileProblem, ...]:
    result = sheets.parse(text, path="morning.yaml")
    return result.error.problems if result.is_error() else ()


class SheetTest(unittest.TestCase):
    """Valid sheets are accepted and invalid ones rejected."""

    def test_valid_sheet_becomes_data_classes(self) -> None:
        sheet = sheets.parse(_GOOD, version=7).ok
        self.assertEqual(sheet.version, 7)
        service, group = sheet.locate_schema("alerts_2").ok
        self.assertEqual(group.name, "alert-db-2")
        self.assertEqual(service.user("vets").reads, "lookup")
        rank = service.rank("report")
        self.assertEqual(rank.target, datetime.timedelta(milliseconds=250))
        self.assertEqual(rank.order, 0)

    def test_each_problem_is_reported_with_its_line(self) -> None:
        for name, old, new, line, text in _BAD:
            self.assertIn(old, _GOOD)
            with self.subTest(name):
                problems = _problems(_GOOD.replace(old, new, 1))
                self.assertTrue(problems)
                found = [p for p in problems if p.line == line]
                self.assertTrue(found, problems)
                self.assertIn(text, str(found))

    def test_all_problems_are_reported_at_once(self) -> None:
        text = _GOOD.replace("host: b", "host: a").replace("0.5", "0.9")
        self.assertEqual(len(_problems(text)), 2)
        text = _GOOD.replace("format: 1", "format: 2").replace("1000", "-1")
        self.assertEqual([p.line for p in _problems(text)], [1, 7])

    def test_alias_is_rejected(self) -> None:
        text = _GOOD.replace("proxies: 5", "proxies: &p 5").replace(
            "slots: 3}\nentry", "slots: *p}\nentry"
        )
        (problem,) = _problems(text)
        self.assertEqual(problem.line, 21)
        self.assertIn("alias", problem.reason)

    def test_long_sheet_is_rejected_without_parsing(self) -> None:
        text = _GOOD + "#" * yaml_validation.LENGTH_LIMIT
        (problem,) = _problems(text)
        self.assertIn(str(yaml_validation.LENGTH_LIMIT), problem.reason)

    def test_long_file_of_long_characters_is_not_cut(self) -> None:
        # Fewer characters than the limit, but more bytes.
        text = "#" + "ë" * (yaml_validation.LENGTH_LIMIT * 3 // 4)
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "morning.yaml"
            path.write_text(text, encoding="utf-8")
            read = yaml_validation.read_file(path)
        self.assertTrue(read.is_error())
        limit = str(yaml_validation.LENGTH_LIMIT)
        self.assertIn(limit, read.error.problems[0].reason)

    def test_message_names_file_line_key_value_and_correction(self) -> None:
        text = _GOOD.replace("rank: sighting", "rank: urgent")
        self.assertEqual(
            sheets.parse(text, path="morning.yaml").error.message,
            "morning.yaml:11: services.0.users.0.rank: unknown rank; this "
            "service has: report, sighting (found 'urgent')",
        )
