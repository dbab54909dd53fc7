"""Runs a platform, a group and proxies in one process, for tests and demos."""

from __future__ import annotations

import asyncio
import dataclasses
import datetime
import random

import asyncmy

from hickorygate import daemon as daemons
from hickorygate.core import clock as clocks
from hickorygate.core import settings as settings_lib
from hickorygate.platform import connect as platforms
from hickorygate.store import objects
from hickorygate.testing import database as databases
from hickorygate.testing import object_store

__all__ = ["PASSWORD", "SCHEMA", "USER", "StandInCluster", "connect", "start"]

USER = "vindpoot"
PASSWORD = "polder"
SCHEMA = "alerts_1"

_DRAIN_NOTICE_MS = 50
_POLL_INTERVAL = datetime.timedelta(milliseconds=10)
_NAMES = ("alert-db-1a", "alert-db-1b", "alert-db-1c")
_ZONES = ("nl-west-a", "nl-west-b", "nl-west-c")

_SHEET = """
format: 1
proxies: 5
services:
  - name: alert-db
    ranks:
      - {name: urgent, target_ms: 250, floor: 0.5}
      - {name: normal, target_ms: 1000, floor: 0.2}
      - {name: background, target_ms: 10000, floor: 0.05}
    reads:
      - {name: lookup, staleness_ms: 2000}
    users:
      - {name: vindpoot, rank: normal}
    groups:
      - name: alert-db-1
        schemas: [alerts_1]
        databases:
"""


@dataclasses.dataclass(slots=True)
class StandInCluster:
    """A running cluster.

    Attributes:
      platform: stand-in platform.
      group: stand-in databases.
      daemons: proxies.
    """

    platform: object_store.ObjectStore
    group: databases.StandInGroup
    daemons: list[daemons.Daemon]

    @property
    def primary(self) -> databases.StandInDatabase:
        """The database that accepts writes."""
        return next(db for db in self.group.databases if db.log.writable)

    async def wait_until_ready(self, timeout: datetime.timedelta) -> None:
        """Waits until each proxy has the sheet and has found the primary.

        A proxy must also have a status of each database of the group.
        """
        async with asyncio.timeout(timeout.total_seconds()):
            while not all(self._is_ready(daemon) for daemon in self.daemons):
                await asyncio.sleep(_POLL_INTERVAL.total_seconds())

    async def wait_until_peers_known(self, timeout: datetime.timedelta) -> None:
        """Waits until each proxy has discovered all others."""
        others = len(self.daemons) - 1
        async with asyncio.timeout(timeout.total_seconds()):
            while any(
                len(daemon.mesh.membership.members) < others
                for daemon in self.daemons
            ):
                await asyncio.sleep(_POLL_INTERVAL.total_seconds())

    async def stop(self) -> None:
        """Stops the proxies, the databases and the platform."""
        for daemon in self.daemons:
            await daemon.close()
        await self.group.stop()
        await self.platform.close()

    def _is_ready(self, daemon: daemons.Daemon) -> bool:
        if daemon.sheet is None:
            return False
        view = daemon.group("alert-db-1").view
        all_seen = len(view.observations) == len(self.group.databases)
        return all_seen and view.primary is not None


def sheet_text(group: databases.StandInGroup, head: str = _SHEET) -> str:
    """Returns the YAML of a sheet for one group of stand-in databases.

    Args:
      group: group of the databases.
      head: YAML text before the list of databases.
    """
    rows = [
        f"          - {{name: {database.name}, host: 127.0.0.1, "
        f"port: {database.port}, zone: {zone}, connections: 20, slots: 3}}"
        for database, zone in zip(group.databases, _ZONES, strict=True)
    ]
    return head + "\n".join(rows) + "\n"


def settings(
    name: str, zone: str, url: str, seeds: tuple[str, ...]
) -> settings_lib.Settings:
    """Returns the settings of one proxy on free ports."""
    return settings_lib.Settings(
        name=name,
        zone=zone,
        callers=settings_lib.CallerSettings(
            port=0,
            users={USER: PASSWORD},
            token_key="shared secret",
            drain_notice_ms=_DRAIN_NOTICE_MS,
        ),
        platform=settings_lib.PlatformSettings(url=url),
        peers=settings_lib.PeerSettings(seeds=seeds),
    )


async def load_sheet(
    platform: object_store.ObjectStore, text: str, clock: clocks.Clock
) -> None:
    """Stores a sheet through the object API."""
    settings = settings_lib.PlatformSettings(url=platform.url)
    client = platforms.build_client(settings, clock, random.Random(0))
    sheet = objects.SheetObject(
        text=text, loaded_by="testing", loaded_at=clock.now()
    )
    stored = await client.store_sheet(sheet, expected=0)
    await client.close()
    assert stored.is_ok(), stored


async def connect(daemon: daemons.Daemon) -> asyncmy.Connection:
    """Opens a caller's connection to a proxy, with the schema selected."""
    return await asyncmy.connect(
        host="127.0.0.1",
        port=daemon.port,
        user=USER,
        password=PASSWORD,
        database=SCHEMA,
        autocommit=None,
    )


async def start(
    proxies: int, head: str = _SHEET, clock: clocks.Clock | None = None
) -> StandInCluster:
    """Starts a platform with a sheet, a group of three, and proxies.

    Args:
      proxies: number of proxies.
      head: YAML text of the sheet before the list of databases.
      clock: clock of the proxies and the databases; None for the system's.

    Returns:
      The cluster, which may not be ready yet.
    """
    clock = clock or clocks.SystemClock()
    platform = object_store.ObjectStore()
    await platform.start()
    group = databases.StandInGroup(clock)
    await group.start(_NAMES)
    await load_sheet(platform, sheet_text(group, head), clock)
    cluster = StandInCluster(platform, group, [])
    for number in range(proxies):
        seeds = tuple(daemon.mesh.address for daemon in cluster.daemons)
        zone = _ZONES[number % len(_ZONES)]
        daemon = daemons.Daemon(
            settings(f"proxy-{number}", zone, platform.url, seeds), clock
        )
        started = await daemon.start()
        assert started.is_ok(), started
        cluster.daemons.append(daemon)
    return cluster
