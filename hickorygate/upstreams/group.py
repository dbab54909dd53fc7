"""What this proxy knows of one group: decisions without I/O."""

from __future__ import annotations

import dataclasses
import datetime

from hickorygate.core import position as positions
from hickorygate.core import sheet as sheets
from hickorygate.core import types

__all__ = ["GroupView", "Sighting"]


@dataclasses.dataclass(frozen=True, slots=True)
class Sighting:
    """A status and when it was asked for and answered."""

    status: positions.DatabaseStatus
    asked: datetime.datetime
    answered: datetime.datetime


class GroupView:
    """The newest sighting of each database of a group."""

    __slots__ = ("_group", "_sightings", "_term")

    def __init__(self, group: sheets.Group) -> None:
        self._group = group
        self._sightings: dict[types.DatabaseName, Sighting] = {}
        self._term: types.Term = 0

    @property
    def group(self) -> sheets.Group:
        """The group as the sheet describes it."""
        return self._group

    @property
    def term(self) -> types.Term:
        """The newest term that any database leads or follows."""
        return self._term

    @property
    def primary(self) -> positions.DatabaseStatus | None:
        """The primary of the newest term, if it was seen."""
        for sighting in self._sightings.values():
            status = sighting.status
            leads = status.role is positions.Role.PRIMARY
            if leads and status.term == self._term:
                return status
        return None

    @property
    def sightings(self) -> tuple[Sighting, ...]:
        """All sightings, in the sheet's order of databases."""
        names = (database.name for database in self._group.databases)
        return tuple(
            self._sightings[name] for name in names if name in self._sightings
        )

    def __repr__(self) -> str:
        return f"GroupView({self._group.name!r}, term={self._term})"

    def observe(self, sighting: Sighting) -> None:
        """Takes in a status; an older one than is known changes nothing."""
        name = sighting.status.database
        known = self._sightings.get(name)
        if known is not None and known.asked > sighting.asked:
            return
        self._sightings[name] = sighting
        self._term = max(self._term, sighting.status.term)

    def forget(self, name: types.DatabaseName) -> None:
        """Drops a database that no longer answers."""
        self._sightings.pop(name, None)

    def replicas_at(
        self, floor: positions.Position
    ) -> tuple[positions.DatabaseStatus, ...]:
        """Returns the replicas that may serve a read with this floor."""
        return tuple(
            sighting.status
            for sighting in self.sightings
            if sighting.status.role is positions.Role.REPLICA
            and positions.serves(sighting.status, self._term, floor)
        )
