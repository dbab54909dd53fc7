"""The requests that wait for a connection to one database.

`RankQueue` decides which request is next and which ones are refused. Here each
waiting request has a future, which gets the outcome of that decision.
"""

from __future__ import annotations

import asyncio
import dataclasses
import datetime

import expression

from hickorygate.core import admission
from hickorygate.core import clock as clocks
from hickorygate.core import errors
from hickorygate.core import lane
from hickorygate.core import request_context
from hickorygate.core import types
from hickorygate.upstreams import connection as connections

__all__ = ["LeaseResult", "Waiter", "WaitingRequests"]

LeaseResult = expression.Result[connections.Connection, errors.Failure]


@dataclasses.dataclass(frozen=True, slots=True)
class Waiter:
    """A request that waits for a connection.

    Attributes:
      admitted: the request, as the queue admitted it.
      future: gets the connection or the refusal.
    """

    admitted: lane.AdmittedRequest
    future: asyncio.Future[LeaseResult]


class WaitingRequests:
    """The requests that wait for a connection, and their futures."""

    __slots__ = ("_clock", "_futures", "_queue")

    def __init__(
        self, settings: admission.QueueSettings, clock: clocks.Clock
    ) -> None:
        self._clock = clock
        self._queue = admission.RankQueue(settings)
        self._futures: dict[
            lane.AdmittedRequest, asyncio.Future[LeaseResult]
        ] = {}

    @property
    def size(self) -> int:
        """Number of waiting requests."""
        return self._queue.size

    @property
    def by_rank(self) -> dict[types.RankName, int]:
        """Number of waiting requests by rank."""
        return self._queue.waiting

    @property
    def running(self) -> int:
        """Number of requests that have a connection."""
        return self._queue.running

    def __repr__(self) -> str:
        return f"WaitingRequests({self._queue!r})"

    def has_urgent_work(self) -> bool:
        """Returns whether a request may go ahead of other proxies' work."""
        return self._queue.has_urgent_work(self._clock.now())

    def add(
        self, request: request_context.RequestContext, free: bool
    ) -> expression.Result[Waiter, errors.Failure]:
        """Admits a request, or refuses it.

        Args:
          request: request that needs a connection.
          free: whether the request can run at once.

        Returns:
          The admitted request, or the refusal.
        """
        offered = self._queue.offer(request, self._clock.now(), free)
        if offered.is_error():
            return expression.Error(offered.error)
        future = asyncio.get_running_loop().create_future()
        self._futures[offered.ok] = future
        return expression.Ok(Waiter(offered.ok, future))

    async def wait(self, waiter: Waiter) -> LeaseResult | None:
        """Waits for a connection.

        Returns:
          The connection or the refusal, None if the deadline passed first.
        """
        left = waiter.admitted.request.time_left(self._clock.now())
        await asyncio.wait((waiter.future,), timeout=left.total_seconds())
        return waiter.future.result() if waiter.future.done() else None

    def withdraw(self, waiter: Waiter) -> connections.Connection | None:
        """Removes a request that is no longer waited for.

        Returns:
          The connection that the request got in the meantime, if any.
        """
        self._futures.pop(waiter.admitted, None)
        self._queue.withdraw(waiter.admitted, self._clock.now())
        if waiter.future.done() and waiter.future.result().is_ok():
            return waiter.future.result().ok
        return None

    def dequeue(self, now: datetime.datetime) -> lane.AdmittedRequest | None:
        """Removes and returns the request that runs next, None without one."""
        return self._queue.dequeue(now)

    def settle(self, waiter: lane.AdmittedRequest, result: LeaseResult) -> None:
        """Ends the wait of a request that left the queue."""
        future = self._futures.pop(waiter, None)
        if future is not None:
            future.set_result(result)

    def finish(
        self,
        waiter: lane.AdmittedRequest,
        service: datetime.timedelta,
        now: datetime.datetime,
    ) -> None:
        """Records that a request returned its connection."""
        self._queue.finish(waiter, service, now)

    def refuse_all(self, failure: errors.Failure) -> None:
        """Refuses all waiting requests."""
        for waiter in self._queue.clear():
            self.settle(waiter, expression.Error(failure))

    def refuse_late(self) -> None:
        """Refuses the requests that can't be answered by their deadlines."""
        for waiter in self._queue.remove_late(self._clock.now()):
            self.settle(waiter, expression.Error(self.deadline_passed(waiter)))

    def deadline_passed(
        self, waiter: lane.AdmittedRequest
    ) -> errors.DeadlinePassed:
        """Returns the refusal of a request whose deadline passes."""
        waited = self._clock.now() - waiter.request.arrived
        return errors.DeadlinePassed(waiter.request.rank.name, waited)
