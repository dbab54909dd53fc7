"""One proxy process: builds all components and applies the sheet in force."""

from __future__ import annotations

import asyncio
import datetime
import random

import expression
import zmq

from hickorygate.callers import environment
from hickorygate.callers import load_balancing
from hickorygate.callers import server
from hickorygate.callers import session_handler
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
from hickorygate.platform import connect
from hickorygate.proxies import mesh as meshes
from hickorygate.store import document_manager
from hickorygate.upstreams import group_link as links

__all__ = ["Daemon", "VERSION"]

VERSION = "0.1.0"

_RETIRE_POLL_INTERVAL = datetime.timedelta(milliseconds=100)


class Daemon:
    """A proxy with its links to callers, databases and other proxies."""

    def __init__(
        self, settings: settings_lib.Settings, clock: clocks.Clock
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._stamps = events.HybridLogicalClock(clock)
        self._timeline = events.Timeline(settings.name, self._stamps)
        self._generator = random.Random()
        self._manager = document_manager.DocumentManager(
            connect.build_client(settings.platform, clock, self._generator),
            self,
            clock,
            self._timeline,
            self._generator,
        )
        self._mesh = meshes.Mesh(
            settings,
            self._manager,
            clock,
            self._stamps,
            self._timeline,
            self._generator,
        )
        self._groups: dict[types.GroupName, links.GroupLink] = {}
        self._recorder = recorders.Recorder(self._timeline)
        self._server = self._build_server()
        self._crashed = False
        self._background = background.BackgroundTasks()
        self._started_at = clock.now()
        self._planned_stop: asyncio.Task[None] | None = None
        self._proxy_count = 0
        self._admin = admin.Admin(self, settings.admin)
        self._drain_task: asyncio.Task[None] | None = None
        self._drained = asyncio.Event()

    @property
    def settings(self) -> settings_lib.Settings:
        """The settings of this process."""
        return self._settings

    @property
    def clock(self) -> clocks.Clock:
        """The clock of this process."""
        return self._clock

    @property
    def version(self) -> str:
        """The version of the program."""
        return VERSION

    @property
    def sheet(self) -> sheets.Sheet | None:
        """The sheet in force; None before the first one."""
        return self._manager.sheet

    @property
    def manager(self) -> document_manager.DocumentManager:
        """The manager of the sheet and of the list of instances."""
        return self._manager

    @property
    def port(self) -> int:
        """The TCP port that callers connect to."""
        return self._server.port

    @property
    def admin(self) -> str:
        """The address of the admin port, as `host:port`."""
        return self._admin.address

    @property
    def callers(self) -> int:
        """The number of connected callers."""
        return self._server.connections

    @property
    def crashed(self) -> bool:
        """Whether a background task of the process has failed."""
        return self._crashed

    @property
    def draining(self) -> bool:
        """Whether a graceful shutdown has begun."""
        return self._drain_task is not None

    @property
    def mesh(self) -> meshes.Mesh:
        """The link to the other proxies."""
        return self._mesh

    @property
    def timeline(self) -> events.Timeline:
        """The recorded events of this process."""
        return self._timeline

    @property
    def recorder(self) -> recorders.Recorder:
        """The sums of this process's measurements."""
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
        """Starts all components.

        After a failure, `close` stops the components that were started.
        """
        callers = self._settings.callers
        context = tls.server_context(callers.tls)
        if context.is_error():
            return expression.Error(context.error)
        if context.ok is not None:
            self._server.use_tls(context.ok, callers.tls_required)
        try:
            component = "admin"
            await self._admin.start()
            component = "peers"
            await self._mesh.start(self._admin.address)
            component = "callers"
            await self._server.start(callers.host, callers.port)
        except (OSError, zmq.ZMQError) as error:
            return expression.Error(errors.ListenFailed(component, str(error)))
        self._manager.start(self._mesh)
        self._timeline.record(events.ProcessStarted(VERSION))
        return expression.Ok(None)

    def record_error(self, event: events.TaskFailed) -> None:
        """Records an unexpected error after which the process goes on."""
        self._timeline.record(event)

    def record_crash(self) -> None:
        """Records that a background task fails again and again.

        From then on the liveness check fails.
        """
        self._crashed = True

    def drain(self) -> None:
        """Starts a graceful shutdown; `wait_until_drained` awaits its end."""
        if self._drain_task is None:
            self._timeline.record(events.ProcessDraining())
            self._drain_task = self._background.start(self._finish_requests())

    async def wait_until_drained(self) -> None:
        """Waits until a graceful shutdown was requested and is complete."""
        await self._drained.wait()

    async def close(self) -> None:
        """Stops all components."""
        await self._background.close()
        await self._manager.close()
        await self._admin.close()
        await self._server.close()
        await self._mesh.close()
        for group in self._groups.values():
            await group.close()

    async def apply(self, sheet: sheets.Sheet) -> None:
        """Puts a sheet in force by building the links to its groups.

        Links to unchanged groups are kept, except when the number of proxies
        changes: the share of connections of each proxy depends on it.
        """
        old, self._groups = self._groups, {}
        if sheet.proxies != self._proxy_count:
            old, replaced = {}, tuple(old.values())
        else:
            replaced = ()
        self._proxy_count = sheet.proxies
        for service in sheet.services:
            for group in service.groups:
                self._groups[group.name] = self._reuse_or_create_link(
                    old, group, sheet
                )
        for group_link in (*replaced, *old.values()):
            self._background.start(self._retire(group_link))
        self._schedule_planned_stop(sheet)

    def set_leaving(self, names: frozenset[str]) -> None:
        """Sets the names of the instances that get no new work."""
        for group in self._groups.values():
            group.set_leaving(names)

    async def _retire(self, group: links.GroupLink) -> None:
        """Closes a replaced link once its work is done.

        The wait ends after the drain timeout at the latest.
        """
        deadline = self._clock.now() + self._settings.callers.drain_timeout
        try:
            while group.busy and self._clock.now() < deadline:
                await self._clock.sleep(_RETIRE_POLL_INTERVAL)
        finally:
            await group.close()

    def _schedule_planned_stop(self, sheet: sheets.Sheet) -> None:
        """Schedules the planned stop of this proxy in the sheet, if any.

        A stop time before the start of this process applied to an earlier
        process with the same name, so it is ignored.
        """
        if self._planned_stop is not None:
            self._planned_stop.cancel()
        times = [
            stop.at
            for stop in sheet.planned_stops
            if stop.instance == self._settings.name
            and stop.at > self._started_at
        ]
        if times:
            self._planned_stop = self._background.start(
                self._drain_at(min(times))
            )

    async def _drain_at(self, at: datetime.datetime) -> None:
        now = self._clock.now()
        await self._clock.sleep(max(at - now, datetime.timedelta()))
        self.drain()

    async def _finish_requests(self) -> None:
        """Shuts down without interrupting a request.

        Callers are still accepted for `drain_notice`, so that the load balancer
        can notice that this proxy is no longer ready. After that, requests in
        progress get `drain_timeout` to end.
        """
        callers = self._settings.callers
        await self._clock.sleep(callers.drain_notice)
        await self._server.drain(callers.drain_timeout)
        self._drained.set()

    def _reuse_or_create_link(
        self,
        old: dict[types.GroupName, links.GroupLink],
        group: sheets.Group,
        sheet: sheets.Sheet,
    ) -> links.GroupLink:
        """Returns the link to a group of the sheet.

        The existing link is taken from `old` if the group is unchanged;
        otherwise a new link is created and started.

        Args:
          old: links of the previous sheet, by group name.
          group: group to link to.
          sheet: sheet that is being put in force.
        """
        link = old.get(group.name)
        if link is not None and link.view.group == group:
            return old.pop(group.name)
        link = links.GroupLink(
            group,
            sheet.proxies,
            self._settings.upstreams,
            self._clock,
            self._timeline,
            self._generator,
            self._live_proxies,
        )
        link.start()
        return link

    def _live_proxies(self) -> tuple[types.ProxyName, ...]:
        return tuple(m.name for m in self._mesh.membership.members)

    def _build_server(self) -> server.Server:
        callers = self._settings.callers
        env = environment.Environment(
            fleet=self,
            clock=self._clock,
            rng=self._generator,
            zone=self._settings.zone,
            retries=retry.RetryBudget(),
            policy=load_balancing.LeastBusy(),
            recorder=self._recorder,
        )
        passwords = {
            name: password.get_secret_value()
            for name, password in callers.users.items()
        }
        return server.Server(
            lambda: session_handler.SessionHandler(env, callers),
            passwords,
            callers.statement_limit,
        )
