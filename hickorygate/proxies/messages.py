"""Messages between proxies.

Each travels behind a header that says who sends it and what the sender
holds. The codec validates both, so that everything here may be trusted to be
well-formed and bounded.
"""

from __future__ import annotations

import dataclasses
import datetime
from typing import Annotated

import pydantic

from hickorygate.core import document as documents
from hickorygate.core import types
from hickorygate.proxies import member as members

__all__ = [
    "Ack",
    "Announce",
    "DemandReport",
    "DocumentCopy",
    "DocumentWanted",
    "GroupReport",
    "Header",
    "IndirectAck",
    "MEMBERS_A_MESSAGE",
    "MembersCopy",
    "MembersWanted",
    "Message",
    "Ping",
    "PingRequest",
    "RankDemand",
    "Report",
    "SightingReport",
    "Versions",
]

MEMBERS_A_MESSAGE = 64
"""The most members that one message tells of."""

_DOCUMENT_LIMIT = 1_048_576
_RANKS_LIMIT = 64
_DATABASES_LIMIT = 64
_Count = Annotated[int, pydantic.Field(ge=0, lt=2**62)]
_Members = Annotated[
    tuple[members.Member, ...], pydantic.Field(max_length=MEMBERS_A_MESSAGE)
]


@dataclasses.dataclass(frozen=True, slots=True)
class Versions:
    """Versions of the documents that a proxy holds; 0 for none."""

    sheet: _Count = 0
    instances: _Count = 0

    def of(self, kind: documents.DocumentKind) -> int:
        """Returns the version of one document."""
        if kind is documents.DocumentKind.SHEET:
            return self.sheet
        return self.instances


@dataclasses.dataclass(frozen=True, slots=True)
class Header:
    """Who sends a message, and what it holds.

    Attributes:
      sender: the sender itself.
      wall: wall part of its stamp.
      count: the stamp's other part.
      versions: of its documents.
      digest: of the members that it believes live.
      store_age_ms: since any proxy that it knows of reached the store.
    """

    sender: members.Member
    wall: datetime.datetime
    count: _Count
    versions: Versions
    digest: Annotated[int, pydantic.Field(ge=0, lt=2**64)]
    store_age_ms: _Count


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """Base of what follows a header."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ping(Message):
    """Asks for an Ack.

    Attributes:
      sequence: repeated in the answer.
      reopen: the last answer didn't come; use a new connection for this one.
      updates: news about members.
    """

    sequence: _Count
    reopen: bool = False
    updates: _Members = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Ack(Message):
    """Answers a Ping."""

    sequence: _Count
    updates: _Members = ()


@dataclasses.dataclass(frozen=True, slots=True)
class PingRequest(Message):
    """Asks the receiver to ping a third proxy."""

    sequence: _Count
    target: members.Name
    address: members.Address


@dataclasses.dataclass(frozen=True, slots=True)
class IndirectAck(Message):
    """Says that the target of a PingRequest answered."""

    sequence: _Count
    target: members.Name


@dataclasses.dataclass(frozen=True, slots=True)
class MembersWanted(Message):
    """Asks for all members that the receiver knows."""


@dataclasses.dataclass(frozen=True, slots=True)
class MembersCopy(Message):
    """Some of the members that the sender knows."""

    members: _Members


@dataclasses.dataclass(frozen=True, slots=True)
class Announce(Message):
    """Says nothing beyond its header: a document has a new version."""


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentWanted(Message):
    """Asks for a document."""

    document: documents.DocumentKind


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentCopy(Message):
    """A document.

    Attributes:
      document: which.
      version: as the store counts it.
      data: UTF-8, compressed.
    """

    document: documents.DocumentKind
    version: _Count
    data: Annotated[bytes, pydantic.Field(max_length=_DOCUMENT_LIMIT)]


@dataclasses.dataclass(frozen=True, slots=True)
class Report(Message):
    """Base of what proxies publish to others about the data path."""


@dataclasses.dataclass(frozen=True, slots=True)
class SightingReport:
    """A database's status as a probe owner saw it.

    Attributes:
      database: name.
      primary: it leads its term.
      term: that it leads or follows.
      base: offset where the term starts.
      received: offset received.
      applied: offset applied.
      age_ms: since it was asked, when the report was sent.
    """

    database: members.Name
    primary: bool
    term: _Count
    base: _Count
    received: _Count
    applied: _Count
    age_ms: _Count


@dataclasses.dataclass(frozen=True, slots=True)
class GroupReport(Report):
    """The state of a group, from one that probes it."""

    group: members.Name
    sightings: Annotated[
        tuple[SightingReport, ...], pydantic.Field(max_length=_DATABASES_LIMIT)
    ]


@dataclasses.dataclass(frozen=True, slots=True)
class RankDemand:
    """How much work of a rank waits and runs at the sender."""

    rank: types.RankName
    waiting: _Count
    running: _Count


@dataclasses.dataclass(frozen=True, slots=True)
class DemandReport(Report):
    """The sender's demand for one database, by rank."""

    database: members.Name
    demands: Annotated[
        tuple[RankDemand, ...], pydantic.Field(max_length=_RANKS_LIMIT)
    ]
