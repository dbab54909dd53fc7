"""The control plane of a proxy alone, for tests and benchmarks."""

from __future__ import annotations

import random

from hickorygate.core import clock as clocks
from hickorygate.core import events
from hickorygate.core import settings as settings_lib
from hickorygate.core import sheet as sheet_lib
from hickorygate.platform import connect as platforms
from hickorygate.proxies import mesh as meshes
from hickorygate.proxies import messages
from hickorygate.store import keeper as keepers

__all__ = ["ControlPlane"]


class ControlPlane:
    """The connections of a proxy to the platform and to the other proxies.

    The control plane serves no callers and connects to no databases.

    Attributes:
      name: name of the proxy.
      leaving: names of the instances that get no new work.
      reports: reports that other proxies published.
      time_line: timeline of the proxy's events.
      keeper: component that keeps the sheet and the list of instances.
      mesh: connection to the other proxies.
    """

    def __init__(
        self, name: str, zone: str, url: str, peers: settings_lib.PeerSettings
    ) -> None:
        self.name = name
        self.leaving: frozenset[str] = frozenset()
        self.reports: list[messages.Report] = []
        clock = clocks.SystemClock()
        stamps = events.StampClock(clock)
        generator = random.Random(name)
        settings = settings_lib.Settings(
            name=name,
            zone=zone,
            callers=settings_lib.CallerSettings(users={}, token_key="key"),
            platform=settings_lib.PlatformSettings(url=url),
            peers=peers,
        )
        self.time_line = events.TimeLine(name, stamps)
        client = platforms.connect(settings.platform, clock, generator)
        self.keeper = keepers.Keeper(
            client, self, clock, self.time_line, generator
        )
        self.mesh = meshes.Mesh(
            settings, self.keeper, clock, stamps, self.time_line, generator
        )
        self.mesh.subscribers.register(
            messages.Report, lambda report, _: self.reports.append(report)
        )

    @property
    def version(self) -> int:
        """Version of the sheet in use; 0 if there is none."""
        return self.keeper.sheet.version if self.keeper.sheet else 0

    def __repr__(self) -> str:
        return f"ControlPlane({self.name!r})"

    async def apply(self, sheet: sheet_lib.Sheet) -> None:
        """Does nothing, as there are no pools to change."""

    def leave(self, names: frozenset[str]) -> None:
        """Records the names of the leaving instances."""
        self.leaving = names

    async def start(self) -> None:
        """Starts the mesh and the keeper."""
        await self.mesh.start("127.0.0.1:1")
        self.keeper.start(self.mesh)

    async def close(self) -> None:
        """Stops the keeper and the mesh."""
        await self.keeper.close()
        await self.mesh.close()
