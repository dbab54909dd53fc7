"""Rows that are still arriving, and the connection that they arrive on."""

from __future__ import annotations

from collections.abc import AsyncIterator

from hickorygate.core import types
from hickorygate.upstreams import connection as connections
from hickorygate.upstreams import pool as pools

__all__ = ["LeasedRows"]


class LeasedRows:
    """Passes rows on, and gives their connection back at the end.

    Rows that nobody reads to the end, or at all, close their connection: it
    is in the middle of an answer.
    """

    __slots__ = ("_connection", "_pool", "_released", "_rows")

    def __init__(
        self,
        rows: AsyncIterator[types.Row],
        pool: pools.Pool,
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
            self._give_up()
            raise

    def __del__(self) -> None:
        self._give_up()

    async def aclose(self) -> None:
        """Gives the rest of the rows up."""
        self._give_up()

    def _give_up(self) -> None:
        if not self._released:
            self._connection.close()
            self._release()

    def _release(self) -> None:
        if not self._released:
            self._released = True
            self._pool.release(self._connection)
