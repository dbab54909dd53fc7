"""Computes which proxies serve which statements; does no I/O.

All proxies compute the same plan from the same list of proxies and the same
configuration. A proxy with another view uses another server, which only costs
a few more connections to the databases.
"""

from __future__ import annotations

from collections.abc import Mapping
import math

import xxhash

from hickorygate.core import catalog as catalogs
from hickorygate.core import fleet_view
from hickorygate.core import rendezvous
from hickorygate.core import types
from hickorygate.store import registration

__all__ = ["ServingPlan"]

_SERVERS_PER_ZONE = 2
"""Number of serving proxies of a service in each zone. With one, the loss of a
proxy would send all statements of the zone to another zone."""

_MAX_CACHED = 4_096
"""Number of cached results; more are computed anew."""


class ServingPlan:
    """The serving proxies, best first, from the point of view of one proxy."""

    __slots__ = (
        "_cache",
        "_catalog",
        "_name",
        "_proxies",
        "_servers",
        "_zone",
    )

    def __init__(self, name: types.ProxyName, zone: types.ZoneName) -> None:
        """Creates an empty plan.

        Args:
          name: name of this proxy.
          zone: availability zone of this proxy.
        """
        self._name = name
        self._zone = zone
        self._proxies: Mapping[
            types.ProxyName, registration.RegisteredProxy
        ] = {}
        self._catalog: catalogs.Catalog | None = None
        self._cache: dict[tuple[str, str], tuple[types.ProxyName, ...]] = {}
        self._servers: dict[str, frozenset[types.ProxyName]] = {}

    @property
    def name(self) -> types.ProxyName:
        """Name of this proxy."""
        return self._name

    def __repr__(self) -> str:
        return f"ServingPlan({self._name!r}, proxies={len(self._proxies)})"

    def set_proxies(
        self, proxies: Mapping[types.ProxyName, registration.RegisteredProxy]
    ) -> None:
        """Sets the live proxies."""
        self._proxies = dict(proxies)
        self._forget()

    def set_catalog(self, catalog: catalogs.Catalog) -> None:
        """Sets the configuration in force."""
        self._catalog = catalog
        self._forget()

    def address(self, name: types.ProxyName) -> str:
        """Returns the address for statements; empty if a proxy serves none."""
        proxy = self._proxies.get(name)
        return "" if proxy is None else proxy.address

    def candidates(
        self, service: types.ServiceName, workspace: types.WorkspaceName
    ) -> tuple[types.ProxyName, ...]:
        """Returns the proxies to run a statement at, best first.

        Args:
          service: service of the statement.
          workspace: workspace of the caller; empty if it has none.

        Returns:
          Names of proxies, which may include this one; empty if this proxy
          runs the statement itself.
        """
        key = (service, workspace)
        found = self._cache.get(key)
        if found is None:
            if len(self._cache) >= _MAX_CACHED:
                self._cache.clear()
            found = self._cache[key] = self._compute(service, workspace)
        return found

    def servers(self, service: types.ServiceName) -> int:
        """Returns the number of proxies that serve a service, at least 1."""
        return max(1, len(self.server_names(service)))

    def server_names(
        self, service: types.ServiceName
    ) -> frozenset[types.ProxyName]:
        """Returns the proxies that serve a service and monitor its group."""
        found = self._servers.get(service)
        if found is None:
            found = self._compute_servers(service)
            self._servers[service] = found
        return found

    def serves(self, service: types.ServiceName) -> bool:
        """Returns whether this proxy serves a service from the start."""
        names = self.server_names(service)
        return self._name in names or not names

    def sharers(self, service: types.ServiceName) -> int:
        """Returns among how many proxies of this one's size to share databases.

        Workspaces are placed by capacity, so a proxy with twice the capacity
        needs twice the share. A small proxy keeps the even share: it may serve
        a workspace that sends much.
        """
        if not self._by_workspace:
            return self.servers(service)
        count = max(1, len(self._proxies))
        weights = self._weights()
        own = weights.get(self._name, 0.0)
        if own <= 0:
            return count
        return min(count, math.ceil(sum(weights.values()) / own))

    def is_shared(self, service: types.ServiceName) -> bool:
        """Returns whether proxies run statements of a service for others."""
        return self._by_workspace or self._is_scarce(service)

    def _forget(self) -> None:
        self._cache.clear()
        self._servers.clear()

    @property
    def _by_workspace(self) -> bool:
        """Whether the workspace, and not the service, decides the server."""
        return self._catalog is not None and bool(self._catalog.workspaces)

    def _is_scarce(self, service: types.ServiceName) -> bool:
        """Returns whether there are fewer connections than proxies."""
        if self._catalog is None:
            return False
        settings = self._catalog.services.get(service)
        return settings is not None and settings.connections < len(
            self._proxies
        )

    def _weights(
        self, zone: types.ZoneName | None = None
    ) -> dict[types.ProxyName, float]:
        """Returns the capacities of the proxies that can serve."""
        return {
            name: proxy.capacity
            for name, proxy in self._proxies.items()
            if proxy.address and zone in (None, proxy.zone)
        }

    def _compute(
        self, service: types.ServiceName, workspace: types.WorkspaceName
    ) -> tuple[types.ProxyName, ...]:
        if self._by_workspace:
            return rendezvous.weighted_owners(
                workspace or service, self._weights(), fleet_view.CANDIDATES
            )
        if not self._is_scarce(service):
            return ()
        by_zone = self._by_zone(service)
        own = self._own_order(by_zone.pop(self._zone, ()))
        zones = self._zone_order(by_zone)
        others = [
            by_zone[zone][place]
            for place in range(_SERVERS_PER_ZONE)
            for zone in zones
            if place < len(by_zone[zone])
        ]
        return (*own, *others)

    def _compute_servers(
        self, service: types.ServiceName
    ) -> frozenset[types.ProxyName]:
        if self._by_workspace or not self._is_scarce(service):
            return frozenset(self._proxies)
        chosen = self._by_zone(service).values()
        names = frozenset(name for owners in chosen for name in owners)
        return names or frozenset(self._proxies)

    def _by_zone(
        self, service: types.ServiceName
    ) -> dict[types.ZoneName, tuple[types.ProxyName, ...]]:
        """Returns the serving proxies of a service in each zone."""
        zones = {proxy.zone for proxy in self._proxies.values() if proxy.zone}
        found = {
            zone: rendezvous.weighted_owners(
                service, self._weights(zone), _SERVERS_PER_ZONE
            )
            for zone in zones
        }
        return {zone: owners for zone, owners in found.items() if owners}

    def _own_order(
        self, owners: tuple[types.ProxyName, ...]
    ) -> tuple[types.ProxyName, ...]:
        """Returns the servers of this zone in this proxy's order.

        This proxy comes first if it is one of them, which saves a hop.
        Otherwise a hash of its name decides, so that all of them get work.
        """
        if not owners:
            return ()
        if self._name in owners:
            first = owners.index(self._name)
        else:
            first = xxhash.xxh64_intdigest(self._name.encode()) % len(owners)
        return owners[first:] + owners[:first]

    def _zone_order(
        self, zones: Mapping[types.ZoneName, object]
    ) -> list[types.ZoneName]:
        """Returns the other zones, in an order that differs by proxy."""
        return sorted(
            zones,
            key=lambda zone: xxhash.xxh64_intdigest(
                f"{self._name}\0{zone}".encode()
            ),
        )
