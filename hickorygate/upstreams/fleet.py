"""The configuration in force and the groups that it names."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
import datetime

from hickorygate.core import background
from hickorygate.core import catalog as catalogs
from hickorygate.core import clock as clocks
from hickorygate.core import decisions
from hickorygate.core import events
from hickorygate.core import types
from hickorygate.upstreams import member as members
from hickorygate.upstreams import office as offices
from hickorygate.upstreams import request as requests
from hickorygate.upstreams import share as shares
from hickorygate.upstreams import supervisor as supervisors

__all__ = ["Fleet"]

_TICK = datetime.timedelta(milliseconds=100)
_DEFAULT_IDLE = datetime.timedelta(seconds=3)

_KEPT_GROUPS = 12
"""With no more groups than these, all are looked after; with more, only those
that callers use: each database is asked 2.5 times a second."""

_UNUSED_LIMIT = datetime.timedelta(seconds=20)
"""After which a group that no caller used is looked after no more."""


class Fleet:
    """The groups in use; follows the configuration and the databases' list.

    A configuration replaces only an older one, so none comes back.
    """

    def __init__(
        self,
        connector: requests.Connector,
        office: offices.Office,
        clock: clocks.Clock,
        journal: events.Journal,
    ) -> None:
        self._connector = connector
        self._office = office
        self._clock = clock
        self._journal = journal
        self._catalog: catalogs.Catalog | None = None
        self._configured = asyncio.Event()
        self._listing = members.Listing()
        self._listed = False
        self._proxies = shares.ASSUMED_PROXIES
        self._store_lost = False
        self._groups: dict[types.ServiceName, supervisors.Supervisor] = {}
        self._used: dict[types.ServiceName, datetime.datetime] = {}
        self._background = background.Background()

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 if there is none."""
        return self._catalog.version if self._catalog else 0

    @property
    def transaction_idle(self) -> datetime.timedelta:
        """After which an idle transaction may be ended."""
        if self._catalog is None:
            return _DEFAULT_IDLE
        return self._catalog.transaction_idle

    @property
    def groups(self) -> dict[types.ServiceName, supervisors.Supervisor]:
        """The groups that are looked after, by service."""
        return self._groups

    @property
    def complete(self) -> bool:
        """Whether configuration, list and each group's state are known."""
        if self._catalog is None or not self._listed:
            return False
        return all(group.rounds for group in self._groups.values())

    def __repr__(self) -> str:
        return f"Fleet(version={self.version}, groups={len(self._groups)})"

    def start(self) -> None:
        """Begins to drop entries that are missing for too long."""
        self._background.start(self._expire())

    async def close(self) -> None:
        """Ends all groups."""
        await self._background.close()
        for group in self._groups.values():
            await group.close()

    async def configured(self, limit: datetime.timedelta) -> bool:
        """Waits for the first configuration; tells whether there is one."""
        try:
            async with asyncio.timeout(limit.total_seconds()):
                await self._configured.wait()
        except TimeoutError:
            return False
        return True

    def route(self, database: types.SchemaName) -> catalogs.Route | None:
        """Returns how a database name is served; None if it isn't."""
        if self._catalog is None:
            return None
        return self._catalog.routes.get(database)

    def group(
        self, service: types.ServiceName
    ) -> supervisors.Supervisor | None:
        """Returns the databases of a service; None if there is no such one.

        From now on they are looked after, if they weren't.
        """
        terms = self._catalog.services.get(service) if self._catalog else None
        if terms is None:
            return None
        self._used[service] = self._clock.now()
        group = self._groups.get(service) or self._open(terms)
        group.use()
        return group

    def apply(self, catalog: catalogs.Catalog) -> None:
        """Puts a configuration in force, unless a newer one is."""
        if catalog.version <= self.version:
            return
        self._catalog = catalog
        self._configured.set()
        for name, terms in catalog.services.items():
            if name in self._groups:
                self._groups[name].set_terms(terms)
                self._groups[name].set_sparing(self._sparing)
            elif not self._sparing:
                self._open(terms)
        for name in self._groups.keys() - catalog.services.keys():
            self._close(name)
        self._journal.record(
            decisions.CatalogApplied(catalog.version, len(catalog.routes))
        )

    def replace_members(self, listed: Sequence[members.Member]) -> None:
        """Takes in the whole list of databases."""
        changed = self._listing.replace(listed, self._clock.now())
        self._listed = True
        self._spread(changed)

    def put_member(self, member: members.Member) -> None:
        """Takes in a new or changed database."""
        self._spread(self._listing.put(member))

    def remove_member(self, name: members.MemberId) -> None:
        """Takes in that a database's entry is gone."""
        self._spread(self._listing.remove(name, self._clock.now()))

    def set_proxies(self, count: int) -> None:
        """Takes in how many proxies share the databases."""
        self._proxies = count
        for group in self._groups.values():
            group.set_proxies(count)

    def lose_store(self) -> None:
        """Takes in that the list can't be followed at the moment."""
        self._store_lost = True

    def regain_store(self) -> None:
        """Takes in that the list is followed again."""
        self._store_lost = False
        self._listing.restart(self._clock.now())

    @property
    def _sparing(self) -> bool:
        """Whether there are too many groups to look after them all."""
        catalog = self._catalog
        return catalog is not None and len(catalog.services) > _KEPT_GROUPS

    def _open(self, terms: catalogs.ServiceTerms) -> supervisors.Supervisor:
        """Begins to look after a group."""
        group = supervisors.Supervisor(
            terms, self._connector, self._office, self._clock, self._journal
        )
        self._groups[terms.name] = group
        group.set_sparing(self._sparing)
        group.set_proxies(self._proxies)
        group.set_members(self._listing.of(terms.name))
        group.start()
        return group

    def _close(self, name: types.ServiceName) -> None:
        self._used.pop(name, None)
        self._background.start(self._groups.pop(name).close())

    def _spread(self, services: frozenset[types.ServiceName]) -> None:
        """Tells the groups of these services their databases."""
        for name in services & self._groups.keys():
            self._groups[name].set_members(self._listing.of(name))

    async def _expire(self) -> None:
        while True:
            await self._clock.sleep(_TICK)
            now = self._clock.now()
            if not self._store_lost:
                self._spread(self._listing.expire(now))
            self._close_unused(now)

    def _close_unused(self, now: datetime.datetime) -> None:
        """Looks no more after groups that no caller used lately."""
        if not self._sparing:
            return
        for name, group in tuple(self._groups.items()):
            since = self._used.setdefault(name, now)
            if now - since >= _UNUSED_LIMIT and not group.busy:
                self._close(name)
