"""What one proxy knows of the fleet, as it decides where a workspace runs.

The functions of a view depend on its content only, so that all proxies that are
told the same view compute the same answers.
"""

from __future__ import annotations

from collections.abc import Mapping
import dataclasses
import functools

import xxhash

from hickorygate.core import rendezvous
from hickorygate.core import types

__all__ = ["CANDIDATES", "Fleet", "FleetView", "MAX_HOLDERS", "RESERVED"]

CANDIDATES = 16
"""Number of proxies that may serve a workspace, by rank. If the fleet is
partitioned, each part must hold one of them: a workspace without a candidate is
served by each gateway with that gateway's share alone."""

RESERVED = 3
"""Number of candidates, by rank, that may run operations beyond their share."""

MAX_HOLDERS = 32
"""Maximum number of proxies that hold a share of a workspace's limit. The
serving proxy needs a link to each of them, so the number must not grow with the
fleet."""

_CACHED_WORKSPACES = 16_384


class Fleet:
    """The registered proxies and their capacities; immutable.

    Fleets with the same content are equal and have the same digest.
    """

    __slots__ = ("_capacities", "_digest", "_find_holders", "_find_servers")

    def __init__(self, capacities: Mapping[types.ProxyName, float]) -> None:
        """Creates a fleet.

        Args:
          capacities: capacity of each registered proxy, in cores; 0 if it
            can't serve other proxies.
        """
        self._capacities = {
            name: float(cores) for name, cores in sorted(capacities.items())
        }
        text = repr(tuple(self._capacities.items()))
        self._digest = xxhash.xxh64_hexdigest(text.encode())
        cache = functools.lru_cache(_CACHED_WORKSPACES)
        self._find_holders = cache(self._compute_holders)
        self._find_servers = cache(self._compute_servers)

    @property
    def capacities(self) -> Mapping[types.ProxyName, float]:
        """Capacity of each registered proxy, in cores."""
        return self._capacities

    @property
    def digest(self) -> str:
        """Hash of the content."""
        return self._digest

    def __len__(self) -> int:
        return len(self._capacities)

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Fleet) and other.digest == self._digest

    def __hash__(self) -> int:
        return hash(self._digest)

    def __repr__(self) -> str:
        return f"Fleet({len(self._capacities)} proxies, {self._digest})"

    def candidates(
        self,
        workspace: types.WorkspaceName,
        absent: frozenset[types.ProxyName] = frozenset(),
    ) -> tuple[types.ProxyName, ...]:
        """Returns the proxies that may serve a workspace, best first.

        Args:
          workspace: name of the workspace.
          absent: proxies that no longer renew their registration.
        """
        return self._find_servers(workspace, absent)

    def holders(
        self, workspace: types.WorkspaceName
    ) -> frozenset[types.ProxyName]:
        """Returns the proxies that hold a share of a workspace's limit."""
        return self._find_holders(workspace)

    def share(
        self, proxy: types.ProxyName, workspace: types.WorkspaceName
    ) -> float:
        """Returns the share of a workspace's limit that a proxy holds."""
        holders = self._find_holders(workspace)
        return 1 / len(holders) if proxy in holders else 0.0

    def _compute_holders(
        self, workspace: types.WorkspaceName
    ) -> frozenset[types.ProxyName]:
        names = self._capacities
        if len(names) <= MAX_HOLDERS:
            return frozenset(names)
        return frozenset(rendezvous.owners(workspace, names, MAX_HOLDERS))

    def _compute_servers(
        self,
        workspace: types.WorkspaceName,
        absent: frozenset[types.ProxyName],
    ) -> tuple[types.ProxyName, ...]:
        weights = {
            name: capacity
            for name, capacity in self._capacities.items()
            if name not in absent
        }
        return rendezvous.weighted_owners(workspace, weights, CANDIDATES)


@dataclasses.dataclass(frozen=True, slots=True)
class FleetView:
    """A fleet and the proxies that one proxy doesn't use at present.

    Attributes:
      fleet: the registered proxies.
      absent: proxies that no longer renew their registration; they are no
        candidates.
      slow: proxies that are used only if no other candidate can be.
      unusable: proxies to which no statement can be sent.
    """

    fleet: Fleet
    absent: frozenset[types.ProxyName] = frozenset()
    slow: frozenset[types.ProxyName] = frozenset()
    unusable: frozenset[types.ProxyName] = frozenset()

    def server(
        self, gateway: types.ProxyName, workspace: types.WorkspaceName
    ) -> types.ProxyName:
        """Returns the proxy that a gateway uses for a workspace.

        Args:
          gateway: proxy that this view belongs to; it serves the workspace
            itself if it can use no candidate.
          workspace: name of the workspace.
        """
        candidates = self.fleet.candidates(workspace, self.absent)
        for avoided in (self.slow | self.unusable, self.unusable):
            for name in candidates:
                if name == gateway or name not in avoided:
                    return name
        return gateway
