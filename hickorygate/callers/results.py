"""Sends the columns and rows of a result, with back-pressure."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Callable

from hickorygate.callers import packet
from hickorygate.callers import result_encoding
from hickorygate.callers import stream as streams
from hickorygate.core import types
from hickorygate.upstreams import answer

__all__ = ["RowEncoder", "send_result_set"]

RowEncoder = Callable[[types.Row], bytes]
"""Encodes a row as the payload of a packet."""


async def send_result_set(
    stream: streams.PacketStream,
    table: answer.ResultSet,
    encode: RowEncoder,
    eof_packet: bytes | None,
) -> None:
    """Sends a result except for the closing packet.

    Waits whenever the send buffer is full, until the caller has read from it.

    Args:
      stream: packet stream of the caller.
      table: result to send. Rows that are still arriving are closed at the
        end, also after an error.
      encode: encoder of a row.
      eof_packet: packet to send between columns and rows; None for none.
    """
    stream.write_many([packet.encode_length(len(table.columns))])
    stream.write_many([result_encoding.encode_column(c) for c in table.columns])
    if eof_packet is not None:
        stream.write_many([eof_packet])
    if isinstance(table.rows, AsyncIterator):
        await _send_streamed(stream, table.rows, encode)
        return
    for row in table.rows:
        if stream.queue(encode(row)):
            await stream.drain()


async def _send_streamed(
    stream: streams.PacketStream,
    rows: AsyncIterator[types.Row],
    encode: RowEncoder,
) -> None:
    try:
        async for row in rows:
            if stream.queue(encode(row)):
                await stream.drain()
    finally:
        await rows.aclose()
