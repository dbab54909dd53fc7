"""Decides whether a group has lost its primary, without I/O.

A primary that doesn't answer counts as lost only if a majority of the
databases report, twice in a row, that they have been without a primary for the
detection time. A primary that still answers counts as cut off from its
replicas if a majority reports the same for 1.5 times that time. A primary that
is fenced for a newer term must be replaced without such a majority, once it
has been without a primary for the detection time in two answers in a row. A
proxy that alone has lost its network gets no answers, so it doesn't replace
the primary.
"""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses
import datetime

from hickorygate.core import position
from hickorygate.core import types

__all__ = ["PrimaryFailureDetector", "ObservedDatabase"]

_REQUIRED_CONFIRMATIONS = 2
"""Number of consecutive answers without a primary that a database must give
before it counts as without a primary.

One answer is not enough: a database that was suspended reports once, right
after it resumes, that it has received nothing from its primary.
"""

_FAST_PROBING_FACTOR = 4
"""Fast probing of a group without a primary ends after this many detection
times."""

_ANSWERING_PRIMARY_FACTOR = 1.5
"""Multiple of the detection time after which a primary that still answers
this proxy counts as cut off from its replicas."""


@dataclasses.dataclass(slots=True)
class ObservedDatabase:
    """State of one database according to the probes.

    Attributes:
      status: newest status of the database.
      status_received_at: time at which that status arrived.
      in_term_since: time at which the database was first seen in its current
        term.
      answers: whether the newest probe was answered.
      without_primary_since: time since which the database has had no primary,
        None if it has one.
      confirmations: number of consecutive answers that report no primary for
        at least the detection time.
    """

    status: position.DatabaseStatus
    status_received_at: datetime.datetime
    in_term_since: datetime.datetime
    answers: bool = True
    without_primary_since: datetime.datetime | None = None
    confirmations: int = 0

    @property
    def has_lost_log(self) -> bool:
        """Whether the database has lost its log, and the fences it accepted."""
        return self.status.log_term == 0

    @property
    def is_fenced_above_term(self) -> bool:
        """Whether the database is fenced for a term above its current one."""
        return self.status.fenced > self.status.term

    @property
    def is_primary(self) -> bool:
        """Whether the database reports the role of a primary."""
        return self.status.role is position.Role.PRIMARY


class PrimaryFailureDetector:
    """State of a group according to the statuses of its databases."""

    __slots__ = ("_detection", "_majority", "_watched")

    def __init__(self, majority: int, detection: datetime.timedelta) -> None:
        """Creates the state of a group without any known database.

        Args:
          majority: number of databases that form a majority of the group.
          detection: time that a majority must be without a primary.
        """
        self._majority = majority
        self._detection = detection
        self._watched: dict[types.DatabaseName, ObservedDatabase] = {}

    @property
    def observed_databases(self) -> Iterable[ObservedDatabase]:
        """States of all databases that ever answered a probe."""
        return self._watched.values()

    @property
    def highest_term(self) -> types.Term:
        """Highest term that any database was in or was fenced at."""
        return max(
            (
                max(watched.status.term, watched.status.fenced)
                for watched in self.observed_databases
            ),
            default=0,
        )

    @property
    def newest_term(self) -> types.Term:
        """Newest term of which any database is the primary or a replica."""
        return max(
            (watched.status.term for watched in self.observed_databases),
            default=0,
        )

    @property
    def primary(self) -> ObservedDatabase | None:
        """Primary of the newest term, None if it never answered a probe."""
        newest = self.newest_term
        primaries = (
            watched
            for watched in self.observed_databases
            if watched.is_primary and watched.status.term == newest
        )
        return next(primaries, None)

    def __repr__(self) -> str:
        return f"PrimaryFailureDetector({sorted(self._watched)})"

    def get(self, name: types.DatabaseName) -> ObservedDatabase | None:
        """Returns the state of a database, None if it never answered."""
        return self._watched.get(name)

    def record_status(
        self, status: position.DatabaseStatus, now: datetime.datetime
    ) -> None:
        """Records the status of an answered probe."""
        known = self._watched.get(status.database)
        updated = ObservedDatabase(status, now, now)
        if known is not None and known.status.term == status.term:
            updated.in_term_since = known.in_term_since
        updated.without_primary_since = self._compute_without_primary_since(
            updated, known
        )
        if self._past_detection_time(updated, now):
            updated.confirmations = 1 + (known.confirmations if known else 0)
        self._watched[status.database] = updated

    def record_probe_failure(self, name: types.DatabaseName) -> None:
        """Records that a probe wasn't answered."""
        known = self._watched.get(name)
        if known is not None:
            known.answers = False
            known.confirmations = 0

    def needs_fast_probing(self, now: datetime.datetime) -> bool:
        """Returns whether the databases should be probed more often.

        This is the case while a database that answers has been without a
        primary for between 0.5 and 4 (`_FAST_PROBING_FACTOR`) detection times.
        """
        soon = self._detection / 2
        late = self._detection * _FAST_PROBING_FACTOR
        return any(
            watched.answers
            and watched.without_primary_since is not None
            and soon <= now - watched.without_primary_since <= late
            for watched in self.observed_databases
        )

    def reason(self, now: datetime.datetime) -> str | None:
        """Returns why the primary must be replaced, None if it need not be."""
        primary = self.primary
        if primary is not None and primary.answers:
            return self._reason_for_answering_primary(primary, now)
        if self._count_without_primary(now) < self._majority:
            return None
        return "primary lost" if primary else "no primary"

    def _reason_for_answering_primary(
        self, primary: ObservedDatabase, now: datetime.datetime
    ) -> str | None:
        if (
            primary.is_fenced_above_term
            and primary.confirmations >= _REQUIRED_CONFIRMATIONS
        ):
            return "primary fenced and none promoted"
        earlier = now - self._detection * (_ANSWERING_PRIMARY_FACTOR - 1)
        if self._count_without_primary(earlier) >= self._majority:
            return "primary cut off from its replicas"
        return None

    def _count_without_primary(self, now: datetime.datetime) -> int:
        """Returns how many databases confirm that they have no primary.

        Such a database answers probes, has reported no primary at least
        `_REQUIRED_CONFIRMATIONS` times in a row, and has had none for the
        detection time before `now`.
        """
        return sum(
            watched.answers
            and watched.confirmations >= _REQUIRED_CONFIRMATIONS
            and self._past_detection_time(watched, now)
            for watched in self.observed_databases
        )

    def _past_detection_time(
        self, watched: ObservedDatabase, now: datetime.datetime
    ) -> bool:
        since = watched.without_primary_since
        return since is not None and now - since >= self._detection

    def _compute_without_primary_since(
        self, watched: ObservedDatabase, known: ObservedDatabase | None
    ) -> datetime.datetime | None:
        """Returns since when a database has had no primary, None if it has one.

        A replica reports the time since the last message from its primary; the
        part of that time before its current term doesn't count. A primary
        counts as without a primary if it is fenced for a newer term or if a
        newer term is known.

        Args:
          watched: new state of the database.
          known: state before, None if there was none.
        """
        if not watched.is_primary:
            last_message_at = (
                watched.status_received_at - watched.status.primary_silence
            )
            return max(last_message_at, watched.in_term_since)
        replaced = watched.status.term < self.newest_term
        if not watched.is_fenced_above_term and not replaced:
            return None
        if (
            known is not None
            and known.is_primary
            and known.without_primary_since is not None
        ):
            return known.without_primary_since
        return watched.status_received_at
