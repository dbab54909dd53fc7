"""An open transaction: one connection to the primary until it ends.

The connection is taken when the first statement needs it. Whatever leaves
the transaction in doubt closes the connection, so the database rolls back.
"""

from __future__ import annotations

import expression

from hickorygate.callers import handler as handlers
from hickorygate.callers import lease
from hickorygate.callers import session as sessions
from hickorygate.callers import work as works
from hickorygate.callers import writing
from hickorygate.core import position as positions
from hickorygate.core import statement as statements
from hickorygate.upstreams import answer as answers
from hickorygate.upstreams import connection as connections
from hickorygate.upstreams import link as links

__all__ = ["Transaction"]

_NOTHING = answers.Done(warnings=0, affected_rows=0, last_insert_id=0)


class Transaction:
    """One session's transaction in one group."""

    __slots__ = (
        "_begin",
        "_connection",
        "_group",
        "_link",
        "_primary",
        "_session",
        "_writer",
        "_wrote",
    )

    def __init__(
        self,
        group: links.GroupLink,
        session: sessions.Session,
        writer: writing.Writer,
        begin: str,
    ) -> None:
        """Remembers the statement that begins it; asks no database yet."""
        self._group = group
        self._session = session
        self._writer = writer
        self._begin = begin
        self._wrote = False
        self._primary: positions.DatabaseStatus | None = None
        self._link: links.DatabaseLink | None = None
        self._connection: connections.Connection | None = None

    @property
    def group(self) -> links.GroupLink:
        """The group that it runs in."""
        return self._group

    @property
    def lost(self) -> bool:
        """Whether its connection ended, so that it was rolled back."""
        return self._connection is not None and self._connection.closed

    def __repr__(self) -> str:
        return f"Transaction({self._connection!r})"

    async def run(self, work: works.Work) -> handlers.AnswerResult:
        """Runs one of its statements."""
        if self._connection is None:
            begun = await self._open(work)
            if begun.is_error():
                return begun
        assert self._connection is not None, "opened above"
        prepared = await lease.prepare(self._connection, self._session)
        if prepared.is_error():
            return expression.Error(prepared.error)
        if not isinstance(work.statement, statements.Read):
            self._wrote = True
        return await self._execute(work.statement.sql)

    async def commit(self) -> handlers.AnswerResult:
        """Keeps it; the answer waits until its writes are durable."""
        if self._connection is None:
            return expression.Ok(_NOTHING)
        result = await self._execute("COMMIT")
        if result.is_error():
            self._connection.close()
        self._release()
        if result.is_error() or not self._wrote or self._primary is None:
            return result
        return await self._writer.durable(self._primary, result)

    async def roll_back(self) -> handlers.AnswerResult:
        """Drops it."""
        if self._connection is None or self._connection.closed:
            self._release()
            return expression.Ok(_NOTHING)
        result = await self._execute("ROLLBACK")
        if result.is_error():
            self._connection.close()
        self._release()
        return expression.Ok(_NOTHING)

    def drop(self) -> None:
        """Ends it at once by closing its connection."""
        if self._connection is not None:
            self._connection.close()
        self._release()

    async def _open(self, work: works.Work) -> handlers.AnswerResult:
        primary = await self._writer.primary(work)
        if primary.is_error():
            return expression.Error(primary.error)
        link = self._group.link(primary.ok.database)
        leased = await lease.acquire(link, self._session, work.request)
        if leased.is_error():
            return expression.Error(leased.error)
        self._primary = primary.ok
        self._link = link
        self._connection = leased.ok
        return await self._execute(self._begin)

    async def _execute(self, sql: str) -> handlers.AnswerResult:
        assert self._connection is not None, "the transaction has not begun"
        try:
            return await self._connection.execute(sql, works.STATEMENT_TIMEOUT)
        except BaseException:
            self.drop()
            raise

    def _release(self) -> None:
        if self._link is not None and self._connection is not None:
            self._link.pool.release(self._connection)
        self._link = None
        self._connection = None
