"""Looks after a pool's connections between statements.

Once a period: unused connections are pinged, so that the database keeps them
and one that went silent is found; a statement that has been silent for long
is reported, so that another connection stands by for its slot; an open
transaction that sends nothing is ended.
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
from hickorygate.core import sheet as sheets
from hickorygate.upstreams import connection as connections
from hickorygate.upstreams import slot_events as events

__all__ = ["Keepalive", "Keeper"]


class Keeper(Protocol):
    """The pool, as seen from here."""

    @property
    def database(self) -> sheets.Database:
        """The database at the other end."""

    @property
    def connections(self) -> dict[int, connections.Connection]:
        """The open connections by channel."""

    def is_leased(self, connection: connections.Connection) -> bool:
        """Tells whether a caller has the connection."""

    def lose(self, channel: int) -> None:
        """Drops the connection of a channel."""

    def note(self, event: events.Event) -> None:
        """Takes in an event."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Sight:
    """What a connection did when a change was last seen.

    Attributes:
      statements: how many it had begun.
      busy: whether one was running.
      since: when that was first seen.
    """

    statements: int
    busy: bool
    since: datetime.datetime


class Keepalive:
    """The periodic task of one pool; it runs while connections are open."""

    __slots__ = (
        "_background",
        "_clock",
        "_keeper",
        "_settings",
        "_sights",
        "_task",
        "_wake",
    )

    def __init__(
        self,
        keeper: Keeper,
        settings: settings_lib.UpstreamSettings,
        clock: clocks.Clock,
    ) -> None:
        self._clock = clock
        self._keeper = keeper
        self._settings = settings
        self._sights: dict[connections.Connection, _Sight] = {}
        self._background = background.Background()
        self._task: asyncio.Task[None] | None = None
        self._wake = asyncio.Event()

    def __repr__(self) -> str:
        return f"Keepalive({self._keeper.database.name!r})"

    def start(self) -> None:
        """Starts the task, if it doesn't run."""
        if self._task is None or self._task.done():
            self._task = self._background.start(self._run())

    def stop(self) -> None:
        """Stops the task."""
        if self._task is not None:
            self._task.cancel()

    def suspect(self) -> None:
        """A connection failed: looks at the others at once."""
        self._wake.set()

    async def _run(self) -> None:
        while True:
            await self._pause()
            now = self._clock.now()
            open_now = self._keeper.connections
            self._sights = {
                connection: self._see(connection, now)
                for connection in open_now.values()
            }
            checks = [
                self._check(channel, connection, now)
                for channel, connection in open_now.items()
            ]
            await asyncio.gather(*checks)

    async def _pause(self) -> None:
        try:
            async with asyncio.timeout(self._settings.keepalive_ms / 1_000):
                await self._wake.wait()
        except TimeoutError:
            return
        finally:
            self._wake.clear()

    def _see(
        self, connection: connections.Connection, now: datetime.datetime
    ) -> _Sight:
        sight = _Sight(connection.statements, connection.busy, now)
        before = self._sights.get(connection)
        if before is None:
            return sight
        same = before == dataclasses.replace(sight, since=before.since)
        return before if same else sight

    async def _check(
        self,
        channel: int,
        connection: connections.Connection,
        now: datetime.datetime,
    ) -> None:
        silent = now - self._sights[connection].since
        leased = self._keeper.is_leased(connection)
        if connection.closed:
            self._keeper.lose(channel)
        elif connection.busy:
            if leased and silent >= self._settings.stall:
                self._keeper.note(events.Stalled(channel))
        elif leased and silent >= self._settings.transaction_idle:
            limit = self._settings.transaction_idle
            name = self._keeper.database.name
            connection.close(pool_errors.TransactionIdle(name, limit))
            self._keeper.lose(channel)
        else:
            await self._ping(channel, connection)

    async def _ping(
        self, channel: int, connection: connections.Connection
    ) -> None:
        result = await connection.ping(self._settings.probe_timeout)
        if result.is_error():
            self._keeper.lose(channel)
