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
    """A proxy's link to the platform and to the others, and nothing else.

    Attributes:
      name: the proxy's.
      leaving: instances that get no new work.
      reports: what other proxies published.
      time_line: its events.
      keeper: the sheet and the list of instances.
      mesh: the link to the others.
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
        """Version of the sheet in force."""
        return self.keeper.sheet.version if self.keeper.sheet else 0

    def __repr__(self) -> str:
        return f"ControlPlane({self.name!r})"

    async def apply(self, sheet: sheet_lib.Sheet) -> None:
        """Builds nothing."""

    def leave(self, names: frozenset[str]) -> None:
        """Notes who is leaving."""
        self.leaving = names

    async def start(self) -> None:
        """Starts the link and the watchers."""
        await self.mesh.start("127.0.0.1:1")
        self.keeper.start(self.mesh)

    async def close(self) -> None:
        """Stops both."""
        await self.keeper.close()
        await self.mesh.close()
