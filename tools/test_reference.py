"""Tests that the pages for operators match the code."""

from __future__ import annotations

import pathlib
import unittest

from hickorygate.operators import metrics
from tools import reference

_DOCS = pathlib.Path(__file__).parent.parent / "docs"


class ReferenceTest(unittest.TestCase):
    """Compares docs/REFERENCE.md and docs/OPERATIONS.md with the code."""

    def test_page_is_up_to_date(self) -> None:
        self.assertEqual(
            reference.PAGE_PATH.read_text(),
            reference.generate(),
            "run `make reference` and commit docs/REFERENCE.md",
        )

    def test_operations_page_describes_each_metric(self) -> None:
        text = (_DOCS / "OPERATIONS.md").read_text()
        for metric in metrics.CATALOGUE:
            with self.subTest(metric.name):
                self.assertIn(f"| `{metric.name}` |", text)
