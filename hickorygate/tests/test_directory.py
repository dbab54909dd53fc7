"""Which instances are leaving, and rendezvous hashing."""

from __future__ import annotations

import datetime
import json
import unittest

from hickorygate.core import document
from hickorygate.core import rendezvous
from hickorygate.core import sheet
from hickorygate.store import directory
from hickorygate.store import sheet_state

_NOW = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
_SECOND = datetime.timedelta(seconds=1)


class DirectoryTest(unittest.TestCase):
    """The listed states, delisted instances and planned stops combined."""

    def setUp(self) -> None:
        self.directory = directory.InstanceDirectory()

    def offer(self, version: int, **states: str) -> None:
        instances = [
            {"name": name, "address": "h:1", "zone": "a", "state": state}
            for name, state in states.items()
        ]
        text = json.dumps({"instances": instances})
        self.directory.offer(document.ReceivedDocument(version, text, "test"))
        self.directory.update_leaving(_NOW)

    def test_instance_listed_as_leaving_is_leaving(self) -> None:
        self.offer(1, one="live", two="leaving")
        self.assertEqual(self.directory.leaving, {"two"})

    def test_delisted_instance_is_leaving_until_listed_again(self) -> None:
        self.offer(1, one="live", two="live")
        self.offer(2, one="live")
        self.assertEqual(self.directory.leaving, {"two"})
        self.offer(3, one="live", two="live")
        self.assertEqual(self.directory.leaving, frozenset())

    def test_older_list_is_ignored(self) -> None:
        self.offer(2, one="leaving")
        self.offer(1, one="live")
        self.assertEqual(self.directory.leaving, {"one"})

    def test_malformed_list_is_rejected_once(self) -> None:
        bad = document.ReceivedDocument(2, '{"instances": 3}', "test")
        (effect,) = self.directory.offer(bad)
        self.assertIsInstance(effect, sheet_state.RejectDocument)
        self.assertEqual(self.directory.offer(bad), ())
        self.assertEqual(self.directory.examined_version, 2)

    def test_instance_is_leaving_around_its_planned_stop(self) -> None:
        stop = sheet.PlannedStop("one", _NOW + 60 * _SECOND)
        self.directory.set_planned_stops((stop,))
        self.assertEqual(self.directory.update_leaving(_NOW), ())
        (effect,) = self.directory.update_leaving(stop.at - 3 * _SECOND)
        self.assertEqual(effect, directory.SetLeaving(frozenset({"one"})))
        (effect,) = self.directory.update_leaving(stop.at + 3_600 * _SECOND)
        self.assertEqual(effect, directory.SetLeaving(frozenset()))


class RendezvousTest(unittest.TestCase):
    """Keys change owners only if one of their owners leaves."""

    def test_loss_of_a_candidate_reassigns_only_its_keys(self) -> None:
        names = [f"p{number}" for number in range(9)]
        for key in (f"group-{number}" for number in range(50)):
            before = rendezvous.owners(key, names, 2)
            after = rendezvous.owners(key, names[1:], 2)
            kept = [name for name in before if name != "p0"]
            self.assertEqual(list(after[: len(kept)]), kept)
