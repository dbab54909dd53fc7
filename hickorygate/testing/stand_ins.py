"""Runs a stand-in platform and all databases of a sheet in one process."""

from __future__ import annotations

from hickorygate.core import clock as clocks
from hickorygate.core import sheet as sheets
from hickorygate.testing import database as databases
from hickorygate.testing import load
from hickorygate.testing import object_store

__all__ = ["StandIns"]


class StandIns:
    """A stand-in platform, and stand-in databases at a sheet's addresses."""

    __slots__ = ("_clock", "_groups", "_platform")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._platform = object_store.ObjectStore()
        self._groups: list[databases.StandInGroup] = []

    @property
    def url(self) -> str:
        """The base URL of the platform's object API."""
        return self._platform.url

    def __repr__(self) -> str:
        return f"StandIns(groups={len(self._groups)})"

    async def start(self, sheet: sheets.Sheet, port: int) -> None:
        """Starts the platform and each database of the sheet.

        Args:
          sheet: sheet of the databases; their hosts must be this machine.
          port: port of the platform's object API.

        Raises:
          OSError: an address can't be listened on.
        """
        await self._platform.start(port=port)
        for service in sheet.services:
            for group in service.groups:
                await self._start_group(group)

    async def stop(self) -> None:
        """Stops all databases and the platform."""
        for group in self._groups:
            await group.stop()
        await self._platform.close()

    async def _start_group(self, group: sheets.Group) -> None:
        stand_in = databases.StandInGroup(self._clock)
        self._groups.append(stand_in)
        started = await stand_in.start(
            tuple(database.name for database in group.databases),
            ports=tuple(database.port for database in group.databases),
        )
        for database, declared in zip(started, group.databases, strict=True):
            database.load.settings = load.LoadSettings(
                connections=declared.connections, slots=declared.slots
            )
