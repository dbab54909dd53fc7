"""Finds where the messages of the line protocol end in a stream of bytes.

Only CR LF ends a message. A CR or an LF alone is part of a field.
"""

from __future__ import annotations

__all__ = ["MESSAGE_LIMIT", "LineBuffer", "encode_line"]

MESSAGE_LIMIT = 1_048_576
"""Size of the longest message in bytes, as the protocol specifies; the CR LF at
its end doesn't count."""

_LINE_END = b"\r\n"
_FIRST_OF_END = _LINE_END[:1]


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
        """Whether the first line exceeds the size limit of a message.

        A CR at the end of an incomplete line may belong to the CR LF and
        doesn't count yet.
        """
        if self._end >= 0:
            return self._end > MESSAGE_LIMIT
        ends_half = self._buffer.endswith(_FIRST_OF_END)
        return len(self._buffer) - ends_half > MESSAGE_LIMIT

    def __repr__(self) -> str:
        return f"LineBuffer({len(self._buffer)} bytes)"

    def append(self, data: bytes) -> None:
        """Appends bytes."""
        self._buffer += data
        if self._end < 0:
            self._find_end()

    def pop(self) -> bytes:
        """Takes out the first line, without its end; there must be one."""
        assert self._end >= 0, "check has_line first"
        with memoryview(self._buffer) as view:
            line = bytes(view[: self._end])
        del self._buffer[: self._end + len(_LINE_END)]
        self._scanned = 0
        self._find_end()
        return line

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
        self._end = self._buffer.find(_LINE_END, self._scanned)
        # The last byte is scanned again, since it may be the CR of an end.
        self._scanned = max(len(self._buffer) - 1, 0)


def encode_line(line: bytes) -> bytes:
    """Returns a line with its end.

    Raises:
      ValueError: the line holds CR LF, so it would be several messages.
    """
    if _LINE_END in line:
        raise ValueError(f"a field holds CR LF: {line[:40]!r}")
    return line + _LINE_END
