"""This proxy's view of one group, derived from statuses without I/O."""

from __future__ import annotations

import collections
import dataclasses
import datetime

import expression

from hickorygate.core import errors
from hickorygate.core import position as positions
from hickorygate.core import sheet
from hickorygate.core import types

__all__ = ["GroupView", "StatusObservation", "WritableResult"]

_MAX_SAMPLES = 256
"""Number of positions of the primary that a view keeps."""

WritableResult = expression.Result[
    positions.DatabaseStatus, errors.NoPrimary | errors.NoQuorum
]
"""Status of a primary that accepts writes, or why there is none."""


@dataclasses.dataclass(frozen=True, slots=True)
class StatusObservation:
    """A status of a database and the times of its request and answer.

    Attributes:
      status: status that the database reported.
      requested_at: time at which the status was requested.
      answered: time at which the answer arrived.
    """

    status: positions.DatabaseStatus
    requested_at: datetime.datetime
    answered: datetime.datetime


@dataclasses.dataclass(frozen=True, slots=True)
class _Sample:
    """A position of the primary.

    Attributes:
      requested_at: time at which the status with the position was requested.
      position: position in the status.
    """

    requested_at: datetime.datetime
    position: positions.Position


class GroupView:
    """The newest status of each database of a group, and what it implies."""

    __slots__ = ("_group", "_leaving", "_samples", "_observations", "_term")

    def __init__(self, group: sheet.Group) -> None:
        self._group = group
        self._observations: dict[types.DatabaseName, StatusObservation] = {}
        self._samples: collections.deque[_Sample] = collections.deque(
            maxlen=_MAX_SAMPLES
        )
        self._leaving: frozenset[types.DatabaseName] = frozenset()
        self._term: types.Term = 0

    @property
    def group(self) -> sheet.Group:
        """The group according to the sheet."""
        return self._group

    @property
    def term(self) -> types.Term:
        """Newest term of which any database is the primary or a replica."""
        return self._term

    @property
    def primary(self) -> positions.DatabaseStatus | None:
        """Primary of the newest term, None if it is fenced or wasn't seen."""
        for observation in self._observations.values():
            status = observation.status
            leads = status.role is positions.Role.PRIMARY
            if leads and self._in_newest_term(status):
                return status
        return None

    @property
    def observations(self) -> tuple[StatusObservation, ...]:
        """Newest observations, in the order of the databases in the sheet."""
        names = (database.name for database in self._group.databases)
        return tuple(
            self._observations[name]
            for name in names
            if name in self._observations
        )

    @property
    def leaving(self) -> frozenset[types.DatabaseName]:
        """Names of the databases that get no new reads."""
        return self._leaving

    @property
    def term_confirmed_at(self) -> datetime.datetime | None:
        """Time at or after which the newest term was certainly in force.

        A majority of the group was asked for its status at this time or later
        and wasn't fenced for a newer term, so no newer primary existed at
        this time. None if no such majority was seen.
        """
        asked = sorted(
            (
                observation.requested_at
                for observation in self._observations.values()
                if self._in_newest_term(observation.status)
            ),
            reverse=True,
        )
        majority = self._group.majority
        return asked[majority - 1] if len(asked) >= majority else None

    def __repr__(self) -> str:
        return f"GroupView({self._group.name!r}, term={self._term})"

    def observe(self, observation: StatusObservation) -> None:
        """Records a status, unless a newer one of the database is known."""
        status = observation.status
        known = self._observations.get(status.database)
        if known is not None and known.requested_at > observation.requested_at:
            if not _shows_progress(status, known.status):
                return
            # The status was computed after the known one, so also after the
            # known one was requested.
            observation = dataclasses.replace(
                observation, requested_at=known.requested_at
            )
        self._observations[status.database] = observation
        self._term = max(self._term, status.term)
        if status.role is positions.Role.PRIMARY:
            position = positions.Position(status.term, status.received)
            self._samples.append(_Sample(observation.requested_at, position))

    def forget(self, name: types.DatabaseName) -> None:
        """Removes the observation of a database that no longer answers."""
        self._observations.pop(name, None)

    def leave(self, names: frozenset[types.DatabaseName]) -> None:
        """Sets the names of the databases that get no new reads."""
        self._leaving = names

    def replicas_for_floor(
        self, floor: positions.Position
    ) -> tuple[positions.DatabaseStatus, ...]:
        """Returns the statuses of the replicas that may serve a read.

        Args:
          floor: lowest position that the read must see.
        """
        return tuple(
            observation.status
            for observation in self.observations
            if observation.status.role is positions.Role.REPLICA
            and observation.status.database not in self._leaving
            and positions.can_serve_read(observation.status, self._term, floor)
        )

    def writable_primary(
        self, now: datetime.datetime, recency: datetime.timedelta
    ) -> WritableResult:
        """Returns the primary if a majority was recently seen in its term.

        Args:
          now: current time.
          recency: maximum time since a database was asked for its status.

        Returns:
          The status of the primary, or an error if there is no primary or
          no majority.
        """
        primary = self.primary
        if primary is None:
            return expression.Error(errors.NoPrimary(self._group.name))
        reachable = sum(
            self._in_newest_term(observation.status)
            and observation.requested_at >= now - recency
            for observation in self._observations.values()
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
        """Returns a position that covers every write acknowledged earlier.

        The primary of the newest term was asked for the position after
        `since`, and so was a majority that confirms the term.

        Args:
          since: time before which the writes were acknowledged.

        Returns:
          The position, None if no such position is known.
        """
        term_confirmed_at = self.term_confirmed_at
        if term_confirmed_at is None or term_confirmed_at <= since:
            return None
        for sample in reversed(self._samples):
            if (
                sample.position.term == self._term
                and sample.requested_at > since
            ):
                return sample.position
        return None

    def staleness(
        self, name: types.DatabaseName, now: datetime.datetime
    ) -> datetime.timedelta | None:
        """Returns an upper bound of the age of a replica's data.

        The bound is the time since the primary was asked for a position that
        the replica has applied. No newer primary existed at that time.

        Args:
          name: name of the replica.
          now: current time.

        Returns:
          The bound, None if it is unknown.
        """
        observation = self._observations.get(name)
        term_confirmed_at = self.term_confirmed_at
        if observation is None or term_confirmed_at is None:
            return None
        for sample in reversed(self._samples):
            if sample.position.term != self._term:
                continue
            if (
                sample.requested_at <= term_confirmed_at
                and positions.can_serve_read(
                    observation.status, self._term, sample.position
                )
            ):
                return now - sample.requested_at
        return None

    def _in_newest_term(self, status: positions.DatabaseStatus) -> bool:
        """Returns whether a status has the newest term and no fence above."""
        return status.term == self._term and status.fenced <= self._term


def _shows_progress(
    status: positions.DatabaseStatus, known: positions.DatabaseStatus
) -> bool:
    """Returns whether a status shows progress beyond another of its term.

    A database may compute an answer long after the request, if it waits for a
    position first. The log of a database only grows within one term and boot,
    so progress shows which status was computed later.

    Args:
      status: status whose request was sent earlier.
      known: status whose request was sent later.
    """
    if (status.boot, status.term) != (known.boot, known.term):
        return False
    progress = (status.received, status.applied, status.fenced)
    before = (known.received, known.applied, known.fenced)
    return progress != before and all(
        now >= then for now, then in zip(progress, before, strict=True)
    )
