"""Sends a result's columns and rows, no faster than the caller takes them."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Callable

from hickorygate.callers import encoding
from hickorygate.callers import packet as packets
from hickorygate.callers import stream as streams
from hickorygate.core import types
from hickorygate.upstreams import answer as answers

__all__ = ["RowEncoder", "send"]

RowEncoder = Callable[[types.Row], bytes]


async def send(
    stream: streams.Stream,
    table: answers.Table,
    encode: RowEncoder,
    middle: bytes | None,
) -> None:
    """Sends all but the closing packet.

    Args:
      stream: towards the caller.
      table: the result; its rows are closed in any case.
      encode: builds a row's packet.
      middle: the packet between columns and rows; None for none.
    """
    stream.write_many([packets.length(len(table.columns))])
    stream.write_many([encoding.column(c) for c in table.columns])
    if middle is not None:
        stream.write_many([middle])
    if isinstance(table.rows, AsyncIterator):
        await _send_arriving(stream, table.rows, encode)
        return
    for row in table.rows:
        if stream.queue(encode(row)):
            await stream.drain()


async def _send_arriving(
    stream: streams.Stream, rows: AsyncIterator[types.Row], encode: RowEncoder
) -> None:
    try:
        async for row in rows:
            if stream.queue(encode(row)):
                await stream.drain()
    finally:
        await rows.aclose()
