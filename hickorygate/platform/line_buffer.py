"""Finds where the messages of the line protocol end in a stream of bytes."""

from __future__ import annotations

__all__ = ["MESSAGE_LIMIT", "LineBuffer"]

MESSAGE_LIMIT = 1_048_576
"""Size of the longest message in bytes, as the protocol specifies."""


class LineBuffer:
    """Splits a stream of bytes into lines.

    Lines stay encoded until they are taken out: small decoded messages occupy
    many times their bytes.
    """

    __slots__ = ("_buffer", "_end", "_scanned")

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._end = -1
        self._scanned = 0

    @property
    def size(self) -> int:
        """Number of bytes in the buffer."""
        return len(self._buffer)

    @property
    def has_line(self) -> bool:
        """Whether the buffer holds a complete line."""
        return self._end >= 0

    @property
    def oversized(self) -> bool:
        """Whether the incomplete line exceeds the size limit of a message."""
        return self._end < 0 and len(self._buffer) > MESSAGE_LIMIT

    def __repr__(self) -> str:
        return f"LineBuffer({len(self._buffer)} bytes)"

    def append(self, data: bytes) -> None:
        """Appends bytes."""
        self._buffer += data
        if self._end < 0:
            self._find_end()

    def pop(self) -> bytes:
        """Takes out the first line; there must be one."""
        assert self._end >= 0, "check has_line first"
        with memoryview(self._buffer) as view:
            line = bytes(view[: self._end])
        del self._buffer[: self._end + 1]
        self._scanned = 0
        self._find_end()
        return line.removesuffix(b"\r")

    def clear(self) -> None:
        """Discards everything."""
        self._buffer = bytearray()
        self._end, self._scanned = -1, 0

    def feed(self, data: bytes) -> list[bytes]:
        """Appends bytes and returns the lines that are now complete."""
        self.append(data)
        lines = []
        while self.has_line:
            lines.append(self.pop())
        return lines

    def _find_end(self) -> None:
        self._end = self._buffer.find(b"\n", self._scanned)
        self._scanned = len(self._buffer)
