"""Decodes and encodes the fields of MySQL packets, with bounds checks."""

from __future__ import annotations

from hickorygate.callers import protocol_errors
from hickorygate.core import errors

__all__ = [
    "PacketReader",
    "encode_length",
    "encode_length_prefixed",
    "malformed",
    "text",
    "encode_uint",
]

# First bytes of a length-encoded integer, by the width that follows.
_TWO_BYTE_PREFIX = 0xFC
_THREE_BYTE_PREFIX = 0xFD
_EIGHT_BYTE_PREFIX = 0xFE
_WIDTHS = {_TWO_BYTE_PREFIX: 2, _THREE_BYTE_PREFIX: 3, _EIGHT_BYTE_PREFIX: 8}


class PacketReader:
    """Reads the fields of a packet in order.

    Each method raises if the field is truncated.

    Args:
      data: payload of the packet.

    Raises:
      errors.FailureError: with a `MalformedPacket`.
    """

    __slots__ = ("_data", "_position")

    def __init__(self, data: bytes) -> None:
        self._data = data
        self._position = 0

    @property
    def remaining(self) -> int:
        """Number of bytes not read yet."""
        return len(self._data) - self._position

    def __repr__(self) -> str:
        return f"PacketReader(left={self.remaining})"

    def read_bytes(self, size: int) -> bytes:
        """Reads a number of bytes."""
        if size > self.remaining:
            raise malformed(f"{size} bytes wanted, {self.remaining} left")
        start = self._position
        self._position += size
        return self._data[start : self._position]

    def read_uint(self, size: int) -> int:
        """Reads an unsigned integer; the size is in bytes."""
        return int.from_bytes(self.read_bytes(size), "little")

    def read_int(self, size: int) -> int:
        """Reads a signed integer; the size is in bytes."""
        return int.from_bytes(self.read_bytes(size), "little", signed=True)

    def read_length(self) -> int:
        """Reads a length-encoded integer."""
        first = self.read_uint(1)
        width = _WIDTHS.get(first)
        return first if width is None else self.read_uint(width)

    def read_length_prefixed(self) -> bytes:
        """Reads a length-encoded integer and as many bytes after it."""
        return self.read_bytes(self.read_length())

    def read_null_terminated(self) -> bytes:
        """Reads a null-terminated string and returns it without the null."""
        end = self._data.find(b"\x00", self._position)
        if end < 0:
            raise malformed("a closing zero byte is missing")
        found = self.read_bytes(end - self._position)
        self.read_bytes(1)
        return found

    def read_remaining(self) -> bytes:
        """Reads all remaining bytes."""
        return self.read_bytes(self.remaining)


def malformed(reason: str) -> errors.FailureError:
    """Returns the exception for a packet that can't be decoded."""
    return errors.FailureError(protocol_errors.MalformedPacket(reason))


def text(data: bytes) -> str:
    """Decodes UTF-8.

    Raises:
      errors.FailureError: with a `MalformedPacket`.
    """
    try:
        return data.decode()
    except UnicodeDecodeError as error:
        raise malformed(f"not UTF-8 at byte {error.start}") from error


def encode_uint(value: int, size: int) -> bytes:
    """Encodes an unsigned integer; the size is in bytes."""
    return value.to_bytes(size, "little")


def encode_length(value: int) -> bytes:
    """Encodes a length-encoded integer."""
    if value < 251:
        return encode_uint(value, 1)
    if value < 1 << 16:
        return bytes((_TWO_BYTE_PREFIX,)) + encode_uint(value, 2)
    if value < 1 << 24:
        return bytes((_THREE_BYTE_PREFIX,)) + encode_uint(value, 3)
    return bytes((_EIGHT_BYTE_PREFIX,)) + encode_uint(value, 8)


def encode_length_prefixed(data: bytes) -> bytes:
    """Encodes bytes with their length in front."""
    return encode_length(len(data)) + data
