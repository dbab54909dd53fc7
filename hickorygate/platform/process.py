"""Assembles and runs one proxy process on the users' platform."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
import datetime
import pathlib
import random
import resource
from typing import Any
import uuid

import expression

from hickorygate.callers import session_context
from hickorygate.callers import shutdown as shutdowns
from hickorygate.callers import workspace_limits
from hickorygate.core import background
from hickorygate.core import capacity
from hickorygate.core import clock as clocks
from hickorygate.core import errors
from hickorygate.core import events
from hickorygate.core import limit_share
from hickorygate.core import memory_budget
from hickorygate.core import platform_events
from hickorygate.core import retry
from hickorygate.core import session_limits
from hickorygate.core import types
from hickorygate.operators import event_log
from hickorygate.operators import proxy_metrics
from hickorygate.operators import unexpected_errors
from hickorygate.platform import configuration_decoding
from hickorygate.platform import database
from hickorygate.platform import draining
from hickorygate.platform import line_server
from hickorygate.platform import management_server
from hickorygate.platform import object_decoding
from hickorygate.platform import settings as settings_lib
from hickorygate.platform import settings_file
from hickorygate.platform import store
from hickorygate.platform import store_sinks
from hickorygate.platform import store_watches
from hickorygate.proxies import rights_exchange
from hickorygate.proxies import serving_links
from hickorygate.proxies import serving_plan
from hickorygate.proxies import statement_server
from hickorygate.store import list_watch
from hickorygate.store import registration
from hickorygate.upstreams import group_registry
from hickorygate.upstreams import lease_record
from hickorygate.upstreams import promotion_lease

__all__ = ["Process"]

_VERSION = "0.2.0"
_TICK = datetime.timedelta(milliseconds=100)

_READY_TIMEOUT = datetime.timedelta(seconds=3)
"""Time after which a process with a configuration reports ready, even if the
state of some groups is unknown."""

_REREAD_ATTEMPTS = 5
"""Number of times that the configuration is read again, until it is as new as
another proxy's."""
_MOST_DESCRIPTORS = 20_000
"""Number of descriptors that are used if nothing limits them."""


def _descriptors(settings: settings_lib.ProcessSettings) -> int:
    """Returns the number of descriptors that the process may open."""
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit == resource.RLIM_INFINITY:
        soft_limit = _MOST_DESCRIPTORS
    return min(settings.max_descriptors or soft_limit, soft_limit)


class Process:
    """A proxy process: its listeners, database pools and store client."""

    def __init__(
        self,
        settings: settings_lib.ProcessSettings,
        path: pathlib.Path,
        metrics_port: int | None,
        clock: clocks.Clock,
        handler: event_log.NonBlockingHandler,
    ) -> None:
        self._settings = settings
        self._path = path
        self._metrics_port = metrics_port
        self._clock = clock
        self._statistics = proxy_metrics.EventStatistics()
        self._journal = event_log.EventLog(
            settings.name, clock, handler, self._statistics
        )
        self._store = store.PlatformStore(settings, self._note_era)
        lease_state = lease_record.LeaseState(settings.name, uuid.uuid4().hex)
        self._lease = promotion_lease.PromotionLease(
            lease_state, self._store, clock, self._journal
        )
        plan = serving_plan.ServingPlan(settings.name, settings.zone)
        self._registry = group_registry.GroupRegistry(
            database.DatabaseConnector(self._journal),
            self._lease,
            clock,
            self._journal,
            plan,
            capacity.CapacitySettings(),
            settings.first_start,
        )
        self._links = serving_links.ServingLinks(
            plan, clock, self._journal, self._note_version, self._note_refusal
        )
        self._background = background.BackgroundTasks()
        rng = random.Random()
        self._limits = workspace_limits.WorkspaceLimits(
            settings.name,
            lambda: self._registry.workspaces,
            self._journal,
            rng,
            clock.now(),
        )
        buffers = memory_budget.BufferLimits.of_instance(
            settings.memory_mb, _descriptors(settings)
        )
        self._env = session_context.SessionContext(
            fleet=self._registry,
            clock=clock,
            zone=settings.zone,
            rng=rng,
            journal=self._journal,
            retries=retry.RetryBudget(share=1.0, limit=100.0),
            background=self._background,
            serving=plan,
            forwarder=self._links,
            limits=self._limits,
            session_state=session_limits.SessionStateBudget(buffers.total),
        )
        self._line_server = line_server.LineServer(self._env, buffers)
        self._statements = statement_server.StatementServer(
            settings.name, self._env, self._note_version
        )
        self._draining = draining.Draining(
            self._env, self._line_server, self._statements
        )
        self._configuration_sink = store_sinks.ConfigurationSink(
            self._registry, self._journal, settings.keys_required
        )
        self._rereading: asyncio.Task[None] | None = None
        self._plan = plan
        self._registration = registration.ProxyRegistration(
            settings.name,
            self._store,
            clock,
            self._env.rng,
            self._set_proxies,
            has_limits=lambda: self._limits.has_limits,
        )
        self._rights = rights_exchange.RightsExchange(
            settings.name,
            self._links,
            self._registration.membership,
            self._limits,
            clock,
        )
        self._statements.answer_rights_with(self._rights.answer)
        self._probe = management_server.ManagementServer(
            self.ready, self._render_metrics
        )
        self._started_at = clock.now()
        self._shutdown: shutdowns.ShutdownSchedule | None = None
        self._finished = asyncio.Event()

    @property
    def configuration_version(self) -> int:
        """Version of the configuration in force; 0 before the first one."""
        return self._registry.version

    @property
    def plan(self) -> serving_plan.ServingPlan:
        """Which proxies serve which statements."""
        return self._plan

    @property
    def statements(self) -> statement_server.StatementServer:
        """Listener for the statements of other proxies."""
        return self._statements

    @property
    def limits(self) -> workspace_limits.WorkspaceLimits:
        """Rate limits of the workspaces."""
        return self._limits

    def __repr__(self) -> str:
        return f"Process({self._settings.name!r})"

    def ready(self) -> bool:
        """Returns whether the platform should send callers to this proxy.

        A process is ready once it has the configuration, the database list
        and the state of each group, or only the configuration after
        `_READY_TIMEOUT`. It is not ready during a shutdown.
        """
        if self._shutdown is not None or not self._registry.version:
            return False
        uptime = self._clock.now() - self._started_at
        return self._registry.complete or uptime >= _READY_TIMEOUT

    async def run(self) -> expression.Result[None, errors.Failure]:
        """Serves callers until a shutdown has ended."""
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self.report_error)
        listening = await self._listen()
        if listening.is_error():
            return listening
        self._start_tasks()
        self._journal.record(events.ProcessStarted(_VERSION))
        await self._finished.wait()
        return expression.Ok(None)

    def report_error(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        """Records an unexpected error; the process goes on."""
        self._journal.record(unexpected_errors.describe(context))

    async def close(self) -> None:
        """Stops the background tasks and closes all components."""
        self._links.close()
        self._statements.close()
        await self._background.close()
        await self._registry.close()
        await self._probe.close()
        await self._store.close()

    def stop(self) -> None:
        """Starts a graceful shutdown."""
        if self._shutdown is not None:
            return
        grace = datetime.timedelta(seconds=self._settings.grace_seconds)
        shutdown = shutdowns.ShutdownSchedule(self._clock.now(), grace)
        self._shutdown = shutdown
        self._journal.record(events.ProcessDraining())
        self._background.keep(lambda: self._drain(shutdown))

    def reload(self) -> None:
        """Reloads the settings file; open listeners keep their addresses."""
        match settings_lib.load(self._path):
            case expression.Result(tag="ok", ok=settings):
                self._settings = settings
                self._store.set_settings(settings)
                self._journal.record(platform_events.SettingsReloaded(""))
            case expression.Result(tag="error", error=failure):
                self._journal.record(
                    platform_events.SettingsReloaded(failure.message)
                )

    def _note_era(self, era: int) -> None:
        self._journal.record(platform_events.StoreEraChanged(era))
        self._lease.note_era(era)

    def _set_proxies(
        self, proxies: Mapping[types.ProxyName, registration.RegisteredProxy]
    ) -> None:
        """Applies a count of the proxies."""
        self._plan.set_proxies(proxies)
        self._registry.set_proxies(frozenset(proxies))
        self._rights.set_live(frozenset(proxies))

    def _note_refusal(self) -> None:
        """Counts the proxies early: one of them may have a new address."""
        self._registration.request_count()

    def _note_version(self, version: int) -> None:
        """Rereads the configuration if another proxy has a newer one."""
        if version > self._registry.version and self._rereading is None:
            self._rereading = self._background.start(
                self._reread_configuration(version)
            )

    async def _reread_configuration(self, version: int) -> None:
        try:
            for _ in range(_REREAD_ATTEMPTS):
                listed = await self._store.list(
                    configuration_decoding.CONFIGURATION
                )
                if listed.is_ok():
                    self._configuration_sink.replace(listed.ok.objects)
                if self._registry.version >= version:
                    return
                await self._clock.sleep(_TICK)
        finally:
            self._rereading = None

    async def _listen(self) -> expression.Result[None, errors.Failure]:
        """Opens all listeners; a failure names the setting to change."""
        settings = self._settings
        part = "listen.ready"
        try:
            await self._probe.serve_readiness(settings.readiness)
            if self._metrics_port is not None:
                part = "--metrics_port"
                await self._probe.serve_metrics(
                    settings_lib.Address(
                        settings.callers.host, self._metrics_port
                    )
                )
            part = "port_range"
            await self._listen_for_statements()
            part = "listen.front"
            await self._line_server.start(settings.callers)
        except OSError as error:
            return expression.Error(errors.ListenFailed(part, str(error)))
        return expression.Ok(None)

    async def _listen_for_statements(self) -> None:
        """Opens the listener for other proxies, if the settings name one.

        Raises:
          OSError: no port of the range is free.
        """
        settings = self._settings
        host = settings.statements_host
        if not (host and settings.statements_ports):
            return
        await self._statements.start(host, settings.statements_ports)
        self._registration.describe(
            registration.ProxyDescription(
                str(settings_lib.Address(host, self._statements.port)),
                settings.zone,
                settings.limits.capacity,
            )
        )

    def _start_tasks(self) -> None:
        sinks = (
            (
                store_watches.configuration_watch(self._settings),
                self._configuration_sink,
            ),
            (
                store_watches.databases_watch(self._settings),
                store_sinks.DatabaseSink(self._registry, self._journal),
            ),
        )
        for settings, sink in sinks:
            feed = list_watch.ListWatch(
                settings, self._store, sink, self._clock, self._env.rng
            )
            self._background.keep(feed.run)
        self._registry.set_list_reader(self._renew_databases)
        self._registry.start()
        self._background.keep(self._registration.run)
        self._background.keep(self._expire_callers)
        self._background.keep(
            lambda: settings_file.watch(self._path, self._clock, self.reload)
        )
        self._background.keep(self._tick_limits)

    async def _renew_databases(self) -> bool:
        """Reads the databases' entries; returns whether the store answered."""
        listed = await self._store.list(object_decoding.SERVERS)
        if listed.is_error():
            return False
        store_sinks.DatabaseSink(self._registry, self._journal).replace(
            listed.ok.objects
        )
        return True

    async def _expire_callers(self) -> None:
        while True:
            await self._clock.sleep(5 * _TICK)
            self._line_server.expire()
            self._statements.expire(self._clock.now())

    async def _tick_limits(self) -> None:
        while True:
            self._rights.tick()
            membership = self._registration.membership
            if self._limits.has_limits and not membership.active:
                self._registration.request_count()
            await self._clock.sleep(limit_share.REQUEST_INTERVAL)

    async def _drain(self, shutdown: shutdowns.ShutdownSchedule) -> None:
        """Closes sessions according to the schedule of the shutdown."""
        self._background.start(self._registration.deregister())
        self._rights.leave()
        await self._draining.run(shutdown)
        self._finished.set()

    def _render_metrics(self) -> bytes:
        return proxy_metrics.render(
            self._statistics,
            self._registry,
            len(self._line_server.callers),
            self._store.calls,
            self._links,
            self._statements,
            self._limits,
            self._line_server.usage,
        )
