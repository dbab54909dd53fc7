"""A pool of the connections to one database.

The number of connections is limited by this proxy's share of the database's
connection limit. A connection is opened for one workspace and serves no other
one. It keeps the session variables and prepared statements that were last set
on it. A borrower preferably gets a connection whose session variables already
match its own.
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
from hickorygate.core import request_context
from hickorygate.core import types
from hickorygate.upstreams import borrow_queue
from hickorygate.upstreams import connection_opener
from hickorygate.upstreams import connection_share
from hickorygate.upstreams import database_request
from hickorygate.upstreams import failure_rate as grades
from hickorygate.upstreams import idle_connections
from hickorygate.upstreams import member as members
from hickorygate.upstreams import permits as permit_lib
from hickorygate.upstreams import pooled_connection as pooled_connections

__all__ = ["ConnectionPool"]

_SHORT = borrow_queue.BorrowPurpose.SHORT
_LONG = borrow_queue.BorrowPurpose.LONG
_STATUS = borrow_queue.BorrowPurpose.STATUS


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
        self._opener = connection_opener.ConnectionOpener(connector, clock)
        self._clock = clock
        self._journal = journal
        self._idle = idle_connections.IdleConnections()
        self._borrowed: set[pooled_connections.PooledConnection] = set()
        self._long_term: set[pooled_connections.PooledConnection] = set()
        self._status_lent: set[pooled_connections.PooledConnection] = set()
        self._replaced = 0
        self._waiting = borrow_queue.BorrowQueue(clock, capacity is not None)
        self._retry_timer: asyncio.TimerHandle | None = None
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
        live = sum(
            not pooled_connection.connection.closed
            for pooled_connection in self._borrowed
        )
        return self._idle.live_count + live + self._opener.opening

    @property
    def refused_since(self) -> datetime.datetime | None:
        """Time since which the database refuses connections and none is open.

        None if it accepts connections, or one is open.
        """
        return None if self.open_count else self._opener.refused_since

    @property
    def connecting_since(self) -> datetime.datetime | None:
        """Time of the first attempt to connect since the last answer."""
        return self._opener.connecting_since

    @property
    def borrowed_count(self) -> int:
        """The number of connections that are borrowed."""
        return len(self._borrowed)

    @property
    def opened(self) -> int:
        """The number of connections opened since the start."""
        return self._opener.opened

    @property
    def replaced(self) -> int:
        """The number of connections closed for another workspace."""
        return self._replaced

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
        self._opener.note_answer()

    def trim(self) -> None:
        """Closes connections beyond this proxy's even share.

        Only connections that have been idle for `ConnectionShare.idle_limit`
        are closed.
        """
        now = self._clock.now()
        self._idle.drop_closed()
        while self._idle and self.open_count > self._share.even_share:
            pooled_connection = self._idle.oldest
            if now - pooled_connection.returned < self._share.idle_limit:
                return
            self._idle.remove(pooled_connection)
            pooled_connection.connection.close()

    async def borrow(
        self,
        request: request_context.RequestContext,
        values: Mapping[str, str],
        use: borrow_queue.BorrowPurpose = borrow_queue.BorrowPurpose.SHORT,
    ) -> pooled_connections.BorrowResult:
        """Borrows a connection; waits for one until the deadline.

        The connection was opened for the borrower's workspace. At the limit of
        connections, the least recently used idle one of another workspace is
        closed for it.

        Args:
          request: rank, deadline and workspace of the borrower.
          values: session variables of the borrower.
          use: purpose of the connection.

        Returns:
          The borrowed connection, or the failure to get one.
        """
        if self._closed:
            return expression.Error(self._connect_failure("it left"))
        workspace = request.workspace
        if workspace:
            self._share.use_workspaces()
        self._idle.drop_closed()
        found = self._find_idle(values, workspace, use)
        if found is not None:
            self._lend_idle(found, use)
            return expression.Ok(found)
        if self._may_open(use):
            opened = await self._open(workspace, use)
            if opened.is_ok() or not self.open_count:
                return opened
        replaced = self._replaceable(workspace, use)
        if replaced is not None and workspace not in self._soon_returned():
            self._close_replaced(replaced)
            opened = await self._open(workspace, use, replaces=True)
            if opened.is_ok() or not self.open_count:
                return opened
        if not self.open_count:
            return expression.Error(self._last_connect_failure())
        return await self._wait(request, use)

    def shareable_connections(
        self,
    ) -> list[pooled_connections.PooledConnection]:
        """Returns the connections that also take a status query, idle first.

        The query is answered once the statement on the connection has ended.
        Connections of transactions, and those on which a commit waits for
        replicas, aren't among them.
        """
        self._idle.drop_closed()
        return [
            c
            for c in (*self._idle, *(self._borrowed - self._long_term))
            if not (c.committing or c.connection.closed)
        ]

    def busy_connection(self) -> database_request.Connection | None:
        """Returns a shareable connection in use; None if one is idle."""
        if self._idle:
            return None
        shareable = self.shareable_connections()
        return shareable[0].connection if shareable else None

    def accept_return(
        self, pooled_connection: pooled_connections.PooledConnection
    ) -> None:
        """Accepts a returned connection and serves the next waiting borrower.

        For a closed connection, a new one is opened if a borrower waits. A
        second return has no effect: another borrower may have the connection.
        """
        if pooled_connection not in self._borrowed:
            return
        self._borrowed.remove(pooled_connection)
        self._long_term.discard(pooled_connection)
        keeps_time = pooled_connection in self._status_lent
        self._status_lent.discard(pooled_connection)
        if self._closed:
            pooled_connection.connection.close()
            return
        if pooled_connection.connection.closed:
            self._open_if_needed()
            return
        if keeps_time:
            # A status query doesn't show that the workspace is in use.
            self._idle.restore(pooled_connection)
        else:
            self._idle.add(pooled_connection, self._clock.now())
        if self._share.yields(self.open_count, self._clock.now()):
            given_up = self._idle.oldest
            self._idle.remove(given_up)
            given_up.connection.close()
            if given_up is pooled_connection:
                self._serve_waiting_later()
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
        fail. A request that may commit goes on: the database may only be slow
        to answer. Waiting borrowers fail; new connections can be opened.
        """
        self._idle.close_all()
        for pooled_connection in self._borrowed:
            if not pooled_connection.committing:
                pooled_connection.connection.close()
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
        self._idle.close_all()
        self._waiting.fail_all(self._connect_failure(reason))

    def _may_borrow(self, use: borrow_queue.BorrowPurpose) -> bool:
        """Returns whether an idle connection may be borrowed for a purpose.

        One connection is kept from transactions, for single statements and for
        the status queries that determine the primary.
        """
        if use is not _LONG or self._share.only_one:
            return True
        return len(self._idle) + len(self._borrowed) - len(self._long_term) > 1

    def _find_idle(
        self,
        values: Mapping[str, str],
        workspace: types.WorkspaceName,
        use: borrow_queue.BorrowPurpose,
    ) -> pooled_connections.PooledConnection | None:
        """Returns an idle connection that a borrower may get; None if none."""
        if not self._idle or not self._may_borrow(use):
            return None
        return self._idle.find(values, None if use is _STATUS else workspace)

    def _lend_idle(
        self,
        pooled_connection: pooled_connections.PooledConnection,
        use: borrow_queue.BorrowPurpose,
    ) -> None:
        """Marks an idle connection as borrowed."""
        self._idle.remove(pooled_connection)
        if use is _STATUS and self._share.serves_workspaces:
            self._status_lent.add(pooled_connection)
        self._mark_borrowed(pooled_connection, use)

    def _mark_borrowed(
        self,
        pooled_connection: pooled_connections.PooledConnection,
        use: borrow_queue.BorrowPurpose,
    ) -> None:
        self._borrowed.add(pooled_connection)
        if use is _LONG:
            self._long_term.add(pooled_connection)

    def _may_open(self, use: borrow_queue.BorrowPurpose) -> bool:
        """Returns whether a further connection may be opened.

        The last one isn't opened for a transaction of a workspace: no other
        workspace could use it until that ends.
        """
        count = self.open_count
        limit = self._share.limit(self._clock.now())
        if count >= limit or not self._opener.may_open():
            return False
        if use is not _LONG or not self._share.serves_workspaces:
            return True
        short_term = count - len(self._long_term) - self._opener.opening_long
        return short_term > 0 or count + 1 < limit or limit == 1

    def _replaceable(
        self,
        workspace: types.WorkspaceName,
        use: borrow_queue.BorrowPurpose,
    ) -> pooled_connections.PooledConnection | None:
        """Returns an idle connection to close for one of another workspace."""
        if use is _STATUS or not self._may_borrow(use):
            return None
        if not self._opener.may_replace():
            return None
        return self._idle.oldest_of_others(workspace)

    def _soon_returned(self) -> set[types.WorkspaceName]:
        """Returns the workspaces of connections that run single statements.

        A borrower of such a workspace first waits for one of them, since
        opening one takes longer than most statements.
        """
        return {c.workspace for c in self._borrowed - self._long_term}

    def _close_replaced(
        self, pooled_connection: pooled_connections.PooledConnection
    ) -> None:
        """Closes an idle connection to make room for another workspace."""
        self._idle.remove(pooled_connection)
        pooled_connection.connection.close()
        self._replaced += 1

    async def _open(
        self,
        workspace: types.WorkspaceName,
        use: borrow_queue.BorrowPurpose,
        replaces: bool = False,
    ) -> pooled_connections.BorrowResult:
        self._opener.reserve(use is _LONG)
        return await self._open_reserved(workspace, use, replaces)

    async def _open_reserved(
        self,
        workspace: types.WorkspaceName,
        use: borrow_queue.BorrowPurpose,
        replaces: bool,
    ) -> pooled_connections.BorrowResult:
        try:
            opened = await self._opener.open(
                self._member, workspace, use is _LONG, replaces
            )
        except BaseException:
            self._serve_waiting_later()
            raise
        if opened.is_error():
            self._record_refusal(opened.error)
            return expression.Error(opened.error)
        pooled_connection = pooled_connections.PooledConnection(
            self, opened.ok, self._clock.now(), workspace
        )
        if self._closed:
            opened.ok.close()
            return expression.Error(self._connect_failure("it left"))
        self._mark_borrowed(pooled_connection, use)
        return expression.Ok(pooled_connection)

    def _record_refusal(self, failure: errors.Failure) -> None:
        if connection_opener.is_connection_limit(failure):
            self._share.record_refusal(self.open_count, self._clock.now())
        if not self.open_count:
            self._waiting.fail_all(failure)
        self._serve_waiting_later()

    async def _wait(
        self,
        request: request_context.RequestContext,
        use: borrow_queue.BorrowPurpose,
    ) -> pooled_connections.BorrowResult:
        waiter = self._waiting.add(request, use)
        self._serve_waiting_later()
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
        """Serves the next waiting borrower now that a connection is idle.

        A borrower of another workspace gets a new connection; the idle one is
        closed for it if no further one may be open. Without an eligible
        borrower, the connection stays idle.
        """
        workspace = pooled_connection.workspace
        while True:
            waiter = self._waiting.next_for(
                workspace,
                self._soon_returned(),
                self._may_borrow,
            )
            if waiter is None:
                self._open_if_needed()
                return
            if waiter.accepts(workspace):
                self._hand_over(pooled_connection, waiter)
                return
            if self._may_open(waiter.use):
                self._open_for(waiter)
                continue
            if self._opener.may_replace():
                self._close_replaced(pooled_connection)
                self._open_for(waiter, replaces=True)
                return
            self._serve_accepting(pooled_connection)
            self._serve_waiting_later()
            return

    def _serve_accepting(
        self, pooled_connection: pooled_connections.PooledConnection
    ) -> bool:
        """Gives an idle connection to the first borrower that can use it.

        Returns:
          Whether there is one.
        """
        waiter = self._waiting.first_accepting(
            pooled_connection.workspace, self._may_borrow
        )
        if waiter is not None:
            self._hand_over(pooled_connection, waiter)
        return waiter is not None

    def _hand_over(
        self,
        pooled_connection: pooled_connections.PooledConnection,
        waiter: borrow_queue.Waiter,
    ) -> None:
        """Gives an idle connection to a waiting borrower."""
        self._waiting.remove(waiter)
        self._lend_idle(pooled_connection, waiter.use)
        waiter.future.set_result(expression.Ok(pooled_connection))

    def _open_if_needed(self) -> None:
        """Opens a connection if a borrower waits and the limit allows it."""
        for waiter in self._waiting.unserved():
            if self._may_open(waiter.use):
                self._open_for(waiter)
            return

    def _open_for(
        self, waiter: borrow_queue.Waiter, replaces: bool = False
    ) -> None:
        """Starts to open a connection for a waiting borrower."""
        waiter.opening = self._share.serves_workspaces
        self._opener.reserve(False)
        self._background.start(self._open_and_hand_over(waiter, replaces))

    async def _open_and_hand_over(
        self, waiter: borrow_queue.Waiter, replaces: bool
    ) -> None:
        opened = await self._open_reserved(waiter.workspace, _SHORT, replaces)
        preferred, waiter.opening = waiter.opening, False
        if opened.is_error():
            return
        pooled_connection = opened.ok
        self._borrowed.discard(pooled_connection)
        self._idle.add(pooled_connection, self._clock.now())
        waits = preferred and not waiter.future.done()
        if waits and self._may_borrow(waiter.use):
            self._hand_over(pooled_connection, waiter)
        elif not self._serve_accepting(pooled_connection):
            self._serve_next(pooled_connection)

    def _serve_waiting_later(self) -> None:
        """Serves waiting borrowers again when the pause after a refusal ends.

        If connections belong to workspaces, only connections of other ones may
        be idle, and none is going to be returned.
        """
        if not self._share.serves_workspaces or self._retry_timer is not None:
            return
        delay = self._opener.pause() or borrow_queue.OVERTAKE_LIMIT
        self._retry_timer = asyncio.get_running_loop().call_later(
            delay.total_seconds(), self._serve_waiting
        )

    def _serve_waiting(self) -> None:
        """Serves the waiting borrowers that need no returned connection."""
        self._retry_timer = None
        self._idle.drop_closed()
        now = self._clock.now()
        for waiter in self._waiting.unserved():
            found = self._find_idle({}, waiter.workspace, waiter.use)
            if found is not None:
                self._hand_over(found, waiter)
            elif self._may_open(waiter.use):
                self._open_for(waiter)
            else:
                replaced = self._replaceable(waiter.workspace, waiter.use)
                if replaced is not None and waiter.has_waited(now):
                    self._close_replaced(replaced)
                    self._open_for(waiter, replaces=True)
                elif replaced is not None or self._opener.pause() is not None:
                    self._serve_waiting_later()

    def _connect_failure(self, reason: str) -> errors.ConnectFailed:
        return errors.ConnectFailed(self._member.id, reason)

    def _last_connect_failure(self) -> errors.Failure:
        failure = self._connect_failure("tried a moment ago")
        return self._opener.last_failure or failure
