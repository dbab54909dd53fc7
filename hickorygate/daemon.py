"""One proxy process: builds the parts and holds the sheet in force."""

from __future__ import annotations

import asyncio
import datetime
import random

import expression
import zmq

from hickorygate.callers import balance
from hickorygate.callers import environment as environments
from hickorygate.callers import frontend
from hickorygate.callers import server as servers
from hickorygate.core import background
from hickorygate.core import clock as clocks
from hickorygate.core import errors
from hickorygate.core import events
from hickorygate.core import retry
from hickorygate.core import settings as settings_lib
from hickorygate.core import sheet as sheets
from hickorygate.core import tls
from hickorygate.core import types
from hickorygate.operators import admin
from hickorygate.operators import recorder as recorders
from hickorygate.platform import connect as platforms
from hickorygate.proxies import mesh as meshes
from hickorygate.store import keeper as keepers
from hickorygate.upstreams import link as links

__all__ = ["Daemon", "VERSION"]

VERSION = "0.1.0"

_RETIRE_POLL = datetime.timedelta(milliseconds=100)


class Daemon:
    """A proxy: callers in front, databases behind, proxies beside it."""

    def __init__(
        self, settings: settings_lib.Settings, clock: clocks.Clock
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._stamps = events.StampClock(clock)
        self._time_line = events.TimeLine(settings.name, self._stamps)
        self._generator = random.Random()
        self._keeper = keepers.Keeper(
            platforms.connect(settings.platform, clock, self._generator),
            self,
            clock,
            self._time_line,
            self._generator,
        )
        self._mesh = meshes.Mesh(
            settings,
            self._keeper,
            clock,
            self._stamps,
            self._time_line,
            self._generator,
        )
        self._groups: dict[types.GroupName, links.GroupLink] = {}
        self._recorder = recorders.Recorder(self._time_line)
        self._server = self._build_server()
        self._crashed = False
        self._background = background.Background()
        self._began = clock.now()
        self._planned: asyncio.Task[None] | None = None
        self._proxies = 0
        self._admin = admin.Admin(self, settings.admin)
        self._drain: asyncio.Task[None] | None = None
        self._drained = asyncio.Event()

    @property
    def settings(self) -> settings_lib.Settings:
        """The settings of this process."""
        return self._settings

    @property
    def clock(self) -> clocks.Clock:
        """The time."""
        return self._clock

    @property
    def version(self) -> str:
        """The program's version."""
        return VERSION

    @property
    def sheet(self) -> sheets.Sheet | None:
        """The sheet in force."""
        return self._keeper.sheet

    @property
    def keeper(self) -> keepers.Keeper:
        """The sheet and the list of instances."""
        return self._keeper

    @property
    def port(self) -> int:
        """The TCP port that callers connect to."""
        return self._server.port

    @property
    def admin(self) -> str:
        """Address of the operators' port."""
        return self._admin.address

    @property
    def callers(self) -> int:
        """Connected callers."""
        return self._server.connections

    @property
    def crashed(self) -> bool:
        """Whether a part of the process has ended by a fault."""
        return self._crashed

    @property
    def draining(self) -> bool:
        """Whether it shuts down."""
        return self._drain is not None

    @property
    def mesh(self) -> meshes.Mesh:
        """The link to the other proxies."""
        return self._mesh

    @property
    def time_line(self) -> events.TimeLine:
        """This process's events."""
        return self._time_line

    @property
    def recorder(self) -> recorders.Recorder:
        """The sums of what was measured here."""
        return self._recorder

    @property
    def groups(self) -> tuple[links.GroupLink, ...]:
        """The links to the groups of the sheet in force."""
        return tuple(self._groups.values())

    def __repr__(self) -> str:
        return f"Daemon({self._settings.name!r})"

    def group(self, name: types.GroupName) -> links.GroupLink:
        """Returns the link to a group of the sheet in force."""
        return self._groups[name]

    async def start(self) -> expression.Result[None, errors.Failure]:
        """Starts all parts; after a failure `close` stops those that ran."""
        callers = self._settings.callers
        context = tls.server_context(callers.tls)
        if context.is_error():
            return expression.Error(context.error)
        if context.ok is not None:
            self._server.use_tls(context.ok, callers.tls_required)
        try:
            part = "admin"
            await self._admin.start()
            part = "peers"
            await self._mesh.start(self._admin.address)
            part = "callers"
            await self._server.start(callers.host, callers.port)
        except (OSError, zmq.ZMQError) as error:
            return expression.Error(errors.ListenFailed(part, str(error)))
        self._keeper.start(self._mesh)
        self._time_line.record(events.ProcessStarted(VERSION))
        return expression.Ok(None)

    def note_crash(self) -> None:
        """Takes in that a part of the process has ended by a fault."""
        self._crashed = True

    def drain(self) -> None:
        """Begins a graceful shutdown; `drained` tells when it is done."""
        if self._drain is None:
            self._time_line.record(events.ProcessDraining())
            self._drain = self._background.start(self._finish_work())

    async def drained(self) -> None:
        """Waits until someone asked for a shutdown and all work is done."""
        await self._drained.wait()

    async def close(self) -> None:
        """Stops all parts."""
        await self._background.close()
        await self._keeper.close()
        await self._admin.close()
        await self._server.close()
        await self._mesh.close()
        for group in self._groups.values():
            await group.close()

    async def apply(self, sheet: sheets.Sheet) -> None:
        """Builds the links that a sheet asks for."""
        old, self._groups = self._groups, {}
        if sheet.proxies != self._proxies:
            old, replaced = {}, tuple(old.values())
        else:
            replaced = ()
        self._proxies = sheet.proxies
        for service in sheet.services:
            for group in service.groups:
                self._groups[group.name] = self._kept(old, group, sheet)
        for group_link in (*replaced, *old.values()):
            self._background.start(self._retire(group_link))
        self._plan_stop(sheet)

    def leave(self, names: frozenset[str]) -> None:
        """Sets the instances that get no new work."""
        for group in self._groups.values():
            group.leave(names)

    async def _retire(self, group: links.GroupLink) -> None:
        """Ends a link that a sheet replaced, once its work is done."""
        ends = self._clock.now() + self._settings.callers.drain_timeout
        try:
            while group.busy and self._clock.now() < ends:
                await self._clock.sleep(_RETIRE_POLL)
        finally:
            await group.close()

    def _plan_stop(self, sheet: sheets.Sheet) -> None:
        """Schedules the stop of this proxy that the sheet announces.

        A time before this process began was meant for one before it.
        """
        if self._planned is not None:
            self._planned.cancel()
        times = [
            stop.at
            for stop in sheet.planned_stops
            if stop.instance == self._settings.name and stop.at > self._began
        ]
        if times:
            self._planned = self._background.start(self._drain_at(min(times)))

    async def _drain_at(self, at: datetime.datetime) -> None:
        now = self._clock.now()
        await self._clock.sleep(max(at - now, datetime.timedelta()))
        self.drain()

    async def _finish_work(self) -> None:
        """Lets the balancer notice, then ends without cutting a request."""
        callers = self._settings.callers
        await self._clock.sleep(callers.drain_notice)
        await self._server.drain(callers.drain_timeout)
        self._drained.set()

    def _kept(
        self,
        old: dict[types.GroupName, links.GroupLink],
        group: sheets.Group,
        sheet: sheets.Sheet,
    ) -> links.GroupLink:
        """Returns the old link if the group is unchanged, else a new one."""
        link = old.get(group.name)
        if link is not None and link.view.group == group:
            return old.pop(group.name)
        link = links.GroupLink(
            group,
            sheet.proxies,
            self._settings.upstreams,
            self._clock,
            self._time_line,
            self._generator,
            self._live_proxies,
        )
        link.start()
        return link

    def _live_proxies(self) -> tuple[types.ProxyName, ...]:
        return tuple(m.name for m in self._mesh.membership.members)

    def _build_server(self) -> servers.Server:
        callers = self._settings.callers
        env = environments.Environment(
            fleet=self,
            clock=self._clock,
            rng=self._generator,
            zone=self._settings.zone,
            retries=retry.Budget(),
            policy=balance.LeastBusy(),
            recorder=self._recorder,
        )
        passwords = {
            name: password.get_secret_value()
            for name, password in callers.users.items()
        }
        return servers.Server(
            lambda: frontend.Frontend(env, callers),
            passwords,
            callers.statement_limit,
        )
