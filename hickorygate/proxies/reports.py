"""Who takes the reports that other proxies publish.

The handler of a report's type is found by `singledispatch`; a part that
takes a type registers a handler when it is built.
"""

from __future__ import annotations

from collections.abc import Callable
import functools

from hickorygate.proxies import member as members
from hickorygate.proxies import messages

__all__ = ["Handler", "Subscribers"]

Handler = Callable[[messages.Report, members.Member], None]


def _ignore(report: messages.Report, sender: members.Member) -> None:
    """Takes reports that nobody here wants."""


class Subscribers:
    """Handlers by type of report; one each."""

    __slots__ = ("_deliver",)

    def __init__(self) -> None:
        self._deliver = functools.singledispatch(_ignore)

    def __repr__(self) -> str:
        return f"Subscribers({len(self._deliver.registry)})"

    def register(self, kind: type[messages.Report], handler: Handler) -> None:
        """Makes a handler take all reports of a type."""
        self._deliver.register(kind, handler)

    def deliver(self, report: messages.Report, sender: members.Member) -> None:
        """Hands a report to its handler."""
        self._deliver(report, sender)
