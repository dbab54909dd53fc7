"""Checks project rules that the linter doesn't support."""

from __future__ import annotations

import ast
import pathlib
import re
import unittest

_ROOT = pathlib.Path(__file__).parent.parent
_FOLDERS = ("hickorygate", "properties", "benchmarks", "tools")
_NAMES_ALLOWED_FROM = frozenset(
    {"__future__", "typing", "typing_extensions", "collections.abc"}
)
_FORBIDDEN_MODULES = frozenset(
    {"threading", "multiprocessing", "subprocess", "concurrent.futures"}
)
_FORBIDDEN_CALLS = frozenset(
    {"run_in_executor", "to_thread", "create_subprocess_exec"}
)
_PLATFORM_NAMES = re.compile(
    r"WAITPOS|CONNLIMIT|MISROUTED|UNKNSTMT|max_staleness_ms|latency_goal_ms"
    r"|X-Fencing-Token|X-Duty-Holder|/-/objects|db_role|cold_left_ms|has_more"
)
"""Some names that only the users' platform defines."""

_MAX_MODULE_LINES = 600
"""Greatest number of lines; a longer module has several purposes."""


def _modules() -> list[pathlib.Path]:
    return [
        path
        for folder in _FOLDERS
        for path in sorted((_ROOT / folder).rglob("*.py"))
    ]


def _imported_names(tree: ast.Module) -> list[str]:
    """Returns the imports of names whose spelling isn't that of a module.

    Such a name isn't all lower case; it is a class or a constant.
    """
    return [
        f"{node.module}.{alias.name}"
        for node in ast.walk(tree)
        if isinstance(node, ast.ImportFrom)
        and node.module not in _NAMES_ALLOWED_FROM
        for alias in node.names
        if not alias.name.islower()
    ]


class StyleTest(unittest.TestCase):
    """Checks the structure of the code, module by module."""

    def each_module(self) -> list[tuple[pathlib.Path, ast.Module]]:
        """Returns all modules with their syntax trees."""
        return [(p, ast.parse(p.read_text())) for p in _modules()]

    def test_modules_are_imported_not_names(self) -> None:
        for path, tree in self.each_module():
            if path == _ROOT / "hickorygate" / "__init__.py":
                continue  # This module re-exports the public API.
            with self.subTest(path.name):
                self.assertEqual(_imported_names(tree), [])

    def test_one_loop_on_one_thread(self) -> None:
        for path, tree in self.each_module():
            for node in ast.walk(tree):
                with self.subTest(path.name):
                    if isinstance(node, ast.Import):
                        names = {alias.name for alias in node.names}
                        self.assertFalse(names & _FORBIDDEN_MODULES)
                    if isinstance(node, ast.Attribute):
                        self.assertNotIn(node.attr, _FORBIDDEN_CALLS)

    def test_core_imports_no_other_package(self) -> None:
        for path in sorted((_ROOT / "hickorygate" / "core").glob("*.py")):
            for node in ast.walk(ast.parse(path.read_text())):
                if isinstance(node, ast.ImportFrom) and node.module:
                    inner = node.module.startswith("hickorygate")
                    core = node.module.startswith("hickorygate.core")
                    with self.subTest(path.name):
                        self.assertTrue(core or not inner, node.module)

    def test_platform_names_occur_only_in_its_package(self) -> None:
        product = _ROOT / "hickorygate"
        allowed = (product / "platform", product / "tests", product / "testing")
        for path in sorted(product.rglob("*.py")):
            if any(path.is_relative_to(folder) for folder in allowed):
                continue
            found = _PLATFORM_NAMES.findall(path.read_text())
            with self.subTest(path.name):
                self.assertEqual(found, [])

    def test_modules_stay_small(self) -> None:
        for path in _modules():
            lines = len(path.read_text().splitlines())
            with self.subTest(path.name):
                self.assertLessEqual(lines, _MAX_MODULE_LINES)

    def test_every_module_defers_annotations(self) -> None:
        for path, tree in self.each_module():
            if len(tree.body) <= 1:
                continue  # The module has only a docstring.
            with self.subTest(path.name):
                self.assertIn("from __future__ import", path.read_text())
