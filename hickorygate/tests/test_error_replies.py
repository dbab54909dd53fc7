"""Compares the error codes with their page, and tests error packets."""

from __future__ import annotations

import importlib
import pathlib
import pkgutil
import unittest

from hickorygate import callers
from hickorygate import core
from hickorygate.callers import error_replies
from hickorygate.core import errors

_PAGE = pathlib.Path(__file__).parents[2] / "docs" / "ERRORS.md"
_VARIES = "varies"


def _failures() -> dict[str, type[errors.Failure]]:
    """Returns all failure classes of the `callers` and `core` packages."""
    found = {}
    for package in (callers, core):
        for module in pkgutil.iter_modules(package.__path__):
            path = f"{package.__name__}.{module.name}"
            for name, value in vars(importlib.import_module(path)).items():
                if isinstance(value, type) and issubclass(
                    value, errors.Failure
                ):
                    found[name] = value
    del found["Failure"]
    return found


def _row(kind: type[errors.Failure]) -> tuple[str, str, str]:
    bare = kind.__new__(kind)
    code = error_replies.error_code(bare)
    try:
        outcome = bare.outcome.value
    except AttributeError:
        outcome = _VARIES
    return str(code.number), code.sqlstate, outcome


def _page_rows() -> dict[str, tuple[str, str, str]]:
    rows = {}
    for line in _PAGE.read_text().splitlines():
        cells = [cell.strip() for cell in line.split("|")]
        if len(cells) == 7 and cells[2].isdigit():
            rows[cells[1]] = (cells[2], cells[3], cells[4])
    return rows


class ErrorsPageTest(unittest.TestCase):
    """Compares `docs/ERRORS.md` with `callers/error_replies.py`."""

    def test_page_lists_each_failure_as_it_is_sent(self) -> None:
        expected = {name: _row(kind) for name, kind in _failures().items()}
        self.assertEqual(_page_rows(), expected)

    def test_database_error_is_passed_on_unchanged(self) -> None:
        failure = errors.UpstreamError(1062, "23000", "Duplicate entry")
        reply = error_replies.error_reply(failure)
        self.assertEqual(
            reply, error_replies.ErrorReply(1062, "23000", "Duplicate entry")
        )

    def test_proxy_failure_text_starts_with_the_outcome(self) -> None:
        lost = errors.AnswerLost("alert-db-1a", "cut")
        self.assertTrue(
            error_replies.error_reply(lost).text.startswith("[unknown] ")
        )
