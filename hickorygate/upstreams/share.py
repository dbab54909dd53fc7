"""How many connections to a database this proxy may open: no I/O.

All proxies together must stay within the database's limit. Each takes an even
part for certain, and more while nobody is refused; what it has beyond its
part it closes when idle. After a refusal it goes back to its part, and grows
one by one (additive increase; Chiu and Jain, 1989).
"""

from __future__ import annotations

import datetime

__all__ = ["ASSUMED_PROXIES", "IDLE_LIMIT", "Share"]

IDLE_LIMIT = datetime.timedelta(seconds=2)
"""After which an idle connection beyond the even part is closed."""

_GROWTH = datetime.timedelta(seconds=2)
"""Without a refusal for so long, one more connection is allowed."""

ASSUMED_PROXIES = 6
"""Before the proxies were counted."""

_BESIDE_SLOTS = 2
"""Connections beyond the slots, for transactions whose callers pause."""


class Share:
    """The limit of one proxy's connections to one database."""

    __slots__ = ("_changed", "_extra", "_most", "_proxies", "_slots")

    def __init__(self, slots: int, most: int) -> None:
        """Begins with a cautious part.

        Args:
          slots: requests that the database runs at once.
          most: connections that it takes from all proxies together.
        """
        self._slots = slots
        self._most = most
        self._proxies = ASSUMED_PROXIES
        self._extra = 0
        self._changed: datetime.datetime | None = None

    @property
    def part(self) -> int:
        """The even part, or what the database's slots can use of it."""
        even = max(self._most // self._proxies, 1)
        return min(even, self._slots + _BESIDE_SLOTS)

    def __repr__(self) -> str:
        return f"Share({self.part}+{self._extra} of {self._most})"

    def set_most(self, most: int, proxies: int) -> None:
        """Takes in the database's limit and the number of proxies."""
        self._most = most
        self._proxies = proxies

    def limit(self, now: datetime.datetime) -> int:
        """Returns how many connections may be open."""
        if self._changed is None:
            self._changed = now
        steps = (now - self._changed) // _GROWTH
        if steps > 0:
            self._changed += steps * _GROWTH
            self._extra = min(self._extra + steps, self._most)
        return min(self.part + self._extra, self._most)

    def refuse(self, now: datetime.datetime) -> None:
        """Takes in that the database refused a connection."""
        self._changed = now
        self._extra = 0
