"""The control plane of a proxy alone, for tests and benchmarks."""

from __future__ import annotations

import random

from hickorygate.core import clock as clocks
from hickorygate.core import events
from hickorygate.core import settings as settings_lib
from hickorygate.core import sheet as sheets
from hickorygate.platform import connect
from hickorygate.proxies import mesh
from hickorygate.proxies import messages
from hickorygate.store import document_manager

__all__ = ["ControlPlane"]


class ControlPlane:
    """The connections of a proxy to the platform and to the other proxies.

    The control plane serves no callers and connects to no databases.

    Attributes:
      name: name of the proxy.
      leaving: names of the instances that get no new work.
      reports: reports that other proxies published.
      timeline: timeline of the proxy's events.
      manager: component that keeps the sheet and the list of instances.
      mesh: connection to the other proxies.
    """

    def __init__(
        self, name: str, zone: str, url: str, peers: settings_lib.PeerSettings
    ) -> None:
        self.name = name
        self.leaving: frozenset[str] = frozenset()
        self.reports: list[messages.Report] = []
        clock = clocks.SystemClock()
        stamps = events.HybridLogicalClock(clock)
        generator = random.Random(name)
        settings = settings_lib.Settings(
            name=name,
            zone=zone,
            callers=settings_lib.CallerSettings(users={}, token_key="key"),
            platform=settings_lib.PlatformSettings(url=url),
            peers=peers,
        )
        self.timeline = events.Timeline(name, stamps)
        client = connect.build_client(settings.platform, clock, generator)
        self.manager = document_manager.DocumentManager(
            client, self, clock, self.timeline, generator
        )
        self.mesh = mesh.Mesh(
            settings, self.manager, clock, stamps, self.timeline, generator
        )
        self.mesh.report_handlers.register(
            messages.Report, lambda report, _: self.reports.append(report)
        )

    @property
    def version(self) -> int:
        """Version of the sheet in use; 0 if there is none."""
        return self.manager.sheet.version if self.manager.sheet else 0

    def __repr__(self) -> str:
        return f"ControlPlane({self.name!r})"

    async def apply(self, sheet: sheets.Sheet) -> None:
        """Does nothing, as there are no pools to change."""

    def set_leaving(self, names: frozenset[str]) -> None:
        """Records the names of the leaving instances."""
        self.leaving = names

    async def start(self) -> None:
        """Starts the mesh and the document manager."""
        await self.mesh.start("127.0.0.1:1")
        self.manager.start(self.mesh)

    async def close(self) -> None:
        """Stops the document manager and the mesh."""
        await self.manager.close()
        await self.mesh.close()
