"""An open transaction, which uses one connection to the primary.

The connection is acquired when the first statement needs it. If the state of
the transaction becomes uncertain, the connection is closed, so that the
database rolls the transaction back.
"""

from __future__ import annotations

import expression

from hickorygate.callers import handler
from hickorygate.callers import pinned_connection
from hickorygate.callers import session as sessions
from hickorygate.callers import statement_execution
from hickorygate.callers import writing
from hickorygate.core import statement
from hickorygate.upstreams import answer
from hickorygate.upstreams import group_link

__all__ = ["Transaction"]


class Transaction:
    """An open transaction of one session in one group."""

    __slots__ = (
        "_begin_sql",
        "_has_begun",
        "_session_owns_connection",
        "_group",
        "_pinned",
        "_session",
        "_writer",
        "_has_writes",
    )

    def __init__(
        self,
        group: group_link.GroupLink,
        session: sessions.Session,
        writer: writing.Writer,
        begin_sql: str,
        pinned: pinned_connection.PinnedConnection | None,
    ) -> None:
        """Creates the transaction without contacting a database.

        Args:
          group: link to the group in which the transaction runs.
          session: session that owns the transaction.
          writer: writer that finds the primary and waits until the writes of
            the transaction are durable.
          begin_sql: statement that begins the transaction.
          pinned: pinned connection of the session, which the transaction uses
            but does not release; None if the session has none.
        """
        self._group = group
        self._session = session
        self._writer = writer
        self._begin_sql = begin_sql
        self._pinned = pinned
        self._session_owns_connection = pinned is not None
        self._has_begun = False
        self._has_writes = False

    @property
    def group(self) -> group_link.GroupLink:
        """The link to the group in which the transaction runs."""
        return self._group

    @property
    def lost(self) -> bool:
        """Whether its connection closed, so that the database rolled back."""
        return self._pinned is not None and self._pinned.lost

    def __repr__(self) -> str:
        return f"Transaction({self._pinned!r})"

    async def run(
        self, work: statement_execution.StatementExecution
    ) -> handler.AnswerResult:
        """Executes a statement in the transaction.

        The first statement acquires a connection and begins the transaction
        on the database.
        """
        if self._pinned is None:
            acquired = await self._acquire_pin(work)
            if acquired.is_error():
                return expression.Error(acquired.error)
        if not self._has_begun:
            begun = await self._execute(self._begin_sql)
            if begun.is_error():
                return begun
            self._has_begun = True
        if not isinstance(work.statement, statement.Read):
            self._has_writes = True
        return await self._execute(work.statement.sql)

    async def commit(self) -> handler.AnswerResult:
        """Commits the transaction and waits until its writes are durable.

        A failed COMMIT closes the connection.
        """
        if not self._has_begun or self._pinned is None:
            self._release_pin()
            return expression.Ok(answer.EMPTY_ANSWER)
        primary = self._pinned.primary
        result = await self._execute("COMMIT")
        if result.is_error():
            self._pinned.discard()
        self._release_pin()
        if result.is_error() or not self._has_writes:
            return result
        return await self._writer.wait_until_durable(primary, result)

    async def roll_back(self) -> handler.AnswerResult:
        """Rolls back the transaction.

        A failed ROLLBACK closes the connection, which has the same effect.
        """
        if (
            self._has_begun
            and self._pinned is not None
            and not self._pinned.lost
        ):
            result = await self._execute("ROLLBACK")
            if result.is_error():
                self._pinned.discard()
        self._release_pin()
        return expression.Ok(answer.EMPTY_ANSWER)

    def abort(self) -> None:
        """Aborts the transaction at once by closing its connection."""
        if self._pinned is not None:
            self._pinned.discard()

    async def _acquire_pin(
        self, work: statement_execution.StatementExecution
    ) -> pinned_connection.PinResult:
        primary = await self._writer.primary_for_reads(work)
        if primary.is_error():
            return expression.Error(primary.error)
        acquired = await pinned_connection.acquire(
            self._group, primary.ok, self._session, work.request
        )
        if acquired.is_ok():
            self._pinned = acquired.ok
        return acquired

    async def _execute(self, sql: str) -> handler.AnswerResult:
        assert self._pinned is not None, "the transaction has no connection"
        result = await self._pinned.run(self._session, sql)
        if result.is_error():
            self._writer.probe_after_refusal(self._pinned.primary, result.error)
        return result

    def _release_pin(self) -> None:
        """Releases the connection unless the session keeps it pinned."""
        if self._pinned is not None and not self._session_owns_connection:
            self._pinned.release()
