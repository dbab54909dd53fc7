"""Executes writes outside transactions.

A write runs on the primary and is answered once it is durable.
"""

from __future__ import annotations

import expression

from hickorygate.callers import connection_lease
from hickorygate.callers import environment
from hickorygate.callers import freshness
from hickorygate.callers import handler
from hickorygate.callers import idempotency
from hickorygate.callers import retry_loop
from hickorygate.callers import session as sessions
from hickorygate.callers import statement_execution
from hickorygate.core import errors
from hickorygate.core import position as positions
from hickorygate.upstreams import connection as connections
from hickorygate.upstreams import group_link

__all__ = ["Writer"]


class Writer:
    """Executes writes of one session in one group."""

    __slots__ = ("_env", "_group", "_session")

    def __init__(
        self,
        env: environment.Environment,
        group: group_link.GroupLink,
        session: sessions.Session,
    ) -> None:
        self._env = env
        self._group = group
        self._session = session

    def __repr__(self) -> str:
        return f"Writer({self._group!r})"

    async def run(
        self, work: statement_execution.StatementExecution
    ) -> handler.AnswerResult:
        """Executes a write; retries it only if it cannot take effect twice."""
        checked = idempotency.check(work, in_transaction=False)
        if checked.is_error():
            return expression.Error(checked.error)
        has_key = work.request.idempotency_key is not None
        return await retry_loop.run(
            self._env, work, has_key, lambda: self._attempt_write(work)
        )

    async def wait_until_durable(
        self, status: positions.DatabaseStatus, result: handler.AnswerResult
    ) -> handler.AnswerResult:
        """Returns an answer once a majority of the group holds the write.

        Raises the session's floor to the position of the write.

        Args:
          status: status of the primary that ran the write, as of when the
            primary was chosen.
          result: answer of the primary.
        """
        position = await self._group.wait_until_durable(
            status.database, status.term
        )
        if position.is_error():
            return expression.Error(position.error)
        self._session.raise_floor(self._group.view.group.name, position.ok)
        return result

    async def primary(
        self, work: statement_execution.StatementExecution
    ) -> expression.Result[positions.DatabaseStatus, errors.Failure]:
        """Returns a writable primary; waits for one until the deadline."""
        time_left = work.request.time_left(self._env.clock.now())
        return await self._group.wait_writable(time_left)

    async def primary_for_reads(
        self, work: statement_execution.StatementExecution
    ) -> expression.Result[positions.DatabaseStatus, errors.Failure]:
        """Returns a writable primary that may serve the session's reads.

        Waits once for a new round of probes if the current view of the group
        does not allow that.
        """
        plan = freshness.plan_primary_read(self._group.view, self._session)
        if not isinstance(plan, freshness.FromPrimary):
            time_left = work.request.time_left(self._env.clock.now())
            await self._group.wait_next_round(time_left)
            plan = freshness.plan_primary_read(self._group.view, self._session)
        if not isinstance(plan, freshness.FromPrimary):
            name = self._group.view.group.name
            return expression.Error(errors.NoPrimary(name))
        return await self.primary(work)

    async def _attempt_write(
        self, work: statement_execution.StatementExecution
    ) -> handler.AnswerResult:
        """Makes one attempt."""
        primary = await self.primary(work)
        if primary.is_error():
            return expression.Error(primary.error)
        link = self._group.database_link(primary.ok.database)
        if work.request.idempotency_key is None:
            result = await connection_lease.run_once(link, self._session, work)
        else:
            result = await self._run_with_key(link, work)
        if result.is_error():
            self.probe_after_refusal(primary.ok, result.error)
            return result
        return await self.wait_until_durable(primary.ok, result)

    def probe_after_refusal(
        self, primary: positions.DatabaseStatus, failure: errors.Failure
    ) -> None:
        """Probes a primary at once if it refused a statement as read-only.

        Such a primary may have been replaced, so its known status is dropped.

        Args:
          primary: status of the primary that ran the statement.
          failure: failure of the statement.
        """
        match failure:
            case errors.UpstreamError(refused=True):
                self._group.invalidate(primary.database)

    async def _run_with_key(
        self,
        link: group_link.DatabaseLink,
        work: statement_execution.StatementExecution,
    ) -> handler.AnswerResult:
        key = idempotency.make_key(
            self._session.user,
            work.request.idempotency_key or "",
            work.statement.sql,
        )
        leased = await connection_lease.acquire(
            link, self._session, work.request
        )
        if leased.is_error():
            return expression.Error(leased.error)
        try:
            result = await idempotency.run(leased.ok, work.statement.sql, key)
            if result.is_ok():
                await self._maybe_purge_keys(leased.ok)
            return result
        finally:
            link.pool.release(leased.ok)

    async def _maybe_purge_keys(
        self, connection: connections.Connection
    ) -> None:
        """Purges expired keys after a random share of the keyed writes.

        A failure is ignored; a later purge deletes the keys.
        """
        if self._env.rng.random() < idempotency.PURGE_PROBABILITY:
            await idempotency.purge(connection, self._env.clock.now())
