"""What this proxy knows of one group: decisions without I/O."""

from __future__ import annotations

import collections
import dataclasses
import datetime

import expression

from hickorygate.core import errors
from hickorygate.core import position as positions
from hickorygate.core import sheet as sheets
from hickorygate.core import types

__all__ = ["GroupView", "Sighting", "WritableResult"]

_KEPT_SAMPLES = 256

WritableResult = expression.Result[
    positions.DatabaseStatus, errors.NoPrimary | errors.NoQuorum
]


@dataclasses.dataclass(frozen=True, slots=True)
class Sighting:
    """A status and when it was asked for and answered."""

    status: positions.DatabaseStatus
    asked: datetime.datetime
    answered: datetime.datetime


@dataclasses.dataclass(frozen=True, slots=True)
class _Sample:
    """A position of the primary that a status asked for at `asked` showed."""

    asked: datetime.datetime
    position: positions.Position


class GroupView:
    """The newest sighting of each database of a group."""

    __slots__ = ("_group", "_leaving", "_samples", "_sightings", "_term")

    def __init__(self, group: sheets.Group) -> None:
        self._group = group
        self._sightings: dict[types.DatabaseName, Sighting] = {}
        self._samples: collections.deque[_Sample] = collections.deque(
            maxlen=_KEPT_SAMPLES
        )
        self._leaving: frozenset[types.DatabaseName] = frozenset()
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
        """The primary of the newest term, if it was seen unfenced."""
        for sighting in self._sightings.values():
            status = sighting.status
            leads = status.role is positions.Role.PRIMARY
            if leads and self._current(status):
                return status
        return None

    @property
    def sightings(self) -> tuple[Sighting, ...]:
        """All sightings, in the sheet's order of databases."""
        names = (database.name for database in self._group.databases)
        return tuple(
            self._sightings[name] for name in names if name in self._sightings
        )

    @property
    def leaving(self) -> frozenset[types.DatabaseName]:
        """Databases that get no new reads."""
        return self._leaving

    @property
    def confirmed_at(self) -> datetime.datetime | None:
        """A time at or after which the newest term was surely in force.

        A majority of the group was asked at this time or later and had
        promised itself to no newer term, so no newer primary existed.
        """
        asked = sorted(
            (
                sighting.asked
                for sighting in self._sightings.values()
                if self._current(sighting.status)
            ),
            reverse=True,
        )
        majority = self._group.majority
        return asked[majority - 1] if len(asked) >= majority else None

    def __repr__(self) -> str:
        return f"GroupView({self._group.name!r}, term={self._term})"

    def observe(self, sighting: Sighting) -> None:
        """Takes in a status; an older one than is known changes nothing."""
        status = sighting.status
        known = self._sightings.get(status.database)
        if known is not None and known.asked > sighting.asked:
            if not _computed_later(status, known.status):
                return
            # It was computed after the known one, so after that was asked.
            sighting = dataclasses.replace(sighting, asked=known.asked)
        self._sightings[status.database] = sighting
        self._term = max(self._term, status.term)
        if status.role is positions.Role.PRIMARY:
            position = positions.Position(status.term, status.received)
            self._samples.append(_Sample(sighting.asked, position))

    def forget(self, name: types.DatabaseName) -> None:
        """Drops a database that no longer answers."""
        self._sightings.pop(name, None)

    def leave(self, names: frozenset[types.DatabaseName]) -> None:
        """Sets the databases that get no new reads."""
        self._leaving = names

    def replicas_at(
        self, floor: positions.Position
    ) -> tuple[positions.DatabaseStatus, ...]:
        """Returns the replicas that may serve a read with this floor."""
        return tuple(
            sighting.status
            for sighting in self.sightings
            if sighting.status.role is positions.Role.REPLICA
            and sighting.status.database not in self._leaving
            and positions.serves(sighting.status, self._term, floor)
        )

    def writable(
        self, now: datetime.datetime, recency: datetime.timedelta
    ) -> WritableResult:
        """Returns the primary if a majority was lately seen in its term.

        Args:
          now: the present.
          recency: how long ago a database may have been asked.
        """
        primary = self.primary
        if primary is None:
            return expression.Error(errors.NoPrimary(self._group.name))
        reachable = sum(
            self._current(sighting.status) and sighting.asked >= now - recency
            for sighting in self._sightings.values()
        )
        if reachable < self._group.majority:
            return expression.Error(
                errors.NoQuorum(
                    self._group.name, reachable, self._group.majority
                )
            )
        return expression.Ok(primary)

    def confirmed_position(
        self, since: datetime.datetime
    ) -> positions.Position | None:
        """Returns a position that covers all that was acknowledged before.

        The newest term's primary was asked for it after `since`, and so was
        a majority that confirms the term.
        """
        confirmed_at = self.confirmed_at
        if confirmed_at is None or confirmed_at <= since:
            return None
        for sample in reversed(self._samples):
            if sample.position.term == self._term and sample.asked > since:
                return sample.position
        return None

    def staleness(
        self, name: types.DatabaseName, now: datetime.datetime
    ) -> datetime.timedelta | None:
        """Returns a bound of the age of a replica's data, None if unknown.

        The replica has applied a position that the primary had when it was
        asked, and no newer primary existed then.
        """
        sighting = self._sightings.get(name)
        confirmed_at = self.confirmed_at
        if sighting is None or confirmed_at is None:
            return None
        for sample in reversed(self._samples):
            if sample.position.term != self._term:
                continue
            if sample.asked <= confirmed_at and positions.serves(
                sighting.status, self._term, sample.position
            ):
                return now - sample.asked
        return None

    def _current(self, status: positions.DatabaseStatus) -> bool:
        """Whether a database knows of no newer term than the view's."""
        return status.term == self._term and status.fenced <= self._term


def _computed_later(
    status: positions.DatabaseStatus, known: positions.DatabaseStatus
) -> bool:
    """Tells whether a status shows progress beyond another of one term.

    An answer that waited for a position was asked for long before it was
    computed. What a database holds only grows under one term and boot.
    """
    if (status.boot, status.term) != (known.boot, known.term):
        return False
    progress = (status.received, status.applied, status.fenced)
    before = (known.received, known.applied, known.fenced)
    return progress != before and all(
        now >= then for now, then in zip(progress, before, strict=True)
    )
