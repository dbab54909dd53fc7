"""Periodic checks of a pool's connections.

Each check handles three cases:

* Unused connections are pinged, so that the database keeps them open and
  connections that stopped responding are detected.
* A statement that has made no progress for a long time is reported, so that
  another connection can take over its slot.
* An open transaction that sends no statement is ended.
"""

from __future__ import annotations

import asyncio
import dataclasses
import datetime
from typing import Protocol

from hickorygate.core import background
from hickorygate.core import clock as clocks
from hickorygate.core import pool_errors
from hickorygate.core import settings as settings_lib
from hickorygate.core import sheet
from hickorygate.upstreams import connection as connections
from hickorygate.upstreams import slot_events

__all__ = ["Keepalive", "ConnectionHolder"]


class ConnectionHolder(Protocol):
    """The part of the pool that the checks use."""

    @property
    def database(self) -> sheet.Database:
        """The database that the connections lead to."""

    @property
    def connections(self) -> dict[int, connections.Connection]:
        """The open connections by channel number."""

    def is_leased(self, connection: connections.Connection) -> bool:
        """Returns whether the connection is leased."""

    def drop_connection(self, channel: int) -> None:
        """Closes and removes the connection of a channel."""

    def handle_event(self, event: slot_events.Event) -> None:
        """Passes an event to the slot allocator."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Activity:
    """The activity of a connection as of the last observed change.

    Attributes:
      statements: number of statements started on the connection.
      busy: whether a statement was running.
      since: time at which this activity was first observed.
    """

    statements: int
    busy: bool
    since: datetime.datetime


class Keepalive:
    """The background task that periodically checks one pool's connections.

    The pool starts the task with its first request.
    """

    __slots__ = (
        "_background",
        "_clock",
        "_holder",
        "_settings",
        "_activities",
        "_task",
        "_wake",
    )

    def __init__(
        self,
        holder: ConnectionHolder,
        settings: settings_lib.UpstreamSettings,
        clock: clocks.Clock,
    ) -> None:
        self._clock = clock
        self._holder = holder
        self._settings = settings
        self._activities: dict[connections.Connection, _Activity] = {}
        self._background = background.BackgroundTasks()
        self._task: asyncio.Task[None] | None = None
        self._wake = asyncio.Event()

    def __repr__(self) -> str:
        return f"Keepalive({self._holder.database.name!r})"

    def start(self) -> None:
        """Starts the task, unless it is running."""
        if self._task is None or self._task.done():
            self._task = self._background.keep(self._run)

    def stop(self) -> None:
        """Stops the task."""
        if self._task is not None:
            self._task.cancel()

    def check_now(self) -> None:
        """Checks all connections immediately, after one of them failed."""
        self._wake.set()

    async def _run(self) -> None:
        while True:
            await self._wait_for_next_check()
            now = self._clock.now()
            open_connections = self._holder.connections
            self._activities = {
                connection: self._observe(connection, now)
                for connection in open_connections.values()
            }
            checks = [
                self._check(channel, connection, now)
                for channel, connection in open_connections.items()
            ]
            await asyncio.gather(*checks)

    async def _wait_for_next_check(self) -> None:
        try:
            async with asyncio.timeout(self._settings.keepalive_ms / 1_000):
                await self._wake.wait()
        except TimeoutError:
            return
        finally:
            self._wake.clear()

    def _observe(
        self, connection: connections.Connection, now: datetime.datetime
    ) -> _Activity:
        activity = _Activity(connection.statement_count, connection.busy, now)
        previous = self._activities.get(connection)
        if previous is None:
            return activity
        unchanged = previous == dataclasses.replace(
            activity, since=previous.since
        )
        return previous if unchanged else activity

    async def _check(
        self,
        channel: int,
        connection: connections.Connection,
        now: datetime.datetime,
    ) -> None:
        silence = now - self._activities[connection].since
        leased = self._holder.is_leased(connection)
        if connection.closed:
            self._holder.drop_connection(channel)
        elif connection.busy:
            if leased and silence >= self._settings.stall:
                self._holder.handle_event(slot_events.StatementStalled(channel))
        elif leased and silence >= self._settings.transaction_idle:
            limit = self._settings.transaction_idle
            name = self._holder.database.name
            connection.close(pool_errors.TransactionIdle(name, limit))
            self._holder.drop_connection(channel)
        else:
            await self._ping(channel, connection)

    async def _ping(
        self, channel: int, connection: connections.Connection
    ) -> None:
        result = await connection.ping(self._settings.probe_timeout)
        if result.is_error():
            self._holder.drop_connection(channel)
