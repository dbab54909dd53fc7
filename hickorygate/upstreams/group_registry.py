"""The active configuration and the monitored database groups."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
import datetime

from hickorygate.core import background
from hickorygate.core import catalog as catalogs
from hickorygate.core import clock as clocks
from hickorygate.core import events
from hickorygate.core import platform_events
from hickorygate.core import types
from hickorygate.upstreams import connection_share
from hickorygate.upstreams import database_request
from hickorygate.upstreams import group_monitor
from hickorygate.upstreams import member as members
from hickorygate.upstreams import promotion_lease

__all__ = ["GroupRegistry"]

_EXPIRY_INTERVAL = datetime.timedelta(milliseconds=100)
"""Interval at which expired entries and unused groups are removed."""

_DEFAULT_TRANSACTION_IDLE = datetime.timedelta(seconds=3)
"""Idle limit of transactions before a configuration is received."""

_MAX_MONITORED_GROUPS = 12
"""Maximum number of groups up to which all groups are monitored. With more,
only groups that callers use are monitored, because each monitored database
receives 2.5 queries per second."""

_UNUSED_TIMEOUT = datetime.timedelta(seconds=20)
"""Time without use after which a group is no longer monitored, if there are
more than `_MAX_MONITORED_GROUPS`."""


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
    ) -> None:
        self._connector = connector
        self._lease = lease
        self._clock = clock
        self._journal = journal
        self._catalog: catalogs.Catalog | None = None
        self._configured = asyncio.Event()
        self._listing = members.Listing()
        self._list_received = False
        self._proxies = connection_share.ASSUMED_PROXIES
        self._store_lost = False
        self._groups: dict[types.ServiceName, group_monitor.GroupMonitor] = {}
        self._last_used: dict[types.ServiceName, datetime.datetime] = {}
        self._background = background.BackgroundTasks()

    @property
    def version(self) -> int:
        """The version of the active configuration; 0 if there is none."""
        return self._catalog.version if self._catalog else 0

    @property
    def transaction_idle(self) -> datetime.timedelta:
        """The idle time after which a transaction may be ended."""
        if self._catalog is None:
            return _DEFAULT_TRANSACTION_IDLE
        return self._catalog.transaction_idle_timeout

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
        return all(group.rounds for group in self._groups.values())

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
        self._catalog = catalog
        self._configured.set()
        for name, terms in catalog.services.items():
            if name in self._groups:
                self._groups[name].set_service_settings(terms)
                self._groups[name].set_reduced_probing(self._reduced_probing)
            elif not self._reduced_probing:
                self._open_group(terms)
        for name in self._groups.keys() - catalog.services.keys():
            self._close_group(name)
        self._journal.record(
            platform_events.CatalogApplied(catalog.version, len(catalog.routes))
        )

    def replace_members(self, listed: Sequence[members.Member]) -> None:
        """Replaces the list of databases."""
        changed = self._listing.replace(listed, self._clock.now())
        self._list_received = True
        self._update_groups(changed)

    def put_member(self, member: members.Member) -> None:
        """Adds or updates a database."""
        self._update_groups(self._listing.put(member))

    def remove_member(self, name: members.MemberId) -> None:
        """Records that the entry of a database was removed."""
        self._update_groups(self._listing.remove(name, self._clock.now()))

    def set_proxies(self, live: frozenset[types.ProxyName]) -> None:
        """Sets the names of the proxies that share the databases."""
        self._lease.set_proxies(live)
        self._proxies = len(live)
        for group in self._groups.values():
            group.set_proxies(self._proxies)

    def suspend_expiry(self) -> None:
        """Suspends the expiry of entries, because the watch on them failed."""
        self._store_lost = True

    def resume_expiry(self) -> None:
        """Resumes the expiry of entries, because the watch was restored."""
        self._store_lost = False
        self._listing.restart(self._clock.now())

    @property
    def _reduced_probing(self) -> bool:
        """Whether there are too many groups to monitor all of them."""
        catalog = self._catalog
        return (
            catalog is not None
            and len(catalog.services) > _MAX_MONITORED_GROUPS
        )

    def _open_group(
        self, terms: catalogs.ServiceSettings
    ) -> group_monitor.GroupMonitor:
        """Starts monitoring a group."""
        group = group_monitor.GroupMonitor(
            terms, self._connector, self._lease, self._clock, self._journal
        )
        self._groups[terms.name] = group
        group.set_reduced_probing(self._reduced_probing)
        group.set_proxies(self._proxies)
        group.set_members(self._listing.of(terms.name))
        group.start()
        return group

    def _close_group(self, name: types.ServiceName) -> None:
        self._last_used.pop(name, None)
        self._background.start(self._groups.pop(name).close())

    def _update_groups(self, services: frozenset[types.ServiceName]) -> None:
        """Updates the databases of the groups of these services."""
        for name in services & self._groups.keys():
            self._groups[name].set_members(self._listing.of(name))

    async def _run_expiry(self) -> None:
        while True:
            await self._clock.sleep(_EXPIRY_INTERVAL)
            now = self._clock.now()
            if not self._store_lost:
                self._update_groups(self._listing.expire(now))
            self._close_unused(now)

    def _close_unused(self, now: datetime.datetime) -> None:
        """Closes groups that no caller used recently."""
        if not self._reduced_probing:
            return
        for name, group in tuple(self._groups.items()):
            since = self._last_used.setdefault(name, now)
            if now - since >= _UNUSED_TIMEOUT and not group.busy:
                self._close_group(name)
