"""Messages between proxies.

Each message follows a header that identifies the sender and carries the
sender's document versions and membership digest. The codec validates header
and message, so instances received from it are well-formed and bounded.
"""

from __future__ import annotations

import dataclasses
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
    "DocumentRequest",
    "GroupReport",
    "Header",
    "IndirectAck",
    "MAX_MEMBERS_PER_MESSAGE",
    "MembersCopy",
    "MembersRequest",
    "Message",
    "Ping",
    "PingRequest",
    "RankDemand",
    "Report",
    "DatabaseObservation",
    "Versions",
]

MAX_MEMBERS_PER_MESSAGE = 64
"""Maximum number of member records in one message."""

_MAX_DOCUMENT_BYTES = 1_048_576
_MAX_RANKS = 64
_MAX_DATABASES = 64
_Count = Annotated[int, pydantic.Field(ge=0, lt=2**62)]
_Members = Annotated[
    tuple[members.Member, ...],
    pydantic.Field(max_length=MAX_MEMBERS_PER_MESSAGE),
]


@dataclasses.dataclass(frozen=True, slots=True)
class Versions:
    """Versions of the documents that a proxy holds; 0 for none.

    Attributes:
      sheet: version of the sheet.
      instances: version of the list of instances.
    """

    sheet: _Count = 0
    instances: _Count = 0

    def version_of(self, kind: documents.DocumentKind) -> int:
        """Returns the version of the given document."""
        if kind is documents.DocumentKind.SHEET:
            return self.sheet
        return self.instances


@dataclasses.dataclass(frozen=True, slots=True)
class Header:
    """Identity and state of a message's sender.

    Attributes:
      sender: member record of the sender.
      wall: wall-clock part of the message's hybrid logical timestamp.
      count: counter part of the message's hybrid logical timestamp.
      versions: versions of the documents that the sender holds.
      digest: hash of the members that the sender records as live.
      store_age_ms: time in milliseconds since any proxy last reached the
        store, as far as the sender knows.
    """

    sender: members.Member
    wall: pydantic.AwareDatetime
    count: _Count
    versions: Versions
    digest: Annotated[int, pydantic.Field(ge=0, lt=2**64)]
    store_age_ms: _Count


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """Base class of the messages."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ping(Message):
    """Asks for an Ack.

    Attributes:
      sequence: sequence number that the answer repeats.
      reopen: whether the receiver must answer over a new connection, because
        the previous answer didn't arrive.
      updates: updated member records.
    """

    sequence: _Count
    reopen: bool = False
    updates: _Members = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Ack(Message):
    """Answers a Ping.

    Attributes:
      sequence: sequence number of the ping.
      updates: updated member records.
    """

    sequence: _Count
    updates: _Members = ()


@dataclasses.dataclass(frozen=True, slots=True)
class PingRequest(Message):
    """Asks the receiver to ping a third proxy.

    Attributes:
      sequence: sequence number that the IndirectAck repeats.
      target: name of the proxy to ping.
      address: address of the proxy to ping.
    """

    sequence: _Count
    target: members.Name
    address: members.Address


@dataclasses.dataclass(frozen=True, slots=True)
class IndirectAck(Message):
    """Reports that the target of a PingRequest answered.

    Attributes:
      sequence: sequence number of the request.
      target: name of the proxy that answered.
    """

    sequence: _Count
    target: members.Name


@dataclasses.dataclass(frozen=True, slots=True)
class MembersRequest(Message):
    """Asks for all member records that the receiver has."""


@dataclasses.dataclass(frozen=True, slots=True)
class MembersCopy(Message):
    """Carries some or all of the sender's member records.

    Attributes:
      members: the member records.
    """

    members: _Members


@dataclasses.dataclass(frozen=True, slots=True)
class Announce(Message):
    """Announces a new document version, which the header carries."""


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentRequest(Message):
    """Asks for a document.

    Attributes:
      document: the kind of the document.
    """

    document: documents.DocumentKind


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentCopy(Message):
    """Carries a document.

    Attributes:
      document: the kind of the document.
      version: version that the store assigned.
      data: UTF-8 text, compressed with zlib.
    """

    document: documents.DocumentKind
    version: _Count
    data: Annotated[bytes, pydantic.Field(max_length=_MAX_DOCUMENT_BYTES)]


@dataclasses.dataclass(frozen=True, slots=True)
class Report(Message):
    """Base class of the data-path reports that proxies publish."""


@dataclasses.dataclass(frozen=True, slots=True)
class DatabaseObservation:
    """Status of a database as observed by the proxy that probes it.

    Attributes:
      database: name of the database.
      primary: whether the database is the primary of its term.
      term: term that the database leads or follows.
      base: offset at which the term starts.
      received: offset up to which the database has received the log.
      applied: offset up to which the database has applied the log.
      age_ms: time in milliseconds from the probe to the sending of the
        report.
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
    """State of a group, from a proxy that probes it.

    Attributes:
      group: name of the group.
      sightings: status of each probed database.
    """

    group: members.Name
    sightings: Annotated[
        tuple[DatabaseObservation, ...],
        pydantic.Field(max_length=_MAX_DATABASES),
    ]


@dataclasses.dataclass(frozen=True, slots=True)
class RankDemand:
    """Waiting and running work of one rank at the sender.

    Attributes:
      rank: name of the rank.
      waiting: number of waiting requests.
      running: number of running requests.
    """

    rank: types.RankName
    waiting: _Count
    running: _Count


@dataclasses.dataclass(frozen=True, slots=True)
class DemandReport(Report):
    """The sender's demand for one database, by rank.

    Attributes:
      database: name of the database.
      demands: demand of each rank.
    """

    database: members.Name
    demands: Annotated[
        tuple[RankDemand, ...], pydantic.Field(max_length=_MAX_RANKS)
    ]
