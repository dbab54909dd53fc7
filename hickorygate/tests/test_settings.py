"""Tests settings in which what grants access is empty or missing."""

from __future__ import annotations

import pathlib
import tempfile
import unittest

import expression

from hickorygate.core import errors
from hickorygate.core import settings as settings_lib

_TEXT = """\
name: entry-1
zone: a
callers:
  users: {volunteers: polder}
  token_key: a long secret
platform:
  url: http://127.0.0.1:1
"""


class EmptyAccessTest(unittest.TestCase):
    """An empty or missing grant opens nothing."""

    def load(
        self, former: str, newer: str
    ) -> expression.Result[settings_lib.Settings, errors.FileInvalid]:
        """Loads the settings with one line changed."""
        self.assertIn(former, _TEXT)
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "settings.yaml"
            path.write_text(_TEXT.replace(former, newer))
            return settings_lib.load(path)

    def test_an_empty_token_key_is_invalid(self) -> None:
        # Guards against session tokens that anyone can sign.
        for value in ('""', "null", ""):
            with self.subTest(value):
                failure = self.load("a long secret", value).error
                (problem,) = failure.problems
                self.assertEqual(problem.where, "callers.token_key")

    def test_without_users_nobody_may_log_in(self) -> None:
        users = "  users: {volunteers: polder}\n"
        empty = self.load(users, "  users: {}\n").ok
        self.assertEqual(empty.callers.users, {})
        for newer in ("", "  users:\n", "  users: {volunteers: }\n"):
            with self.subTest(newer):
                failure = self.load(users, newer).error
                (problem,) = failure.problems
                self.assertTrue(problem.where.startswith("callers.users"))


if __name__ == "__main__":
    unittest.main()
