"""How many proxies share the databases: decisions without I/O.

Each proxy renews an object of its own in the platform's store from time to
time and lists those of all. One whose object doesn't change any more is gone;
nothing is compared between clocks of different machines.
"""

from __future__ import annotations

from collections.abc import Mapping
import datetime

from hickorygate.core import types

__all__ = ["Census", "beat"]

_BEAT = datetime.timedelta(seconds=8)
_PROXIES_A_BEAT = 100
"""With more proxies the list of all is longer, and is asked for more seldom,
so that its bytes a second stay the same."""

_GONE = 2.5
"""Renewals that may be missed."""


def beat(proxies: int) -> datetime.timedelta:
    """Returns the time between renewals; two calls each."""
    return _BEAT * max(1.0, proxies / _PROXIES_A_BEAT)


class Census:
    """The proxies that renew their objects."""

    __slots__ = ("_seen",)

    def __init__(self) -> None:
        self._seen: dict[types.ProxyName, tuple[int, datetime.datetime]] = {}

    def __repr__(self) -> str:
        return f"Census(known={len(self._seen)})"

    def take(
        self, revisions: Mapping[types.ProxyName, int], now: datetime.datetime
    ) -> None:
        """Takes in the revisions of all proxies' objects."""
        for name in self._seen.keys() - revisions.keys():
            del self._seen[name]
        for name, revision in revisions.items():
            known = self._seen.get(name)
            if known is None or known[0] != revision:
                self._seen[name] = (revision, now)

    def gone(self, now: datetime.datetime) -> tuple[types.ProxyName, ...]:
        """Returns proxies that no longer renew."""
        limit = _GONE * beat(len(self._seen))
        return tuple(
            sorted(n for n, (_, at) in self._seen.items() if now - at > limit)
        )

    def count(self, now: datetime.datetime) -> int:
        """Returns how many proxies serve; at least this one."""
        return max(len(self._seen) - len(self.gone(now)), 1)
