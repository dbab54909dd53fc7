"""Decides from probe results whether a database is reachable, without I/O."""

from __future__ import annotations

import datetime

__all__ = ["FULL_LIMIT", "REFUSED_LIMIT", "SILENCE_LIMIT", "DatabaseHealth"]

SILENCE_LIMIT = datetime.timedelta(milliseconds=1_000)
"""Time without an answer to a probe after which a database is unreachable.
It leaves time for retransmissions: lost packets are sent again within a few
hundred milliseconds."""

REFUSED_LIMIT = datetime.timedelta(milliseconds=250)
"""Time of refused connections after which a database is unreachable. It is
shorter than `SILENCE_LIMIT`, because a refusal means that no process
listens."""

FULL_LIMIT = datetime.timedelta(seconds=5)
"""Time of refused sessions after which a database is unreachable. A database at
its connection limit refuses sessions, and keeps the connections of callers that
lost power for some seconds."""

_QUIET_LIMIT = datetime.timedelta(milliseconds=200)
"""Time without an answer to a probe after which reads run elsewhere."""

_DOUBT_LIMIT = datetime.timedelta(milliseconds=100)
"""Time without an answer to a probe after which it is doubtful that the
database answers the next one."""

_MIN_REFUSALS = 2
"""Minimum number of refusals of an unreachable database; a single one is not
sufficient."""


class DatabaseHealth:
    """Tracks whether one database answers probes."""

    __slots__ = (
        "_answered",
        "_asked",
        "_full_since",
        "_refusals",
        "_refused_since",
    )

    def __init__(self) -> None:
        self._answered: datetime.datetime | None = None
        self._asked: datetime.datetime | None = None
        self._full_since: datetime.datetime | None = None
        self._refusals = 0
        self._refused_since: datetime.datetime | None = None

    def __repr__(self) -> str:
        return f"DatabaseHealth(asked={self._asked}, refusals={self._refusals})"

    @property
    def failing_since(self) -> datetime.datetime | None:
        """Time since which the database doesn't answer; None if it does."""
        if self._asked is None or self._refused_since is None:
            return self._asked or self._refused_since
        return min(self._asked, self._refused_since)

    def doubtful(self, now: datetime.datetime) -> bool:
        """Returns whether a recent probe was refused or is unanswered."""
        if self._refusals:
            return True
        return self._asked is not None and now - self._asked >= _DOUBT_LIMIT

    def silent(
        self,
        now: datetime.datetime,
        connecting_since: datetime.datetime | None = None,
    ) -> bool:
        """Returns whether nothing was answered for some time, or was refused.

        That is too little to tell whether the database is lost, but sufficient
        to prefer another one.

        Args:
          now: current time.
          connecting_since: time since which new connections get no answer;
            None if they do.
        """
        since = self._unanswered_since(connecting_since)
        return bool(self._refusals) or (
            since is not None and now - since >= _QUIET_LIMIT
        )

    def record_probe(self, now: datetime.datetime) -> None:
        """Records that a probe was sent."""
        if self._asked is None:
            self._asked = now

    def heard_recently(self, now: datetime.datetime) -> bool:
        """Returns whether the database answered anything a moment ago."""
        answered = self._answered
        return answered is not None and now - answered < _DOUBT_LIMIT

    def record_answer(self, now: datetime.datetime) -> None:
        """Records an answer to a probe or to a statement."""
        self.reset()
        self._answered = now

    def record_refusal(self, now: datetime.datetime) -> None:
        """Records that a connection was refused or broken."""
        self._refusals += 1
        if self._refused_since is None:
            self._refused_since = now

    def record_refused_session(self, now: datetime.datetime) -> None:
        """Records that the database runs but has no room for a session."""
        full_since = self._full_since
        self.reset()
        self._full_since = full_since or now

    def lost(
        self,
        now: datetime.datetime,
        connecting_since: datetime.datetime | None = None,
    ) -> bool:
        """Returns whether the database is unreachable.

        The arguments are those of `silent`.
        """
        full = self._full_since
        if full is not None and now - full >= FULL_LIMIT:
            return True
        refused = self._refused_since
        if refused is not None and self._refusals >= _MIN_REFUSALS:
            return now - refused >= REFUSED_LIMIT
        since = self._unanswered_since(connecting_since)
        return since is not None and now - since >= SILENCE_LIMIT

    def _unanswered_since(
        self, connecting_since: datetime.datetime | None
    ) -> datetime.datetime | None:
        """Returns since when neither a probe nor a connection is answered."""
        known = [t for t in (self._asked, connecting_since) if t is not None]
        return min(known, default=None)

    def reset(self) -> None:
        """Resets the state.

        Also called after this process was suspended, because the elapsed time
        then does not count against the database.
        """
        self._asked = None
        self._full_since = None
        self._refusals = 0
        self._refused_since = None
