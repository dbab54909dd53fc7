"""Packet stream of a caller that bounds memory in both directions.

Incoming packets are bounded by the maximum size of a statement. Outgoing
packets wait for the caller once the send buffer is full, so a large result is
never held in memory as a whole.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
import ssl

from mysql_mimic import stream as mimic_stream

from hickorygate.core import errors

__all__ = ["BUFFER_BYTES", "PacketStream"]

BUFFER_BYTES = 65_536
"""Size of the send buffer, in bytes, at which the buffer counts as full."""

_HEADER_BYTES = 4
_LENGTH_BYTES = 3
_MAX_PAYLOAD = 0xFFFFFF
"""Maximum payload of one frame; a longer packet is split into several."""

_SEQUENCE_IDS = 256
"""Number of sequence ids, after which they start at 0 again."""


class PacketStream:
    """A packet stream with bounded memory.

    The class replaces the stream of mysql_mimic and has the same methods. It
    is no subclass, because the library's stream is compiled and can't be
    subclassed.

    Args:
      reader: reader of the connection.
      writer: writer of the connection.
      limit: maximum size of an incoming packet in bytes.
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
        """Maximum size of an incoming packet in bytes."""
        return self._limit

    @property
    def queued(self) -> int:
        """Number of bytes that are not sent yet."""
        return (
            len(self._buffer) + self._writer.transport.get_write_buffer_size()
        )

    def __repr__(self) -> str:
        return f"PacketStream(limit={self._limit}, queued={self.queued})"

    async def read(self) -> bytes:
        """Returns the payload of the next packet.

        Raises:
          mimic_stream.ConnectionClosed: the connection ended, or a sequence
            id is wrong.
          errors.FailureError: with a `StatementTooLarge`. The whole packet
            has been read, so the stream can be used further.
        """
        try:
            return await self._read()
        except asyncio.IncompleteReadError as error:
            raise mimic_stream.ConnectionClosed from error

    async def write(self, data: bytes, drain: bool = True) -> None:
        """Queues one packet and sends the buffer if requested or if full.

        Args:
          data: payload of the packet.
          drain: whether to send the buffer at once.
        """
        self._queue_packet(data)
        if drain or len(self._buffer) >= BUFFER_BYTES:
            await self.drain()

    def queue(self, data: bytes) -> bool:
        """Queues one packet and returns whether the buffer is full."""
        self._queue_packet(data)
        return len(self._buffer) >= BUFFER_BYTES

    def write_many(self, packets: Sequence[bytes]) -> None:
        """Queues packets without sending them."""
        for data in packets:
            self._queue_packet(data)

    async def drain(self) -> None:
        """Sends the buffer, then waits while the transport holds too much.

        The transport holds what the caller hasn't read yet.
        """
        if self._buffer:
            self._writer.write(bytes(self._buffer))
            self._buffer.clear()
        await self._writer.drain()

    def reset_seq(self) -> None:
        """Resets the sequence id for a new command."""
        self._sequence = 0

    def skip_request(self) -> None:
        """Sets the sequence id to that of an answer, without a command."""
        self._sequence = 1

    async def start_tls(self, context: ssl.SSLContext) -> None:
        """Upgrades the connection to TLS.

        A client starts its handshake right after the TLS request. Bytes that
        have already been read are therefore part of the handshake and are
        passed to the TLS protocol.

        Args:
          context: TLS context with the server's certificate.
        """
        handshake = asyncio.create_task(self._writer.start_tls(context))
        await asyncio.sleep(0)  # The transport gets the TLS protocol,
        await asyncio.sleep(0)  # and the TLS protocol its transport.
        received = bytes(self._reader._buffer)  # noqa: SLF001 - no public API
        self._reader._buffer.clear()  # noqa: SLF001
        if received:
            _feed(self._writer.transport.get_protocol(), received)
        await handshake

    async def finish_sending(self) -> None:
        """Sends the buffer and closes the sending side of the connection."""
        await self.drain()
        if self._writer.can_write_eof():
            self._writer.write_eof()

    async def _read(self) -> bytes:
        data = bytearray()
        size = 0
        while True:
            header = await self._reader.readexactly(_HEADER_BYTES)
            length = int.from_bytes(header[:_LENGTH_BYTES], "little")
            if header[_LENGTH_BYTES] != self._next_sequence_id():
                raise mimic_stream.ConnectionClosed
            size += length
            await self._read_body(length, data if size <= self._limit else None)
            if length < _MAX_PAYLOAD:
                break
        if size > self._limit:
            failure = errors.StatementTooLarge(size, self._limit)
            raise errors.FailureError(failure)
        return bytes(data)

    async def _read_body(self, length: int, data: bytearray | None) -> None:
        """Reads the payload of a frame; None for `data` discards it."""
        while length:
            part = await self._reader.read(min(length, BUFFER_BYTES))
            if not part:
                raise mimic_stream.ConnectionClosed
            length -= len(part)
            if data is not None:
                data += part

    def _queue_packet(self, data: bytes) -> None:
        for start in range(0, len(data) + 1, _MAX_PAYLOAD):
            part = data[start : start + _MAX_PAYLOAD]
            self._buffer += len(part).to_bytes(_LENGTH_BYTES, "little")
            self._buffer.append(self._next_sequence_id())
            self._buffer += part

    def _next_sequence_id(self) -> int:
        number = self._sequence
        self._sequence = (number + 1) % _SEQUENCE_IDS
        return number


def _feed(protocol: asyncio.BufferedProtocol, data: bytes) -> None:
    """Passes data to a buffered protocol, as its transport does."""
    while data:
        buffer = protocol.get_buffer(len(data))
        size = min(len(buffer), len(data))
        buffer[:size] = data[:size]
        protocol.buffer_updated(size)
        data = data[size:]
