"""Packets from and to a caller, bounded in both directions.

What comes in is bounded by the limit on a statement's size. What goes out
waits for the caller once a buffer is full, so that a large result is never
held whole.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
import ssl

from mysql_mimic import stream as mimic_stream

from hickorygate.core import errors

__all__ = ["BUFFER_BYTES", "Stream"]

BUFFER_BYTES = 65_536
"""What is queued at the most before the caller must take some of it."""

_HEADER_BYTES = 4
_LENGTH_BYTES = 3
_FULL_PACKET = 0xFFFFFF
_SEQUENCE = 256


class Stream:
    """A packet stream that bounds what it holds in memory.

    It stands where the library expects its own stream, which is compiled and
    can't be subclassed.
    """

    __slots__ = ("_buffer", "_limit", "_reader", "_sequence", "_writer")

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        limit: int,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._limit = limit
        self._buffer = bytearray()
        self._sequence = 0

    @property
    def limit(self) -> int:
        """Bytes of the longest packet that is taken in."""
        return self._limit

    @property
    def queued(self) -> int:
        """Bytes that the caller hasn't taken yet."""
        return (
            len(self._buffer) + self._writer.transport.get_write_buffer_size()
        )

    def __repr__(self) -> str:
        return f"Stream(limit={self._limit}, queued={self.queued})"

    async def read(self) -> bytes:
        """Returns one packet; a cut or foreign one ends the connection."""
        try:
            return await self._read()
        except asyncio.IncompleteReadError as error:
            raise mimic_stream.ConnectionClosed from error

    async def write(self, data: bytes, drain: bool = True) -> None:
        """Queues one packet, and sends the queue if it is asked or full."""
        self._frame(data)
        if drain or len(self._buffer) >= BUFFER_BYTES:
            await self.drain()

    def queue(self, data: bytes) -> bool:
        """Queues one packet; tells whether it is time to drain."""
        self._frame(data)
        return len(self._buffer) >= BUFFER_BYTES

    def write_many(self, packets: Sequence[bytes]) -> None:
        """Queues packets."""
        for data in packets:
            self._frame(data)

    async def drain(self) -> None:
        """Sends what is queued and waits until the caller takes it."""
        if self._buffer:
            self._writer.write(bytes(self._buffer))
            self._buffer.clear()
        await self._writer.drain()

    def reset_seq(self) -> None:
        """Begins a new command."""
        self._sequence = 0

    def skip_request(self) -> None:
        """Goes on as if a command had been read."""
        self._sequence = 1

    async def start_tls(self, context: ssl.SSLContext) -> None:
        """Goes on over TLS.

        A client doesn't wait after its request: what it has sent by now
        belongs to the handshake and is handed over to it.
        """
        upgrade = asyncio.create_task(self._writer.start_tls(context))
        await asyncio.sleep(0)  # The transport has its new protocol,
        await asyncio.sleep(0)  # and the protocol its transport.
        early = bytes(self._reader._buffer)  # noqa: SLF001 - no other way
        self._reader._buffer.clear()  # noqa: SLF001
        if early:
            _feed(self._writer.transport.get_protocol(), early)
        await upgrade

    async def end(self) -> None:
        """Sends what is queued and says that nothing follows."""
        await self.drain()
        if self._writer.can_write_eof():
            self._writer.write_eof()

    async def _read(self) -> bytes:
        data = bytearray()
        size = 0
        while True:
            header = await self._reader.readexactly(_HEADER_BYTES)
            length = int.from_bytes(header[:_LENGTH_BYTES], "little")
            if header[_LENGTH_BYTES] != self._next():
                raise mimic_stream.ConnectionClosed
            size += length
            await self._take(length, data if size <= self._limit else None)
            if length < _FULL_PACKET:
                break
        if size > self._limit:
            failure = errors.StatementTooLarge(size, self._limit)
            raise errors.FailureError(failure)
        return bytes(data)

    async def _take(self, length: int, data: bytearray | None) -> None:
        """Reads a packet's body; without a place for it, it is dropped."""
        while length:
            part = await self._reader.read(min(length, BUFFER_BYTES))
            if not part:
                raise mimic_stream.ConnectionClosed
            length -= len(part)
            if data is not None:
                data += part

    def _frame(self, data: bytes) -> None:
        for start in range(0, len(data) + 1, _FULL_PACKET):
            part = data[start : start + _FULL_PACKET]
            self._buffer += len(part).to_bytes(_LENGTH_BYTES, "little")
            self._buffer.append(self._next())
            self._buffer += part

    def _next(self) -> int:
        number = self._sequence
        self._sequence = (number + 1) % _SEQUENCE
        return number


def _feed(protocol: asyncio.BufferedProtocol, data: bytes) -> None:
    """Gives data to a buffered protocol, as its transport would."""
    while data:
        buffer = protocol.get_buffer(len(data))
        size = min(len(buffer), len(data))
        buffer[:size] = data[:size]
        protocol.buffer_updated(size)
        data = data[size:]
