"""Delivery of the reports that other proxies publish.

`singledispatch` selects the handler by the type of the report. A component
that consumes a type of report registers its handler during construction.
"""

from __future__ import annotations

from collections.abc import Callable
import functools

from hickorygate.proxies import member
from hickorygate.proxies import messages

__all__ = ["Handler", "ReportHandlers"]

Handler = Callable[[messages.Report, member.Member], None]
"""Function that is called with a report and its sender."""


def _ignore(report: messages.Report, sender: member.Member) -> None:
    """Discards a report of a type without a handler."""


class ReportHandlers:
    """Registry of report handlers, at most one per type of report."""

    __slots__ = ("_dispatch",)

    def __init__(self) -> None:
        self._dispatch = functools.singledispatch(_ignore)

    def __repr__(self) -> str:
        return f"ReportHandlers({len(self._dispatch.registry)})"

    def register(self, kind: type[messages.Report], handler: Handler) -> None:
        """Registers the handler for a type of report.

        Args:
          kind: type of report, including its subclasses.
          handler: function to call with each report of that type.
        """
        self._dispatch.register(kind, handler)

    def deliver(self, report: messages.Report, sender: member.Member) -> None:
        """Passes a report to the handler of its type."""
        self._dispatch(report, sender)
