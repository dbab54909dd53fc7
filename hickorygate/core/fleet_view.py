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

__all__ = ["CANDIDATES", "Fleet", "FleetView", "MAX_HOLDERS"]

CANDIDATES = 3
"""Number of proxies that may serve a workspace, by rank."""

MAX_HOLDERS = 32
"""Maximum number of proxies that hold a share of a workspace's limit. Each of
them needs a link to the serving proxy, so the number must not grow with the
fleet."""

_CACHED_WORKSPACES = 16_384


class Fleet:
    """The registered proxies and their capacities; immutable.

    Fleets with the same content are equal and have the same digest.
    """

    __slots__ = ("_capacities", "_digest", "_ranked")

    def __init__(self, capacities: Mapping[types.ProxyName, float]) -> None:
        """Creates a fleet.

        Args:
          capacities: capacity of each registered proxy, in cores.
        """
        self._capacities = dict(sorted(capacities.items()))
        text = repr(tuple(self._capacities.items()))
        self._digest = xxhash.xxh64_hexdigest(text.encode())
        self._ranked = functools.lru_cache(_CACHED_WORKSPACES)(self._rank)

    @property
    def capacities(self) -> Mapping[types.ProxyName, float]:
        """Capacity of each registered proxy, in cores."""
        return self._capacities

    @property
    def digest(self) -> str:
        """Hash of the content."""
        return self._digest

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Fleet) and other.digest == self._digest

    def __hash__(self) -> int:
        return hash(self._digest)

    def __repr__(self) -> str:
        return f"Fleet({len(self._capacities)} proxies, {self._digest})"

    def candidates(
        self, workspace: types.WorkspaceName
    ) -> tuple[types.ProxyName, ...]:
        """Returns the proxies that may serve a workspace, best first."""
        return self._ranked(workspace)[:CANDIDATES]

    def share(
        self, proxy: types.ProxyName, workspace: types.WorkspaceName
    ) -> float:
        """Returns the share of a workspace's limit that a proxy holds."""
        holders = self._ranked(workspace)
        return 1 / len(holders) if proxy in holders else 0.0

    def _rank(
        self, workspace: types.WorkspaceName
    ) -> tuple[types.ProxyName, ...]:
        return rendezvous.weighted_owners(
            workspace, self._capacities, MAX_HOLDERS
        )


@dataclasses.dataclass(frozen=True, slots=True)
class FleetView:
    """A fleet and the proxies that one proxy considers unusable.

    Attributes:
      fleet: the registered proxies.
      unusable: proxies to which it sends no statements at present.
    """

    fleet: Fleet
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
        for name in self.fleet.candidates(workspace):
            if name == gateway or name not in self.unusable:
                return name
        return gateway
