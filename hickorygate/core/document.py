"""The documents in the platform's store that every proxy holds a copy of."""

from __future__ import annotations

import dataclasses
import enum

__all__ = ["ReceivedDocument", "DocumentKind"]


class DocumentKind(enum.Enum):
    """Kind of a document: the sheet or the list of instances.

    Attributes:
      SHEET: the sheet.
      INSTANCES: the list of instances.
    """

    SHEET = "sheet"
    INSTANCES = "instances"


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedDocument:
    """A copy of a document that was received and is not in force yet.

    Attributes:
      version: version that the store gave the document.
      text: content: YAML of a sheet, JSON of a list of instances.
      source: "platform", or the name of the proxy that sent the copy.
    """

    version: int
    text: str
    source: str
