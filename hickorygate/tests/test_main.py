"""Tests of the command line.

A mistake of the user must end the program with the documented exit code and a
message, not with a traceback.
"""

from __future__ import annotations

import contextlib
import io
import pathlib
import tempfile
import unittest

from hickorygate.operators import main
from hickorygate.operators import serve

_MISTAKES = (
    ([], 2, "usage"),
    (["dance"], 2, "not a command"),
    (["serve"], 2, "--settings"),
    (["serve", "--colour", "red"], 2, "colour"),
    (["serve", "--settings"], 2, "settings"),
    (["serve", "--settings", "/nowhere.yaml"], 4, "/nowhere.yaml"),
    (["bench", "--fault", "crash@1+1"], 2, "--protocol line"),
    (["bench", "--load", "0.1,0.1,0.1"], 2, "--protocol line"),
    (["bench", "--html", "report.html"], 2, "--protocol line"),
    (["bench", "--protocol", "line", "--json", "report.json"], 2, "--json"),
    (["bench", "--protocol", "line", "--scenario", "urgent"], 2, "--scenario"),
    (["sheet"], 2, "sheet check"),
    (["sheet", "check", "/nowhere.yaml"], 4, "No such file"),
    (["sheet", "check", "/"], 4, "directory"),
    (["sheet", "show"], 2, "--platform"),
    (["sheet", "show", "--platform", "nowhere"], 2, "'nowhere'"),
    (["sheet", "show", "--platform", "http://127.0.0.1:1"], 5, "platform"),
    (["sheet", "load", "x", "--replaces", "-1"], 2, "-1"),
)


def _run(*words: str) -> tuple[int, str, str]:
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        code = main.main(["hickorygate", *words])
    return code, out.getvalue(), err.getvalue()


class MainTest(unittest.TestCase):
    """Output and exit codes of the program."""

    def test_each_mistake_has_its_exit_code_and_no_traceback(self) -> None:
        for words, code, text in _MISTAKES:
            with self.subTest(words=words):
                found, _, err = _run(*words)
                self.assertEqual(found, code, err)
                self.assertIn(text, err)
                self.assertNotIn("Traceback", err)

    def test_help_lists_the_commands(self) -> None:
        code, out, _ = _run("help")
        self.assertEqual(code, 0)
        self.assertIn("hickorygate sheet load FILE", out)

    def test_flags_of_one_run_do_not_leak_into_the_next(self) -> None:
        path = "/nowhere.yaml"
        first = main.parse(["serve", "--settings", path]).ok
        self.assertEqual(first, serve.Serve(pathlib.Path(path)))
        self.assertTrue(main.parse(["serve"]).is_error())

    def test_settings_errors_never_show_secrets(self) -> None:
        with tempfile.NamedTemporaryFile("w", suffix=".yaml") as file:
            file.write("callers: {users: {vets: [hunter2]}}\n")
            file.flush()
            code, _, err = _run("serve", "--settings", file.name)
        self.assertEqual(code, 4)
        self.assertIn("callers.users.vets", err)
        self.assertNotIn("hunter2", err)
