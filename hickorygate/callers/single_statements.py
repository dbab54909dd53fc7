"""Runs statements outside transactions.

`statement_target` chooses the database; a failed statement is retried where
that is safe.
"""

from __future__ import annotations

import asyncio
import dataclasses
import datetime
import functools
from typing import TYPE_CHECKING

import expression

from hickorygate.callers import caller_session_state
from hickorygate.callers import retry_delay
from hickorygate.callers import statement_io
from hickorygate.callers import statement_target
from hickorygate.core import catalog
from hickorygate.core import errors
from hickorygate.core import operation as operations
from hickorygate.core import platform_events
from hickorygate.core import reply as replies
from hickorygate.upstreams import database_request
from hickorygate.upstreams import group_monitor
from hickorygate.upstreams import group_state
from hickorygate.upstreams import member
from hickorygate.upstreams import permits
from hickorygate.upstreams import pooled_connection as pooled_connections
from hickorygate.upstreams import silence_watch

if TYPE_CHECKING:
    from hickorygate.callers import caller_session

__all__ = ["run"]

_IDLE = replies.TransactionState.IDLE


@dataclasses.dataclass(frozen=True, slots=True)
class _Exchange:
    """An exchange with a database about one statement.

    Attributes:
      reply: reply for the caller.
      answered: whether the database answered.
      confirming: checks that the database was still the primary; None if the
        reply needs no such check.
    """

    reply: replies.Reply
    answered: bool = False
    confirming: asyncio.Task[group_state.Leader | None] | None = None


class _StatementRunner:
    """Runs one statement and retries it where that is safe."""

    def __init__(
        self,
        session: caller_session.CallerSession,
        group: group_monitor.GroupMonitor,
        route: catalog.Route,
        call: caller_session_state.CallerRequest,
        statement: statement_io.Statement,
    ) -> None:
        self._session = session
        self._env = session.env
        self._group = group
        self._route = route
        self._call = call
        self._statement = statement
        self._terms = statement_io.request_terms(call, route)
        self._excluded: set[member.MemberId] = set()
        self._has_place = False
        self._counted = False

    async def read(self) -> replies.Reply:
        """Runs a read; retries at another database if one fails."""
        return await self._run_with_retries(True)

    async def write(self) -> replies.Reply:
        """Runs a write at the primary.

        A write is retried only if it is known that it did not run, so it runs
        at most once.
        """
        return await self._run_with_retries(False)

    async def _run_with_retries(self, reads: bool) -> replies.Reply:
        self._env.retries.deposit()
        number = 1
        while True:
            reply = await self._attempt(reads)
            if reply.result.is_ok():
                return reply
            failure = reply.result.error
            delay = retry_delay.next_delay(
                self._env, self._terms, failure, number, reads
            )
            if delay is None or not self._has_place:
                return self._final_reply(reply, reads)
            self._env.journal.record(
                platform_events.RequestRetried(
                    self._call.id,
                    self._call.served_by,
                    failure.message,
                    number,
                )
            )
            self._excluded.add(self._call.served_by)
            self._call.in_flight = False
            await self._env.clock.sleep(delay)
            number += 1

    def _final_reply(self, reply: replies.Reply, reads: bool) -> replies.Reply:
        """Returns the reply of the last attempt as the caller gets it.

        A read without an answer at its deadline is reported as timed out and
        not as in doubt, since a read changes nothing.
        """
        failure = reply.result.error
        deadline_passed = not self._terms.time_left(self._session.now())
        lost = failure.outcome is errors.Outcome.UNKNOWN
        if reads and deadline_passed and lost:
            return self._session.rejection(
                replies.RejectionReason.TIMED_OUT, failure.message
            )
        return reply

    async def _attempt(self, reads: bool) -> replies.Reply:
        placed = await self._find_place(reads)
        self._has_place = placed.is_ok()
        if placed.is_error():
            return self._session.reply(expression.Error(placed.error))
        place = placed.ok
        self._call.served_by = place.pool.member.id
        self._call.tries += 1
        if place.leader is not None:
            return await self._attempt_at(place, reads)
        try:
            async with silence_watch.SilenceWatch(
                self._group, self._call.served_by
            ):
                return await self._attempt_at(place, reads)
        except TimeoutError:
            failure = errors.AnswerLost(
                self._call.served_by, "it doesn't answer any more"
            )
            return self._session.reply(expression.Error(failure))

    async def _attempt_at(
        self, place: statement_target.StatementTarget, reads: bool
    ) -> replies.Reply:
        queue = place.pool.permits
        entered = await self._enter(queue)
        if entered.is_error():
            return self._session.reply(expression.Error(entered.error))
        started = self._session.now()
        service: datetime.timedelta | None = None
        try:
            exchange = await self._exchange(place, reads)
            if exchange.answered:
                service = self._session.now() - started
        finally:
            queue.release(entered.ok, service)
        if not reads:
            return await self._deliver_if_kept(place, exchange.reply)
        if exchange.confirming is None:
            return exchange.reply
        return await self._deliver_if_confirmed(
            place, exchange.reply, exchange.confirming
        )

    async def _enter(self, queue: permits.Permits) -> permits.PermitResult:
        """Waits for a permit; counts the operation when it is first sent."""
        entered = await queue.acquire(self._terms)
        if entered.is_error() or self._counted:
            return entered
        wait = self._env.time_to_run(self._terms)
        self._counted = True
        if not wait and wait is not None:
            return entered
        queue.release(entered.ok, None)
        if wait is None:
            return expression.Error(self._env.refusal(self._terms))
        await self._env.clock.sleep(wait)
        return await queue.acquire(self._terms)

    async def _exchange(
        self, place: statement_target.StatementTarget, reads: bool
    ) -> _Exchange:
        """Runs the statement, which has a permit, on a connection.

        The connection is borrowed after the permit was granted, so that
        statements in the queue occupy no connection.
        """
        borrowed = await statement_io.borrow(
            self._env,
            place.pool,
            self._terms,
            self._session.state,
            self._statement.prepared,
        )
        if borrowed.is_error():
            self._group.schedule_round()
            return _Exchange(
                self._session.reply(expression.Error(borrowed.error))
            )
        return await self._run_at(place, borrowed.ok, reads)

    async def _run_at(
        self,
        place: statement_target.StatementTarget,
        pooled_connection: pooled_connections.PooledConnection,
        reads: bool,
    ) -> _Exchange:
        request = self._statement.request(self._call.id, place.floor)
        if not reads:
            self._group.commit_sent()
        confirming = self._start_confirmation(place) if reads else None
        self._call.in_flight = True
        try:
            result = await statement_io.run_admitted(
                self._env,
                self._group,
                pooled_connection,
                request,
                self._terms,
                commits=not reads,
            )
        except BaseException:
            if confirming is not None:
                confirming.cancel()
            raise
        finally:
            pooled_connection.give_back()
        result = _outside_transaction(result, self._call.served_by)
        if not reads:
            self._record_write(result)
        return _Exchange(self._to_reply(result), result.is_ok(), confirming)

    def _to_reply(self, result: database_request.ReplyResult) -> replies.Reply:
        if result.is_error():
            self._group.schedule_round()
            return self._session.reply(expression.Error(result.error))
        reply = result.ok
        if reply.result.is_error():
            self._group.schedule_round()
        return dataclasses.replace(reply, state=_IDLE)

    def _record_write(self, result: database_request.ReplyResult) -> None:
        statement_io.record_commit(self._group, result)
        if database_request.failure_of(result) is None:
            self._session.state.raise_floor(
                self._route.service, result.ok.position
            )

    def _start_confirmation(
        self, place: statement_target.StatementTarget
    ) -> asyncio.Task[group_state.Leader | None] | None:
        """Starts to check that the database is still the primary."""
        if place.leader is None:
            return None
        return asyncio.create_task(
            self._group.confirmed_leader(
                self._call.arrived, self._terms.deadline
            )
        )

    async def _deliver_if_kept(
        self, place: statement_target.StatementTarget, reply: replies.Reply
    ) -> replies.Reply:
        """Returns the answer to a write only if the write is certainly kept."""
        if reply.result.is_error():
            return reply
        assert place.leader is not None, "writes go to the primary"
        failure = await statement_io.confirm_commit(
            self._env, self._group, place.leader, reply.position, self._call
        )
        if failure is None:
            return reply
        return self._session.reply(expression.Error(failure))

    async def _deliver_if_confirmed(
        self,
        place: statement_target.StatementTarget,
        reply: replies.Reply,
        confirming: asyncio.Task[group_state.Leader | None],
    ) -> replies.Reply:
        """Returns the rows of a read only if its database was the primary."""
        if reply.result.is_error():
            confirming.cancel()
            return reply
        leader = await confirming
        if leader == place.leader:
            return reply
        newest = leader.member if leader is not None else ""
        self._env.journal.record(
            platform_events.ReadDiscarded(
                self._call.id, self._call.served_by, newest
            )
        )
        # The read ran, but its rows may be stale, so they are discarded.
        failure = errors.AnswerLost(
            self._call.served_by, "it may no longer be the primary"
        )
        return self._session.reply(expression.Error(failure))

    async def _find_place(
        self, reads: bool
    ) -> statement_target.StatementTargetResult:
        if not reads:
            return await statement_target.find_writable_target(
                self._group, self._terms
            )
        return await statement_target.find_read_target(
            self._session, self._group, self._route, self._call, self._excluded
        )


def _outside_transaction(
    result: database_request.ReplyResult, database: member.MemberId
) -> database_request.ReplyResult:
    """Returns a result, or a failure if the statement ran in a transaction.

    Nobody asked for that transaction, and it is never committed.
    """
    if database_request.failure_of(result) is not None:
        return result
    if result.ok.state is _IDLE:
        return result
    return expression.Error(
        errors.AnswerLost(database, "it ran in an open transaction")
    )


@functools.singledispatch
async def run(
    operation: operations.Operation,
    session: caller_session.CallerSession,
    route: catalog.Route,
    call: caller_session_state.CallerRequest,
) -> replies.Reply:
    """Runs an operation outside a transaction."""
    return session.rejection(
        replies.RejectionReason.MALFORMED, "not a statement"
    )


@run.register(operations.Read)
@run.register(operations.Write)
@run.register(operations.Execute)
async def _(
    operation: operations.Operation,
    session: caller_session.CallerSession,
    route: catalog.Route,
    call: caller_session_state.CallerRequest,
) -> replies.Reply:
    group = session.env.fleet.group(route.service)
    if group is None:
        failure = errors.NoPrimary(route.service)
        return session.reply(expression.Error(failure))
    refused = session.env.admit(call.workspace, session.now())
    if refused is not None:
        return session.reply(expression.Error(refused))
    statement = statement_io.statement(operation, session.state)
    runner = _StatementRunner(session, group, route, call, statement)
    return await (runner.write() if statement.writes else runner.read())
