"""The requests that wait for a connection of a pool, by rank."""

from __future__ import annotations

import asyncio
import bisect
from collections.abc import Callable
import dataclasses
import datetime
import enum

import expression

from hickorygate.core import clock as clocks
from hickorygate.core import errors
from hickorygate.core import request_context
from hickorygate.upstreams import pooled_connection

__all__ = ["BorrowPurpose", "BorrowQueue", "Waiter"]


class BorrowPurpose(enum.Enum):
    """The purpose for which a connection is borrowed."""

    SHORT = "a single statement"
    LONG = "a transaction, whose caller may be idle in between"


@dataclasses.dataclass(order=True, slots=True)
class Waiter:
    """A waiting borrower; ordered by rank, deadline and arrival.

    Attributes:
      rank: order of the request's rank; lower values are served first.
      deadline: time until which the borrower waits.
      number: sequence number of the wait.
      use: purpose of the connection.
      future: receives the connection or the failure.
      timer: ends the wait at the deadline.
    """

    rank: int
    deadline: datetime.datetime
    number: int
    use: BorrowPurpose = dataclasses.field(compare=False)
    future: asyncio.Future[pooled_connection.BorrowResult] = dataclasses.field(
        compare=False
    )
    timer: asyncio.TimerHandle = dataclasses.field(compare=False)


class BorrowQueue:
    """The waiting borrowers of one pool."""

    __slots__ = ("_clock", "_last_number", "_waiters")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._last_number = 0
        self._waiters: list[Waiter] = []

    def __len__(self) -> int:
        return len(self._waiters)

    def __repr__(self) -> str:
        return f"BorrowQueue(waiting={len(self)})"

    def add(
        self, request: request_context.RequestContext, use: BorrowPurpose
    ) -> Waiter:
        """Adds a borrower, which waits until the deadline of its request."""
        loop = asyncio.get_running_loop()
        future: asyncio.Future[pooled_connection.BorrowResult] = (
            loop.create_future()
        )
        left = request.time_left(self._clock.now()).total_seconds()
        timer = loop.call_later(left, self._expire, future, request)
        self._last_number += 1
        waiter = Waiter(
            request.rank.order,
            request.deadline,
            self._last_number,
            use,
            future,
            timer,
        )
        bisect.insort(self._waiters, waiter)
        return waiter

    def remove(self, waiter: Waiter) -> None:
        """Removes a borrower if it is still in the queue."""
        waiter.timer.cancel()
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def pop_first(
        self, may_borrow: Callable[[BorrowPurpose], bool]
    ) -> Waiter | None:
        """Removes and returns the first borrower that may get a connection.

        Args:
          may_borrow: returns whether a connection may be lent for a purpose.
        """
        for waiter in self._waiters:
            if not waiter.future.done() and may_borrow(waiter.use):
                self.remove(waiter)
                return waiter
        return None

    def fail_all(self, failure: errors.Failure) -> None:
        """Ends the wait of all borrowers with a failure."""
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            waiter.timer.cancel()
            if not waiter.future.done():
                waiter.future.set_result(expression.Error(failure))

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
