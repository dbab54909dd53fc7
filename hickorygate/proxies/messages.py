"""Messages between proxies: validated models, packed with msgpack.

The first field of each packet is the protocol's version; a packet of another
version is refused as a whole.
"""

from __future__ import annotations

import datetime
from typing import Annotated
from typing import Literal

import expression
import msgpack
import pydantic

from hickorygate.core import errors
from hickorygate.core import types

__all__ = [
    "Heartbeat",
    "Message",
    "PROTOCOL_VERSION",
    "SheetCopy",
    "SheetWanted",
    "pack",
    "unpack",
]

PROTOCOL_VERSION = 1


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Heartbeat(_Model):
    """Says that a proxy is alive, where it is and which sheet it has."""

    kind: Literal["heartbeat"] = "heartbeat"
    sender: types.ProxyName
    address: str
    admin: str
    zone: types.ZoneName
    sheet: types.SheetVersion
    wall: datetime.datetime
    count: int
    known: tuple[str, ...]


class SheetWanted(_Model):
    """Asks for the sender's newer sheet."""

    kind: Literal["sheet_wanted"] = "sheet_wanted"
    sender: types.ProxyName
    address: str


class SheetCopy(_Model):
    """A sheet, passed on."""

    kind: Literal["sheet_copy"] = "sheet_copy"
    sender: types.ProxyName
    version: types.SheetVersion
    text: str


Message = Annotated[
    Heartbeat | SheetWanted | SheetCopy, pydantic.Field(discriminator="kind")
]
_ADAPTER: pydantic.TypeAdapter[Message] = pydantic.TypeAdapter(Message)


def pack(message: Message) -> bytes:
    """Encodes a message."""
    body = message.model_dump(mode="json")
    return msgpack.packb([PROTOCOL_VERSION, body])


def unpack(
    packet: bytes,
) -> expression.Result[Message, errors.BadPeerMessage]:
    """Decodes and validates a message."""
    try:
        version, body = msgpack.unpackb(packet)
    except (ValueError, TypeError, msgpack.UnpackException):
        return expression.Error(errors.BadPeerMessage("not a packet"))
    if version != PROTOCOL_VERSION:
        reason = f"version {version!r}, this is {PROTOCOL_VERSION}"
        return expression.Error(errors.BadPeerMessage(reason))
    try:
        return expression.Ok(_ADAPTER.validate_python(body, strict=False))
    except pydantic.ValidationError as error:
        reason = error.errors(include_url=False)[0]["msg"]
        return expression.Error(errors.BadPeerMessage(reason))
