"""An open transaction, which uses one connection to the primary.

The connection is acquired when the first statement needs it. If the state of
the transaction becomes uncertain, the connection is closed, so that the
database rolls the transaction back.
"""

from __future__ import annotations

import expression

from hickorygate.callers import handler as handlers
from hickorygate.callers import pin as pins
from hickorygate.callers import session as sessions
from hickorygate.callers import work as works
from hickorygate.callers import writing
from hickorygate.core import statement as statements
from hickorygate.upstreams import answer as answers
from hickorygate.upstreams import link as links

__all__ = ["Transaction"]


class Transaction:
    """An open transaction of one session in one group."""

    __slots__ = (
        "_begin_sql",
        "_has_begun",
        "_session_owns_pin",
        "_group",
        "_pin",
        "_session",
        "_writer",
        "_has_writes",
    )

    def __init__(
        self,
        group: links.GroupLink,
        session: sessions.Session,
        writer: writing.Writer,
        begin_sql: str,
        pin: pins.Pin | None,
    ) -> None:
        """Creates the transaction without contacting a database.

        Args:
          group: link to the group in which the transaction runs.
          session: session that owns the transaction.
          writer: writer that finds the primary and waits until the writes of
            the transaction are durable.
          begin_sql: statement that begins the transaction.
          pin: pinned connection of the session, which the transaction uses
            but does not release; None if the session has none.
        """
        self._group = group
        self._session = session
        self._writer = writer
        self._begin_sql = begin_sql
        self._pin = pin
        self._session_owns_pin = pin is not None
        self._has_begun = False
        self._has_writes = False

    @property
    def group(self) -> links.GroupLink:
        """The link to the group in which the transaction runs."""
        return self._group

    @property
    def lost(self) -> bool:
        """Whether its connection closed, so that the database rolled back."""
        return self._pin is not None and self._pin.lost

    def __repr__(self) -> str:
        return f"Transaction({self._pin!r})"

    async def run(self, work: works.Work) -> handlers.AnswerResult:
        """Executes a statement in the transaction.

        The first statement acquires a connection and begins the transaction
        on the database.
        """
        if self._pin is None:
            acquired = await self._acquire_pin(work)
            if acquired.is_error():
                return expression.Error(acquired.error)
        if not self._has_begun:
            begun = await self._execute(self._begin_sql)
            if begun.is_error():
                return begun
            self._has_begun = True
        if not isinstance(work.statement, statements.Read):
            self._has_writes = True
        return await self._execute(work.statement.sql)

    async def commit(self) -> handlers.AnswerResult:
        """Commits the transaction and waits until its writes are durable.

        A failed COMMIT closes the connection.
        """
        if not self._has_begun or self._pin is None:
            self._release_pin()
            return expression.Ok(answers.NOTHING)
        primary = self._pin.primary
        result = await self._execute("COMMIT")
        if result.is_error():
            self._pin.drop()
        self._release_pin()
        if result.is_error() or not self._has_writes:
            return result
        return await self._writer.durable(primary, result)

    async def roll_back(self) -> handlers.AnswerResult:
        """Rolls back the transaction.

        A failed ROLLBACK closes the connection, which has the same effect.
        """
        if self._has_begun and self._pin is not None and not self._pin.lost:
            result = await self._execute("ROLLBACK")
            if result.is_error():
                self._pin.drop()
        self._release_pin()
        return expression.Ok(answers.NOTHING)

    def drop(self) -> None:
        """Aborts the transaction at once by closing its connection."""
        if self._pin is not None:
            self._pin.drop()

    async def _acquire_pin(self, work: works.Work) -> pins.PinResult:
        primary = await self._writer.primary_for_reads(work)
        if primary.is_error():
            return expression.Error(primary.error)
        acquired = await pins.take(
            self._group, primary.ok, self._session, work.request
        )
        if acquired.is_ok():
            self._pin = acquired.ok
        return acquired

    async def _execute(self, sql: str) -> handlers.AnswerResult:
        assert self._pin is not None, "the transaction has no connection"
        result = await self._pin.run(self._session, sql)
        if result.is_error():
            self._writer.note_refusal(self._pin.primary, result.error)
        return result

    def _release_pin(self) -> None:
        """Releases the connection unless the session keeps it pinned."""
        if self._pin is not None and not self._session_owns_pin:
            self._pin.release()
