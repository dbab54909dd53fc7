"""How many connections to a database this proxy may open: no I/O.

Proxies share a database's connections and don't see each other. Each begins
with few, takes fewer after a refusal and one more from time to time (additive
increase, multiplicative decrease; Chiu and Jain, 1989).
"""

from __future__ import annotations

import datetime

__all__ = ["Share"]

_GROWTH = datetime.timedelta(seconds=2)
"""Without a refusal for so long, one more connection is allowed."""

_FIRST_PART = 4
"""The part of all connections that is taken at first: one of so many."""

_BESIDE_SLOTS = 2
"""Connections beyond the slots, for transactions whose callers pause."""

_DECREASE = 0.7


class Share:
    """The limit of one proxy's connections to one database."""

    __slots__ = ("_changed", "_limit", "_most")

    def __init__(self, slots: int, most: int) -> None:
        """Begins with a cautious share.

        Args:
          slots: requests that the database runs at once.
          most: connections that it takes from all proxies together.
        """
        first = min(slots + _BESIDE_SLOTS, most // _FIRST_PART)
        self._limit = float(max(first, 1))
        self._most = most
        self._changed: datetime.datetime | None = None

    def __repr__(self) -> str:
        return f"Share({self._limit:.1f} of {self._most})"

    def set_most(self, most: int) -> None:
        """Takes in a changed limit of the database."""
        self._most = most

    def limit(self, now: datetime.datetime) -> int:
        """Returns how many connections may be open."""
        if self._changed is None:
            self._changed = now
        steps = (now - self._changed) // _GROWTH
        if steps > 0:
            self._changed += steps * _GROWTH
            self._limit = min(self._limit + steps, float(self._most))
        return max(int(self._limit), 1)

    def refuse(self, open_: int, now: datetime.datetime) -> None:
        """Takes in that the database refused one beyond `open_`."""
        self._changed = now
        self._limit = max(min(self._limit, open_) * _DECREASE, 1.0)
