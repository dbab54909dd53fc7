"""A proxy's share of the connections and slots of a database, without I/O.

All proxies together must stay within the database's connection limit. Each
proxy may use an even share of the limit, and a few connections more until the
database refuses one. Idle connections beyond the even share are closed. After
a refusal the proxy opens no further connections for a time, which doubles with
each consecutive refusal.
"""

from __future__ import annotations

import datetime
import math

__all__ = ["ASSUMED_PROXIES", "ConnectionShare", "permits_per_proxy"]

_IDLE_LIMIT = datetime.timedelta(seconds=2)
"""Idle time after which a connection beyond the even share is closed."""

_SCARCE_IDLE_LIMIT = datetime.timedelta(milliseconds=400)
"""Idle time after which a connection beyond the even share is closed, if the
even share is less than the number of slots. This time is shorter than
`_IDLE_LIMIT`, because another proxy may be left without a connection."""

_EXTRA_CONNECTIONS = 2
"""Number of connections that may be opened beyond the even share."""

_FIRST_PAUSE = datetime.timedelta(milliseconds=250)
"""Pause after a first refusal: time in which no connections are opened beyond
the smaller of the even share and the number open at the refusal (at least
one)."""

_LONGEST_PAUSE = datetime.timedelta(seconds=4)
"""Longest pause after consecutive refusals; each one doubles the pause."""

_PAUSE_RESET = datetime.timedelta(seconds=8)
"""Time without a refusal after which the next refusal starts a pause of
`_FIRST_PAUSE` again, and the database no longer counts as full."""

_YIELD_INTERVAL = datetime.timedelta(seconds=2)
"""Interval at which a pool beyond its even share gives up one connection, if
connections belong to workspaces and the database refused one recently. A proxy
below its share would be refused for as long as others use theirs."""

_YIELD_PAUSE = datetime.timedelta(milliseconds=500)
"""Time for which the pool doesn't take the place again. A refused proxy tries
again after 400 ms at the latest."""

ASSUMED_PROXIES = 6
"""Number of proxies assumed before the proxies have been counted."""

_EXTRA_OVER_SLOTS = 2
"""Number of connections beyond the slots, for transactions whose callers are
idle between statements."""

_IN_FLIGHT_PER_SLOT = 4
"""Number of requests per slot that all proxies together may have in flight to
a database. Further requests wait in the proxies, ordered by rank."""


def permits_per_proxy(slots: int, proxies: int) -> int:
    """Returns how many requests one proxy may have in flight to a database.

    Args:
      slots: number of requests that the database runs concurrently.
      proxies: number of proxies that share the database.
    """
    return max(1, min(slots, math.ceil(_IN_FLIGHT_PER_SLOT * slots / proxies)))


class ConnectionShare:
    """The limit on one proxy's connections to one database."""

    __slots__ = (
        "_last_refusal",
        "_max_connections",
        "_open_when_refused",
        "_pause",
        "_proxies",
        "_serves_workspaces",
        "_slots",
        "_yield_due",
        "_yielded",
        "_yielded_to",
    )

    def __init__(self, slots: int, max_connections: int) -> None:
        """Creates the limit for the assumed number of proxies.

        Args:
          slots: number of requests that the database runs concurrently.
          max_connections: number of connections that the database accepts from
            all proxies together.
        """
        self._slots = slots
        self._max_connections = max_connections
        self._proxies = ASSUMED_PROXIES
        self._open_when_refused = 0
        self._serves_workspaces = False
        self._yield_due: datetime.datetime | None = None
        self._yielded: datetime.datetime | None = None
        self._yielded_to = 0
        self._pause = _FIRST_PAUSE
        self._last_refusal: datetime.datetime | None = None

    @property
    def even_share(self) -> int:
        """The even share, limited to what the database's slots can use."""
        even = max(self._max_connections // self._proxies, 1)
        return min(even, self._slots + _EXTRA_OVER_SLOTS)

    @property
    def serves_workspaces(self) -> bool:
        """Whether connections belong to workspaces."""
        return self._serves_workspaces

    @property
    def idle_limit(self) -> datetime.timedelta:
        """The idle time after which connections beyond the share close."""
        scarce = self._serves_workspaces or self.even_share < self._slots
        return _SCARCE_IDLE_LIMIT if scarce else _IDLE_LIMIT

    @property
    def only_one(self) -> bool:
        """Whether the database accepts at most one connection per proxy."""
        return self._max_connections <= self._proxies

    def __repr__(self) -> str:
        return f"ConnectionShare({self.even_share} of {self._max_connections})"

    def set_limits(self, max_connections: int, proxies: int) -> None:
        """Sets the database's connection limit and the number of proxies."""
        self._max_connections = max_connections
        self._proxies = proxies

    def use_workspaces(self) -> None:
        """Records that connections belong to workspaces.

        The proxy then receives all traffic of some workspaces and none of
        others, so it may exceed its even share as long as the database accepts
        more connections.
        """
        self._serves_workspaces = True

    def limit(self, now: datetime.datetime) -> int:
        """Returns the number of connections that may be open."""
        if (
            self._last_refusal is not None
            and now - self._last_refusal < self._pause
        ):
            if self._serves_workspaces:
                return self.even_share
            return min(self.even_share, max(self._open_when_refused, 1))
        if self._yielded is not None and now - self._yielded < _YIELD_PAUSE:
            return max(self.even_share, self._yielded_to)
        wanted = self._slots + _EXTRA_OVER_SLOTS
        if not self._serves_workspaces:
            wanted = min(wanted, self.even_share + _EXTRA_CONNECTIONS)
        return max(self.even_share, min(wanted, self._max_connections))

    def yields(self, held: int, now: datetime.datetime) -> bool:
        """Returns whether the pool has to give up one of its connections.

        Args:
          held: number of connections that are open.
          now: current time.
        """
        refusal = self._last_refusal
        full = refusal is not None and now - refusal <= _PAUSE_RESET
        scarce = self._serves_workspaces and full
        if not scarce or held <= self.even_share:
            self._yield_due = None
            return False
        if self._yield_due is None:
            self._yield_due = now + _YIELD_INTERVAL
        if now < self._yield_due:
            return False
        self._yield_due = now + _YIELD_INTERVAL
        self._yielded, self._yielded_to = now, held - 1
        return True

    def record_refusal(self, held: int, now: datetime.datetime) -> None:
        """Records that the database refused a connection.

        Args:
          held: number of connections open at that time.
          now: time of the refusal.
        """
        self._open_when_refused = held
        since = self._last_refusal
        if since is None or now - since > _PAUSE_RESET:
            self._pause = _FIRST_PAUSE
        else:
            self._pause = min(2 * self._pause, _LONGEST_PAUSE)
        self._last_refusal = now
