"""Lends connections to one database, in the order that admission decides.

An adapter: `RankQueue` decides who is next, `SlotKeeper` which connection
opens, seeks a slot, or gives it back; this module does it and reports back.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Coroutine
import dataclasses
import datetime
import functools
import random

import expression

from hickorygate.core import admission
from hickorygate.core import background
from hickorygate.core import clock as clocks
from hickorygate.core import errors
from hickorygate.core import lane as lanes
from hickorygate.core import pool_errors
from hickorygate.core import request as requests
from hickorygate.core import settings as settings_lib
from hickorygate.core import sheet as sheets
from hickorygate.core import types
from hickorygate.upstreams import connection as connections
from hickorygate.upstreams import keepalive as keepalives
from hickorygate.upstreams import locks
from hickorygate.upstreams import slot_events as events
from hickorygate.upstreams import slots as slots_lib

__all__ = ["LeaseResult", "Pool"]

Ask = Callable[
    [connections.Connection], Coroutine[None, None, locks.SlotResult]
]
"""Asks for a slot on a connection."""

LeaseResult = expression.Result[connections.Connection, errors.Failure]

_QUEUE_WAIT = datetime.timedelta(milliseconds=500)
"""How long one statement queues for a slot; also bounds how long a silent
connection goes unnoticed there."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Lease:
    """A connection that runs a request."""

    channel: int
    waiter: lanes.Waiter
    started: datetime.datetime


class Pool:
    """Connections to one database for callers' statements."""

    __slots__ = (
        "_answers",
        "_background",
        "_clock",
        "_connections",
        "_database",
        "_events",
        "_handling",
        "_keepalive",
        "_keeper",
        "_leases",
        "_left",
        "_opened",
        "_queue",
        "_refused",
        "_settings",
        "_share",
        "_timer",
    )

    def __init__(
        self,
        database: sheets.Database,
        share: slots_lib.Share,
        settings: settings_lib.UpstreamSettings,
        clock: clocks.Clock,
        policy: admission.Policy | None = None,
    ) -> None:
        self._clock = clock
        self._database = database
        self._settings = settings
        self._share = share
        self._queue = admission.RankQueue(
            admission.QueueSettings(
                policy=policy or admission.Floors(),
                slots=database.slots,
                capacity=database.slots / share.proxies,
            )
        )
        self._keeper = slots_lib.SlotKeeper(
            database.slots, share, slots_lib.SlotSettings(), random.Random()
        )
        self._answers: dict[lanes.Waiter, asyncio.Future[LeaseResult]] = {}
        self._connections: dict[int, connections.Connection] = {}
        self._leases: dict[connections.Connection, _Lease] = {}
        self._events: collections.deque[events.Event] = collections.deque()
        self._handling = False
        self._background = background.Background()
        self._timer: asyncio.TimerHandle | None = None
        self._keepalive = keepalives.Keepalive(self, settings, clock)
        self._left = False
        self._opened = 0
        self._refused = 0

    @property
    def database(self) -> sheets.Database:
        """The database at the other end."""
        return self._database

    @property
    def connections(self) -> dict[int, connections.Connection]:
        """The open connections by channel."""
        return dict(self._connections)

    @property
    def idle(self) -> int:
        """Connections that no one uses."""
        return len(self._connections) - len(self._leases)

    @property
    def leased(self) -> int:
        """Connections in use."""
        return len(self._leases)

    @property
    def held(self) -> int:
        """Slots held."""
        return self._keeper.held

    @property
    def waiting(self) -> dict[types.RankName, int]:
        """Requests that wait, by rank."""
        return self._queue.waiting

    @property
    def opened(self) -> int:
        """Connections opened since the start."""
        return self._opened

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
        """Takes a connection back; one with traces of a session is closed."""
        lease = self._leases.pop(connection, None)
        if lease is None:
            return
        now = self._clock.now()
        self._queue.finish(lease.waiter, now - lease.started, now)
        if not connection.reusable:
            connection.close()
        if self._connections.get(lease.channel) is not connection:
            self._note_demand()
        elif connection.closed:
            self.lose(lease.channel)
        else:
            self._note_demand()
            self.note(events.Returned(lease.channel))

    def leave(self) -> None:
        """The database is leaving: nothing new, what runs may finish."""
        self._left = True
        failure = pool_errors.DatabaseLeft(self._database.name)
        self._refuse(self._queue.clear(), failure)
        self.note(events.Leave())

    def drop_connections(self) -> None:
        """Closes all connections; statements that run lose their answers."""
        for channel, connection in self.connections.items():
            if self.is_leased(connection):
                connection.close()
            else:
                self.lose(channel)

    def close(self) -> None:
        """Closes what is idle; what is leased closes when it comes back."""
        self.leave()
        self._keepalive.stop()
        if self._timer is not None:
            self._timer.cancel()

    def note(self, event: events.Event) -> None:
        """Lets the keeper decide on an event, and does what it says."""
        self._events.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            while self._events:
                now = self._clock.now()
                for effect in self._keeper.handle(self._events.popleft(), now):
                    _perform(effect, self)
        finally:
            self._handling = False

    def lose(self, channel: int) -> None:
        """Drops the connection of a channel."""
        connection = self._connections.pop(channel, None)
        if connection is not None:
            connection.close()
            self._note_demand()
            self.note(events.Lost(channel))

    def is_leased(self, connection: connections.Connection) -> bool:
        """Tells whether a caller has the connection."""
        return connection in self._leases

    async def _acquire(self, request: requests.Request) -> LeaseResult:
        if self._left:
            return expression.Error(
                pool_errors.DatabaseLeft(self._database.name)
            )
        self._drop_late()
        busy = self._queue.running >= self._database.slots
        free = not busy and not self._keeper.contended
        offered = self._queue.offer(request, self._clock.now(), free)
        if offered.is_error():
            return expression.Error(offered.error)
        waiter = offered.ok
        answer = asyncio.get_running_loop().create_future()
        self._answers[waiter] = answer
        self._keepalive.start()
        self._note_demand()
        try:
            return await self._answered(waiter, answer)
        except asyncio.CancelledError:
            self._abandon(waiter, answer)
            raise

    async def _answered(
        self, waiter: lanes.Waiter, answer: asyncio.Future[LeaseResult]
    ) -> LeaseResult:
        left = waiter.request.time_left(self._clock.now())
        await asyncio.wait((answer,), timeout=left.total_seconds())
        if answer.done():
            return answer.result()
        self._abandon(waiter, answer)
        return expression.Error(self._passed(waiter))

    def _abandon(
        self, waiter: lanes.Waiter, answer: asyncio.Future[LeaseResult]
    ) -> None:
        """Undoes a request that no one waits for any more."""
        self._answers.pop(waiter, None)
        self._queue.withdraw(waiter, self._clock.now())
        if answer.done() and answer.result().is_ok():
            self.release(answer.result().ok)
        else:
            self._note_demand()

    def _passed(self, waiter: lanes.Waiter) -> errors.DeadlinePassed:
        waited = self._clock.now() - waiter.request.arrived
        return errors.DeadlinePassed(waiter.request.rank.name, waited)

    def _refuse(
        self, waiters: tuple[lanes.Waiter, ...], failure: errors.Failure
    ) -> None:
        for waiter in waiters:
            self._answer(waiter, expression.Error(failure))

    def _answer(self, waiter: lanes.Waiter, result: LeaseResult) -> None:
        answer = self._answers.pop(waiter, None)
        if answer is not None:
            answer.set_result(result)

    def _drop_late(self) -> None:
        for waiter in self._queue.late(self._clock.now()):
            self._answer(waiter, expression.Error(self._passed(waiter)))

    def _note_demand(self) -> None:
        pressing = self._queue.pressing(self._clock.now())
        self.note(events.Demand(self._queue.size, pressing))

    def _lend(self, channel: int) -> None:
        """Gives a ready connection to who is next."""
        self._drop_late()
        now = self._clock.now()
        waiter = self._queue.take(now)
        if waiter is None:
            self._note_demand()
            self.note(events.Returned(channel))
            return
        connection = self._connections[channel]
        self._leases[connection] = _Lease(channel, waiter, now)
        self._answer(waiter, expression.Ok(connection))

    async def _open(self, channel: int) -> None:
        opened = await connections.open_connection(
            self._database, self._settings
        )
        if opened.is_ok():
            opened = await self._enter(opened.ok)
        if opened.is_error():
            self.note(events.OpenFailed(channel, opened.error))
            return
        self._opened += 1
        self._connections[channel] = opened.ok
        self.note(events.Opened(channel))

    async def _enter(self, connection: connections.Connection) -> LeaseResult:
        entered = await locks.enter(
            connection, self._share.limit, self._settings.connect_timeout
        )
        if entered.is_error():
            connection.close()
            return expression.Error(_before_work(entered.error))
        return expression.Ok(connection)

    def _seek_slot(self, channel: int, ask: Ask) -> None:
        """Asks for a slot on a channel's connection, if it still has one.

        One that was just lost is about to be told to the keeper.
        """
        connection = self._connections.get(channel)
        if connection is not None:
            work = self._seek(channel, connection, ask(connection))
            self._background.start(work)

    async def _seek(
        self,
        channel: int,
        connection: connections.Connection,
        work: Coroutine[None, None, locks.SlotResult],
    ) -> None:
        """Reports what became of a request for a slot."""
        result = await work
        if self._connections.get(channel) is not connection:
            return
        match result:
            case expression.Result(tag="ok", ok=None):
                self._note_demand()
                self.note(events.NotFree(channel))
            case expression.Result(tag="ok", ok=slot):
                self._note_demand()
                self.note(events.Granted(channel, slot))
            case _:
                self._keepalive.suspect()
                self.lose(channel)

    async def _release(
        self, channel: int, connection: connections.Connection, slot: int
    ) -> None:
        result = await locks.release(
            connection, slot, self._settings.probe_timeout
        )
        if self._connections.get(channel) is not connection:
            return
        if result.is_error():
            self.lose(channel)
        else:
            self.note(events.Released(channel))

    def _wake_at(self, at: datetime.datetime) -> None:
        if self._timer is not None:
            self._timer.cancel()
        delay = max((at - self._clock.now()).total_seconds(), 0)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay, self.note, events.Tick())


def _before_work(failure: errors.Failure) -> errors.Failure:
    """Says that no request was sent yet."""
    if isinstance(failure, errors.AnswerLost):
        return errors.ConnectFailed(failure.database, failure.reason)
    return failure


@functools.singledispatch
def _perform(effect: events.Effect, pool: Pool) -> None:
    raise TypeError(f"no way to do {effect!r}; register one")


@_perform.register
def _(effect: events.Open, pool: Pool) -> None:
    pool._background.start(pool._open(effect.channel))


@_perform.register
def _(effect: events.Try, pool: Pool) -> None:
    pool._seek_slot(
        effect.channel,
        lambda connection: locks.take_any(
            connection, effect.slots, pool._settings.probe_timeout
        ),
    )


@_perform.register
def _(effect: events.Await, pool: Pool) -> None:
    pool._seek_slot(
        effect.channel,
        lambda connection: locks.queue(
            connection, effect, _QUEUE_WAIT, pool._settings.probe_timeout
        ),
    )


@_perform.register
def _(effect: events.Yield, pool: Pool) -> None:
    pool._seek_slot(
        effect.channel,
        lambda connection: locks.swap(
            connection, effect.slot, pool._settings.probe_timeout
        ),
    )


@_perform.register
def _(effect: events.Release, pool: Pool) -> None:
    connection = pool._connections.get(effect.channel)
    if connection is not None:
        work = pool._release(effect.channel, connection, effect.slot)
        pool._background.start(work)


@_perform.register
def _(effect: events.Lend, pool: Pool) -> None:
    pool._lend(effect.channel)


@_perform.register
def _(effect: events.Close, pool: Pool) -> None:
    connection = pool._connections.pop(effect.channel, None)
    if connection is not None:
        connection.close()


@_perform.register
def _(effect: events.Refuse, pool: Pool) -> None:
    pool._refuse(pool._queue.clear(), effect.failure)


@_perform.register
def _(effect: events.Wake, pool: Pool) -> None:
    pool._wake_at(effect.at)
