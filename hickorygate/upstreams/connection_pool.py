"""A pool of the connections to one database.

The number of connections is limited by this proxy's share of the database's
connection limit. A connection keeps the session variables and prepared
statements that were last set on it. A borrower preferably gets a connection
whose session variables already match its own.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
import datetime

import expression

from hickorygate.core import background
from hickorygate.core import capacity as capacities
from hickorygate.core import clock as clocks
from hickorygate.core import errors
from hickorygate.core import events
from hickorygate.core import platform_events
from hickorygate.core import reply
from hickorygate.core import request_context
from hickorygate.upstreams import borrow_queue
from hickorygate.upstreams import connection_share
from hickorygate.upstreams import database_request
from hickorygate.upstreams import failure_rate as grades
from hickorygate.upstreams import member as members
from hickorygate.upstreams import permits as permit_lib
from hickorygate.upstreams import pooled_connection as pooled_connections

__all__ = ["ConnectionPool"]

_RECONNECT_DELAY = datetime.timedelta(milliseconds=100)
"""Minimum delay before the next connection attempt after a failed one."""

_MAX_RECONNECT_DELAY = datetime.timedelta(milliseconds=400)
"""Longest such delay; it doubles while the database refuses sessions."""


class ConnectionPool:
    """A pool of the connections to one database."""

    def __init__(
        self,
        member: members.Member,
        max_connections: int,
        connector: database_request.Connector,
        clock: clocks.Clock,
        journal: events.Journal,
        capacity: capacities.CapacityEstimate | None = None,
    ) -> None:
        self._member = member
        self._capacity = capacity
        self._share = connection_share.ConnectionShare(
            member.slots, max_connections
        )
        self._connector = connector
        self._clock = clock
        self._journal = journal
        self._idle: list[pooled_connections.PooledConnection] = []
        self._borrowed: set[pooled_connections.PooledConnection] = set()
        self._long_term: set[pooled_connections.PooledConnection] = set()
        self._opening = 0
        self._connecting_since: datetime.datetime | None = None
        self._opened = 0
        self._waiting = borrow_queue.BorrowQueue(clock)
        self._retry_after: datetime.datetime | None = None
        self._reconnect_delay = _RECONNECT_DELAY
        self._last_failure: errors.Failure | None = None
        self._refused_since: datetime.datetime | None = None
        self._closed = False
        self._background = background.BackgroundTasks()
        self._failure_rate = grades.FailureRate()
        self._permits = permit_lib.Permits(member.slots, clock, capacity)

    @property
    def member(self) -> members.Member:
        """The database that the connections belong to."""
        return self._member

    @property
    def permits(self) -> permit_lib.Permits:
        """The admission control for requests to the database."""
        return self._permits

    @property
    def capacity(self) -> capacities.CapacityEstimate | None:
        """What was learned about the database; None if nothing is learned."""
        return self._capacity

    @property
    def failure_rate(self) -> grades.FailureRate:
        """The recent failure rate of the database."""
        return self._failure_rate

    @property
    def open_count(self) -> int:
        """The number of connections that are open or being opened."""
        held = [*self._idle, *self._borrowed]
        live = sum(
            not pooled_connection.connection.closed
            for pooled_connection in held
        )
        return live + self._opening

    @property
    def refused_since(self) -> datetime.datetime | None:
        """Time since which the database refuses connections and none is open.

        None if it accepts connections, or one is open.
        """
        return None if self.open_count else self._refused_since

    @property
    def connecting_since(self) -> datetime.datetime | None:
        """Time of the first attempt to connect since the last answer."""
        return self._connecting_since

    @property
    def borrowed_count(self) -> int:
        """The number of connections that are borrowed."""
        return len(self._borrowed)

    @property
    def opened(self) -> int:
        """The number of connections opened since the start."""
        return self._opened

    @property
    def load(self) -> int:
        """The number of requests that run on or wait for the database."""
        return self._permits.load + len(self._waiting)

    def __repr__(self) -> str:
        return f"ConnectionPool({self._member.id!r}, open={self.open_count})"

    def update(
        self, member: members.Member, max_connections: int, proxies: int
    ) -> None:
        """Applies changes of the database's entry and of the shared limits.

        Args:
          member: current entry of the database.
          max_connections: number of connections that the database accepts from
            all proxies together.
          proxies: number of proxies that share the database.
        """
        self._member = member
        self._share.set_limits(max_connections, proxies)
        self._permits.set_limit(
            connection_share.permits_per_proxy(member.slots, proxies)
        )
        if self._capacity is not None:
            self._capacity.set_size(member.slots, proxies)

    def note_answer(self) -> None:
        """Records that the database, or its host, answered."""
        self._connecting_since = None

    def trim(self) -> None:
        """Closes connections beyond this proxy's even share.

        Only connections that have been idle for `ConnectionShare.idle_limit`
        are closed.
        """
        now = self._clock.now()
        self._drop_closed()
        while self._idle and self.open_count > self._share.even_share:
            pooled_connection = self._idle[0]
            if now - pooled_connection.returned < self._share.idle_limit:
                return
            self._idle.pop(0)
            pooled_connection.connection.close()

    async def borrow(
        self,
        request: request_context.RequestContext,
        values: Mapping[str, str],
        use: borrow_queue.BorrowPurpose = borrow_queue.BorrowPurpose.SHORT,
    ) -> pooled_connections.BorrowResult:
        """Borrows a connection; waits for one until the deadline.

        Args:
          request: rank and deadline of the borrower.
          values: session variables of the borrower.
          use: purpose of the connection.

        Returns:
          The borrowed connection, or the failure to get one.
        """
        if self._closed:
            return expression.Error(self._connect_failure("it left"))
        self._drop_closed()
        if self._idle and self._may_borrow(use):
            return expression.Ok(self._hand_out_idle(values, use))
        if self._may_open():
            opened = await self._open(use)
            if opened.is_ok() or not self.open_count:
                return opened
        if not self.open_count:
            return expression.Error(self._last_connect_failure())
        return await self._wait(request, use)

    def busy_connection(self) -> database_request.Connection | None:
        """Returns a connection in use that also takes a status query.

        Databases answer in order, so the query is answered once the statement
        that runs on the connection has ended. Connections of transactions, and
        those on which a commit waits for replicas, aren't considered.

        Returns:
          The connection; None if another one is idle or none is suitable.
        """
        if self._idle:
            return None
        for pooled_connection in self._borrowed - self._long_term:
            connection = pooled_connection.connection
            if not (pooled_connection.committing or connection.closed):
                return connection
        return None

    def accept_return(
        self, pooled_connection: pooled_connections.PooledConnection
    ) -> None:
        """Accepts a returned connection and serves the next waiting borrower.

        A closed connection is dropped; a new one is opened instead if a
        borrower waits. A second return of the same connection has no effect:
        another borrower may have it.
        """
        if pooled_connection not in self._borrowed:
            return
        self._borrowed.remove(pooled_connection)
        self._long_term.discard(pooled_connection)
        if self._closed:
            pooled_connection.connection.close()
            return
        if pooled_connection.connection.closed:
            self._open_if_needed()
            return
        self._serve_next(pooled_connection)

    def record_unsettled(
        self, pooled_connection: pooled_connections.PooledConnection
    ) -> None:
        """Records that the session state of a connection is not known."""
        reason = pooled_connection.unsettled
        assert reason is not None, "the session state is known"
        self._journal.record(
            platform_events.ConnectionUnsettled(
                database=self._member.id,
                reason=reason.value,
                unread=" ".join(
                    type(request).__name__
                    for request in pooled_connection.unread
                ),
            )
        )

    def interrupt(self, reason: str) -> None:
        """Closes the connections of a database that doesn't answer.

        Requests that can be repeated, or that certainly have no effect yet,
        fail and can be served elsewhere. A request that may commit goes on: the
        database may only be slow to answer. Waiting borrowers fail; the pool
        can open new connections afterwards.
        """
        for pooled_connection in [*self._idle, *self._borrowed]:
            if not pooled_connection.committing:
                pooled_connection.connection.close()
        self._idle.clear()
        self._waiting.fail_all(self._connect_failure(reason))
        self._permits.close(self._connect_failure(reason))

    def close_connections(self, reason: str) -> None:
        """Closes all connections, whatever runs on them.

        Waiting borrowers fail; the pool can open new connections afterwards.
        """
        self.interrupt(reason)
        for pooled_connection in self._borrowed:
            pooled_connection.connection.close()

    def retire(self, reason: str) -> None:
        """Closes the pool; borrowed connections close when returned."""
        self._closed = True
        for pooled_connection in self._idle:
            pooled_connection.connection.close()
        self._idle.clear()
        self._waiting.fail_all(self._connect_failure(reason))

    def _may_borrow(self, use: borrow_queue.BorrowPurpose) -> bool:
        """Returns whether a connection may be borrowed for a purpose.

        One connection is kept from transactions. It is reserved for single
        statements and status queries, without which this proxy could not
        determine the primary.
        """
        if use is borrow_queue.BorrowPurpose.SHORT or self._share.only_one:
            return True
        return len(self._idle) + len(self._borrowed) - len(self._long_term) > 1

    def _hand_out_idle(
        self, values: Mapping[str, str], use: borrow_queue.BorrowPurpose
    ) -> pooled_connections.PooledConnection:
        for index in range(len(self._idle) - 1, -1, -1):
            if self._idle[index].values == values:
                pooled_connection = self._idle.pop(index)
                break
        else:
            pooled_connection = self._idle.pop()
        self._mark_borrowed(pooled_connection, use)
        return pooled_connection

    def _mark_borrowed(
        self,
        pooled_connection: pooled_connections.PooledConnection,
        use: borrow_queue.BorrowPurpose,
    ) -> None:
        self._borrowed.add(pooled_connection)
        if use is borrow_queue.BorrowPurpose.LONG:
            self._long_term.add(pooled_connection)

    def _may_open(self) -> bool:
        now = self._clock.now()
        if self._retry_after is not None and now < self._retry_after:
            return False
        return self.open_count < self._share.limit(now)

    async def _open(
        self, use: borrow_queue.BorrowPurpose
    ) -> pooled_connections.BorrowResult:
        self._opening += 1
        if self._connecting_since is None:
            self._connecting_since = self._clock.now()
        try:
            opened = await self._connector.open(self._member, self.note_answer)
        finally:
            self._opening -= 1
        if opened.is_error():
            self._record_refusal(opened.error)
            return expression.Error(opened.error)
        self._opened += 1
        self._retry_after = None
        self._refused_since = None
        self._reconnect_delay = _RECONNECT_DELAY
        pooled_connection = pooled_connections.PooledConnection(self, opened.ok)
        if self._closed:
            opened.ok.close()
            return expression.Error(self._connect_failure("it left"))
        self._mark_borrowed(pooled_connection, use)
        return expression.Ok(pooled_connection)

    def _record_refusal(self, failure: errors.Failure) -> None:
        self._last_failure = failure
        now = self._clock.now()
        self._retry_after = now + self._reconnect_delay
        if _is_connection_limit(failure):
            self._reconnect_delay = min(
                2 * self._reconnect_delay, _MAX_RECONNECT_DELAY
            )
            self._share.record_refusal(self.open_count, now)
            if self._refused_since is None:
                self._refused_since = now
        if not self.open_count:
            self._waiting.fail_all(failure)

    async def _wait(
        self,
        request: request_context.RequestContext,
        use: borrow_queue.BorrowPurpose,
    ) -> pooled_connections.BorrowResult:
        waiter = self._waiting.add(request, use)
        future = waiter.future
        try:
            return await future
        except asyncio.CancelledError:
            if (
                future.done()
                and not future.cancelled()
                and future.result().is_ok()
            ):
                self.accept_return(future.result().ok)
            raise
        finally:
            self._waiting.remove(waiter)

    def _serve_next(
        self, pooled_connection: pooled_connections.PooledConnection
    ) -> None:
        """Gives a connection to the first eligible waiting borrower.

        The connection becomes idle if there is none.
        """
        self._idle.append(pooled_connection)
        pooled_connection.mark_idle(self._clock.now())
        waiter = self._waiting.pop_first(self._may_borrow)
        if waiter is None:
            self._open_if_needed()
            return
        self._idle.pop()
        self._mark_borrowed(pooled_connection, waiter.use)
        waiter.future.set_result(expression.Ok(pooled_connection))

    def _open_if_needed(self) -> None:
        """Opens a connection if a borrower waits and the limit allows it."""
        if self._waiting and self._may_open():
            self._background.start(self._open_for_waiter())

    async def _open_for_waiter(self) -> None:
        opened = await self._open(borrow_queue.BorrowPurpose.SHORT)
        if opened.is_ok():
            self._borrowed.discard(opened.ok)
            self._serve_next(opened.ok)

    def _drop_closed(self) -> None:
        self._idle = [x for x in self._idle if not x.connection.closed]

    def _connect_failure(self, reason: str) -> errors.ConnectFailed:
        return errors.ConnectFailed(self._member.id, reason)

    def _last_connect_failure(self) -> errors.Failure:
        return self._last_failure or self._connect_failure("tried a moment ago")


def _is_connection_limit(failure: errors.Failure) -> bool:
    """Returns whether the database's connection limit was reached.

    A database at its limit says so, or closes the connection at once.
    """
    match failure:
        case errors.SessionRefused():
            return True
        case reply.Rejection(reason=reply.RejectionReason.CONNECTION_LIMIT):
            return True
    return False
