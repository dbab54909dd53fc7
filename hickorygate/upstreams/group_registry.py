"""The active configuration and the monitored database groups."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import datetime

from hickorygate.core import background
from hickorygate.core import capacity as capacities
from hickorygate.core import catalog as catalogs
from hickorygate.core import clock as clocks
from hickorygate.core import events
from hickorygate.core import platform_events
from hickorygate.core import types
from hickorygate.core import workspace as workspaces
from hickorygate.proxies import serving_plan
from hickorygate.upstreams import database_request
from hickorygate.upstreams import group_monitor
from hickorygate.upstreams import member as members
from hickorygate.upstreams import promotion_lease

__all__ = ["GroupRegistry"]

_EXPIRY_INTERVAL = datetime.timedelta(milliseconds=100)
"""Interval at which expired entries and unused groups are removed."""

_COUNT_TIMEOUT = datetime.timedelta(milliseconds=500)
"""Time after the first configuration until which a registry with a plan waits
for a count of the proxies. Otherwise all proxies of a fleet that restarts would
open groups that others serve, and the databases run out of connections."""

_FIRST_COUNT_TIMEOUT = datetime.timedelta(milliseconds=1_500)
"""Such a time at the first start of a fleet, for two equal counts: the first
count shows a part of the fleet then. Callers don't come yet."""

_DEFAULT_TRANSACTION_IDLE = datetime.timedelta(seconds=3)
"""Idle limit of transactions before a configuration is received."""

_MAX_MONITORED_GROUPS = 12
"""Maximum number of groups up to which all groups that this proxy serves are
monitored. With more, only groups that callers use are monitored, because each
monitored database receives 2.5 queries per second."""

_UNUSED_TIMEOUT = datetime.timedelta(seconds=20)
"""Time without use after which a group is no longer monitored, if there are
more than `_MAX_MONITORED_GROUPS`."""

_UNSERVED_TIMEOUT = datetime.timedelta(seconds=3)
"""Time without use after which a group that other proxies serve is no longer
monitored. After a restart of the whole fleet, each proxy may have run a few
statements itself; the connections that it still holds are missing there."""


class GroupRegistry:
    """The monitored groups, updated from configuration and discovery.

    A configuration replaces only an older one, so an outdated configuration
    is never restored.
    """

    def __init__(
        self,
        connector: database_request.Connector,
        lease: promotion_lease.PromotionLease,
        clock: clocks.Clock,
        journal: events.Journal,
        plan: serving_plan.ServingPlan | None = None,
        capacity: capacities.CapacitySettings | None = None,
        first_start: bool = False,
    ) -> None:
        """Creates a registry without groups.

        Args:
          connector: opens connections to databases.
          lease: lease that a takeover needs.
          clock: source of time.
          journal: log that events are recorded in.
          plan: which proxies serve which services; the registry keeps its
            configuration up to date. None if all proxies serve all of them.
          capacity: settings of learned capacity, which takes effect for
            services that few proxies serve; None if all limits are fixed.
          first_start: whether the whole fleet starts for the first time.
        """
        self._first_start = first_start
        self._plan = plan
        self._capacity = capacity
        self._connector = connector
        self._lease = lease
        self._clock = clock
        self._journal = journal
        self._catalog: catalogs.Catalog | None = None
        self._plan_awaited_until: datetime.datetime | None = None
        self._configured = asyncio.Event()
        self._on_change: list[Callable[[], None]] = []
        self._listing = members.Listing()
        self._list_received = False
        self._proxies: frozenset[types.ProxyName] | None = None
        self._count_settled = False
        self._store_lost = False
        self._renew_list: group_monitor.ListReader | None = None
        self._groups: dict[types.ServiceName, group_monitor.GroupMonitor] = {}
        self._last_used: dict[types.ServiceName, datetime.datetime] = {}
        self._background = background.BackgroundTasks()

    @property
    def version(self) -> int:
        """The version of the active configuration; 0 if there is none."""
        return self._catalog.version if self._catalog else 0

    @property
    def catalog(self) -> catalogs.Catalog | None:
        """The active configuration; None before the first one."""
        return self._catalog

    @property
    def transaction_idle(self) -> datetime.timedelta:
        """The idle time after which a transaction may be ended."""
        if self._catalog is None:
            return _DEFAULT_TRANSACTION_IDLE
        return self._catalog.transaction_idle_timeout

    @property
    def workspaces(
        self,
    ) -> Mapping[types.WorkspaceName, workspaces.Workspace]:
        """The workspaces of the active configuration, by name."""
        return self._catalog.workspaces if self._catalog else {}

    @property
    def message_idle(self) -> datetime.timedelta:
        """Time without progress after which a message may be given up."""
        if self._catalog is None:
            return catalogs.MESSAGE_IDLE_TIMEOUT
        return self._catalog.message_idle_timeout

    @property
    def groups(self) -> dict[types.ServiceName, group_monitor.GroupMonitor]:
        """The monitored groups, by service."""
        return self._groups

    @property
    def complete(self) -> bool:
        """Whether all initial state has been loaded.

        True once a configuration and the list of databases were received and
        each monitored group completed a round.
        """
        if self._catalog is None or not self._list_received:
            return False
        if self._awaits_plan:
            return False
        return all(group.rounds for group in self._groups.values())

    @property
    def _awaits_plan(self) -> bool:
        """Whether it is still unknown which groups this proxy serves."""
        until = self._plan_awaited_until
        if until is None or (self._catalog and self._catalog.workspaces):
            return False
        return self._clock.now() < until

    def __repr__(self) -> str:
        return (
            f"GroupRegistry(version={self.version}, groups={len(self._groups)})"
        )

    def start(self) -> None:
        """Starts the task that removes expired entries and unused groups."""
        self._background.keep(self._run_expiry)

    async def close(self) -> None:
        """Stops the background tasks and closes all groups."""
        await self._background.close()
        for group in self._groups.values():
            await group.close()

    def subscribe(self, on_change: Callable[[], None]) -> None:
        """Registers a function that is called after each configuration."""
        self._on_change.append(on_change)

    async def wait_for_configuration(self, limit: datetime.timedelta) -> bool:
        """Waits for the first configuration.

        Args:
          limit: maximum time to wait.

        Returns:
          Whether a configuration was received in time.
        """
        try:
            async with asyncio.timeout(limit.total_seconds()):
                await self._configured.wait()
        except TimeoutError:
            return False
        return True

    def route(self, database: types.SchemaName) -> catalogs.Route | None:
        """Returns the route of a database name; None if there is none."""
        if self._catalog is None:
            return None
        return self._catalog.routes.get(database)

    def group(
        self, service: types.ServiceName
    ) -> group_monitor.GroupMonitor | None:
        """Returns the group of a service and records its use.

        Starts monitoring the group if it is not monitored yet.

        Returns:
          The group; None if the configuration has no such service.
        """
        terms = self._catalog.services.get(service) if self._catalog else None
        if terms is None:
            return None
        self._last_used[service] = self._clock.now()
        group = self._groups.get(service) or self._open_group(terms)
        group.mark_used()
        return group

    def apply(self, catalog: catalogs.Catalog) -> None:
        """Activates a configuration if it is newer than the active one."""
        if catalog.version <= self.version:
            return
        if self._plan is not None:
            if self._catalog is None and not self._count_settled:
                now = self._clock.now()
                self._plan_awaited_until = now + (
                    _FIRST_COUNT_TIMEOUT
                    if self._first_start
                    else _COUNT_TIMEOUT
                )
            self._plan.set_catalog(catalog)
        self._catalog = catalog
        self._configured.set()
        for name, terms in catalog.services.items():
            if name in self._groups:
                self._groups[name].set_service_settings(terms)
        self._apply_plan(catalog)
        for name in self._groups.keys() - catalog.services.keys():
            self._close_group(name)
        self._journal.record(
            platform_events.CatalogApplied(
                catalog.version, len(catalog.routes), str(catalog.access)
            )
        )
        if catalog.workspace_errors:
            self._journal.record(
                platform_events.WorkspacesIgnored(
                    catalog.version, "; ".join(catalog.workspace_errors)
                )
            )
        for on_change in self._on_change:
            on_change()

    def set_list_reader(self, renew_list: group_monitor.ListReader) -> None:
        """Sets how a takeover reads the list of databases anew.

        Args:
          renew_list: calls `replace_members` with all present entries.
        """
        self._renew_list = renew_list

    def replace_members(self, listed: Sequence[members.Member]) -> None:
        """Replaces the list of databases."""
        changed = self._listing.replace(listed, self._clock.now())
        self._list_received = True
        self._update_groups(changed)

    def put_member(self, member: members.Member) -> None:
        """Adds or updates a database."""
        self._update_groups(self._listing.put(member, self._clock.now()))

    def remove_member(self, name: members.MemberId) -> None:
        """Records that the entry of a database was removed."""
        self._update_groups(self._listing.remove(name, self._clock.now()))

    def set_proxies(self, live: frozenset[types.ProxyName]) -> None:
        """Sets the names of the proxies that share the databases."""
        self._lease.set_proxies(live)
        self._count_settled = (
            self._count_settled
            or not self._first_start
            or live == self._proxies
        )
        self._proxies = live
        if self._count_settled:
            self._plan_awaited_until = None
        if self._catalog is not None:
            self._apply_plan(self._catalog)

    def suspend_expiry(self) -> None:
        """Suspends the expiry of entries, because the watch on them failed."""
        self._store_lost = True

    def resume_expiry(self) -> None:
        """Resumes the expiry of entries, because the watch was restored."""
        self._store_lost = False
        self._listing.restart(self._clock.now())

    def _is_monitored(self, service: types.ServiceName) -> bool:
        """Returns whether a group is monitored also while nobody uses it.

        It isn't if other proxies serve it, or there are too many groups.
        """
        catalog = self._catalog
        if self._awaits_plan:
            return False
        if catalog is None or len(catalog.services) > _MAX_MONITORED_GROUPS:
            return False
        return self._plan is None or self._plan.serves(service)

    def _is_shared(self, service: types.ServiceName) -> bool:
        """Returns whether this proxy may serve the callers of other proxies.

        Only then does it see enough statements to learn a database's capacity.
        """
        return self._plan is None or self._plan.is_shared(service)

    def _is_spare(self, service: types.ServiceName) -> bool:
        """Returns whether a group is monitored only while it is used.

        While the plan is not known, no group is: one that is used may turn out
        to be served here.
        """
        return not (self._awaits_plan or self._is_monitored(service))

    def _apply_plan(self, catalog: catalogs.Catalog) -> None:
        """Opens the groups to monitor, and updates who shares each group."""
        for name, terms in catalog.services.items():
            monitored = self._is_monitored(name)
            if name in self._groups:
                self._groups[name].set_reduced_probing(self._is_spare(name))
                self._share_group(self._groups[name])
            elif monitored:
                self._open_group(terms)

    def _share_group(self, group: group_monitor.GroupMonitor) -> None:
        """Tells a group which proxies share its databases."""
        if self._proxies is None:
            return
        if self._plan is None:
            group.set_proxies(len(self._proxies))
            return
        names = self._plan.server_names(group.service) or self._proxies
        self._lease.set_monitors(group.service, names)
        serves = self._plan.name in names
        group.set_proxies(self._plan.sharers(group.service) + (not serves))

    def _open_group(
        self, terms: catalogs.ServiceSettings
    ) -> group_monitor.GroupMonitor:
        """Starts monitoring a group."""
        group = group_monitor.GroupMonitor(
            terms,
            self._connector,
            self._lease,
            self._clock,
            self._journal,
            self._capacity if self._is_shared(terms.name) else None,
            renew_list=self._renew_list,
        )
        self._groups[terms.name] = group
        group.set_reduced_probing(self._is_spare(terms.name))
        self._share_group(group)
        group.set_members(
            self._listing.of(terms.name), self._listing.known_since
        )
        group.start()
        return group

    def _close_group(self, name: types.ServiceName) -> None:
        self._last_used.pop(name, None)
        self._background.start(self._groups.pop(name).close())

    def _update_groups(self, services: frozenset[types.ServiceName]) -> None:
        """Updates the databases of the groups of these services."""
        for name in services & self._groups.keys():
            self._groups[name].set_members(
                self._listing.of(name), self._listing.known_since
            )

    async def _run_expiry(self) -> None:
        while True:
            await self._clock.sleep(_EXPIRY_INTERVAL)
            now = self._clock.now()
            if not self._store_lost:
                self._update_groups(self._listing.expire(now))
            self._end_wait_for_plan(now)
            self._close_unused(now)

    def _end_wait_for_plan(self, now: datetime.datetime) -> None:
        """Opens all groups if the proxies were not counted in time."""
        until = self._plan_awaited_until
        if until is not None and now >= until and self._catalog is not None:
            self._plan_awaited_until = None
            self._apply_plan(self._catalog)

    def _close_unused(self, now: datetime.datetime) -> None:
        """Closes groups that no caller used recently.

        One that no caller used is closed at once: another proxy turned out to
        serve it.
        """
        for name, group in tuple(self._groups.items()):
            if not self._is_spare(name) or group.busy:
                continue
            since = self._last_used.get(name)
            if since is None or now - since >= self._unused_timeout(name):
                self._close_group(name)

    def _unused_timeout(self, service: types.ServiceName) -> datetime.timedelta:
        served = self._plan is None or self._plan.serves(service)
        return _UNUSED_TIMEOUT if served else _UNSERVED_TIMEOUT
