"""A connection to a database that a pool lends, with its session state.

This module alone decides whether a connection may be lent again: only if its
session state is known. That is the case if the replies to all requests were
read, the session variables and prepared statements were set completely, and no
transaction is open. Otherwise the connection is closed, whoever returns it.
"""

from __future__ import annotations

from collections.abc import Mapping
import datetime
import enum
import itertools
from typing import Protocol

import expression
import xxhash

from hickorygate.core import capacity as capacities
from hickorygate.core import errors
from hickorygate.core import operation
from hickorygate.core import reply
from hickorygate.core import types
from hickorygate.upstreams import database_request
from hickorygate.upstreams import failure_rate as failure_rates
from hickorygate.upstreams import member as members
from hickorygate.upstreams import permits as permit_lib

__all__ = [
    "BorrowResult",
    "Pool",
    "PooledConnection",
    "UnsettledReason",
    "prepared_name",
]

_MAX_PREPARED = 256
"""Number of prepared statements on one connection at which it is reset."""


class UnsettledReason(enum.Enum):
    """Why the session state of a connection is not known."""

    REPLY_UNREAD = "a reply was not awaited"
    SYNC_FAILED = "setting the session state failed"
    IN_TRANSACTION = "a transaction is open"


def prepared_name(prepared: operation.PreparedStatement) -> str:
    """Returns the name under which connections prepare a statement."""
    text = f"{prepared.writes} {prepared.text}"
    return "h" + xxhash.xxh3_64_hexdigest(text.encode(errors="surrogateescape"))


class Pool(Protocol):
    """The pool that a connection is returned to."""

    @property
    def member(self) -> members.Member:
        """The database that the connections belong to."""

    @property
    def permits(self) -> permit_lib.Permits:
        """The admission control for requests to the database."""

    @property
    def capacity(self) -> capacities.CapacityEstimate | None:
        """What was learned about the database; None if nothing is learned."""

    @property
    def failure_rate(self) -> failure_rates.FailureRate:
        """The recent failure rate of the database."""

    def accept_return(self, pooled_connection: PooledConnection) -> None:
        """Accepts a returned connection."""

    def record_unsettled(self, pooled_connection: PooledConnection) -> None:
        """Records that the session state of a connection is not known."""


class PooledConnection:
    """A pooled connection, with the session state that is set on it."""

    __slots__ = (
        "_asked",
        "_committing",
        "_connection",
        "_opened",
        "_pool",
        "_prepared",
        "_returned",
        "_running_since",
        "_state",
        "_sync_failed",
        "_unread",
        "_values",
        "_workspace",
    )

    def __init__(
        self,
        pool: Pool,
        connection: database_request.Connection,
        opened: datetime.datetime,
        workspace: types.WorkspaceName = "",
    ) -> None:
        self._pool = pool
        self._connection = connection
        self._opened = opened
        self._running_since = opened
        self._workspace = workspace
        self._values: dict[str, str] = {}
        self._prepared: set[str] = set()
        self._returned: datetime.datetime | None = None
        self._committing = False
        self._state = reply.TransactionState.IDLE
        self._sync_failed = False
        self._asked = 0
        self._unread: dict[int, tuple[database_request.Request, ...]] = {}

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
    def workspace(self) -> types.WorkspaceName:
        """The workspace that the connection was opened for; empty for none."""
        return self._workspace

    @property
    def pool(self) -> Pool:
        """The pool that the connection belongs to."""
        return self._pool

    @property
    def opened(self) -> datetime.datetime:
        """The time at which the connection was open."""
        return self._opened

    @property
    def running_since(self) -> datetime.datetime:
        """The earliest known time since when the database process runs."""
        return self._running_since

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

    @property
    def unsettled(self) -> UnsettledReason | None:
        """Why the session state is not known; None if it is known."""
        if self._unread:
            return UnsettledReason.REPLY_UNREAD
        if self._sync_failed:
            return UnsettledReason.SYNC_FAILED
        if self._state is not reply.TransactionState.IDLE:
            return UnsettledReason.IN_TRANSACTION
        return None

    @property
    def unread(self) -> tuple[database_request.Request, ...]:
        """The requests whose replies no borrower has read, oldest first."""
        return tuple(itertools.chain.from_iterable(self._unread.values()))

    def share_process(self, older: PooledConnection) -> None:
        """Records that an older connection leads to the same process."""
        self._running_since = min(self._running_since, older.running_since)

    def mark_idle(self, now: datetime.datetime) -> None:
        """Records that the connection is idle from `now` on."""
        self._returned = now

    def __repr__(self) -> str:
        return f"PooledConnection({self._connection!r})"

    async def run(
        self, request: database_request.Request, commits: bool = False
    ) -> database_request.ReplyResult:
        """Sends one request and returns its reply.

        If the database lacks a prepared statement, none counts as prepared on
        the connection any more.

        Args:
          request: request to send.
          commits: whether the request may commit a write.
        """
        self._committing = commits
        try:
            result = (await self.ask(request))[0]
        finally:
            self._committing = False
        if _lacks_statement(result):
            self._prepared.clear()
        return result

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
          The failure, after which the connection is closed; None if the session
          matches.
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
        for result in await self.ask(*batch):
            failure = database_request.failure_of(result)
            if failure is not None:
                self._sync_failed = True
                self._discard()
                return failure
        self._values, self._prepared = dict(values), set(names)
        return None

    async def ask(
        self, *batch: database_request.Request
    ) -> list[database_request.ReplyResult]:
        """Sends requests at once and returns their replies in order.

        If the borrower stops waiting, nobody reads what the requests did to the
        session state, so the connection is closed.
        """
        self._asked += 1
        number = self._asked
        self._unread[number] = batch
        try:
            results = await self._connection.ask(*batch)
        except BaseException:
            self._discard()
            raise
        del self._unread[number]
        if results and results[-1].is_ok():
            self._state = results[-1].ok.state
        return results

    def give_back(self) -> None:
        """Returns the connection to the pool.

        A connection whose session state is not known is closed instead of being
        lent again.
        """
        if self.unsettled is not None:
            self._discard()
        self._pool.accept_return(self)

    def _discard(self) -> None:
        """Closes the connection because its session state is not known."""
        if not self._connection.closed:
            self._pool.record_unsettled(self)
            self._connection.close()


BorrowResult = expression.Result[PooledConnection, errors.Failure]


def _lacks_statement(result: database_request.ReplyResult) -> bool:
    """Returns whether a database doesn't know a prepared statement."""
    match database_request.failure_of(result):
        case reply.Rejection(reason=reply.RejectionReason.UNKNOWN_STATEMENT):
            return True
    return False
