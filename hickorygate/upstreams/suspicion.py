"""Whether a group has lost its primary: decisions without I/O.

A primary is given up only if a majority of the group says, twice in a row,
that it has been without one for the detection time. A proxy that alone has
lost its network hears no such majority.
"""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses
import datetime

from hickorygate.core import position as positions
from hickorygate.core import types

__all__ = ["Suspicion", "Watched"]

_CONFIRMATIONS = 2
"""Answers in a row; one that just woke says once that it heard nothing."""

_HURRIED_DETECTIONS = 4
"""Detection times after which a group without a primary is asked less."""

_PATIENCE_WITH_ANSWERING = 1.5
"""Times the detection time, for a primary that still answers us."""


@dataclasses.dataclass(slots=True)
class Watched:
    """One database as the probes show it.

    Attributes:
      status: its newest status.
      seen: when that came.
      in_term_since: when it was first seen in its present term.
      answers: whether the newest probe was answered.
      alone_since: since when it has had no primary, None if it has one.
      confirmations: answers in a row that say so for the detection time.
    """

    status: positions.DatabaseStatus
    seen: datetime.datetime
    in_term_since: datetime.datetime
    answers: bool = True
    alone_since: datetime.datetime | None = None
    confirmations: int = 0

    @property
    def blank(self) -> bool:
        """Whether it has lost its log, and its promises with it."""
        return self.status.log_term == 0

    @property
    def fenced_off(self) -> bool:
        """Whether it has promised itself to a term that it isn't in yet."""
        return self.status.fenced > self.status.term

    @property
    def leads(self) -> bool:
        """Whether it is a primary in its own eyes."""
        return self.status.role is positions.Role.PRIMARY


class Suspicion:
    """The group as its databases describe it."""

    __slots__ = ("_detection", "_majority", "_watched")

    def __init__(self, majority: int, detection: datetime.timedelta) -> None:
        self._majority = majority
        self._detection = detection
        self._watched: dict[types.DatabaseName, Watched] = {}

    @property
    def watched(self) -> Iterable[Watched]:
        """All databases that were ever seen."""
        return self._watched.values()

    @property
    def highest_term(self) -> types.Term:
        """The highest term that any database was seen in or fenced at."""
        return max(
            (max(w.status.term, w.status.fenced) for w in self.watched),
            default=0,
        )

    @property
    def newest_term(self) -> types.Term:
        """The newest term that any database leads or follows."""
        return max((w.status.term for w in self.watched), default=0)

    @property
    def primary(self) -> Watched | None:
        """The primary of the newest term, if it was ever seen."""
        newest = self.newest_term
        leaders = (
            w for w in self.watched if w.leads and w.status.term == newest
        )
        return next(leaders, None)

    def __repr__(self) -> str:
        return f"Suspicion({sorted(self._watched)})"

    def get(self, name: types.DatabaseName) -> Watched | None:
        """Returns what is known of a database."""
        return self._watched.get(name)

    def see(
        self, status: positions.DatabaseStatus, now: datetime.datetime
    ) -> None:
        """Takes in an answered probe."""
        known = self._watched.get(status.database)
        fresh = Watched(status, now, now)
        if known is not None and known.status.term == status.term:
            fresh.in_term_since = known.in_term_since
        fresh.alone_since = self._alone_since(fresh, known)
        if self._long_alone(fresh, now):
            fresh.confirmations = 1 + (known.confirmations if known else 0)
        self._watched[status.database] = fresh

    def lose(self, name: types.DatabaseName) -> None:
        """Takes in a probe that wasn't answered."""
        known = self._watched.get(name)
        if known is not None:
            known.answers = False
            known.confirmations = 0

    def suspects(self, now: datetime.datetime) -> bool:
        """Tells whether it is worth asking faster."""
        soon = self._detection / 2
        late = self._detection * _HURRIED_DETECTIONS
        return any(
            w.answers
            and w.alone_since is not None
            and soon <= now - w.alone_since <= late
            for w in self.watched
        )

    def reason(self, now: datetime.datetime) -> str | None:
        """Tells why the primary must be replaced, None if it need not."""
        primary = self.primary
        if primary is not None and primary.answers:
            return self._reason_answering(primary, now)
        if self._without_primary(now) < self._majority:
            return None
        return "primary lost" if primary else "no primary"

    def _reason_answering(
        self, primary: Watched, now: datetime.datetime
    ) -> str | None:
        if primary.fenced_off and primary.confirmations >= _CONFIRMATIONS:
            return "primary fenced and none promoted"
        longer = now - self._detection * (_PATIENCE_WITH_ANSWERING - 1)
        if self._without_primary(longer) >= self._majority:
            return "primary cut off from its replicas"
        return None

    def _without_primary(self, now: datetime.datetime) -> int:
        """Counts the databases that have been alone for long, as they say."""
        return sum(
            w.answers
            and w.confirmations >= _CONFIRMATIONS
            and self._long_alone(w, now)
            for w in self.watched
        )

    def _long_alone(self, watched: Watched, now: datetime.datetime) -> bool:
        since = watched.alone_since
        return since is not None and now - since >= self._detection

    def _alone_since(
        self, watched: Watched, known: Watched | None
    ) -> datetime.datetime | None:
        """Returns since when a database has been without a primary."""
        if not watched.leads:
            heard = watched.seen - watched.status.primary_silence
            return max(heard, watched.in_term_since)
        replaced = watched.status.term < self.newest_term
        if not watched.fenced_off and not replaced:
            return None
        if known is not None and known.leads and known.alone_since is not None:
            return known.alone_since
        return watched.seen
