"""Failures of the object API that occur only in its clients."""

from __future__ import annotations

import dataclasses
import datetime

from hickorygate.core import errors
from hickorygate.core import types

__all__ = [
    "ObjectConflict",
    "ObjectMalformed",
    "ObjectSuperseded",
    "StoreRateLimited",
    "ValueTooLarge",
]


@dataclasses.dataclass(frozen=True, slots=True)
class StoreRateLimited(errors.Failure):
    """This process has used up its budget of calls.

    Attributes:
      retry_after: time until the budget allows another call.
    """

    retry_after: datetime.timedelta

    @property
    def message(self) -> str:
        """Human-readable message."""
        wait = self.retry_after.total_seconds()
        return (
            "the budget of calls to the object API is spent; retry after "
            f"{wait:.3f} s or raise the rates under platform in the settings"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectMalformed(errors.Failure):
    """The content of a stored object is invalid.

    Attributes:
      path: key of the object, as text.
      reason: what is wrong with the content.
    """

    path: str
    reason: str

    @property
    def message(self) -> str:
        """Human-readable message."""
        return (
            f"the object at {self.path} can't be read: {self.reason}; "
            "store it anew"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class ValueTooLarge(errors.Failure):
    """A value exceeds the store's size limit and was not sent.

    Attributes:
      path: key of the object, as text.
      size: size of the value, in bytes.
      limit: maximum size of a value, in bytes.
    """

    path: str
    size: int
    limit: int

    @property
    def message(self) -> str:
        """Human-readable message; sizes are in bytes."""
        return (
            f"the value for {self.path} has {self.size} bytes, over the "
            f"store's limit of {self.limit}; shorten it"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectConflict(errors.Failure):
    """Another process changed the object first; this change had no effect.

    Attributes:
      path: key of the object, as text.
      expected: version that the change was to replace.
      found: version in the store.
    """

    path: str
    expected: types.SheetVersion
    found: types.SheetVersion

    @property
    def message(self) -> str:
        """Human-readable message."""
        return (
            f"the object at {self.path} is at version {self.found}, not "
            f"{self.expected}; read it and try again"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectSuperseded(errors.Failure):
    """The answer to a change was lost, and another change was made since.

    Attributes:
      path: key of the object, as text.
      expected: version that the change was to replace.
      found: version in the store.
    """

    path: str
    expected: types.SheetVersion
    found: types.SheetVersion

    @property
    def outcome(self) -> errors.Outcome:
        """UNKNOWN: the change may have been in force until the other one."""
        return errors.Outcome.UNKNOWN

    @property
    def message(self) -> str:
        """Human-readable message."""
        return (
            f"the answer to a change of {self.path} was lost and another "
            f"change made version {self.found} since; read it and try again"
        )
