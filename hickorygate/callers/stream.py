"""Reads packets from a caller, within the limit on a statement's size."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
import ssl

from mysql_mimic import results
from mysql_mimic import stream as mimic_stream

from hickorygate.core import errors
from hickorygate.core import types

__all__ = ["Stream"]

_HEADER_BYTES = 4
_LENGTH_BYTES = 3
_FULL_PACKET = 0xFFFFFF


class Stream:
    """A packet stream that bounds what it holds in memory.

    It stands where the library expects its own stream, which is compiled and
    can't be subclassed; writing is passed on to one.
    """

    __slots__ = ("_limit", "_raw", "_reader")

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        limit: int,
    ) -> None:
        self._raw = mimic_stream.MysqlStream(reader, writer)
        self._reader = reader
        self._limit = limit

    def __repr__(self) -> str:
        return f"Stream(limit={self._limit})"

    async def read(self) -> bytes:
        """Returns one packet; a cut or foreign one ends the connection."""
        try:
            return await self._read()
        except asyncio.IncompleteReadError as error:
            raise mimic_stream.ConnectionClosed from error

    async def write(self, data: bytes, drain: bool = True) -> None:
        """Sends one packet."""
        await self._raw.write(data, drain)

    def write_many(self, packets: Sequence[bytes]) -> None:
        """Queues packets."""
        self._raw.write_many(packets)

    def write_text_rows(
        self,
        rows: Sequence[types.Row],
        columns: Sequence[results.ResultColumn],
    ) -> int:
        """Queues rows in the text protocol; returns how many."""
        return self._raw.write_text_rows(rows, columns)

    async def drain(self) -> None:
        """Sends what is queued."""
        await self._raw.drain()

    def reset_seq(self) -> None:
        """Begins a new command."""
        self._raw.reset_seq()

    async def start_tls(self, context: ssl.SSLContext) -> None:
        """Goes on over TLS."""
        await self._raw.start_tls(context)

    async def _read(self) -> bytes:
        data = bytearray()
        size = 0
        while True:
            header = await self._reader.readexactly(_HEADER_BYTES)
            length = int.from_bytes(header[:_LENGTH_BYTES], "little")
            if header[_LENGTH_BYTES] != next(self._raw.seq):
                raise mimic_stream.ConnectionClosed
            size += length
            part = await self._reader.readexactly(length)
            if size <= self._limit:
                data += part
            if length < _FULL_PACKET:
                break
        if size > self._limit:
            failure = errors.StatementTooLarge(size, self._limit)
            raise errors.FailureError(failure)
        return bytes(data)
