"""Rows that are still arriving on a leased database connection."""

from __future__ import annotations

from collections.abc import AsyncIterator

from hickorygate.core import types
from hickorygate.upstreams import connection as connections
from hickorygate.upstreams import slot_pool

__all__ = ["LeasedRows"]


class LeasedRows:
    """Iterates over arriving rows and then releases their connection.

    If the rows are not read to the end, the connection is closed before it is
    released, because the rest of the answer is still to be received on it.

    Args:
      rows: rows that arrive on the connection.
      pool: pool that the connection is released to.
      connection: leased connection.
    """

    __slots__ = ("_connection", "_pool", "_released", "_rows")

    def __init__(
        self,
        rows: AsyncIterator[types.Row],
        pool: slot_pool.SlotPool,
        connection: connections.Connection,
    ) -> None:
        self._rows = rows
        self._pool = pool
        self._connection = connection
        self._released = False

    def __repr__(self) -> str:
        return f"LeasedRows({self._connection!r})"

    def __aiter__(self) -> LeasedRows:
        return self

    async def __anext__(self) -> types.Row:
        try:
            return await anext(self._rows)
        except StopAsyncIteration:
            self._release()
            raise
        except BaseException:
            self._discard()
            raise

    def __del__(self) -> None:
        self._discard()

    async def aclose(self) -> None:
        """Discards the remaining rows and closes the connection."""
        self._discard()

    def _discard(self) -> None:
        if not self._released:
            self._connection.close()
            self._release()

    def _release(self) -> None:
        if not self._released:
            self._released = True
            self._pool.release(self._connection)
