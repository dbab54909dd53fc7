"""A pool of connections to one database."""

from __future__ import annotations

import asyncio
import dataclasses
import datetime

import expression

from hickorygate.core import admission
from hickorygate.core import clock as clocks
from hickorygate.core import errors
from hickorygate.core import request as requests
from hickorygate.core import settings as settings_lib
from hickorygate.core import sheet as sheets
from hickorygate.core import types
from hickorygate.upstreams import connection as connections

__all__ = ["LeaseResult", "Pool"]

LeaseResult = expression.Result[connections.Connection, errors.Failure]


@dataclasses.dataclass(frozen=True, slots=True)
class _Lease:
    """A connection that runs a request."""

    waiter: admission.Waiter
    started: datetime.datetime


class Pool:
    """Lends connections in the order that admission decides."""

    __slots__ = (
        "_answers",
        "_clock",
        "_database",
        "_idle",
        "_leases",
        "_left",
        "_queue",
        "_refused",
        "_settings",
        "_size",
        "_tasks",
    )

    def __init__(
        self,
        database: sheets.Database,
        size: int,
        settings: settings_lib.UpstreamSettings,
        clock: clocks.Clock,
    ) -> None:
        self._clock = clock
        self._database = database
        self._settings = settings
        self._size = size
        self._queue = admission.RankQueue(
            admission.QueueSettings(slots=size, capacity=size)
        )
        self._answers: dict[admission.Waiter, asyncio.Future[LeaseResult]] = {}
        self._idle: list[connections.Connection] = []
        self._leases: dict[connections.Connection, _Lease] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._left = False
        self._refused = 0

    @property
    def database(self) -> sheets.Database:
        """The database at the other end."""
        return self._database

    @property
    def idle(self) -> int:
        """Connections that no one uses."""
        return len(self._idle)

    @property
    def leased(self) -> int:
        """Connections in use."""
        return len(self._leases)

    @property
    def waiting(self) -> dict[types.RankName, int]:
        """Requests that wait, by rank."""
        return self._queue.waiting

    @property
    def busy(self) -> int:
        """Requests that run or wait."""
        return self.leased + self._queue.size

    @property
    def refused(self) -> int:
        """Requests refused since the start."""
        return self._refused

    def __repr__(self) -> str:
        return (
            f"Pool({self._database.name!r}, idle={self.idle}, "
            f"leased={self.leased}, waiting={self._queue.size})"
        )

    async def acquire(self, request: requests.Request) -> LeaseResult:
        """Waits for a connection; refuses at once what can't be in time."""
        result = await self._acquire(request)
        if result.is_error():
            self._refused += 1
        return result

    def release(self, connection: connections.Connection) -> None:
        """Takes a connection back; a closed one is dropped."""
        lease = self._leases.pop(connection)
        now = self._clock.now()
        self._queue.finish(lease.waiter, now - lease.started, now)
        if self._left:
            connection.close()
        if not connection.closed:
            self._idle.append(connection)
        self._start_next()

    def leave(self) -> None:
        """The database is leaving: nothing new, what runs may finish."""
        self._left = True
        failure = errors.DatabaseLeft(self._database.name)
        for waiter in self._queue.clear():
            self._answer(waiter, expression.Error(failure))
        while self._idle:
            self._idle.pop().close()

    def drop_connections(self) -> None:
        """Closes all connections; statements that run lose their answers."""
        while self._idle:
            self._idle.pop().close()
        for connection in self._leases:
            connection.close()

    def close(self) -> None:
        """Closes what is idle; what is leased closes when it comes back."""
        self.leave()

    async def _acquire(self, request: requests.Request) -> LeaseResult:
        if self._left:
            return expression.Error(errors.DatabaseLeft(self._database.name))
        free = self._queue.running < self._size
        offered = self._queue.offer(request, self._clock.now(), free)
        if offered.is_error():
            return expression.Error(offered.error)
        waiter = offered.ok
        answer = asyncio.get_running_loop().create_future()
        self._answers[waiter] = answer
        self._start_next()
        left = request.time_left(self._clock.now())
        try:
            await asyncio.wait((answer,), timeout=left.total_seconds())
        except asyncio.CancelledError:
            self._abandon(waiter, answer)
            raise
        if answer.done():
            return answer.result()
        self._abandon(waiter, answer)
        waited = self._clock.now() - request.arrived
        return expression.Error(
            errors.DeadlinePassed(request.rank.name, waited)
        )

    def _abandon(
        self, waiter: admission.Waiter, answer: asyncio.Future[LeaseResult]
    ) -> None:
        """Undoes a request that no one waits for any more."""
        self._answers.pop(waiter, None)
        self._queue.withdraw(waiter)
        if answer.done() and answer.result().is_ok():
            self.release(answer.result().ok)

    def _answer(self, waiter: admission.Waiter, result: LeaseResult) -> None:
        answer = self._answers.pop(waiter, None)
        if answer is not None:
            answer.set_result(result)
        elif result.is_ok():
            self.release(result.ok)

    def _start_next(self) -> None:
        """Runs what the queue gives while there is room."""
        now = self._clock.now()
        for waiter in self._queue.late(now):
            waited = now - waiter.request.arrived
            failure = errors.DeadlinePassed(waiter.request.rank.name, waited)
            self._answer(waiter, expression.Error(failure))
        while self._queue.running < self._size:
            waiter = self._queue.take(now)
            if waiter is None:
                return
            self._lend(waiter)

    def _lend(self, waiter: admission.Waiter) -> None:
        while self._idle:
            connection = self._idle.pop()
            if not connection.closed:
                self._lease(waiter, connection)
                return
        task = asyncio.create_task(self._open(waiter))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _lease(
        self, waiter: admission.Waiter, connection: connections.Connection
    ) -> None:
        self._leases[connection] = _Lease(waiter, self._clock.now())
        self._answer(waiter, expression.Ok(connection))

    async def _open(self, waiter: admission.Waiter) -> None:
        result = await connections.open_connection(
            self._database, self._settings
        )
        match result:
            case expression.Result(tag="ok", ok=connection):
                self._lease(waiter, connection)
            case expression.Result(tag="error", error=failure):
                self._queue.finish(waiter, None, self._clock.now())
                self._answer(waiter, expression.Error(failure))
                self._start_next()
