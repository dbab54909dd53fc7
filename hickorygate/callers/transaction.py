"""An open transaction: one connection to the primary until it ends.

The connection is taken when the first statement needs it. Whatever leaves
the transaction in doubt closes the connection, so the database rolls back.
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
    """One session's transaction in one group."""

    __slots__ = (
        "_begin",
        "_begun",
        "_borrowed",
        "_group",
        "_pin",
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
        pin: pins.Pin | None,
    ) -> None:
        """Remembers how it begins; asks no database yet.

        Args:
          group: where it runs.
          session: whose it is.
          writer: makes its writes durable.
          begin: the statement that begins it.
          pin: a connection that the session keeps anyway, if it has one.
        """
        self._group = group
        self._session = session
        self._writer = writer
        self._begin = begin
        self._pin = pin
        self._borrowed = pin is not None
        self._begun = False
        self._wrote = False

    @property
    def group(self) -> links.GroupLink:
        """The group that it runs in."""
        return self._group

    @property
    def lost(self) -> bool:
        """Whether its connection ended, so that it was rolled back."""
        return self._pin is not None and self._pin.lost

    def __repr__(self) -> str:
        return f"Transaction({self._pin!r})"

    async def run(self, work: works.Work) -> handlers.AnswerResult:
        """Runs one of its statements."""
        if self._pin is None:
            taken = await self._take(work)
            if taken.is_error():
                return expression.Error(taken.error)
        if not self._begun:
            begun = await self._execute(self._begin)
            if begun.is_error():
                return begun
            self._begun = True
        if not isinstance(work.statement, statements.Read):
            self._wrote = True
        return await self._execute(work.statement.sql)

    async def commit(self) -> handlers.AnswerResult:
        """Keeps it; the answer waits until its writes are durable."""
        if not self._begun or self._pin is None:
            self._end()
            return expression.Ok(answers.NOTHING)
        primary = self._pin.primary
        result = await self._execute("COMMIT")
        if result.is_error():
            self._pin.drop()
        self._end()
        if result.is_error() or not self._wrote:
            return result
        return await self._writer.durable(primary, result)

    async def roll_back(self) -> handlers.AnswerResult:
        """Drops it."""
        if self._begun and self._pin is not None and not self._pin.lost:
            result = await self._execute("ROLLBACK")
            if result.is_error():
                self._pin.drop()
        self._end()
        return expression.Ok(answers.NOTHING)

    def drop(self) -> None:
        """Ends it at once by closing its connection."""
        if self._pin is not None:
            self._pin.drop()

    async def _take(self, work: works.Work) -> pins.PinResult:
        primary = await self._writer.primary_for_reads(work)
        if primary.is_error():
            return expression.Error(primary.error)
        taken = await pins.take(
            self._group, primary.ok, self._session, work.request
        )
        if taken.is_ok():
            self._pin = taken.ok
        return taken

    async def _execute(self, sql: str) -> handlers.AnswerResult:
        assert self._pin is not None, "the transaction has no connection"
        result = await self._pin.run(self._session, sql)
        if result.is_error():
            self._writer.note_refusal(self._pin.primary, result.error)
        return result

    def _end(self) -> None:
        if self._pin is not None and not self._borrowed:
            self._pin.release()
