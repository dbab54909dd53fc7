"""Tests that processes share a run's modules and lose no outcome.

The tests guard against a module that runs in no process or in two, and against
a run that passes though one of its processes failed or died.
"""

from __future__ import annotations

import contextlib
import io
import pathlib
import sys
import tempfile
import unittest

import nose2

from tools import merge_reports
from tools import run_report

_MODULE = """
import unittest

class Inner(unittest.TestCase):
    def test_{name}(self):
        {body}
"""
_NAMES = ("first", "second", "third")


class SharingTest(unittest.TestCase):
    """Runs that share a folder of claims, one after the other."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.claims = self.folder / "claims"
        self.claims.mkdir()
        for name in _NAMES:
            self.write(name, "pass")

    def write(self, name: str, body: str) -> None:
        """Writes a test module with one test."""
        path = self.folder / f"test_shared_{name}.py"
        path.write_text(_MODULE.format(name=name, body=body))

    def run_process(self, number: int) -> run_report.RunReport:
        """Runs the tests as a process of the run would."""
        path_before = list(sys.path)
        modules_before = set(sys.modules)
        report = self.folder / f"{number}.json"
        folder = str(self.folder)
        options = ["--claims", str(self.claims), "--report", str(report)]
        with contextlib.redirect_stderr(io.StringIO()):
            program = nose2.main(
                argv=["nose2", "-s", folder, "-t", folder, *options],
                exit=False,
                module=None,
                plugins=["tools.summary", "tools.sharing"],
            )
        sys.path[:] = path_before
        for name in set(sys.modules) - modules_before:
            if name.startswith("test_shared_"):
                del sys.modules[name]
        code = 0 if program.result.wasSuccessful() else 1
        return merge_reports.read_report(report, code)

    def test_a_claimed_module_is_left_to_its_process(self) -> None:
        (self.claims / "test_shared_second").touch()
        report = self.run_process(1)
        self.assertEqual(
            report.passed,
            {
                f"test_shared_{name}.Inner.test_{name}"
                for name in ("first", "third")
            },
        )

    def test_a_run_claims_its_modules(self) -> None:
        self.run_process(1)
        claimed = {path.name for path in self.claims.iterdir()}
        self.assertEqual(claimed, {f"test_shared_{name}" for name in _NAMES})

    def test_a_process_that_comes_late_runs_nothing_and_passes(self) -> None:
        first, second = self.run_process(1), self.run_process(2)
        self.assertEqual(second, run_report.RunReport())
        merged = run_report.merge_reports((first, second))
        self.assertTrue(merged.successful)
        self.assertEqual(merged.lines(), ["3 passed, 0 failed, 0 skipped"])

    def test_a_failure_in_one_process_fails_the_run(self) -> None:
        self.write("second", "self.fail()")
        first, second = self.run_process(1), self.run_process(2)
        merged = run_report.merge_reports((second, first))
        self.assertFalse(merged.successful)
        self.assertEqual(merged.lines(), ["2 passed, 1 failed, 0 skipped"])

    def test_a_module_that_cant_be_imported_fails_the_run(self) -> None:
        (self.folder / "test_shared_second.py").write_text("import no_module\n")
        reports = [self.run_process(number) for number in (1, 2)]
        merged = run_report.merge_reports(reports)
        self.assertFalse(merged.successful)
        self.assertEqual(merged.lines(), ["2 passed, 1 failed, 0 skipped"])


class MergeTest(unittest.TestCase):
    """The summary of a run whose processes left reports, or none."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def report(self, number: int, **outcomes: set[str]) -> None:
        """Writes the report of a process."""
        report = run_report.RunReport(**outcomes)
        path = self.folder / f"{number}.json"
        path.write_text(report.model_dump_json())

    def merge(self, *codes: int) -> tuple[int, str]:
        """Returns the exit code for processes' codes, and the last line."""
        arguments = [str(self.folder), *map(str, codes)]
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            code = merge_reports.main(arguments)
        return code, output.getvalue().splitlines()[-1]

    def test_outcomes_are_summed(self) -> None:
        self.report(1, passed={"a", "b"}, skipped={"c"})
        self.report(2, passed={"d"}, known_red={"e"})
        self.assertEqual(self.merge(0, 0), (0, "3 passed, 0 failed, 2 skipped"))

    def test_a_failed_test_fails_the_run(self) -> None:
        self.report(1, passed={"a"})
        self.report(2, passed={"b"}, failed={"c"})
        self.assertEqual(self.merge(0, 1), (1, "2 passed, 1 failed, 0 skipped"))

    def test_a_process_without_a_report_fails_the_run(self) -> None:
        self.report(1, passed={"a"})
        for code in (0, 1, 137):
            with self.subTest(code):
                self.assertEqual(
                    self.merge(0, code), (1, "1 passed, 1 failed, 0 skipped")
                )

    def test_a_truncated_report_fails_the_run(self) -> None:
        self.report(1, passed={"a"})
        text = (self.folder / "1.json").read_text()
        (self.folder / "2.json").write_text(text[:-2])
        self.assertEqual(self.merge(0, 0), (1, "1 passed, 1 failed, 0 skipped"))

    def test_an_unexplained_exit_code_fails_the_run(self) -> None:
        self.report(1, passed={"a"})
        self.report(2, passed={"b"})
        self.assertEqual(self.merge(0, 7), (1, "2 passed, 1 failed, 0 skipped"))

    def test_a_run_without_tests_fails(self) -> None:
        self.report(1)
        self.report(2)
        self.assertEqual(self.merge(0, 0), (1, "0 passed, 0 failed, 0 skipped"))

    def test_a_run_without_processes_fails(self) -> None:
        self.assertEqual(self.merge(), (1, "0 passed, 0 failed, 0 skipped"))
