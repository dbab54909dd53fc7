"""The platform's objects that every proxy holds a copy of."""

from __future__ import annotations

import dataclasses
import enum

__all__ = ["Candidate", "DocumentKind"]


class DocumentKind(enum.Enum):
    """Which object."""

    SHEET = "sheet"
    INSTANCES = "instances"


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A copy of a document that was heard of.

    Attributes:
      version: as the store counts it.
      text: YAML of a sheet, JSON of a list of instances.
      source: the platform, or the proxy that passed it on.
    """

    version: int
    text: str
    source: str
