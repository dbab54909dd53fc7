"""Outcomes of a test run, and the summary line that CI reads."""

from __future__ import annotations

from collections.abc import Iterable

import pydantic

__all__ = ["RunReport", "merge_reports"]


class RunReport(pydantic.BaseModel):
    """Names of the tests of a run, by outcome.

    Attributes:
      passed: tests of which at least one outcome was a success.
      failed: tests that failed.
      skipped: tests that were skipped.
      known_red: tests of the known-red list that failed.
    """

    passed: set[str] = set()
    failed: set[str] = set()
    skipped: set[str] = set()
    known_red: set[str] = set()

    @property
    def successful(self) -> bool:
        """Whether a test passed, and none failed outside the known-red list."""
        return bool(self.passed) and not self.failed

    def lines(self) -> list[str]:
        """Returns the known-red tests that failed, then the summary line."""
        passed = self.passed - self.failed - self.known_red
        skipped = len(self.skipped) + len(self.known_red)
        return [
            *(f"known red: {name}" for name in sorted(self.known_red)),
            f"{len(passed)} passed, {len(self.failed)} failed, "
            f"{skipped} skipped",
        ]


def merge_reports(reports: Iterable[RunReport]) -> RunReport:
    """Returns the outcomes of several runs as those of one."""
    merged = RunReport()
    for report in reports:
        merged.passed |= report.passed
        merged.failed |= report.failed
        merged.skipped |= report.skipped
        merged.known_red |= report.known_red
    return merged
