"""Which sheet is in force: decisions without I/O.

Only a sheet of a higher version replaces the one in force, wherever it comes
from, so that no late copy, no store that lost its objects and no proxy that
starts empty brings an older one back.
"""

from __future__ import annotations

import dataclasses

import expression

from hickorygate.core import document as documents
from hickorygate.core import errors
from hickorygate.core import sheet as sheets
from hickorygate.core import types

__all__ = [
    "Apply",
    "Configuration",
    "Effect",
    "Reject",
    "ReportReset",
]


@dataclasses.dataclass(frozen=True, slots=True)
class Effect:
    """Base of what the adapter has to do."""


@dataclasses.dataclass(frozen=True, slots=True)
class Apply(Effect):
    """Put a sheet in force."""

    sheet: sheets.Sheet
    source: str


@dataclasses.dataclass(frozen=True, slots=True)
class Reject(Effect):
    """Report a copy of a document that can't be used."""

    document: documents.DocumentKind
    version: types.SheetVersion
    source: str
    failure: errors.Failure


@dataclasses.dataclass(frozen=True, slots=True)
class ReportReset(Effect):
    """Report that the store holds an older sheet than the one in force."""

    found: types.SheetVersion
    in_force: types.SheetVersion


class Configuration:
    """The sheet in force, and the newest version that was of no use."""

    __slots__ = ("_rejected", "_reset", "_sheet")

    def __init__(self) -> None:
        self._sheet: sheets.Sheet | None = None
        self._rejected: types.SheetVersion = 0
        self._reset: types.SheetVersion | None = None

    @property
    def sheet(self) -> sheets.Sheet | None:
        """The sheet in force; None until one was learned."""
        return self._sheet

    @property
    def ready(self) -> bool:
        """Whether any sheet is in force."""
        return self._sheet is not None

    @property
    def version(self) -> types.SheetVersion:
        """Version in force; 0 without a sheet."""
        return self._sheet.version if self._sheet else 0

    @property
    def examined(self) -> types.SheetVersion:
        """The newest version in force or rejected; only newer ones matter."""
        return max(self.version, self._rejected)

    def __repr__(self) -> str:
        return f"Configuration(version={self.version})"

    def offer(self, candidate: documents.Candidate) -> tuple[Effect, ...]:
        """Takes a sheet if it is newer and valid."""
        if candidate.version <= self.version:
            return ()
        parsed = sheets.parse(
            candidate.text, candidate.version, candidate.source
        )
        match parsed:
            case expression.Result(tag="ok", ok=sheet):
                self._sheet = sheet
                return (Apply(sheet, candidate.source),)
            case expression.Result(tag="error", error=failure):
                return self._reject(candidate, failure)
        return ()

    def compare(self, found: types.SheetVersion) -> tuple[Effect, ...]:
        """Compares the store's version; a lower one is reported once."""
        if found >= self.version:
            self._reset = None
            return ()
        if found == self._reset:
            return ()
        self._reset = found
        return (ReportReset(found, self.version),)

    def _reject(
        self, candidate: documents.Candidate, failure: errors.Failure
    ) -> tuple[Effect, ...]:
        if candidate.version <= self._rejected:
            return ()
        self._rejected = candidate.version
        return (
            Reject(
                documents.DocumentKind.SHEET,
                candidate.version,
                candidate.source,
                failure,
            ),
        )
