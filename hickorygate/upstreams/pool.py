"""A pool of connections to one database."""

from __future__ import annotations

import asyncio

import expression

from hickorygate.core import clock as clocks
from hickorygate.core import errors
from hickorygate.core import request as requests
from hickorygate.core import settings as settings_lib
from hickorygate.core import sheet as sheets
from hickorygate.upstreams import connection as connections

__all__ = ["Pool"]

LeaseResult = expression.Result[connections.Connection, errors.Failure]


class Pool:
    """Lends connections; each lease has a connection of its own."""

    __slots__ = ("_clock", "_database", "_free", "_idle", "_settings")

    def __init__(
        self,
        database: sheets.Database,
        size: int,
        settings: settings_lib.UpstreamSettings,
        clock: clocks.Clock,
    ) -> None:
        self._clock = clock
        self._database = database
        self._settings = settings
        self._free = asyncio.Semaphore(size)
        self._idle: list[connections.Connection] = []

    @property
    def database(self) -> sheets.Database:
        """The database at the other end."""
        return self._database

    def __repr__(self) -> str:
        return f"Pool({self._database.name!r}, idle={len(self._idle)})"

    async def acquire(self, request: requests.Request) -> LeaseResult:
        """Waits for a connection, until the request's deadline."""
        timeout = request.time_left(self._clock.now())
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                await self._free.acquire()
        except TimeoutError:
            return expression.Error(errors.PoolExhausted(self._database.name))
        while self._idle:
            connection = self._idle.pop()
            if not connection.closed:
                return expression.Ok(connection)
        result = await connections.open_connection(
            self._database, self._settings
        )
        if result.is_error():
            self._free.release()
        return result

    def release(self, connection: connections.Connection) -> None:
        """Takes a connection back; a closed one is dropped."""
        if not connection.closed:
            self._idle.append(connection)
        self._free.release()

    def close(self) -> None:
        """Closes what is idle."""
        while self._idle:
            self._idle.pop().close()
