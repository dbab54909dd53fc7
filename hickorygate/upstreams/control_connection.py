"""A control connection, opened on demand, that runs one call at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import datetime

import expression

from hickorygate.core import errors
from hickorygate.core import settings as settings_lib
from hickorygate.core import sheet
from hickorygate.upstreams import connection as connections
from hickorygate.upstreams import group_procedures

__all__ = ["ControlConnection"]

_Procedure = Callable[
    [connections.Connection], Awaitable[group_procedures.StatusResult]
]


class ControlConnection:
    """Calls the group's stored procedures over one connection."""

    __slots__ = ("_connection", "_database", "_lock", "_settings")

    def __init__(
        self,
        database: sheet.Database,
        settings: settings_lib.UpstreamSettings,
    ) -> None:
        self._database = database
        self._settings = settings
        self._connection: connections.Connection | None = None
        self._lock = asyncio.Lock()

    @property
    def database(self) -> sheet.Database:
        """The database that the connection leads to."""
        return self._database

    def __repr__(self) -> str:
        return f"ControlConnection({self._database.name!r})"

    async def call(
        self, procedure: _Procedure, timeout: datetime.timedelta
    ) -> group_procedures.StatusResult:
        """Runs one procedure; a timeout closes the connection.

        Args:
          procedure: function that runs the procedure on a connection and
            returns its result.
          timeout: time limit for opening the connection, if none is open.

        Returns:
          The status that the procedure returned, or a failure.
        """
        async with self._lock:
            opened = await self._open(timeout)
            match opened:
                case expression.Result(tag="ok", ok=connection):
                    return await procedure(connection)
            return expression.Error(opened.error)

    def close(self) -> None:
        """Closes the connection; the next call opens a new one."""
        if self._connection is not None:
            self._connection.close()

    async def _open(
        self, timeout: datetime.timedelta
    ) -> expression.Result[connections.Connection, errors.Failure]:
        if self._connection is not None and not self._connection.closed:
            return expression.Ok(self._connection)
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                result = await connections.open_connection(
                    self._database, self._settings
                )
        except TimeoutError:
            name = self._database.name
            return expression.Error(errors.ConnectFailed(name, "timed out"))
        if result.is_ok():
            self._connection = result.ok
        return result
