"""A pool of the connections to one database.

The number of connections is limited by this proxy's share of the database's
connection limit. A connection keeps the session variables and prepared
statements that were last set on it. A borrower preferably gets a connection
whose session variables already match its own.
"""

from __future__ import annotations

import asyncio
import bisect
from collections.abc import Mapping
import dataclasses
import datetime
import enum

import expression
import xxhash

from hickorygate.core import background
from hickorygate.core import clock as clocks
from hickorygate.core import errors
from hickorygate.core import operation
from hickorygate.core import reply
from hickorygate.core import request_context
from hickorygate.upstreams import connection_share
from hickorygate.upstreams import database_request
from hickorygate.upstreams import failure_rate as grades
from hickorygate.upstreams import member as members
from hickorygate.upstreams import permits as permit_lib

__all__ = [
    "ConnectionPool",
    "PooledConnection",
    "BorrowResult",
    "BorrowPurpose",
    "prepared_name",
]

_MAX_PREPARED = 256
"""Number of prepared statements on one connection at which it is reset."""

_RECONNECT_DELAY = datetime.timedelta(milliseconds=100)
"""Minimum delay before the next connection attempt after a failed one."""

_MAX_RECONNECT_DELAY = datetime.timedelta(milliseconds=400)
"""Longest such delay; it doubles while the database refuses sessions."""


class BorrowPurpose(enum.Enum):
    """The purpose for which a connection is borrowed."""

    SHORT = "a single statement"
    LONG = "a transaction, whose caller may be idle in between"


def prepared_name(prepared: operation.PreparedStatement) -> str:
    """Returns the name under which connections prepare a statement."""
    text = f"{prepared.writes} {prepared.text}"
    return "h" + xxhash.xxh3_64_hexdigest(text.encode(errors="surrogateescape"))


class PooledConnection:
    """A pooled connection, with the session state that is set on it."""

    __slots__ = (
        "_committing",
        "_connection",
        "_pool",
        "_prepared",
        "_returned",
        "_values",
    )

    def __init__(
        self, pool: ConnectionPool, connection: database_request.Connection
    ) -> None:
        self._pool = pool
        self._connection = connection
        self._values: dict[str, str] = {}
        self._prepared: set[str] = set()
        self._returned: datetime.datetime | None = None
        self._committing = False

    @property
    def committing(self) -> bool:
        """Whether a request is outstanding that may commit a write.

        Closing the connection would leave the outcome unknown.
        """
        return self._committing

    @property
    def connection(self) -> database_request.Connection:
        """The connection to the database."""
        return self._connection

    @property
    def pool(self) -> ConnectionPool:
        """The pool that the connection belongs to."""
        return self._pool

    @property
    def values(self) -> Mapping[str, str]:
        """The session variables that are set on the connection."""
        return self._values

    @property
    def returned(self) -> datetime.datetime:
        """The time at which the connection was last returned to the pool.

        Must not be read before the first return.
        """
        assert self._returned is not None, "the connection was never returned"
        return self._returned

    def mark_idle(self, now: datetime.datetime) -> None:
        """Records that the connection is idle from `now` on."""
        self._returned = now

    def __repr__(self) -> str:
        return f"PooledConnection({self._connection!r})"

    def forget_names(self) -> None:
        """Clears the prepared names; the database does not have them."""
        self._prepared.clear()

    async def run(
        self, request: database_request.Request, commits: bool = False
    ) -> database_request.ReplyResult:
        """Sends one request and returns its reply.

        Args:
          request: request to send.
          commits: whether the request may commit a write.
        """
        self._committing = commits
        try:
            return (await self._connection.ask(request))[0]
        finally:
            self._committing = False

    async def sync_session(
        self,
        values: Mapping[str, str],
        prepared: operation.PreparedStatement | None,
    ) -> errors.Failure | None:
        """Sets the connection's session state to that of a caller.

        Args:
          values: session variables of the caller.
          prepared: statement to prepare; None if there is none.

        Returns:
          The failure, after which the connection must be closed; None if the
          session matches.
        """
        batch: list[database_request.Request] = []
        held, names = self._values, self._prepared
        if held.keys() - values.keys() or len(names) >= _MAX_PREPARED:
            batch.append(database_request.Reset())
            held, names = {}, set()
        batch += [
            database_request.SetValue(name, value)
            for name, value in values.items()
            if held.get(name) != value
        ]
        name = prepared_name(prepared) if prepared is not None else None
        if prepared is not None and name is not None and name not in names:
            batch.append(database_request.Prepare(name, prepared))
            names = names | {name}
        if not batch:
            return None
        for result in await self._connection.ask(*batch):
            failure = database_request.failure_of(result)
            if failure is not None:
                return failure
        self._values, self._prepared = dict(values), set(names)
        return None

    def give_back(self, broken: bool = False) -> None:
        """Returns the connection to the pool.

        Args:
          broken: whether to close the connection because it is unusable.
        """
        if broken:
            self._connection.close()
        self._pool.accept_return(self)


BorrowResult = expression.Result[PooledConnection, errors.Failure]


@dataclasses.dataclass(order=True, slots=True)
class _Waiter:
    """A waiting borrower; ordered by rank, deadline and arrival.

    Attributes:
      rank: order of the request's rank; lower values are served first.
      deadline: time until which the borrower waits.
      number: sequence number of the wait.
      use: purpose of the connection.
      future: receives the connection or the failure.
    """

    rank: int
    deadline: datetime.datetime
    number: int
    use: BorrowPurpose = dataclasses.field(compare=False)
    future: asyncio.Future[BorrowResult] = dataclasses.field(compare=False)


class ConnectionPool:
    """A pool of the connections to one database."""

    def __init__(
        self,
        member: members.Member,
        max_connections: int,
        connector: database_request.Connector,
        clock: clocks.Clock,
    ) -> None:
        self._member = member
        self._share = connection_share.ConnectionShare(
            member.slots, max_connections
        )
        self._connector = connector
        self._clock = clock
        self._idle: list[PooledConnection] = []
        self._borrowed: set[PooledConnection] = set()
        self._long_term: set[PooledConnection] = set()
        self._opening = 0
        self._opened = 0
        self._waiters: list[_Waiter] = []
        self._last_number = 0
        self._retry_after: datetime.datetime | None = None
        self._reconnect_delay = _RECONNECT_DELAY
        self._last_failure: errors.Failure | None = None
        self._closed = False
        self._background = background.BackgroundTasks()
        self._failure_rate = grades.FailureRate()
        self._permits = permit_lib.Permits(member.slots, clock)

    @property
    def member(self) -> members.Member:
        """The database that the connections belong to."""
        return self._member

    @property
    def permits(self) -> permit_lib.Permits:
        """The admission control for requests to the database."""
        return self._permits

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
    def refused(self) -> bool:
        """Whether the database refuses connections and none is open."""
        return (
            self._last_failure is not None
            and _is_connection_limit(self._last_failure)
            and not self.open_count
        )

    @property
    def held_by_callers(self) -> bool:
        """Whether no connection is free because callers rest between requests.

        A request that waits for a connection then says nothing about the
        database.
        """
        return (
            not self._idle
            and not self._may_open()
            and any(not held.connection.waiting for held in self._borrowed)
        )

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
        return self._permits.load + len(self._waiters)

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

    def record_connections(self, count: int) -> None:
        """Records how many connections of all proxies the database has."""
        self._share.record_connections(count, self._clock.now())

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
        use: BorrowPurpose = BorrowPurpose.SHORT,
    ) -> BorrowResult:
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

    def accept_return(self, pooled_connection: PooledConnection) -> None:
        """Accepts a returned connection and serves the next waiting borrower.

        A closed connection is dropped; a new one is opened instead if a
        borrower waits.
        """
        self._borrowed.discard(pooled_connection)
        self._long_term.discard(pooled_connection)
        if self._closed:
            pooled_connection.connection.close()
            return
        if pooled_connection.connection.closed:
            self._open_if_needed()
            return
        self._serve_next(pooled_connection)

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
        self._fail_waiters(self._connect_failure(reason))
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
        self._fail_waiters(self._connect_failure(reason))

    def _may_borrow(self, use: BorrowPurpose) -> bool:
        """Returns whether a connection may be borrowed for a purpose.

        One connection is kept from transactions, unless the database is known
        to have room for another one. It is reserved for single statements and
        status queries, without which this proxy could not determine the
        primary.
        """
        if use is BorrowPurpose.SHORT or self._share.only_one:
            return True
        if self._share.has_room(self._clock.now()) and self._may_open():
            return True
        return len(self._idle) + len(self._borrowed) - len(self._long_term) > 1

    def _hand_out_idle(
        self, values: Mapping[str, str], use: BorrowPurpose
    ) -> PooledConnection:
        for index in range(len(self._idle) - 1, -1, -1):
            if self._idle[index].values == values:
                pooled_connection = self._idle.pop(index)
                break
        else:
            pooled_connection = self._idle.pop()
        self._mark_borrowed(pooled_connection, use)
        return pooled_connection

    def _mark_borrowed(
        self, pooled_connection: PooledConnection, use: BorrowPurpose
    ) -> None:
        self._borrowed.add(pooled_connection)
        if use is BorrowPurpose.LONG:
            self._long_term.add(pooled_connection)

    def _may_open(self) -> bool:
        now = self._clock.now()
        if self._retry_after is not None and now < self._retry_after:
            return False
        return self.open_count < self._share.limit(now)

    async def _open(self, use: BorrowPurpose) -> BorrowResult:
        self._opening += 1
        try:
            opened = await self._connector.open(self._member)
        finally:
            self._opening -= 1
        if opened.is_error():
            self._record_refusal(opened.error)
            return expression.Error(opened.error)
        self._opened += 1
        self._retry_after = None
        self._reconnect_delay = _RECONNECT_DELAY
        pooled_connection = PooledConnection(self, opened.ok)
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
        if not self.open_count:
            self._fail_waiters(failure)

    async def _wait(
        self, request: request_context.RequestContext, use: BorrowPurpose
    ) -> BorrowResult:
        loop = asyncio.get_running_loop()
        future: asyncio.Future[BorrowResult] = loop.create_future()
        self._last_number += 1
        waiting = _Waiter(
            request.rank.order, request.deadline, self._last_number, use, future
        )
        bisect.insort(self._waiters, waiting)
        remaining = request.time_left(self._clock.now()).total_seconds()
        timer = loop.call_later(
            remaining, self._expire_waiter, waiting, request
        )
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
            timer.cancel()
            self._remove_waiter(waiting)

    def _expire_waiter(
        self, waiting: _Waiter, request: request_context.RequestContext
    ) -> None:
        if waiting.future.done():
            return
        waited = self._clock.now() - request.arrived
        failure = errors.DeadlinePassed(request.rank.name, waited)
        waiting.future.set_result(expression.Error(failure))

    def _remove_waiter(self, waiting: _Waiter) -> None:
        """Removes a borrower from the queue."""
        if waiting in self._waiters:
            self._waiters.remove(waiting)

    def _serve_next(self, pooled_connection: PooledConnection) -> None:
        """Gives a connection to the first eligible waiting borrower.

        The connection becomes idle if there is none.
        """
        self._idle.append(pooled_connection)
        pooled_connection.mark_idle(self._clock.now())
        for waiting in self._waiters:
            if not waiting.future.done() and self._may_borrow(waiting.use):
                self._idle.pop()
                self._remove_waiter(waiting)
                self._mark_borrowed(pooled_connection, waiting.use)
                waiting.future.set_result(expression.Ok(pooled_connection))
                return
        self._open_if_needed()

    def _open_if_needed(self) -> None:
        """Opens a connection if a borrower waits and the limit allows it."""
        if self._waiters and self._may_open():
            self._background.start(self._open_for_waiter())

    async def _open_for_waiter(self) -> None:
        opened = await self._open(BorrowPurpose.SHORT)
        if opened.is_ok():
            self._borrowed.discard(opened.ok)
            self._serve_next(opened.ok)

    def _fail_waiters(self, failure: errors.Failure) -> None:
        waiting, self._waiters = self._waiters, []
        for waiter in waiting:
            if not waiter.future.done():
                waiter.future.set_result(expression.Error(failure))

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
