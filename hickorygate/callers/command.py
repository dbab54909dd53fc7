"""The commands that callers send, decoded into typed messages."""

from __future__ import annotations

import dataclasses

from hickorygate.callers import packet as packets
from hickorygate.core import types

__all__ = [
    "ChangeUser",
    "CloseStatement",
    "Command",
    "Execute",
    "Fetch",
    "Ping",
    "Prepare",
    "Query",
    "Quit",
    "ResetConnection",
    "ResetStatement",
    "SelectSchema",
    "SendLongData",
    "Statistics",
    "Unknown",
    "decode",
]


@dataclasses.dataclass(frozen=True, slots=True)
class Command:
    """Base of all commands."""


@dataclasses.dataclass(frozen=True, slots=True)
class Quit(Command):
    """COM_QUIT."""


@dataclasses.dataclass(frozen=True, slots=True)
class SelectSchema(Command):
    """COM_INIT_DB."""

    schema: types.SchemaName


@dataclasses.dataclass(frozen=True, slots=True)
class Query(Command):
    """COM_QUERY; the body holds attributes and text."""

    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Statistics(Command):
    """COM_STATISTICS."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ping(Command):
    """COM_PING."""


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeUser(Command):
    """COM_CHANGE_USER."""

    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ResetConnection(Command):
    """COM_RESET_CONNECTION."""


@dataclasses.dataclass(frozen=True, slots=True)
class Prepare(Command):
    """COM_STMT_PREPARE."""

    sql: str


@dataclasses.dataclass(frozen=True, slots=True)
class Execute(Command):
    """COM_STMT_EXECUTE; the body holds flags and parameters."""

    number: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class SendLongData(Command):
    """COM_STMT_SEND_LONG_DATA; it has no answer."""

    number: int
    index: int
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class CloseStatement(Command):
    """COM_STMT_CLOSE; it has no answer."""

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class ResetStatement(Command):
    """COM_STMT_RESET."""

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Fetch(Command):
    """COM_STMT_FETCH."""

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown(Command):
    """Any other command."""

    code: int


def _long_data(reader: packets.Reader) -> SendLongData:
    return SendLongData(reader.uint(4), reader.uint(2), reader.rest())


_DECODERS = {
    0x01: lambda reader: Quit(),
    0x02: lambda reader: SelectSchema(packets.text(reader.rest())),
    0x03: lambda reader: Query(reader.rest()),
    0x09: lambda reader: Statistics(),
    0x0E: lambda reader: Ping(),
    0x11: lambda reader: ChangeUser(reader.rest()),
    0x16: lambda reader: Prepare(packets.text(reader.rest())),
    0x17: lambda reader: Execute(reader.uint(4), reader.rest()),
    0x18: _long_data,
    0x19: lambda reader: CloseStatement(reader.uint(4)),
    0x1A: lambda reader: ResetStatement(reader.uint(4)),
    0x1C: lambda reader: Fetch(reader.uint(4)),
    0x1F: lambda reader: ResetConnection(),
}


def decode(data: bytes) -> Command:
    """Decodes a packet.

    Raises:
      errors.FailureError: with a `MalformedPacket`.
    """
    reader = packets.Reader(data)
    code = reader.uint(1)
    decoder = _DECODERS.get(code)
    return Unknown(code) if decoder is None else decoder(reader)
