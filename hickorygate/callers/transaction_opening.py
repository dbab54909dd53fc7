"""Opens a transaction at a database before its first statement."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import expression

from hickorygate.callers import caller_session_state
from hickorygate.callers import retry_delay
from hickorygate.callers import statement_io
from hickorygate.callers import statement_target
from hickorygate.core import errors
from hickorygate.core import operation as operations
from hickorygate.core import reply as replies
from hickorygate.core import request_context
from hickorygate.upstreams import borrow_queue
from hickorygate.upstreams import database_request
from hickorygate.upstreams import group_monitor
from hickorygate.upstreams import member
from hickorygate.upstreams import pooled_connection as pooled_connections
from hickorygate.upstreams import silence_watch

if TYPE_CHECKING:
    from hickorygate.callers import caller_session

__all__ = ["TransactionOpening"]

_IN_TRANSACTION = replies.TransactionState.IN_TRANSACTION


class TransactionOpening:
    """Finds a database for a transaction, borrows a connection and begins."""

    def __init__(
        self,
        session: caller_session.CallerSession,
        transaction: caller_session_state.OpenTransaction,
        group: group_monitor.GroupMonitor,
        call: caller_session_state.CallerRequest,
        terms: request_context.RequestContext,
    ) -> None:
        self._session = session
        self._env = session.env
        self._transaction = transaction
        self._group = group
        self._call = call
        self._terms = terms
        self._counted = False

    def __repr__(self) -> str:
        return f"TransactionOpening({self._transaction!r})"

    async def open(
        self, prepared: operations.PreparedStatement | None
    ) -> errors.Failure | None:
        """Opens the transaction; retries after a failure.

        A read-only transaction is retried at another database if one is
        usable, any other transaction at the primary. The transaction counts as
        one operation of its workspace.
        """
        refused = self._env.admit(self._call.workspace, self._session.now())
        if refused is not None:
            return refused
        excluded: set[member.MemberId] = set()
        number = 1
        while True:
            placed = await self._find_place(excluded)
            if placed.is_error():
                return placed.error
            failure = await self._begin_unless_silent(placed.ok, prepared)
            if failure is None:
                return None
            self._group.schedule_round()
            delay = retry_delay.next_delay(
                self._env, self._terms, failure, number, True
            )
            if delay is None:
                return failure
            excluded.add(self._call.served_by)
            await self._env.clock.sleep(delay)
            number += 1

    async def _begin_unless_silent(
        self,
        place: statement_target.StatementTarget,
        prepared: operations.PreparedStatement | None,
    ) -> errors.Failure | None:
        """Opens the transaction; gives up if another database may serve it."""
        if place.leader is not None:
            return await self._begin_at(place, prepared)
        name = place.pool.member.id
        try:
            async with silence_watch.SilenceWatch(self._group, name):
                return await self._begin_at(place, prepared)
        except TimeoutError:
            return errors.ConnectFailed(name, "it doesn't answer any more")

    async def _begin_at(
        self,
        place: statement_target.StatementTarget,
        prepared: operations.PreparedStatement | None,
    ) -> errors.Failure | None:
        self._call.served_by = place.pool.member.id
        self._call.tries += 1
        borrowed = await statement_io.borrow(
            self._env,
            place.pool,
            self._terms,
            self._session.state,
            prepared,
            borrow_queue.BorrowPurpose.LONG,
        )
        if borrowed.is_error():
            return borrowed.error
        pooled_connection = borrowed.ok
        if not self._counted:
            self._counted = True
            wait = self._env.time_to_run(self._terms)
            if wait or wait is None:
                pooled_connection.give_back()
            if wait is None:
                return self._env.refusal(self._terms)
            if wait:
                await self._env.clock.sleep(wait)
                return await self._begin_at(place, prepared)
        try:
            failure = await self._send_begin(pooled_connection, place)
        except BaseException:
            pooled_connection.give_back()
            raise
        if failure is not None:
            pooled_connection.give_back()
            return failure
        self._transaction.pooled_connection = pooled_connection
        self._transaction.leader = place.leader
        return None

    async def _find_place(
        self, excluded: set[member.MemberId]
    ) -> statement_target.StatementTargetResult:
        if self._transaction.read_only:
            return await statement_target.find_read_target(
                self._session,
                self._group,
                self._transaction.route,
                self._call,
                excluded,
            )
        return await self._find_primary()

    async def _find_primary(self) -> statement_target.StatementTargetResult:
        """Finds the primary and the log position that its reads must see."""
        fresh = await statement_target.freshness_floor(
            self._transaction.route.consistency,
            self._group,
            self._call,
            self._terms,
        )
        if fresh.is_error():
            return expression.Error(fresh.error)
        position = fresh.ok.position if fresh.ok else None
        return await statement_target.find_primary_target(
            self._group, self._terms, position
        )

    async def _send_begin(
        self,
        pooled_connection: pooled_connections.PooledConnection,
        place: statement_target.StatementTarget,
    ) -> errors.Failure | None:
        request = database_request.Begin(
            self._transaction.read_only, place.floor
        )
        limit = statement_io.prompt_limit(self._terms, self._session.now())
        name = pooled_connection.pool.member.id
        try:
            async with asyncio.timeout(limit):
                result = await pooled_connection.run(request)
        except TimeoutError:
            return errors.AnswerLost(name, "no answer to BEGIN")
        if result.is_error():
            return result.error
        self._group.record_reply(name, result.ok.position)
        if result.ok.result.is_error():
            return result.ok.result.error
        if result.ok.state is not _IN_TRANSACTION:
            pooled_connection.connection.close()
            return errors.AnswerLost(name, "no transaction was opened")
        return None
