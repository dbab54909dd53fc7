"""Checks that the names of code in the pages exist in the code."""

from __future__ import annotations

import ast
import pathlib
import re
import unittest

_ROOT = pathlib.Path(__file__).parent.parent
_FOLDERS = ("hickorygate", "properties", "benchmarks", "soak", "tools")
_LAUNCHER = _ROOT / "tools" / "binary" / "launcher.c"
_EXTERNAL_NAMES = _ROOT / "tools" / "external_names.txt"
_REFERENCE = _ROOT / "docs" / "REFERENCE.md"
_PAGES = (
    *(p for p in sorted((_ROOT / "docs").glob("*.md")) if p != _REFERENCE),
    *sorted((_ROOT / "docs" / "incidents").glob("*.md")),
    _ROOT / "README.md",
    _ROOT / "CONTRIBUTING.md",
)
_MYSQL_NAMES = frozenset(
    {
        "mysql_native_password",
        "sql_mode",
        "time_zone",
        "transaction_isolation",
        "NO_BACKSLASH_ESCAPES",
        "LAST_INSERT_ID",
        "ROW_COUNT",
    }
)
"""Names that MySQL defines and that occur in the code only in strings."""

_CODE_BLOCK = re.compile(
    r"^```[\s\S]*?^```|(?<=\n\n)(?:    .*\n|\n(?=    ))+", re.MULTILINE
)
_SPAN = re.compile(r"`([^`]+)`")
_HISTORY = re.compile(r"\b(?:then|former) $")
_PATH = re.compile(r"[\w./-]+\.py")
_DOTTED = re.compile(r"[A-Za-z_]\w*(?:\.[A-Za-z_]\w*)+")
_SNAKE_CASE = re.compile(r"_?[A-Za-z][A-Za-z0-9]*(?:_[A-Za-z0-9]+)+")
_CAMEL_CASE = re.compile(r"[A-Z][a-z0-9]+(?:[A-Z][A-Za-z0-9]*)*")
_WORD = re.compile(r"[\w.]+")
_COMMAND_NAME = re.compile(rf"\b(?:{'|'.join(_FOLDERS)})(?:\.[a-zA-Z_]\w*)+")
"""A module, a class or a test in a command."""


class _Code:
    """Index of the names that the code defines or uses.

    Attributes:
      files: paths of all files and folders, relative to the root, each with a
        leading "/".
      modules: dotted paths of all modules and packages, by the same path with
        a leading ".".
      identifiers: all identifiers, and all attributes as `owner.attribute`.
      members: names that each module and each class defines; modules by
        dotted path, classes by name.
    """

    def __init__(self) -> None:
        self.files: set[str] = set()
        self.modules: dict[str, str] = {}
        self.identifiers: set[str] = set()
        self.members: dict[str, set[str]] = {}
        for folder in (*_FOLDERS, "docs", "examples", "deploy"):
            for path in sorted((_ROOT / folder).rglob("*")):
                self.files.add("/" + path.relative_to(_ROOT).as_posix())
        for folder in _FOLDERS:
            for path in sorted((_ROOT / folder).rglob("*.py")):
                self._add_module(path)
        self.identifiers.update(re.findall(r"\w+", _LAUNCHER.read_text()))

    def _add_module(self, path: pathlib.Path) -> None:
        parts = path.relative_to(_ROOT).with_suffix("").parts
        if parts[-1] == "__init__":
            parts = parts[:-1]
        module = ".".join(parts)
        self.modules["." + module] = module
        self.identifiers.update(parts)
        tree = ast.parse(path.read_text())
        names = self.members.setdefault(module, set())
        for statement in tree.body:
            names.update(_defined_names(statement))
        for node in ast.walk(tree):
            self.identifiers.update(_identifiers(node))
            if isinstance(node, ast.ClassDef):
                members = self.members.setdefault(node.name, set())
                for inner in ast.walk(node):
                    members.update(_defined_names(inner))

    def has_path(self, path: str) -> bool:
        """Returns whether a file's path ends with the given parts."""
        return any(file.endswith("/" + path) for file in self.files)

    def has_dotted(self, name: str) -> bool:
        """Returns whether a dotted name is a module, or defined in one."""
        if name in self.identifiers or self.has_path(name):
            return True
        first, *rest = name.split(".")
        owners = [first] if first in self.members else []
        for count in range(len(rest) + 1):
            prefix = ".".join([first, *rest[:count]])
            found = [
                module
                for path, module in self.modules.items()
                if path.endswith("." + prefix)
            ]
            if found and count == len(rest):
                return True
            if any(self._defines(owner, rest[count:]) for owner in found):
                return True
        return any(self._defines(owner, rest) for owner in owners)

    def _defines(self, owner: str, names: list[str]) -> bool:
        """Returns whether each name is defined in the one before it."""
        for name in names:
            if name not in self.members.get(owner, ()):
                return False
            owner = name
        return True


def _defined_names(node: ast.AST) -> set[str]:
    """Returns the names that a statement defines where it stands."""
    match node:
        case ast.ClassDef() | ast.FunctionDef() | ast.AsyncFunctionDef():
            return {node.name}
        case ast.Assign():
            return {name for t in node.targets for name in _target_names(t)}
        case ast.AnnAssign():
            return _target_names(node.target)
    return set()


def _target_names(target: ast.expr) -> set[str]:
    match target:
        case ast.Name():
            return {target.id}
        case ast.Attribute():
            return {target.attr}
    return set()


def _identifiers(node: ast.AST) -> set[str]:
    """Returns the identifiers that a syntax node itself contains."""
    match node:
        case ast.Name():
            return {node.id}
        case ast.Attribute(value=ast.Name(id=owner)):
            return {node.attr, f"{owner}.{node.attr}"}
        case ast.Attribute():
            return {node.attr}
        case ast.arg() | ast.keyword():
            return {node.arg} if node.arg else set()
        case ast.alias():
            return {node.name, node.asname or node.name}
    return _defined_names(node)


def _looks_like_code(word: str, *, alone: bool) -> bool:
    """Returns whether a word in backticks has the form of a name of code.

    Args:
      word: the word.
      alone: whether the backticks contain nothing else. A capitalized word
        among others may be a word of a text.
    """
    patterns = [_PATH, _DOTTED, _SNAKE_CASE]
    if alone:
        patterns.append(_CAMEL_CASE)
    return any(pattern.fullmatch(word) for pattern in patterns)


def _names(page: str) -> list[tuple[int, str]]:
    """Returns the names of code in a page that must exist, with their lines."""
    found = []
    for block in _CODE_BLOCK.finditer(page):
        for name in _COMMAND_NAME.finditer(page, block.start(), block.end()):
            found.append((page.count("\n", 0, name.start()) + 1, name[0]))
    text = _CODE_BLOCK.sub(lambda m: re.sub(r"[^\n]", " ", m[0]), page)
    for paragraph in re.finditer(r"(?:.+\n?)+", text):
        for span in _SPAN.finditer(text, paragraph.start(), paragraph.end()):
            start = text.rfind("\n", 0, span.start()) + 1
            if _HISTORY.search(text[start : span.start()]):
                continue
            words = span[1].split()
            for word in words:
                name = re.sub(r"\{.*|=.*|\(\)|[,;:]$", "", word).lstrip("@.")
                if _looks_like_code(name, alone=len(words) == 1):
                    line = text.count("\n", 0, span.start()) + 1
                    found.append((line, name))
    return found


class PagesTest(unittest.TestCase):
    """Compares the names of code in the pages with the code."""

    def test_names_of_code_in_pages_exist(self) -> None:
        code = _Code()
        other = set(_EXTERNAL_NAMES.read_text().splitlines()) | _MYSQL_NAMES
        for span in _SPAN.findall(_REFERENCE.read_text()):
            other.update(_WORD.findall(span))

        def exists(name: str) -> bool:
            if name in other or name in code.identifiers:
                return True
            if _PATH.fullmatch(name):
                return code.has_path(name)
            return "." in name and code.has_dotted(name)

        unknown = [
            f"{page.relative_to(_ROOT)}:{line}: {name}"
            for page in _PAGES
            for line, name in _names(page.read_text())
            if not exists(name)
        ]
        self.assertEqual(unknown, [], "\n" + "\n".join(unknown))
