"""Decides which sheet is in force, without I/O.

Only a sheet of a higher version replaces the one in force, whatever its source.
A delayed copy, a store that lost its objects or a proxy that started without a
sheet therefore can't bring back an older one.
"""

from __future__ import annotations

import dataclasses

import expression

from hickorygate.core import document as documents
from hickorygate.core import errors
from hickorygate.core import sheet as sheets
from hickorygate.core import types

__all__ = [
    "ApplySheet",
    "SheetState",
    "Effect",
    "RejectDocument",
    "ReportOutdatedStore",
]


@dataclasses.dataclass(frozen=True, slots=True)
class Effect:
    """Base class of the actions that the adapter carries out."""


@dataclasses.dataclass(frozen=True, slots=True)
class ApplySheet(Effect):
    """Put a sheet in force.

    Attributes:
      sheet: the sheet.
      source: "platform", or the name of the proxy that sent the sheet.
    """

    sheet: sheets.Sheet
    source: str


@dataclasses.dataclass(frozen=True, slots=True)
class RejectDocument(Effect):
    """Report an invalid copy of a document.

    Attributes:
      document: kind of the document.
      version: version of the copy.
      source: "platform", or the name of the proxy that sent the copy.
      failure: what is wrong with the copy.
    """

    document: documents.DocumentKind
    version: types.SheetVersion
    source: str
    failure: errors.Failure


@dataclasses.dataclass(frozen=True, slots=True)
class ReportOutdatedStore(Effect):
    """Report that the store holds an older sheet than the one in force.

    Attributes:
      found: version in the store.
      in_force: version in force.
    """

    found: types.SheetVersion
    in_force: types.SheetVersion


class SheetState:
    """The sheet in force, and the newest version that was rejected."""

    __slots__ = ("_rejected", "_reported_reset", "_sheet")

    def __init__(self) -> None:
        self._sheet: sheets.Sheet | None = None
        self._rejected: types.SheetVersion = 0
        self._reported_reset: types.SheetVersion | None = None

    @property
    def sheet(self) -> sheets.Sheet | None:
        """The sheet in force; None until one was received."""
        return self._sheet

    @property
    def ready(self) -> bool:
        """Whether any sheet is in force."""
        return self._sheet is not None

    @property
    def version(self) -> types.SheetVersion:
        """Version of the sheet in force; 0 without a sheet."""
        return self._sheet.version if self._sheet else 0

    @property
    def examined_version(self) -> types.SheetVersion:
        """The newest version applied or rejected; only newer ones are read."""
        return max(self.version, self._rejected)

    def __repr__(self) -> str:
        return f"SheetState(version={self.version})"

    def offer(
        self, candidate: documents.ReceivedDocument
    ) -> tuple[Effect, ...]:
        """Puts a sheet in force if it is newer and valid.

        Returns:
          The actions to carry out. An invalid version is reported once.
        """
        if candidate.version <= self.version:
            return ()
        parsed = sheets.parse(
            candidate.text, candidate.version, candidate.source
        )
        match parsed:
            case expression.Result(tag="ok", ok=sheet):
                self._sheet = sheet
                return (ApplySheet(sheet, candidate.source),)
            case expression.Result(tag="error", error=failure):
                return self._reject(candidate, failure)
        return ()

    def compare_store_version(
        self, found: types.SheetVersion
    ) -> tuple[Effect, ...]:
        """Compares the version in the store with the one in force.

        Args:
          found: version in the store; 0 if the store has no sheet.

        Returns:
          The actions to carry out. A lower version is reported once.
        """
        if found >= self.version:
            self._reported_reset = None
            return ()
        if found == self._reported_reset:
            return ()
        self._reported_reset = found
        return (ReportOutdatedStore(found, self.version),)

    def _reject(
        self, candidate: documents.ReceivedDocument, failure: errors.Failure
    ) -> tuple[Effect, ...]:
        if candidate.version <= self._rejected:
            return ()
        self._rejected = candidate.version
        return (
            RejectDocument(
                documents.DocumentKind.SHEET,
                candidate.version,
                candidate.source,
                failure,
            ),
        )
