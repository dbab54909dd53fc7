"""Encodes and decodes packets.

Packets are msgpack on the wire and validated data classes inside. A packet
is an array of the protocol version, the message name, the header and the
body. A packet of another protocol version is rejected as a whole.
"""

from __future__ import annotations

import dataclasses

import expression
import msgpack
import pydantic

from hickorygate.core import document
from hickorygate.core import errors
from hickorygate.proxies import messages

__all__ = ["MAX_PACKET_BYTES", "PROTOCOL_VERSION", "Packet", "pack", "unpack"]

PROTOCOL_VERSION = 2
"""Version of the packet format; packets of other versions are rejected."""
MAX_PACKET_BYTES = 1_048_576 + 4_096
"""Maximum size of a packet in bytes."""

_TIMESTAMP_AS_DATETIME = 3
"""Value of msgpack's `timestamp` option that decodes to `datetime`."""
_PACKET_FIELDS = 4
"""Number of elements of a packet's array."""
_HEADER_ADAPTER: pydantic.TypeAdapter[messages.Header] = pydantic.TypeAdapter(
    messages.Header
)
_MESSAGE_TYPES: dict[str, type[messages.Message]] = {
    "ping": messages.Ping,
    "ack": messages.Ack,
    "ping_request": messages.PingRequest,
    "indirect_ack": messages.IndirectAck,
    "members_wanted": messages.MembersRequest,
    "members_copy": messages.MembersCopy,
    "announce": messages.Announce,
    "document_wanted": messages.DocumentRequest,
    "document_copy": messages.DocumentCopy,
    "group_report": messages.GroupReport,
    "demand_report": messages.DemandReport,
}
_MESSAGE_NAMES = {cls: name for name, cls in _MESSAGE_TYPES.items()}
_BODY_ADAPTERS: dict[str, pydantic.TypeAdapter[messages.Message]] = {
    name: pydantic.TypeAdapter(cls) for name, cls in _MESSAGE_TYPES.items()
}


@dataclasses.dataclass(frozen=True, slots=True)
class Packet:
    """A message with its header.

    Attributes:
      header: identity and state of the sender.
      message: the message itself.
    """

    header: messages.Header
    message: messages.Message


PacketResult = expression.Result[Packet, errors.Failure]


def pack(packet: Packet) -> bytes:
    """Encodes a packet."""
    name = _MESSAGE_NAMES[type(packet.message)]
    parts = [
        PROTOCOL_VERSION,
        name,
        _HEADER_ADAPTER.dump_python(packet.header),
        _BODY_ADAPTERS[name].dump_python(packet.message),
    ]
    return msgpack.packb(parts, datetime=True, default=_encode_enum)


def unpack(data: bytes) -> PacketResult:
    """Decodes and validates a packet.

    Args:
      data: received bytes.

    Returns:
      The packet, or a BadPeerMessage with the reason of the rejection.
    """
    if len(data) > MAX_PACKET_BYTES:
        return _bad_packet(
            f"{len(data)} bytes, over the limit of {MAX_PACKET_BYTES}"
        )
    try:
        parts = msgpack.unpackb(data, timestamp=_TIMESTAMP_AS_DATETIME)
    except (ValueError, TypeError, OverflowError, msgpack.UnpackException):
        return _bad_packet("not a packet")
    if not isinstance(parts, list) or not parts:
        return _bad_packet("not a packet")
    if parts[0] != PROTOCOL_VERSION:
        return _bad_packet(
            f"version {parts[0]!r:.20}, this is {PROTOCOL_VERSION}"
        )
    if len(parts) != _PACKET_FIELDS:
        return _bad_packet("unknown message")
    _, name, header, body = parts
    if not isinstance(name, str) or name not in _MESSAGE_TYPES:
        return _bad_packet("unknown message")
    return _validate(name, header, body)


def _validate(name: str, header: object, body: object) -> PacketResult:
    try:
        return expression.Ok(
            Packet(
                _HEADER_ADAPTER.validate_python(header),
                _BODY_ADAPTERS[name].validate_python(body),
            )
        )
    except pydantic.ValidationError as error:
        first = error.errors(include_url=False, include_input=False)[0]
        location = ".".join(str(part) for part in first["loc"])
        return _bad_packet(f"{name}: {location}: {first['msg']}")


def _bad_packet(reason: str) -> PacketResult:
    return expression.Error(errors.BadPeerMessage(reason))


def _encode_enum(value: object) -> object:
    """Converts an enumeration member, which msgpack can't encode itself."""
    if isinstance(value, document.DocumentKind):
        return value.value
    raise TypeError(f"msgpack cannot encode {value!r}")
