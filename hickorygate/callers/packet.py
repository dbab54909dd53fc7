"""Decodes and encodes the fields of MySQL packets, with bounds checks."""

from __future__ import annotations

from hickorygate.callers import protocol_errors
from hickorygate.core import errors

__all__ = ["Reader", "length", "length_bytes", "malformed", "text", "uint"]

# First bytes of a length-encoded integer, by the width that follows.
_TWO_BYTE_PREFIX = 0xFC
_THREE_BYTE_PREFIX = 0xFD
_EIGHT_BYTE_PREFIX = 0xFE
_WIDTHS = {_TWO_BYTE_PREFIX: 2, _THREE_BYTE_PREFIX: 3, _EIGHT_BYTE_PREFIX: 8}


class Reader:
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
    def left(self) -> int:
        """Number of bytes not read yet."""
        return len(self._data) - self._position

    def __repr__(self) -> str:
        return f"Reader(left={self.left})"

    def take(self, size: int) -> bytes:
        """Reads a number of bytes."""
        if size > self.left:
            raise malformed(f"{size} bytes wanted, {self.left} left")
        start = self._position
        self._position += size
        return self._data[start : self._position]

    def uint(self, size: int) -> int:
        """Reads an unsigned integer; the size is in bytes."""
        return int.from_bytes(self.take(size), "little")

    def sint(self, size: int) -> int:
        """Reads a signed integer; the size is in bytes."""
        return int.from_bytes(self.take(size), "little", signed=True)

    def length(self) -> int:
        """Reads a length-encoded integer."""
        first = self.uint(1)
        width = _WIDTHS.get(first)
        return first if width is None else self.uint(width)

    def length_bytes(self) -> bytes:
        """Reads a length-encoded integer and as many bytes after it."""
        return self.take(self.length())

    def terminated(self) -> bytes:
        """Reads a null-terminated string and returns it without the null."""
        end = self._data.find(b"\x00", self._position)
        if end < 0:
            raise malformed("a closing zero byte is missing")
        found = self.take(end - self._position)
        self.take(1)
        return found

    def rest(self) -> bytes:
        """Reads all remaining bytes."""
        return self.take(self.left)


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


def uint(value: int, size: int) -> bytes:
    """Encodes an unsigned integer; the size is in bytes."""
    return value.to_bytes(size, "little")


def length(value: int) -> bytes:
    """Encodes a length-encoded integer."""
    if value < 251:
        return uint(value, 1)
    if value < 1 << 16:
        return bytes((_TWO_BYTE_PREFIX,)) + uint(value, 2)
    if value < 1 << 24:
        return bytes((_THREE_BYTE_PREFIX,)) + uint(value, 3)
    return bytes((_EIGHT_BYTE_PREFIX,)) + uint(value, 8)


def length_bytes(data: bytes) -> bytes:
    """Encodes bytes with their length in front."""
    return length(len(data)) + data
