"""Decides when a group is queried next, and what is asked, without I/O."""

from __future__ import annotations

import datetime

__all__ = ["RoundSchedule"]

_EARLY_INTERVAL = datetime.timedelta(milliseconds=400)
"""Normal interval between rounds of the proxies that are the first to replace a
lost primary."""

_NORMAL_INTERVAL = datetime.timedelta(milliseconds=700)
"""Normal interval between rounds of the other proxies. Reads that tolerate
1.5 s of staleness then have a floor that is old enough for replicas to have
reached it."""

_FAST_INTERVAL = datetime.timedelta(milliseconds=40)
"""Interval between rounds while no primary is known or it doesn't answer."""

_UNUSED_INTERVAL = datetime.timedelta(seconds=5)
"""Interval between rounds of an unused group if there are many groups."""

_USE_TIMEOUT = datetime.timedelta(seconds=1)
"""Time after its last use during which a group counts as in use."""

_STATUS_INTERVAL = datetime.timedelta(seconds=5)
"""Normal interval between rounds that request the log ends."""

_FAST_STATUS_INTERVAL = datetime.timedelta(milliseconds=250)
"""Interval between rounds that request the log ends while the primary isn't
known or doesn't answer, or commits are unacknowledged. Floors then come from
the log ends only, and their growth shows whether the primary works for
others."""


class RoundSchedule:
    """The times of one group's rounds."""

    __slots__ = ("_last_status", "_last_used", "_reduced", "_requested")

    def __init__(self, now: datetime.datetime) -> None:
        self._last_status: datetime.datetime | None = None
        self._last_used = now
        self._reduced = False
        self._requested = False

    def __repr__(self) -> str:
        return f"RoundSchedule(reduced={self._reduced})"

    def set_reduced(self, reduced: bool) -> None:
        """Sets whether rounds are less frequent while the group is unused."""
        self._reduced = reduced

    def record_use(self, now: datetime.datetime) -> bool:
        """Records that a caller's statement needs the group.

        Returns:
          Whether a round is due at once, because rounds were less frequent.
        """
        idle = self._is_idle(now)
        self._last_used = now
        return idle

    def delay(
        self,
        now: datetime.datetime,
        responsive: bool,
        early: bool,
        active: bool,
    ) -> datetime.timedelta:
        """Returns the time until the next round, if none is requested.

        Args:
          now: current time.
          responsive: whether the primary is known and answers.
          early: whether this proxy is among the first to replace a primary.
          active: whether a takeover runs here.
        """
        if self._is_idle(now) and not active:
            return _UNUSED_INTERVAL
        if not responsive:
            return _FAST_INTERVAL
        return _EARLY_INTERVAL if early else _NORMAL_INTERVAL

    def request_status(self) -> None:
        """Lets the next round request the log ends."""
        self._requested = True

    def take_status(self, now: datetime.datetime, urgent: bool) -> bool:
        """Returns whether a round that starts now requests the log ends.

        Args:
          now: current time.
          urgent: whether they are needed more often than usual.
        """
        interval = _FAST_STATUS_INTERVAL if urgent else _STATUS_INTERVAL
        last = self._last_status
        recent = last is not None and now - last < interval
        if recent and not self._requested:
            return False
        self._requested = False
        self._last_status = now
        return True

    def _is_idle(self, now: datetime.datetime) -> bool:
        return self._reduced and now - self._last_used >= _USE_TIMEOUT
