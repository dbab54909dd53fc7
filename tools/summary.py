"""nose2 plugin: prints the summary line and applies the known-red list.

CI reads the summary line. The counts come from the runner's own outcomes. A
test named in KNOWN-RED.txt may fail without failing the run; it is printed,
and counted as skipped.
"""

from __future__ import annotations

import pathlib

from nose2 import events
from nose2 import result

KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"
_ENTRY = "test:"


def known_red_tests(path: pathlib.Path = KNOWN_RED) -> frozenset[str]:
    """Returns the identifiers on the `test:` lines of the known-red file."""
    if not path.exists():
        return frozenset()
    return frozenset(
        line.removeprefix(_ENTRY).strip()
        for line in path.read_text().splitlines()
        if line.startswith(_ENTRY)
    )


def _identifier(raw: str) -> str:
    """Returns a test's name without its parameters or its subtest.

    If the setup of a class or module failed, the runner reports it in place
    of its tests, as in `setUpClass (test_slot_pool.SlotPoolTest)`. This
    name is kept whole.
    """
    line = raw.split("\n")[0]
    first = line.split(" ")[0]
    return first if "." in first else line


def _passed_subtest(event: events.TestOutcomeEvent) -> bool:
    return event.outcome == result.SUBTEST and event.exc_info is None


class Summary(events.Plugin):
    """Counts test outcomes and prints `N passed, N failed, N skipped`."""

    configSection = "summary"  # noqa: N815 - nose2 reads this name
    alwaysOn = True  # noqa: N815 - nose2 reads this name

    def __init__(self) -> None:
        self._known_red = known_red_tests()
        self._passed: set[str] = set()
        self._failed: set[str] = set()
        self._skipped: set[str] = set()
        self._known_red_failures: set[str] = set()

    def setTestOutcome(self, event: events.TestOutcomeEvent) -> None:  # noqa: N802
        """Records the outcome of a test or a subtest."""
        name = _identifier(event.test.id())
        if event.outcome == "skipped":
            self._skipped.add(name)
        elif event.expected or _passed_subtest(event):
            self._passed.add(name)
        elif name in self._known_red:
            self._known_red_failures.add(name)
        else:
            self._failed.add(name)

    def wasSuccessful(self, event: events.ResultSuccessEvent) -> None:  # noqa: N802
        """Fails the run on a failure outside the known-red list.

        A run in which no test passed fails too.
        """
        event.success = bool(self._passed) and not self._failed
        event.handled = True

    def afterSummaryReport(self, event: events.ReportSummaryEvent) -> None:  # noqa: N802
        """Prints the known-red tests that failed, then the summary line."""
        for name in sorted(self._known_red_failures):
            event.stream.writeln(f"known red: {name}")
        passed = self._passed - self._failed - self._known_red_failures
        skipped = len(self._skipped) + len(self._known_red_failures)
        event.stream.writeln(
            f"{len(passed)} passed, {len(self._failed)} failed, "
            f"{skipped} skipped"
        )
