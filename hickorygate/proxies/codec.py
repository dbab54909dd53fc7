"""Packets: msgpack outside, validated data classes inside.

A packet is an array of the protocol's version, the message's name, header
and body. One of another version is refused as a whole.
"""

from __future__ import annotations

import dataclasses

import expression
import msgpack
import pydantic

from hickorygate.core import document as documents
from hickorygate.core import errors
from hickorygate.proxies import messages

__all__ = ["PACKET_LIMIT", "PROTOCOL_VERSION", "Packet", "pack", "unpack"]

PROTOCOL_VERSION = 2
PACKET_LIMIT = 1_048_576 + 4_096
"""Bytes of the longest packet."""

_TIMESTAMP_AS_DATETIME = 3
_FIELDS = 4
_HEADER: pydantic.TypeAdapter[messages.Header] = pydantic.TypeAdapter(
    messages.Header
)
_TYPES: dict[str, type[messages.Message]] = {
    "ping": messages.Ping,
    "ack": messages.Ack,
    "ping_request": messages.PingRequest,
    "indirect_ack": messages.IndirectAck,
    "members_wanted": messages.MembersWanted,
    "members_copy": messages.MembersCopy,
    "announce": messages.Announce,
    "document_wanted": messages.DocumentWanted,
    "document_copy": messages.DocumentCopy,
    "group_report": messages.GroupReport,
    "demand_report": messages.DemandReport,
}
_NAMES = {cls: name for name, cls in _TYPES.items()}
_BODIES: dict[str, pydantic.TypeAdapter[messages.Message]] = {
    name: pydantic.TypeAdapter(cls) for name, cls in _TYPES.items()
}


@dataclasses.dataclass(frozen=True, slots=True)
class Packet:
    """A message with its header."""

    header: messages.Header
    message: messages.Message


PacketResult = expression.Result[Packet, errors.Failure]


def pack(packet: Packet) -> bytes:
    """Encodes a packet."""
    name = _NAMES[type(packet.message)]
    parts = [
        PROTOCOL_VERSION,
        name,
        _HEADER.dump_python(packet.header),
        _BODIES[name].dump_python(packet.message),
    ]
    return msgpack.packb(parts, datetime=True, default=_plain)


def unpack(data: bytes) -> PacketResult:
    """Decodes and validates a packet."""
    if len(data) > PACKET_LIMIT:
        return _bad(f"{len(data)} bytes, over the limit of {PACKET_LIMIT}")
    try:
        parts = msgpack.unpackb(data, timestamp=_TIMESTAMP_AS_DATETIME)
    except (ValueError, TypeError, msgpack.UnpackException):
        return _bad("not a packet")
    if not isinstance(parts, list) or not parts:
        return _bad("not a packet")
    if parts[0] != PROTOCOL_VERSION:
        return _bad(f"version {parts[0]!r:.20}, this is {PROTOCOL_VERSION}")
    if len(parts) != _FIELDS or parts[1] not in _TYPES:
        return _bad("unknown message")
    return _validate(parts[1], parts[2], parts[3])


def _validate(name: str, header: object, body: object) -> PacketResult:
    try:
        return expression.Ok(
            Packet(
                _HEADER.validate_python(header),
                _BODIES[name].validate_python(body),
            )
        )
    except pydantic.ValidationError as error:
        first = error.errors(include_url=False, include_input=False)[0]
        where = ".".join(str(part) for part in first["loc"])
        return _bad(f"{name}: {where}: {first['msg']}")


def _bad(reason: str) -> PacketResult:
    return expression.Error(errors.BadPeerMessage(reason))


def _plain(value: object) -> object:
    """Encodes what msgpack doesn't know: the members of an enumeration."""
    if isinstance(value, documents.DocumentKind):
        return value.value
    raise TypeError(f"can't encode {value!r}")
