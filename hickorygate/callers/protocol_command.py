"""Commands of the MySQL protocol, decoded into data classes."""

from __future__ import annotations

import dataclasses

from hickorygate.callers import packet
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
    """COM_QUIT: closes the connection; it has no answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class SelectSchema(Command):
    """COM_INIT_DB: selects the default schema.

    Attributes:
      schema: name of the schema.
    """

    schema: types.SchemaName


@dataclasses.dataclass(frozen=True, slots=True)
class Query(Command):
    """COM_QUERY: runs a statement in the text protocol.

    Attributes:
      body: query attributes, if the connection has them, and the SQL text.
    """

    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Statistics(Command):
    """COM_STATISTICS: asks for a status text."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ping(Command):
    """COM_PING: checks that the connection is alive."""


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeUser(Command):
    """COM_CHANGE_USER: authenticates another user.

    Attributes:
      body: user, authentication response, schema and attributes.
    """

    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ResetConnection(Command):
    """COM_RESET_CONNECTION: resets the session state."""


@dataclasses.dataclass(frozen=True, slots=True)
class Prepare(Command):
    """COM_STMT_PREPARE: prepares a statement.

    Attributes:
      sql: statement with `?` in the place of each parameter.
    """

    sql: str


@dataclasses.dataclass(frozen=True, slots=True)
class Execute(Command):
    """COM_STMT_EXECUTE: runs a prepared statement.

    Attributes:
      number: id of the prepared statement.
      body: flags, iteration count and parameters.
    """

    number: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class SendLongData(Command):
    """COM_STMT_SEND_LONG_DATA: appends data to a parameter; no answer.

    Attributes:
      number: id of the prepared statement.
      index: index of the parameter, from 0.
      data: bytes to append.
    """

    number: int
    index: int
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class CloseStatement(Command):
    """COM_STMT_CLOSE: closes a prepared statement; no answer.

    Attributes:
      number: id of the prepared statement.
    """

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class ResetStatement(Command):
    """COM_STMT_RESET: drops the long data of a prepared statement.

    Attributes:
      number: id of the prepared statement.
    """

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Fetch(Command):
    """COM_STMT_FETCH: fetches rows from a cursor.

    Attributes:
      number: id of the prepared statement.
    """

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown(Command):
    """Any other command.

    Attributes:
      code: first byte of the packet.
    """

    code: int


def _long_data(reader: packet.PacketReader) -> SendLongData:
    return SendLongData(
        reader.read_uint(4), reader.read_uint(2), reader.read_remaining()
    )


_DECODERS = {
    0x01: lambda reader: Quit(),
    0x02: lambda reader: SelectSchema(packet.text(reader.read_remaining())),
    0x03: lambda reader: Query(reader.read_remaining()),
    0x09: lambda reader: Statistics(),
    0x0E: lambda reader: Ping(),
    0x11: lambda reader: ChangeUser(reader.read_remaining()),
    0x16: lambda reader: Prepare(packet.text(reader.read_remaining())),
    0x17: lambda reader: Execute(reader.read_uint(4), reader.read_remaining()),
    0x18: _long_data,
    0x19: lambda reader: CloseStatement(reader.read_uint(4)),
    0x1A: lambda reader: ResetStatement(reader.read_uint(4)),
    0x1C: lambda reader: Fetch(reader.read_uint(4)),
    0x1F: lambda reader: ResetConnection(),
}


def decode(data: bytes) -> Command:
    """Decodes a command packet.

    Raises:
      errors.FailureError: with a `MalformedPacket`.
    """
    reader = packet.PacketReader(data)
    code = reader.read_uint(1)
    decoder = _DECODERS.get(code)
    return Unknown(code) if decoder is None else decoder(reader)
