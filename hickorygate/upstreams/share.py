"""How many connections and slots of a database a proxy may use: no I/O.

All proxies together must stay within the database's limit of connections.
Each takes an even part for certain, and more while nobody is refused; what it
has beyond its part it closes when idle. After a refusal it opens no more for a
while, longer after each refusal in a row.
"""

from __future__ import annotations

import datetime
import math

__all__ = ["ASSUMED_PROXIES", "Share", "permits"]

_IDLE_LIMIT = datetime.timedelta(seconds=2)
_SCARCE_IDLE_LIMIT = datetime.timedelta(milliseconds=400)
"""After which an idle connection beyond the even part is closed; sooner where
the part is less than the slots, since another proxy may have none."""

_BEYOND_PART = 2
"""Connections that are opened beyond the even part."""

_FIRST_PAUSE = datetime.timedelta(milliseconds=250)
_LONGEST_PAUSE = datetime.timedelta(seconds=4)
"""How long a proxy stays with its part after a refusal."""

_FORGOTTEN = datetime.timedelta(seconds=8)
"""Without a refusal for so long, the next pause is the first again."""

ASSUMED_PROXIES = 6
"""Before the proxies were counted."""

_BESIDE_SLOTS = 2
"""Connections beyond the slots, for transactions whose callers pause."""

_IN_FLIGHT = 4
"""Requests that all proxies together may have at a database for each of its
slots; the rest waits at the proxies, by rank."""


def permits(slots: int, proxies: int) -> int:
    """Returns how many requests one proxy may have at a database."""
    return max(1, min(slots, math.ceil(_IN_FLIGHT * slots / proxies)))


class Share:
    """The limit of one proxy's connections to one database."""

    __slots__ = ("_held", "_most", "_pause", "_proxies", "_refused", "_slots")

    def __init__(self, slots: int, most: int) -> None:
        """Begins with an assumed number of proxies.

        Args:
          slots: requests that the database runs at once.
          most: connections that it takes from all proxies together.
        """
        self._slots = slots
        self._most = most
        self._proxies = ASSUMED_PROXIES
        self._held = 0
        self._pause = _FIRST_PAUSE
        self._refused: datetime.datetime | None = None

    @property
    def part(self) -> int:
        """The even part, or what the database's slots can use of it."""
        even = max(self._most // self._proxies, 1)
        return min(even, self._slots + _BESIDE_SLOTS)

    @property
    def idle_limit(self) -> datetime.timedelta:
        """After which an idle connection beyond the part is closed."""
        scarce = self.part < self._slots
        return _SCARCE_IDLE_LIMIT if scarce else _IDLE_LIMIT

    @property
    def only_one(self) -> bool:
        """Whether the database has too few for two a proxy."""
        return self._most <= self._proxies

    def __repr__(self) -> str:
        return f"Share({self.part} of {self._most})"

    def set_most(self, most: int, proxies: int) -> None:
        """Takes in the database's limit and the number of proxies."""
        self._most = most
        self._proxies = proxies

    def limit(self, now: datetime.datetime) -> int:
        """Returns how many connections may be open."""
        if self._refused is not None and now - self._refused < self._pause:
            return min(self.part, max(self._held, 1))
        wanted = min(self._slots + _BESIDE_SLOTS, self.part + _BEYOND_PART)
        return max(self.part, min(wanted, self._most))

    def refuse(self, held: int, now: datetime.datetime) -> None:
        """Takes in that the database refused one beyond those held."""
        self._held = held
        since = self._refused
        if since is None or now - since > _FORGOTTEN:
            self._pause = _FIRST_PAUSE
        else:
            self._pause = min(2 * self._pause, _LONGEST_PAUSE)
        self._refused = now
