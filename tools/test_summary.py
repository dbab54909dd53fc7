"""Tests that the summary line counts each way in which a test can fail.

The tests guard against a failed setup, import or subtest that is left out of
the counts, so that CI takes a failed run for a passed one.
"""

from __future__ import annotations

import contextlib
import io
import pathlib
import sys
import tempfile
import unittest

import nose2

_PASSING = """
import unittest

class Passing(unittest.TestCase):
    def test_one(self):
        pass

    @unittest.skip("not today")
    def test_skipped(self):
        pass

    @unittest.expectedFailure
    def test_expected_failure(self):
        raise AssertionError
"""
_BROKEN = {
    "import": "import no_such_module\n",
    "assertion": """
import unittest

class Failing(unittest.TestCase):
    def test_one(self):
        self.fail()
""",
    "subtests": """
import unittest

class Subtests(unittest.TestCase):
    def test_one(self):
        for number in range(3):
            with self.subTest(number):
                self.assertNotEqual(number, 1)
""",
    "unexpected_success": """
import unittest

class Unexpected(unittest.TestCase):
    @unittest.expectedFailure
    def test_one(self):
        pass
""",
    "class_setup": """
import unittest

class Base(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        raise ValueError

    def test_one(self):
        pass
""",
    "module_setup": """
import unittest

def setUpModule():
    raise ValueError

class Any(unittest.TestCase):
    def test_one(self):
        pass
""",
    "two_classes": """
import unittest

class Base(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        raise ValueError

class First(Base):
    def test_one(self):
        pass

class Second(Base):
    def test_one(self):
        pass
""",
}
_FAILING_TWICE = frozenset({"two_classes"})


class SummaryTest(unittest.TestCase):
    """Runs the test runner on small test files."""

    def run_tests(self, **files: str) -> tuple[bool, str]:
        """Runs test files.

        Returns:
          Whether the run succeeded, and the last line that it printed.
        """
        with tempfile.TemporaryDirectory() as folder:
            for name, text in files.items():
                path = pathlib.Path(folder) / f"test_inner_{name}.py"
                path.write_text(text)
            stream = io.StringIO()
            path_before = list(sys.path)
            modules_before = set(sys.modules)
            with contextlib.redirect_stderr(stream):
                program = nose2.main(
                    argv=["nose2", "-s", folder, "-t", folder],
                    exit=False,
                    module=None,
                    plugins=["tools.summary"],
                )
            sys.path[:] = path_before
            for name in set(sys.modules) - modules_before:
                if name.startswith("test_inner_"):
                    del sys.modules[name]
        lines = stream.getvalue().splitlines()
        return program.result.wasSuccessful(), lines[-1]

    def test_passed_and_skipped_tests_are_counted_separately(self) -> None:
        verdict, line = self.run_tests(passing=_PASSING)
        self.assertTrue(verdict)
        self.assertEqual(line, "2 passed, 0 failed, 1 skipped")

    def test_each_way_to_fail_is_counted(self) -> None:
        for name, text in _BROKEN.items():
            with self.subTest(name):
                verdict, line = self.run_tests(passing=_PASSING, **{name: text})
                failed = 2 if name in _FAILING_TWICE else 1
                self.assertFalse(verdict)
                self.assertEqual(line, f"2 passed, {failed} failed, 1 skipped")

    def test_a_run_without_tests_fails(self) -> None:
        verdict, line = self.run_tests()
        self.assertFalse(verdict)
        self.assertEqual(line, "0 passed, 0 failed, 0 skipped")
