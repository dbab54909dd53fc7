"""The live side of one group: pools, control connections, probes."""

from __future__ import annotations

import asyncio
import datetime

import expression

from hickorygate.core import clock as clocks
from hickorygate.core import errors
from hickorygate.core import events
from hickorygate.core import position as positions
from hickorygate.core import settings as settings_lib
from hickorygate.core import sheet as sheets
from hickorygate.core import types
from hickorygate.upstreams import connection as connections
from hickorygate.upstreams import control
from hickorygate.upstreams import group as groups
from hickorygate.upstreams import pool as pools

__all__ = ["DatabaseLink", "GroupLink"]


class DatabaseLink:
    """A database's pool and its one control connection."""

    __slots__ = ("_control", "_database", "_lock", "_pool", "_settings")

    def __init__(
        self,
        database: sheets.Database,
        proxies: int,
        settings: settings_lib.UpstreamSettings,
        clock: clocks.Clock,
    ) -> None:
        share = max(1, database.connections // proxies - 1)
        self._database = database
        self._settings = settings
        self._pool = pools.Pool(database, share, settings, clock)
        self._control: connections.Connection | None = None
        self._lock = asyncio.Lock()

    @property
    def database(self) -> sheets.Database:
        """The database at the other end."""
        return self._database

    @property
    def pool(self) -> pools.Pool:
        """Connections for callers' statements."""
        return self._pool

    def __repr__(self) -> str:
        return f"DatabaseLink({self._database.name!r})"

    async def status(self) -> control.StatusResult:
        """Asks for the status on the control connection."""
        async with self._lock:
            link = await self._control_connection()
            match link:
                case expression.Result(tag="ok", ok=connection):
                    timeout = self._settings.probe_timeout
                    return await control.read_status(connection, timeout)
            return link

    async def wait(self, position: positions.Position) -> control.StatusResult:
        """Waits until the database holds the position."""
        async with self._lock:
            link = await self._control_connection()
            match link:
                case expression.Result(tag="ok", ok=connection):
                    timeout = self._settings.confirm_timeout
                    return await control.wait(connection, position, timeout)
            return link

    def close(self) -> None:
        """Closes the control connection and what is idle."""
        self._pool.close()
        if self._control is not None:
            self._control.close()

    async def _control_connection(self) -> pools.LeaseResult:
        if self._control is not None and not self._control.closed:
            return expression.Ok(self._control)
        result = await connections.open_connection(
            self._database, self._settings
        )
        if result.is_ok():
            self._control = result.ok
        return result


class GroupLink:
    """All links of a group, and the view that probes keep up to date."""

    __slots__ = (
        "_clock",
        "_links",
        "_probes",
        "_settings",
        "_time_line",
        "_view",
    )

    def __init__(
        self,
        group: sheets.Group,
        proxies: int,
        settings: settings_lib.UpstreamSettings,
        clock: clocks.Clock,
        time_line: events.TimeLine,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._time_line = time_line
        self._view = groups.GroupView(group)
        self._links = {
            database.name: DatabaseLink(database, proxies, settings, clock)
            for database in group.databases
        }
        self._probes: list[asyncio.Task[None]] = []

    @property
    def view(self) -> groups.GroupView:
        """What is known of the group."""
        return self._view

    def __repr__(self) -> str:
        return f"GroupLink({self._view!r})"

    def link(self, name: types.DatabaseName) -> DatabaseLink:
        """Returns the link to one database."""
        return self._links[name]

    def start(self) -> None:
        """Starts one probe task a database."""
        self._probes = [
            asyncio.create_task(self._probe(link))
            for link in self._links.values()
        ]

    async def close(self) -> None:
        """Stops the probes and closes the links."""
        for probe in self._probes:
            probe.cancel()
        await asyncio.gather(*self._probes, return_exceptions=True)
        for link in self._links.values():
            link.close()

    async def refresh(self, name: types.DatabaseName) -> control.StatusResult:
        """Asks one database for its status and takes it into the view."""
        asked = self._clock.now()
        result = await self._links[name].status()
        match result:
            case expression.Result(tag="ok", ok=status):
                self._observe(status, asked)
            case expression.Result(tag="error", error=failure):
                self._lose(name, failure)
        return result

    async def confirm(
        self, position: positions.Position
    ) -> expression.Result[None, errors.Failure]:
        """Waits until a majority of the group holds a write."""
        primary = self._view.primary
        waiting = {
            asyncio.create_task(link.wait(position))
            for name, link in self._links.items()
            if primary is None or name != primary.database
        }
        held = 1
        while waiting and held < self._view.group.majority:
            done, waiting = await asyncio.wait(
                waiting, return_when=asyncio.FIRST_COMPLETED
            )
            held += sum(
                task.result().is_ok()
                and positions.holds(task.result().ok, position)
                for task in done
            )
        if held >= self._view.group.majority:
            return expression.Ok(None)
        name = self._view.group.name
        return expression.Error(errors.ReplicationUnconfirmed(name))

    def _observe(
        self, status: positions.DatabaseStatus, asked: datetime.datetime
    ) -> None:
        before = self._view.primary
        self._view.observe(groups.Sighting(status, asked, self._clock.now()))
        after = self._view.primary
        if after is None or after == before:
            return
        if before is None or before.database != after.database:
            name = self._view.group.name
            self._time_line.record(
                events.PrimaryChanged(name, after.database, after.term)
            )

    def _lose(self, name: types.DatabaseName, failure: errors.Failure) -> None:
        known = {s.status.database for s in self._view.sightings}
        if name in known:
            self._view.forget(name)
            self._time_line.record(events.DatabaseLost(name, failure.message))

    async def _probe(self, link: DatabaseLink) -> None:
        while True:
            await self.refresh(link.database.name)
            await self._clock.sleep(self._settings.probe_period)
