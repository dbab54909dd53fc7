"""Failures of the object API that only its users meet."""

from __future__ import annotations

import dataclasses
import datetime

from hickorygate.core import errors
from hickorygate.core import types

__all__ = [
    "ObjectConflict",
    "ObjectMalformed",
    "ObjectOvertaken",
    "StoreBudgetSpent",
    "ValueTooLarge",
]


@dataclasses.dataclass(frozen=True, slots=True)
class StoreBudgetSpent(errors.Failure):
    """This process has made all the calls that its budget allows."""

    retry_after: datetime.timedelta

    @property
    def message(self) -> str:
        """Text for a person."""
        wait = self.retry_after.total_seconds()
        return (
            "the budget of calls to the object API is spent; retry after "
            f"{wait:.3f} s or raise the rates under platform in the settings"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectMalformed(errors.Failure):
    """The store's answer isn't the object that it should hold."""

    path: str
    reason: str

    @property
    def message(self) -> str:
        """Text for a person."""
        return (
            f"the object at {self.path} can't be read: {self.reason}; "
            "store it anew"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class ValueTooLarge(errors.Failure):
    """A value is over the store's limit; it was not sent."""

    path: str
    size: int
    limit: int

    @property
    def message(self) -> str:
        """Text for a person; sizes in bytes."""
        return (
            f"the value for {self.path} has {self.size} bytes, over the "
            f"store's limit of {self.limit}; shorten it"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectConflict(errors.Failure):
    """Another process changed the object first; this change had no effect."""

    path: str
    expected: types.SheetVersion
    found: types.SheetVersion

    @property
    def message(self) -> str:
        """Text for a person."""
        return (
            f"the object at {self.path} is at version {self.found}, not "
            f"{self.expected}; read it and try again"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectOvertaken(errors.Failure):
    """The answer to a change was lost, and another change came after.

    Attributes:
      path: of the object.
      expected: the version that the change was to replace.
      found: the version there now.
    """

    path: str
    expected: types.SheetVersion
    found: types.SheetVersion

    @property
    def outcome(self) -> errors.Outcome:
        """Unknown: the change may have been in force in between."""
        return errors.Outcome.UNKNOWN

    @property
    def message(self) -> str:
        """Text for a person."""
        return (
            f"the answer to a change of {self.path} was lost and another "
            f"change made version {self.found} since; read it and try again"
        )
