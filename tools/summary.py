"""nose2 plugin: prints the summary line and applies the known-red list.

CI reads the summary line. The counts come from the runner's own outcomes. A
test named in KNOWN-RED.txt may fail without failing the run; it is printed,
and counted as skipped.
"""

from __future__ import annotations

import pathlib

from nose2 import events
from nose2 import result

from tools import run_report

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
        self._outcomes = run_report.RunReport()
        self._report: pathlib.Path | None = None
        self.addArgument(
            self._set_report, None, "report", "File for the outcomes"
        )

    def setTestOutcome(self, event: events.TestOutcomeEvent) -> None:  # noqa: N802
        """Records the outcome of a test or a subtest."""
        name = _identifier(event.test.id())
        if event.outcome == "skipped":
            self._outcomes.skipped.add(name)
        elif event.expected or _passed_subtest(event):
            self._outcomes.passed.add(name)
        elif name in self._known_red:
            self._outcomes.known_red.add(name)
        else:
            self._outcomes.failed.add(name)

    def wasSuccessful(self, event: events.ResultSuccessEvent) -> None:  # noqa: N802
        """Fails the run on a failure outside the known-red list.

        A run in which no test passed fails too. If several processes share a
        run, this is for the reader of their reports to decide, since a process
        may find that the others have claimed everything.
        """
        event.success = (
            self._outcomes.successful
            if self._report is None
            else not self._outcomes.failed
        )
        event.handled = True

    def afterSummaryReport(self, event: events.ReportSummaryEvent) -> None:  # noqa: N802
        """Prints the summary, or writes the outcomes to the report's file."""
        if self._report is not None:
            self._report.write_text(self._outcomes.model_dump_json())
            return
        for line in self._outcomes.lines():
            event.stream.writeln(line)

    def _set_report(self, values: list[str]) -> None:
        self._report = pathlib.Path(values[0])
