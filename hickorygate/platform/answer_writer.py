"""Writes answers to one caller and counts what isn't sent."""

from __future__ import annotations

import asyncio

from hickorygate.core import memory_budget

__all__ = ["AnswerWriter"]

_WRITE_BUFFER = memory_budget.SMALL
"""Number of unsent bytes from which on no further message is answered."""


class AnswerWriter:
    """The sending side of a connection to a caller."""

    __slots__ = ("_last_answer", "_transport", "_writable", "_written")

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._written = 0
        self._last_answer = 0

    @property
    def unsent(self) -> int:
        """Number of bytes that unsent answers occupy.

        The transport keeps an answer until all of it is sent.
        """
        left = self._write_buffer()
        return max(left, self._last_answer) if left else 0

    @property
    def progress(self) -> tuple[int, int]:
        """0 if answers are unsent, else -1, and the number of bytes sent."""
        left = self._write_buffer()
        return (0 if left else -1), self._written - left

    def __repr__(self) -> str:
        return f"AnswerWriter(unsent={self.unsent})"

    def attach(self, transport: asyncio.Transport) -> None:
        """Writes to a transport from now on."""
        self._transport = transport
        transport.set_write_buffer_limits(high=_WRITE_BUFFER)

    def write(self, data: bytes) -> None:
        """Writes an answer; does nothing if the connection is closing."""
        if self._transport is not None and not self._transport.is_closing():
            self._written += len(data)
            self._last_answer = len(data)
            self._transport.write(data)

    def pause(self) -> None:
        """Makes `wait` wait until the unsent answers are few again."""
        self._writable.clear()

    def resume(self) -> None:
        """Ends a pause."""
        self._writable.set()

    async def wait(self) -> None:
        """Waits until further answers may be written."""
        await self._writable.wait()

    def _write_buffer(self) -> int:
        """Returns the number of written bytes that aren't sent."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()
