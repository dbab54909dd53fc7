"""The requests that wait for a connection of a pool, by rank."""

from __future__ import annotations

import asyncio
import bisect
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterator
import dataclasses
import datetime
import enum

import expression

from hickorygate.core import clock as clocks
from hickorygate.core import errors
from hickorygate.core import request_context
from hickorygate.core import types
from hickorygate.upstreams import lending_rate
from hickorygate.upstreams import pooled_connection

__all__ = ["BorrowPurpose", "BorrowQueue", "OVERTAKE_LIMIT", "Waiter"]

OVERTAKE_LIMIT = datetime.timedelta(milliseconds=25)
"""Time for which a borrower may be overtaken by those of the same rank that can
use a returned connection as it is. Opening one for another workspace takes 12
ms and a slot."""

_OWN_OVERTAKE_LIMIT = datetime.timedelta(milliseconds=100)
"""The same time if connections of the borrower's workspace are in use. It
probably gets one of them when that is returned."""


class BorrowPurpose(enum.Enum):
    """The purpose for which a connection is borrowed."""

    SHORT = "a single statement"
    LONG = "a transaction, whose caller may be idle in between"
    STATUS = "a status query, on a connection of any workspace"


@dataclasses.dataclass(order=True, slots=True)
class Waiter:
    """A waiting borrower; ordered by rank, deadline and arrival.

    Attributes:
      rank: order of the request's rank; lower values are served first.
      deadline: time until which the borrower waits.
      number: sequence number of the wait.
      use: purpose of the connection.
      workspace: workspace of the borrower; empty if it has none.
      since: time at which the wait began.
      rank_name: name of the request's rank.
      future: receives the connection or the failure.
      timer: ends the wait at the deadline.
      opening: whether a connection is being opened for the borrower.
    """

    rank: int
    deadline: datetime.datetime
    number: int
    use: BorrowPurpose = dataclasses.field(compare=False)
    future: asyncio.Future[pooled_connection.BorrowResult] = dataclasses.field(
        compare=False
    )
    timer: asyncio.TimerHandle = dataclasses.field(compare=False)
    workspace: types.WorkspaceName = dataclasses.field(compare=False)
    since: datetime.datetime = dataclasses.field(compare=False)
    rank_name: types.RankName = dataclasses.field(compare=False)
    opening: bool = dataclasses.field(compare=False, default=False)

    def has_waited(self, now: datetime.datetime) -> bool:
        """Returns whether the borrower has waited for `OVERTAKE_LIMIT`."""
        return now - self.since >= OVERTAKE_LIMIT

    def accepts(self, workspace: types.WorkspaceName) -> bool:
        """Returns whether a workspace's connection serves the borrower."""
        any_workspace = self.use is BorrowPurpose.STATUS
        return any_workspace or self.workspace == workspace


class BorrowQueue:
    """The waiting borrowers of one pool."""

    __slots__ = (
        "_clock",
        "_last_number",
        "_rate",
        "_rejects_late",
        "_waiters",
    )

    def __init__(self, clock: clocks.Clock, rejects_late: bool = False) -> None:
        """Creates an empty queue.

        Args:
          clock: source of time.
          rejects_late: whether to reject transactions at once that are expected
            to get no connection before their deadline.
        """
        self._clock = clock
        self._rejects_late = rejects_late
        self._last_number = 0
        self._waiters: list[Waiter] = []
        self._rate = lending_rate.LendingRate()

    def __len__(self) -> int:
        return len(self._waiters)

    def __repr__(self) -> str:
        return f"BorrowQueue(waiting={len(self)})"

    def add(
        self, request: request_context.RequestContext, use: BorrowPurpose
    ) -> Waiter:
        """Adds a borrower, which waits until the deadline of its request.

        A transaction that is not going to get a connection by then is refused
        at once, also if others push it back later.
        """
        loop = asyncio.get_running_loop()
        future: asyncio.Future[pooled_connection.BorrowResult] = (
            loop.create_future()
        )
        now = self._clock.now()
        left = request.time_left(now).total_seconds()
        timer = loop.call_later(left, self._expire, future, request)
        self._last_number += 1
        waiter = Waiter(
            request.rank.order,
            request.deadline,
            self._last_number,
            use,
            future,
            timer,
            request.workspace,
            now,
            request.rank.name,
        )
        self._advance()
        bisect.insort(self._waiters, waiter)
        if use is BorrowPurpose.LONG:
            self._refuse_late(now)
        return waiter

    def remove(self, waiter: Waiter) -> None:
        """Removes a borrower if it is still in the queue.

        One that nobody has answered yet gets a connection.
        """
        waiter.timer.cancel()
        if waiter not in self._waiters:
            return
        self._advance()
        if waiter.use is BorrowPurpose.LONG and not waiter.future.done():
            self._rate.record()
        self._waiters.remove(waiter)

    def next_for(
        self,
        workspace: types.WorkspaceName,
        in_use: Collection[types.WorkspaceName],
        may_borrow: Callable[[BorrowPurpose], bool],
    ) -> Waiter | None:
        """Returns the borrower to serve next when a connection is idle.

        The borrower may be of another workspace; then a connection has to be
        opened for it. That is so if no borrower of its rank can use the idle
        connection, or it has waited for `OVERTAKE_LIMIT`, or for
        `_OWN_OVERTAKE_LIMIT`.

        Args:
          workspace: workspace of the idle connection.
          in_use: workspaces of the connections in use.
          may_borrow: returns whether a connection may be lent for a purpose.
        """
        now = self._clock.now()
        first: Waiter | None = None
        for waiter in self._eligible(may_borrow):
            if first is not None and waiter.rank != first.rank:
                break
            if waiter.accepts(workspace):
                return waiter
            if waiter.opening:
                continue
            has_own = waiter.workspace in in_use
            limit = _OWN_OVERTAKE_LIMIT if has_own else OVERTAKE_LIMIT
            if now - waiter.since >= limit:
                return waiter
            first = first or waiter
        if first is not None and first.workspace in in_use:
            return first if first.has_waited(now) else None
        return first

    def first_accepting(
        self,
        workspace: types.WorkspaceName,
        may_borrow: Callable[[BorrowPurpose], bool],
    ) -> Waiter | None:
        """Returns the first borrower that a workspace's connection can serve.

        Args:
          workspace: workspace of the connection.
          may_borrow: returns whether a connection may be lent for a purpose.
        """
        for waiter in self._eligible(may_borrow):
            if waiter.accepts(workspace):
                return waiter
        return None

    def unserved(self) -> list[Waiter]:
        """Returns the borrowers for which no connection is being opened."""
        return [
            waiter
            for waiter in self._waiters
            if not waiter.opening and not waiter.future.done()
        ]

    def fail_all(self, failure: errors.Failure) -> None:
        """Ends the wait of all borrowers with a failure."""
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            waiter.timer.cancel()
            if not waiter.future.done():
                waiter.future.set_result(expression.Error(failure))

    def _transactions(self) -> list[Waiter]:
        """Returns the waiting transactions, the next one first."""
        return [
            waiter
            for waiter in self._waiters
            if waiter.use is BorrowPurpose.LONG and not waiter.future.done()
        ]

    def _advance(self) -> None:
        self._rate.advance(len(self._transactions()), self._clock.now())

    def _refuse_late(self, now: datetime.datetime) -> None:
        """Refuses the transactions that would wait beyond their deadline."""
        if not self._rejects_late:
            return
        ahead = 0
        for waiter in self._transactions():
            expected = now + self._rate.expected_wait(ahead)
            if expected <= waiter.deadline:
                ahead += 1
                continue
            failure = errors.Overloaded(
                waiter.rank_name, expected - waiter.deadline
            )
            waiter.timer.cancel()
            waiter.future.set_result(expression.Error(failure))

    def _eligible(
        self, may_borrow: Callable[[BorrowPurpose], bool]
    ) -> Iterator[Waiter]:
        """Yields the borrowers that may get a connection, in their order."""
        for waiter in self._waiters:
            if not waiter.future.done() and may_borrow(waiter.use):
                yield waiter

    def _expire(
        self,
        future: asyncio.Future[pooled_connection.BorrowResult],
        request: request_context.RequestContext,
    ) -> None:
        if future.done():
            return
        waited = self._clock.now() - request.arrived
        failure = errors.DeadlinePassed(request.rank.name, waited)
        future.set_result(expression.Error(failure))
