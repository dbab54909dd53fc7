"""Connection pool of one database.

The pool is an adapter that performs I/O and makes no decisions itself.
`RankQueue` decides which request is next, and `SlotAllocator` decides when a
connection is opened, seeks a slot or releases its slot. The pool carries out
the decisions and reports the results back.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import datetime
import functools
import random

import expression

from hickorygate.core import admission
from hickorygate.core import background
from hickorygate.core import clock as clocks
from hickorygate.core import lane
from hickorygate.core import pool_errors
from hickorygate.core import request_context
from hickorygate.core import settings as settings_lib
from hickorygate.core import sheet
from hickorygate.core import types
from hickorygate.upstreams import connection as connections
from hickorygate.upstreams import keepalive
from hickorygate.upstreams import slot_connection
from hickorygate.upstreams import slot_events
from hickorygate.upstreams import slot_locks
from hickorygate.upstreams import slot_request
from hickorygate.upstreams import slot_settings
from hickorygate.upstreams import slots
from hickorygate.upstreams import waiting_requests

__all__ = ["SlotPool"]


@dataclasses.dataclass(frozen=True, slots=True)
class _Lease:
    """A lease of a connection to a request.

    Attributes:
      channel: number of the connection's channel.
      waiter: admitted request that holds the lease.
      started: time at which the lease began.
    """

    channel: int
    waiter: lane.AdmittedRequest
    started: datetime.datetime


class SlotPool:
    """A pool of connections to one database for callers' statements."""

    __slots__ = (
        "_background",
        "_clock",
        "_connections",
        "_database",
        "_events",
        "_handling",
        "_keepalive",
        "_allocator",
        "_leases",
        "_leaving",
        "_opened",
        "_refused",
        "_settings",
        "_share",
        "_timer",
        "_waiting",
    )

    def __init__(
        self,
        database: sheet.Database,
        share: slots.SharedConnections,
        settings: settings_lib.UpstreamSettings,
        clock: clocks.Clock,
        policy: admission.SchedulingPolicy | None = None,
    ) -> None:
        self._clock = clock
        self._database = database
        self._settings = settings
        self._share = share
        self._waiting = waiting_requests.WaitingRequests(
            admission.QueueSettings(
                policy=policy or admission.Floors(),
                slots=database.slots,
                capacity=database.slots / share.proxies,
            ),
            clock,
        )
        self._allocator = slots.SlotAllocator(
            database.slots, share, slot_settings.SlotSettings(), random.Random()
        )
        self._connections: dict[int, connections.Connection] = {}
        self._leases: dict[connections.Connection, _Lease] = {}
        self._events: collections.deque[slot_events.Event] = collections.deque()
        self._handling = False
        self._background = background.BackgroundTasks()
        self._timer: asyncio.TimerHandle | None = None
        self._keepalive = keepalive.Keepalive(self, settings, clock)
        self._leaving = False
        self._opened = 0
        self._refused = 0

    @property
    def database(self) -> sheet.Database:
        """The database that the connections lead to."""
        return self._database

    @property
    def connections(self) -> dict[int, connections.Connection]:
        """The open connections by channel number."""
        return dict(self._connections)

    @property
    def idle(self) -> int:
        """Number of open connections that are not leased."""
        return len(self._connections) - len(self._leases)

    @property
    def leased(self) -> int:
        """Number of leased connections."""
        return len(self._leases)

    @property
    def held_slots(self) -> int:
        """Number of slots that this proxy holds."""
        return self._allocator.held_slots

    @property
    def waiting(self) -> dict[types.RankName, int]:
        """Number of waiting requests by rank."""
        return self._waiting.by_rank

    @property
    def opened(self) -> int:
        """Number of connections opened since the start."""
        return self._opened

    @property
    def busy(self) -> int:
        """Number of requests that run or wait."""
        return self.leased + self._waiting.size

    @property
    def refused(self) -> int:
        """Number of requests refused since the start."""
        return self._refused

    def __repr__(self) -> str:
        return (
            f"SlotPool({self._database.name!r}, idle={self.idle}, "
            f"leased={self.leased}, waiting={self._waiting.size})"
        )

    async def acquire(
        self, request: request_context.RequestContext
    ) -> waiting_requests.LeaseResult:
        """Waits for a connection that holds a slot.

        Args:
          request: request that needs the connection.

        Returns:
          A leased connection, to be passed to `release` afterwards, or a
          failure. A request that can't be answered by its deadline is refused
          at once.
        """
        result = await self._acquire(request)
        if result.is_error():
            self._refused += 1
        return result

    def release(self, connection: connections.Connection) -> None:
        """Takes back a leased connection; closes it if it isn't reusable."""
        lease = self._leases.pop(connection, None)
        if lease is None:
            return
        now = self._clock.now()
        self._waiting.finish(lease.waiter, now - lease.started, now)
        if not connection.reusable:
            connection.close()
        if self._connections.get(lease.channel) is not connection:
            self._report_demand()
        elif connection.closed:
            self.drop_connection(lease.channel)
        else:
            self._report_demand()
            self.handle_event(slot_events.ConnectionReturned(lease.channel))

    def retire(self) -> None:
        """Stops serving requests, because the database is about to leave.

        New and waiting requests are refused, and connections without a
        request are closed. Running requests may finish.
        """
        self._leaving = True
        failure = pool_errors.DatabaseLeft(self._database.name)
        self._waiting.refuse_all(failure)
        self.handle_event(slot_events.DatabaseLeaving())

    def drop_connections(self) -> None:
        """Closes all connections; running statements lose their answers."""
        for channel, connection in self.connections.items():
            if self.is_leased(connection):
                connection.close()
            else:
                self.drop_connection(channel)

    def close(self) -> None:
        """Closes idle connections at once and leased ones on release."""
        self.retire()
        self._keepalive.stop()
        if self._timer is not None:
            self._timer.cancel()

    def handle_event(self, event: slot_events.Event) -> None:
        """Passes an event to the slot allocator and performs the effects.

        An event that arrives while another one is handled is queued.
        """
        self._events.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            while self._events:
                now = self._clock.now()
                for effect in self._allocator.handle(
                    self._events.popleft(), now
                ):
                    _perform(effect, self)
        finally:
            self._handling = False

    def drop_connection(self, channel: int) -> None:
        """Closes and removes the connection of a channel."""
        connection = self._connections.pop(channel, None)
        if connection is not None:
            connection.close()
            self._report_demand()
            self.handle_event(slot_events.ConnectionLost(channel))

    def is_leased(self, connection: connections.Connection) -> bool:
        """Returns whether the connection is leased."""
        return connection in self._leases

    async def _acquire(
        self, request: request_context.RequestContext
    ) -> waiting_requests.LeaseResult:
        if self._leaving:
            return expression.Error(
                pool_errors.DatabaseLeft(self._database.name)
            )
        self._waiting.refuse_late()
        busy = self._waiting.running >= self._database.slots
        free = not busy and not self._allocator.contended
        added = self._waiting.add(request, free)
        if added.is_error():
            return expression.Error(added.error)
        self._keepalive.start()
        self._report_demand()
        return await self._wait_for_result(added.ok)

    async def _wait_for_result(
        self, waiter: waiting_requests.Waiter
    ) -> waiting_requests.LeaseResult:
        try:
            result = await self._waiting.wait(waiter)
        except asyncio.CancelledError:
            self._abandon(waiter)
            raise
        if result is not None:
            return result
        self._abandon(waiter)
        failure = self._waiting.deadline_passed(waiter.admitted)
        return expression.Error(failure)

    def _abandon(self, waiter: waiting_requests.Waiter) -> None:
        """Withdraws a request; releases the connection that it got, if any."""
        connection = self._waiting.withdraw(waiter)
        if connection is not None:
            self.release(connection)
        else:
            self._report_demand()

    def _report_demand(self) -> None:
        urgent = self._waiting.has_urgent_work()
        self.handle_event(slot_events.Demand(self._waiting.size, urgent))

    def _lease_next(self, channel: int) -> None:
        """Leases a ready connection to the next request."""
        self._waiting.refuse_late()
        now = self._clock.now()
        waiter = self._waiting.dequeue(now)
        if waiter is None:
            self._report_demand()
            self.handle_event(slot_events.ConnectionReturned(channel))
            return
        connection = self._connections[channel]
        self._leases[connection] = _Lease(channel, waiter, now)
        self._waiting.settle(waiter, expression.Ok(connection))

    async def _open(self, channel: int) -> None:
        opened = await slot_connection.open_registered(
            self._database, self._share.limit, self._settings
        )
        if opened.is_error():
            self.handle_event(slot_events.OpenFailed(channel, opened.error))
            return
        self._opened += 1
        self._connections[channel] = opened.ok
        self.handle_event(slot_events.Opened(channel))

    def _request_slot(self, request: slot_request.SlotRequest) -> None:
        """Requests a slot on a channel's connection, if it is still open.

        If the connection was just lost, nothing is done: the allocator is
        about to get a `ConnectionLost` event for the channel.
        """
        connection = self._connections.get(request.channel)
        if connection is not None:
            work = self._complete_slot_request(request, connection)
            self._background.start(work)

    async def _complete_slot_request(
        self,
        request: slot_request.SlotRequest,
        connection: connections.Connection,
    ) -> None:
        """Awaits a slot request and reports its result to the slot allocator.

        The result is ignored if the channel has another connection by then.
        """
        channel = request.channel
        result = await slot_request.send(
            request, connection, self._settings.probe_timeout
        )
        if self._connections.get(channel) is not connection:
            return
        match result:
            case expression.Result(tag="ok", ok=None):
                self._report_demand()
                self.handle_event(slot_events.SlotUnavailable(channel))
            case expression.Result(tag="ok", ok=slot):
                self._report_demand()
                self.handle_event(slot_events.SlotGranted(channel, slot))
            case _:
                self._keepalive.check_now()
                self.drop_connection(channel)

    async def _release(
        self, channel: int, connection: connections.Connection, slot: int
    ) -> None:
        result = await slot_locks.release_slot(
            connection, slot, self._settings.probe_timeout
        )
        if self._connections.get(channel) is not connection:
            return
        if result.is_error():
            self.drop_connection(channel)
        else:
            self.handle_event(slot_events.SlotReleased(channel))

    def _schedule_tick(self, at: datetime.datetime) -> None:
        if self._timer is not None:
            self._timer.cancel()
        delay = max((at - self._clock.now()).total_seconds(), 0)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(
            delay, self.handle_event, slot_events.Tick()
        )


@functools.singledispatch
def _perform(effect: slot_events.Effect, pool: SlotPool) -> None:
    raise TypeError(f"no handler for effect {effect!r}; register one")


@_perform.register
def _(effect: slot_events.Open, pool: SlotPool) -> None:
    pool._background.start(pool._open(effect.channel))


@_perform.register
def _(effect: slot_request.SlotRequest, pool: SlotPool) -> None:
    pool._request_slot(effect)


@_perform.register
def _(effect: slot_events.Release, pool: SlotPool) -> None:
    connection = pool._connections.get(effect.channel)
    if connection is not None:
        work = pool._release(effect.channel, connection, effect.slot)
        pool._background.start(work)


@_perform.register
def _(effect: slot_events.LeaseConnection, pool: SlotPool) -> None:
    pool._lease_next(effect.channel)


@_perform.register
def _(effect: slot_events.Close, pool: SlotPool) -> None:
    connection = pool._connections.pop(effect.channel, None)
    if connection is not None:
        connection.close()


@_perform.register
def _(effect: slot_events.RefuseWaiting, pool: SlotPool) -> None:
    pool._waiting.refuse_all(effect.failure)


@_perform.register
def _(effect: slot_events.ScheduleTick, pool: SlotPool) -> None:
    pool._schedule_tick(effect.at)
