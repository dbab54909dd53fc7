"""The example sheets and settings are valid and describe the intended sizes."""

from __future__ import annotations

import pathlib
import unittest

from hickorygate.core import settings as settings_lib
from hickorygate.core import sheet as sheets

_EXAMPLES = pathlib.Path(__file__).parent.parent.parent / "examples"
_SIZES = {
    "vindpoot": ("alert-db", 20, 3, "nl-west-b"),
    "keepcup": ("cup-ledger", 30, 2, "launceston"),
}
"""By folder: the service's name, connections and slots of each database, and
the zone of the second database of each group."""


class ExamplesTest(unittest.TestCase):
    """The sheets and settings in `examples/`."""

    def sheet(self, folder: str) -> sheets.Sheet:
        path = _EXAMPLES / folder / "sheet.yaml"
        return sheets.parse(path.read_text(), path=str(path)).ok

    def test_sheets_have_three_groups_of_three(self) -> None:
        for folder, (name, connections, slots, zone) in _SIZES.items():
            with self.subTest(folder):
                (service,) = self.sheet(folder).services
                self.assertEqual(service.name, name)
                self.assertEqual(len(service.groups), 3)
                for group in service.groups:
                    self.assertEqual(len(group.databases), 3)
                    self.assertEqual(group.databases[1].zone, zone)
                    for database in group.databases:
                        self.assertEqual(database.connections, connections)
                        self.assertEqual(database.slots, slots)

    def test_settings_are_valid_and_share_users_with_the_sheet(self) -> None:
        for folder in _SIZES:
            (service,) = self.sheet(folder).services
            for path in sorted((_EXAMPLES / folder).glob("entry-*.yaml")):
                with self.subTest(path.name):
                    settings = settings_lib.load(path).ok
                    self.assertEqual(
                        set(settings.callers.users),
                        {user.name for user in service.users},
                    )
