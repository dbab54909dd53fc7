"""Reads and builds the parts of MySQL packets, within the packet's bounds."""

from __future__ import annotations

from hickorygate.callers import protocol_errors
from hickorygate.core import errors

__all__ = ["Reader", "length", "length_bytes", "malformed", "text", "uint"]

_TWO_BYTES = 0xFC
_THREE_BYTES = 0xFD
_EIGHT_BYTES = 0xFE
_WIDTHS = {_TWO_BYTES: 2, _THREE_BYTES: 3, _EIGHT_BYTES: 8}


class Reader:
    """Takes one part after another; a part that is cut short raises.

    Raises:
      errors.FailureError: with a `MalformedPacket`.
    """

    __slots__ = ("_data", "_position")

    def __init__(self, data: bytes) -> None:
        self._data = data
        self._position = 0

    @property
    def left(self) -> int:
        """Bytes not taken yet."""
        return len(self._data) - self._position

    def __repr__(self) -> str:
        return f"Reader(left={self.left})"

    def take(self, size: int) -> bytes:
        """Takes so many bytes."""
        if size > self.left:
            raise malformed(f"{size} bytes wanted, {self.left} left")
        start = self._position
        self._position += size
        return self._data[start : self._position]

    def uint(self, size: int) -> int:
        """Takes an unsigned integer of so many bytes."""
        return int.from_bytes(self.take(size), "little")

    def sint(self, size: int) -> int:
        """Takes a signed integer of so many bytes."""
        return int.from_bytes(self.take(size), "little", signed=True)

    def length(self) -> int:
        """Takes a length-encoded integer."""
        first = self.uint(1)
        width = _WIDTHS.get(first)
        return first if width is None else self.uint(width)

    def length_bytes(self) -> bytes:
        """Takes bytes that follow their length."""
        return self.take(self.length())

    def terminated(self) -> bytes:
        """Takes bytes up to a zero byte, and the zero byte."""
        end = self._data.find(b"\x00", self._position)
        if end < 0:
            raise malformed("a closing zero byte is missing")
        found = self.take(end - self._position)
        self.take(1)
        return found

    def rest(self) -> bytes:
        """Takes all that is left."""
        return self.take(self.left)


def malformed(reason: str) -> errors.FailureError:
    """Returns what to raise for a packet that can't be read."""
    return errors.FailureError(protocol_errors.MalformedPacket(reason))


def text(data: bytes) -> str:
    """Decodes UTF-8; anything else is malformed."""
    try:
        return data.decode()
    except UnicodeDecodeError as error:
        raise malformed(f"not UTF-8 at byte {error.start}") from error


def uint(value: int, size: int) -> bytes:
    """Builds an unsigned integer of so many bytes."""
    return value.to_bytes(size, "little")


def length(value: int) -> bytes:
    """Builds a length-encoded integer."""
    if value < 251:
        return uint(value, 1)
    if value < 1 << 16:
        return bytes((_TWO_BYTES,)) + uint(value, 2)
    if value < 1 << 24:
        return bytes((_THREE_BYTES,)) + uint(value, 3)
    return bytes((_EIGHT_BYTES,)) + uint(value, 8)


def length_bytes(data: bytes) -> bytes:
    """Builds bytes behind their length."""
    return length(len(data)) + data
