"""A connection to a database that a pool lends, with its session state."""

from __future__ import annotations

from collections.abc import Mapping
import datetime
from typing import Protocol

import expression
import xxhash

from hickorygate.core import errors
from hickorygate.core import operation
from hickorygate.upstreams import database_request
from hickorygate.upstreams import failure_rate as failure_rates
from hickorygate.upstreams import member as members
from hickorygate.upstreams import permits as permit_lib

__all__ = ["BorrowResult", "Pool", "PooledConnection", "prepared_name"]

_MAX_PREPARED = 256
"""Number of prepared statements on one connection at which it is reset."""


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
    def failure_rate(self) -> failure_rates.FailureRate:
        """The recent failure rate of the database."""

    def accept_return(self, pooled_connection: PooledConnection) -> None:
        """Accepts a returned connection."""


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
        self, pool: Pool, connection: database_request.Connection
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
    def pool(self) -> Pool:
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
