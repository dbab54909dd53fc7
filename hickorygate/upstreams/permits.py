"""Admission control for one database.

Requests wait here by rank, not in the database's own queue, which doesn't
distinguish ranks.
"""

from __future__ import annotations

import asyncio
import datetime

import expression

from hickorygate.core import admission
from hickorygate.core import capacity as capacities
from hickorygate.core import clock as clocks
from hickorygate.core import errors
from hickorygate.core import lane
from hickorygate.core import request_context

__all__ = ["PermitResult", "Permits"]

PermitResult = expression.Result[lane.AdmittedRequest, errors.Failure]

_DISPLACED_RETRY_DELAY = datetime.timedelta(milliseconds=100)
"""Retry delay that the refusal of a request suggests that others displaced."""


class Permits:
    """Limits the concurrent requests to one database.

    The limit is learned, or else a fixed number.
    """

    __slots__ = ("_capacity", "_clock", "_limit", "_queue", "_waiting")

    def __init__(
        self,
        slots: int,
        clock: clocks.Clock,
        capacity: capacities.CapacityEstimate | None = None,
    ) -> None:
        self._clock = clock
        self._capacity = capacity
        self._limit = slots
        self._queue = admission.RankQueue(
            admission.QueueSettings(slots=slots, capacity=float(slots))
        )
        self._waiting: dict[
            int, tuple[asyncio.Future[PermitResult], asyncio.TimerHandle]
        ] = {}

    @property
    def load(self) -> int:
        """Number of requests that run or wait."""
        return self._queue.size + self._queue.running

    def __repr__(self) -> str:
        return f"Permits({self._queue!r}, limit={self._limit})"

    def set_limit(self, limit: int) -> None:
        """Sets the maximum number that is in force unless one is learned."""
        self._limit = limit

    def refresh(self) -> None:
        """Grants what a higher learned limit allows."""
        self._grant_waiting()

    async def acquire(
        self, request: request_context.RequestContext
    ) -> PermitResult:
        """Waits for a permit.

        Args:
          request: request that needs the permit.

        Returns:
          The admitted request, to be passed to `release` afterwards, or a
          failure.
        """
        now = self._clock.now()
        free = self._queue.running < self._allowed(request.rank.order == 0)
        offered = self._queue.offer(request, now, free)
        if offered.is_error():
            return offered
        waiter = offered.ok
        loop = asyncio.get_running_loop()
        future: asyncio.Future[PermitResult] = loop.create_future()
        left = request.time_left(now).total_seconds()
        timer = loop.call_later(left, self._expire, waiter)
        self._waiting[waiter.number] = (future, timer)
        self._grant_waiting()
        try:
            return await future
        except asyncio.CancelledError:
            self._abandon(waiter, future)
            raise

    def release(
        self, waiter: lane.AdmittedRequest, service: datetime.timedelta | None
    ) -> None:
        """Releases a permit.

        Args:
          waiter: admitted request that `acquire` returned.
          service: time for which the request ran; None if nothing ran.
        """
        self._queue.finish(waiter, service, self._clock.now())
        self._grant_waiting()

    def close(self, failure: errors.Failure) -> None:
        """Refuses all waiting requests with the failure."""
        for waiter in self._queue.clear():
            self._settle(waiter, expression.Error(failure))

    def _allowed(self, urgent: bool) -> int:
        """Returns how many requests may run if urgent work waits or not."""
        if self._capacity is None:
            return self._limit
        if urgent:
            return self._capacity.urgent_limit
        return self._capacity.limit

    def _abandon(
        self,
        waiter: lane.AdmittedRequest,
        future: asyncio.Future[PermitResult],
    ) -> None:
        """Withdraws a cancelled request, or releases the permit it got."""
        granted = waiter.number not in self._waiting
        if granted:
            self.release(waiter, None)
            return
        _, timer = self._waiting.pop(waiter.number)
        timer.cancel()
        self._queue.withdraw(waiter, self._clock.now())

    def _grant_waiting(self) -> None:
        now = self._clock.now()
        for waiter in self._queue.remove_late(now):
            self._refuse(waiter, now)
        for waiter in self._queue.remove_displaced(now):
            failure = errors.Overloaded(
                waiter.request.rank.name, _DISPLACED_RETRY_DELAY
            )
            self._settle(waiter, expression.Error(failure))
        while self._queue.running < self._allowed(
            self._queue.has_urgent_work(now)
        ):
            waiter = self._queue.dequeue(now)
            if waiter is None:
                return
            self._settle(waiter, expression.Ok(waiter))

    def _expire(self, waiter: lane.AdmittedRequest) -> None:
        now = self._clock.now()
        if self._queue.withdraw(waiter, now):
            self._refuse(waiter, now)

    def _refuse(
        self, waiter: lane.AdmittedRequest, now: datetime.datetime
    ) -> None:
        waited = now - waiter.request.arrived
        failure = errors.DeadlinePassed(waiter.request.rank.name, waited)
        self._settle(waiter, expression.Error(failure))

    def _settle(
        self, waiter: lane.AdmittedRequest, result: PermitResult
    ) -> None:
        future, timer = self._waiting.pop(waiter.number)
        timer.cancel()
        if not future.done():
            future.set_result(result)
        elif result.is_ok():
            self._queue.finish(waiter, None, self._clock.now())
