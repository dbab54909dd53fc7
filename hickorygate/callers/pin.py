"""A connection to the primary that one session keeps for a while."""

from __future__ import annotations

import expression

from hickorygate.callers import handler as handlers
from hickorygate.callers import lease
from hickorygate.callers import session as sessions
from hickorygate.callers import work as works
from hickorygate.core import errors
from hickorygate.core import position as positions
from hickorygate.core import request as requests
from hickorygate.upstreams import connection as connections
from hickorygate.upstreams import link as links

__all__ = ["Pin", "PinResult", "take"]


class Pin:
    """A leased connection and the primary that it leads to."""

    __slots__ = ("_connection", "_link", "_primary", "_released")

    def __init__(
        self,
        primary: positions.DatabaseStatus,
        link: links.DatabaseLink,
        connection: connections.Connection,
    ) -> None:
        self._primary = primary
        self._link = link
        self._connection = connection
        self._released = False

    @property
    def primary(self) -> positions.DatabaseStatus:
        """The primary, as it was when the connection was taken."""
        return self._primary

    @property
    def lost(self) -> bool:
        """Whether the connection ended, and its state with it."""
        return self._connection.closed

    def __repr__(self) -> str:
        return f"Pin({self._connection!r})"

    async def run(
        self, session: sessions.Session, sql: str
    ) -> handlers.AnswerResult:
        """Runs a statement with the session's schema and variables."""
        try:
            prepared = await lease.prepare(self._connection, session)
            if prepared.is_error():
                return expression.Error(prepared.error)
            return await self._connection.execute(sql, works.STATEMENT_TIMEOUT)
        except BaseException:
            self.drop()
            raise

    def release(self) -> None:
        """Gives the connection back to its pool; may be repeated."""
        if not self._released:
            self._released = True
            self._link.pool.release(self._connection)

    def drop(self) -> None:
        """Closes the connection, so that nothing of it is left behind."""
        self._connection.close()
        self.release()


PinResult = expression.Result[Pin, errors.Failure]


async def take(
    group: links.GroupLink,
    primary: positions.DatabaseStatus,
    session: sessions.Session,
    request: requests.Request,
) -> PinResult:
    """Leases a connection to the primary for a session."""
    link = group.link(primary.database)
    leased = await lease.acquire(link, session, request)
    return leased.map(lambda connection: Pin(primary, link, connection))
