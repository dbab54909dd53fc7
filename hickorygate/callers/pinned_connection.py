"""A connection to the primary that one session holds across statements."""

from __future__ import annotations

import expression

from hickorygate.callers import connection_lease
from hickorygate.callers import handler
from hickorygate.callers import session as sessions
from hickorygate.callers import statement_execution
from hickorygate.core import errors
from hickorygate.core import position
from hickorygate.core import request_context
from hickorygate.upstreams import connection as connections
from hickorygate.upstreams import group_link

__all__ = ["PinnedConnection", "PinResult", "acquire"]


class PinnedConnection:
    """A leased connection to the primary, held by one session."""

    __slots__ = ("_connection", "_link", "_primary", "_released")

    def __init__(
        self,
        primary: position.DatabaseStatus,
        link: group_link.DatabaseLink,
        connection: connections.Connection,
    ) -> None:
        self._primary = primary
        self._link = link
        self._connection = connection
        self._released = False

    @property
    def primary(self) -> position.DatabaseStatus:
        """The status of the primary when the connection was leased."""
        return self._primary

    @property
    def lost(self) -> bool:
        """Whether the connection has closed, so that its state is lost."""
        return self._connection.closed

    def __repr__(self) -> str:
        return f"PinnedConnection({self._connection!r})"

    async def run(
        self, session: sessions.Session, sql: str
    ) -> handler.AnswerResult:
        """Runs a statement with the session's schema and variables.

        An exception, such as a cancellation, closes the connection.
        """
        try:
            prepared = await connection_lease.apply_session_state(
                self._connection, session
            )
            if prepared.is_error():
                return expression.Error(prepared.error)
            return await self._connection.execute(
                sql, statement_execution.STATEMENT_TIMEOUT
            )
        except BaseException:
            self.discard()
            raise

    def release(self) -> None:
        """Returns the connection to its pool; further calls have no effect."""
        if not self._released:
            self._released = True
            self._link.pool.release(self._connection)

    def discard(self) -> None:
        """Closes the connection, so that the database discards its state."""
        self._connection.close()
        self.release()


PinResult = expression.Result[PinnedConnection, errors.Failure]


async def acquire(
    group: group_link.GroupLink,
    primary: position.DatabaseStatus,
    session: sessions.Session,
    request: request_context.RequestContext,
) -> PinResult:
    """Leases a connection to the primary for a session.

    Args:
      group: link to the group.
      primary: current status of the primary.
      session: session that holds the connection.
      request: terms of the statement that needs the connection.
    """
    link = group.database_link(primary.database)
    leased = await connection_lease.acquire(link, session, request)
    return leased.map(
        lambda connection: PinnedConnection(primary, link, connection)
    )
