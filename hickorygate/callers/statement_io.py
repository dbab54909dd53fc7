"""Sends one statement to one database.

Admission control orders waiting statements by rank and bounds how many run at
once; the request's deadline bounds each step.
"""

from __future__ import annotations

import asyncio
import dataclasses
import datetime
import functools

import expression

from hickorygate.callers import caller_session_state
from hickorygate.callers import session_context
from hickorygate.core import capacity as capacities
from hickorygate.core import catalog
from hickorygate.core import errors
from hickorygate.core import latency_baseline
from hickorygate.core import operation as operations
from hickorygate.core import platform_events
from hickorygate.core import position
from hickorygate.core import reply as replies
from hickorygate.core import request_context
from hickorygate.upstreams import borrow_queue
from hickorygate.upstreams import connection_pool
from hickorygate.upstreams import database_request
from hickorygate.upstreams import group_monitor
from hickorygate.upstreams import group_state
from hickorygate.upstreams import pooled_connection as pooled_connections

__all__ = [
    "Statement",
    "run_admitted",
    "run_statement",
    "borrow",
    "prompt_limit",
    "confirm_commit",
    "sync_session",
    "record_commit",
    "statement",
    "request_terms",
]

_PROMPT_TIMEOUT = datetime.timedelta(milliseconds=350)
"""Longest wait for an answer that takes no slot. Packets that were lost are
sent again within that time."""


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """The statement that a database runs for an operation.

    Attributes:
      body: text of the statement, or the arguments of a prepared statement.
      prepared: statement that must be prepared first; None if there
        is none.
      writes: whether the statement changes data.
      ends_transaction: whether no transaction is open once it has succeeded.
    """

    body: str
    prepared: operations.PreparedStatement | None = None
    writes: bool = False
    ends_transaction: bool = False

    def request(
        self, name: str, floor: position.Position | None = None
    ) -> database_request.Request:
        """Returns the request to send to a database.

        Args:
          name: request id that the caller assigned.
          floor: log position that the database must have reached; None if any
            position will do.
        """
        if self.prepared is None:
            return database_request.RunStatement(
                name, self.body, floor, self.ends_transaction
            )
        prepared_name = pooled_connections.prepared_name(self.prepared)
        return database_request.Execute(name, prepared_name, self.body, floor)


@functools.singledispatch
def statement(
    operation: operations.Operation,
    state: caller_session_state.CallerSessionState,
) -> Statement:
    """Returns the statement that a database runs for an operation."""
    raise TypeError(f"{operation!r} does not run in a database")


@statement.register
def _(
    operation: operations.Read, state: caller_session_state.CallerSessionState
) -> Statement:
    return Statement(operation.text)


@statement.register
def _(
    operation: operations.Commit, state: caller_session_state.CallerSessionState
) -> Statement:
    return Statement(operation.text, ends_transaction=True)


@statement.register
def _(
    operation: operations.Write, state: caller_session_state.CallerSessionState
) -> Statement:
    return Statement(operation.text, writes=True)


@statement.register
def _(
    operation: operations.Execute,
    state: caller_session_state.CallerSessionState,
) -> Statement:
    prepared = state.prepared_statements[operation.name]
    return Statement(operation.arguments, prepared, prepared.writes)


def request_terms(
    call: caller_session_state.CallerRequest, route: catalog.Route
) -> request_context.RequestContext:
    """Returns the rank, arrival, deadline and workspace of a request."""
    return request_context.RequestContext(
        route.rank, call.arrived, call.deadline, workspace=call.workspace
    )


def prompt_limit(
    terms_: request_context.RequestContext, now: datetime.datetime
) -> float:
    """Returns how long to wait for an answer that takes no slot, in seconds.

    A database answers such a request at once, however busy it is. If it
    doesn't, the statement, which was not sent yet, can be sent elsewhere.
    """
    return min(terms_.time_left(now), _PROMPT_TIMEOUT).total_seconds()


async def borrow(
    env: session_context.SessionContext,
    pool: connection_pool.ConnectionPool,
    terms_: request_context.RequestContext,
    state: caller_session_state.CallerSessionState,
    prepared: operations.PreparedStatement | None,
    use: borrow_queue.BorrowPurpose = borrow_queue.BorrowPurpose.SHORT,
) -> pooled_connections.BorrowResult:
    """Borrows a connection and gives it the caller's session state.

    Args:
      env: dependencies that all sessions share.
      pool: connection pool of the database.
      terms_: rank and deadline of the request.
      state: session whose values the connection gets.
      prepared: statement to prepare on the connection; None if there
        is none.
      use: whether the connection is borrowed for a statement or for a
        transaction.
    """
    borrowed = await pool.borrow(terms_, state.values, use)
    if borrowed.is_error():
        return borrowed
    pooled_connection = borrowed.ok
    try:
        failure = await sync_session(
            env, pooled_connection, terms_, state, prepared
        )
    except BaseException:
        pooled_connection.give_back()
        raise
    if failure is None:
        return borrowed
    pooled_connection.give_back()
    return expression.Error(failure)


async def sync_session(
    env: session_context.SessionContext,
    pooled_connection: pooled_connections.PooledConnection,
    terms_: request_context.RequestContext,
    state: caller_session_state.CallerSessionState,
    prepared: operations.PreparedStatement | None,
) -> errors.Failure | None:
    """Gives a connection the caller's session values and prepared statement.

    Returns:
      None on success. Otherwise a failure whose outcome is that the statement
      was not sent; the connection is closed.
    """
    name = pooled_connection.pool.member.id
    try:
        async with asyncio.timeout(prompt_limit(terms_, env.clock.now())):
            failure = await pooled_connection.sync_session(
                state.values, prepared
            )
    except TimeoutError:
        return errors.ConnectFailed(name, "no answer while preparing")
    if failure is None:
        return None
    return errors.ConnectFailed(name, failure.message)


async def run_statement(
    env: session_context.SessionContext,
    group: group_monitor.GroupMonitor,
    pooled_connection: pooled_connections.PooledConnection,
    request: database_request.Request,
    terms_: request_context.RequestContext,
    commits: bool,
    call: caller_session_state.CallerRequest,
) -> database_request.ReplyResult:
    """Runs a statement on a borrowed connection once it is admitted.

    The arguments and the result are those of `run_admitted`; `in_flight` of the
    call is set once the statement is sent.
    """
    permits = pooled_connection.pool.permits
    entered = await permits.acquire(terms_)
    if entered.is_error():
        return expression.Error(entered.error)
    started = env.clock.now()
    service: datetime.timedelta | None = None
    call.in_flight = True
    try:
        result = await run_admitted(
            env, group, pooled_connection, request, terms_, commits
        )
        if result.is_ok():
            service = env.clock.now() - started
    finally:
        permits.release(entered.ok, service)
    return result


async def run_admitted(
    env: session_context.SessionContext,
    group: group_monitor.GroupMonitor,
    pooled_connection: pooled_connections.PooledConnection,
    request: database_request.Request,
    terms_: request_context.RequestContext,
    commits: bool,
) -> database_request.ReplyResult:
    """Runs a statement that has a permit on a borrowed connection.

    If no answer arrives before the deadline, the connection is closed. The
    caller of this function returns the connection to its pool.

    Args:
      env: dependencies that all sessions share.
      group: databases of the service.
      pooled_connection: borrowed connection.
      request: the statement.
      terms_: rank and deadline of the request.
      commits: whether the statement may commit a write.
    """
    capacity = pooled_connection.pool.capacity
    if capacity is None:
        return await _run_in_time(
            env, group, pooled_connection, request, terms_, commits
        )
    kind = latency_baseline.StatementClass(
        terms_.rank.name,
        isinstance(request, database_request.Execute),
        commits,
    )
    number = capacity.sent(kind, env.clock.now())
    outcome = capacities.StatementOutcome.UNRELATED
    try:
        result = await _run_in_time(
            env, group, pooled_connection, request, terms_, commits
        )
        outcome = _outcome(result)
    finally:
        capacity.ended(number, outcome, env.clock.now())
    return result


async def _run_in_time(
    env: session_context.SessionContext,
    group: group_monitor.GroupMonitor,
    pooled_connection: pooled_connections.PooledConnection,
    request: database_request.Request,
    terms_: request_context.RequestContext,
    commits: bool,
) -> database_request.ReplyResult:
    """Runs a statement until its deadline and records the result."""
    try:
        time_left_s = terms_.time_left(env.clock.now()).total_seconds()
        async with asyncio.timeout(time_left_s):
            result = await pooled_connection.run(request, commits)
    except TimeoutError:
        name = pooled_connection.pool.member.id
        result = expression.Error(errors.AnswerOverdue(name, "timed out"))
    pooled_connection.pool.failure_rate.note(
        _is_database_failure(result), env.clock.now()
    )
    if result.is_ok():
        group.record_reply(pooled_connection.pool.member.id, result.ok.position)
    return result


def _is_database_failure(result: database_request.ReplyResult) -> bool:
    """Returns whether a result counts as a failure of the database.

    A missing reply counts. An error in a reply counts only if the statement
    ran or may have run.
    """
    if result.is_error():
        return True
    failure = database_request.failure_of(result)
    return failure is not None and failure.outcome is not errors.Outcome.NOT_RUN


def _outcome(
    result: database_request.ReplyResult,
) -> capacities.StatementOutcome:
    """Returns what a result says about the capacity of the database."""
    if _is_database_failure(result):
        return capacities.StatementOutcome.FAILED
    match database_request.failure_of(result):
        case None:
            return capacities.StatementOutcome.SERVED
        case replies.Rejection(reason=replies.RejectionReason.BUSY):
            return capacities.StatementOutcome.BUSY
    return capacities.StatementOutcome.UNRELATED


def record_commit(
    group: group_monitor.GroupMonitor, result: database_request.ReplyResult
) -> None:
    """Records the outcome of a commit that was sent to the primary.

    If the answer timed out, nothing is recorded, so the commit still counts as
    unanswered by the primary.
    """
    match result:
        case expression.Result(tag="ok"):
            group.commit_answered()
        case expression.Result(tag="error", error=errors.AnswerOverdue()):
            return
        case _:
            group.stall.drop_commit()


async def confirm_commit(
    env: session_context.SessionContext,
    group: group_monitor.GroupMonitor,
    leader: group_state.Leader,
    position_: position.Position | None,
    call: caller_session_state.CallerRequest,
) -> errors.Failure | None:
    """Confirms that a commit is kept that the primary has acknowledged.

    Args:
      env: dependencies that all sessions share.
      group: databases of the service.
      leader: primary that acknowledged the commit.
      position_: position of the commit in its log; None if unknown.
      call: the caller's request.

    Returns:
      Why that isn't known; None if the commit is kept.
    """
    if await group.commits.confirm(leader, position_, call.deadline):
        env.journal.record(
            platform_events.CommitReported(
                call.id,
                group.service,
                leader.member,
                leader.term,
                position_,
                tuple(sorted(group.commits.provers)),
            )
        )
        return None
    env.journal.record(
        platform_events.CommitWithheld(call.id, leader.member, position_)
    )
    return errors.AnswerLost(
        leader.member, "it was being replaced when it acknowledged the commit"
    )
