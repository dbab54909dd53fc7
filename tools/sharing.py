"""nose2 plugin: several processes share the test modules of a run.

Every process finds all tests and runs those of the modules that it claims. A
claim is a file in a folder of the run, which only one process can create.
"""

from __future__ import annotations

from collections.abc import Iterator
import pathlib
import unittest

from nose2 import events

__all__ = ["Sharing"]


class _ModuleSuite(unittest.TestSuite):
    """The tests of a module, which run if this process claims the module."""

    def __init__(
        self, claim: pathlib.Path, tests: Iterator[unittest.TestCase]
    ) -> None:
        """Creates the suite; the file `claim` is the claim."""
        super().__init__(tests)
        self._claim = claim

    def run(
        self, result: unittest.TestResult, debug: bool = False
    ) -> unittest.TestResult:
        """Runs the tests, unless another process has claimed the module."""
        try:
            self._claim.touch(exist_ok=False)
        except FileExistsError:
            return result
        return super().run(result, debug)


def _modules_of(
    suite: unittest.TestSuite,
) -> Iterator[unittest.TestSuite | unittest.TestCase]:
    """Yields the modules of a suite, and the tests that are in none."""
    for inner in suite:
        if isinstance(inner, unittest.TestSuite) and not isinstance(
            inner, _ModuleSuite
        ):
            yield from _modules_of(inner)
        else:
            yield inner


class Sharing(events.Plugin):
    """Runs the modules that no other process of the run has claimed.

    A module that can't be imported is reported by every process.
    """

    configSection = "sharing"  # noqa: N815 - nose2 reads this name
    alwaysOn = True  # noqa: N815 - nose2 reads this name

    def __init__(self) -> None:
        self._claims: pathlib.Path | None = None
        self.addArgument(
            self._set_claims, None, "claims", "Folder for the claimed modules"
        )

    def moduleLoadedSuite(self, event: events.ModuleSuiteEvent) -> None:  # noqa: N802
        """Makes the tests of a module depend on its claim."""
        if self._claims is not None:
            claim = self._claims / event.module.__name__
            event.suite = _ModuleSuite(claim, iter(event.suite))

    def startTestRun(self, event: events.StartTestRunEvent) -> None:  # noqa: N802
        """Reverses the order of the modules.

        The properties, which take long, thereby run before the many short
        modules, and the processes end at about the same time.
        """
        if self._claims is not None:
            modules = list(_modules_of(event.suite))
            event.suite = unittest.TestSuite(reversed(modules))

    def _set_claims(self, values: list[str]) -> None:
        self._claims = pathlib.Path(values[0])
