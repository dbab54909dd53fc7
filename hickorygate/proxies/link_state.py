"""Decides whether a link to a serving proxy can be used; does no I/O."""

from __future__ import annotations

import datetime
import enum

__all__ = ["LinkState", "LinkQuality"]

_PING_INTERVAL = datetime.timedelta(seconds=1)
_REPLY_WAIT = datetime.timedelta(milliseconds=150)
"""Age of an unanswered statement from which the link is pinged sooner."""

_SILENCE_LIMIT = datetime.timedelta(milliseconds=400)
"""Time without any message after a ping from which a link is unresponsive."""

_SLOW_PING = datetime.timedelta(milliseconds=150)
_AVOIDED_FOR = datetime.timedelta(seconds=2)
"""Time for which other candidates are preferred to a slow link."""

_FIRST_RETRY = datetime.timedelta(milliseconds=100)
_MAX_RETRY = datetime.timedelta(seconds=2)
"""Shortest and longest time between two attempts to open a link."""


class LinkQuality(enum.IntEnum):
    """How well a link can be used; lower is better."""

    GOOD = 0
    SLOW = 1
    UNUSABLE = 2


class LinkState:
    """What is known of the serving proxy at the other end of a link."""

    __slots__ = (
        "_avoided_until",
        "_heard",
        "_leaving",
        "_ping",
        "_pinged",
        "_retry_at",
        "_retry_delay",
        "_round_trip",
        "_silent",
    )

    def __init__(self) -> None:
        self._leaving = False
        self._silent = False
        self._heard: datetime.datetime | None = None
        self._ping: tuple[int, datetime.datetime] | None = None
        self._pinged: datetime.datetime | None = None
        self._avoided_until: datetime.datetime | None = None
        self._retry_at: datetime.datetime | None = None
        self._retry_delay = _FIRST_RETRY
        self._round_trip = datetime.timedelta()

    @property
    def leaving(self) -> bool:
        """Whether the proxy said that it stops."""
        return self._leaving

    @property
    def silent(self) -> bool:
        """Whether the proxy doesn't answer at the moment."""
        return self._silent

    @property
    def has_failed(self) -> bool:
        """Whether the last attempt to open the link failed."""
        return self._retry_at is not None

    @property
    def round_trip(self) -> datetime.timedelta:
        """Time between the last answered ping and its answer."""
        return self._round_trip

    def __repr__(self) -> str:
        return f"LinkState(leaving={self._leaving}, silent={self._silent})"

    def quality(self, now: datetime.datetime) -> LinkQuality:
        """Returns how well a new statement can use the link now."""
        if self._leaving or self._silent:
            return LinkQuality.UNUSABLE
        if self._retry_at is not None:
            return LinkQuality.UNUSABLE
        if self._avoided_until is not None and now < self._avoided_until:
            return LinkQuality.SLOW
        return LinkQuality.GOOD

    def may_open(self, now: datetime.datetime) -> bool:
        """Returns whether an attempt to open the link is due."""
        return self._retry_at is None or now >= self._retry_at

    def opened(self, now: datetime.datetime) -> None:
        """Records that the link was opened."""
        self._leaving = self._silent = False
        self._retry_at = self._ping = None
        self._retry_delay = _FIRST_RETRY
        self._heard = self._pinged = now

    def opening_failed(self, now: datetime.datetime) -> None:
        """Records a failed attempt; each one doubles the time to the next."""
        self._retry_at = now + self._retry_delay
        self._retry_delay = min(2 * self._retry_delay, _MAX_RETRY)

    def closed(self, now: datetime.datetime) -> None:
        """Records that the link was closed."""
        self._silent = False
        self._ping = None
        if self._leaving:
            # The proxy has stopped; a new process may take its place.
            self._leaving = False
            self.opening_failed(now)

    def announce_leaving(self) -> None:
        """Records that the proxy stops."""
        self._leaving = True

    def heard(self, now: datetime.datetime) -> None:
        """Records a message from the proxy."""
        self._heard = now
        self._silent = False

    def ping_due(
        self, now: datetime.datetime, oldest: datetime.datetime | None
    ) -> bool:
        """Returns whether to send a ping.

        Args:
          now: current time.
          oldest: time at which the oldest unanswered statement was sent; None
            if there is none.
        """
        if self._ping is not None or self._pinged is None:
            return False
        if now - self._pinged >= _PING_INTERVAL:
            return True
        if oldest is None or now - oldest < _REPLY_WAIT:
            return False
        # A reply to another statement also shows that the proxy works.
        last = max(self._heard or oldest, self._pinged)
        return now - last >= _REPLY_WAIT

    def ping_sent(self, number: int, now: datetime.datetime) -> None:
        """Records that a ping was sent."""
        self._ping = (number, now)
        self._pinged = now

    def pong_received(self, number: int, now: datetime.datetime) -> None:
        """Records the answer to a ping; others than the last are ignored."""
        if self._ping is None or self._ping[0] != number:
            return
        self._round_trip = now - self._ping[1]
        self._ping = None
        if self._round_trip > _SLOW_PING:
            self._avoided_until = now + _AVOIDED_FOR

    def check(self, now: datetime.datetime, late: datetime.timedelta) -> bool:
        """Checks for silence; called regularly while the link is open.

        Args:
          now: current time.
          late: time by which this call is late. This process was busy or
            suspended then, and couldn't have read an answer.

        Returns:
          Whether the proxy has fallen silent since the last call.
        """
        if self._ping is None or self._silent:
            return False
        number, sent = self._ping
        self._ping = (number, sent + late)
        since = max(sent + late, self._heard or sent)
        if now - since < _SILENCE_LIMIT:
            return False
        self._silent = True
        self._avoided_until = now + _AVOIDED_FOR
        return True
