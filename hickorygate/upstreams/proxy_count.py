"""Counts the proxies that share the databases, without I/O.

Each proxy periodically renews its own object in the platform's store and lists
the objects of all proxies. A proxy whose object no longer changes counts as
gone. Clocks of different machines are never compared.
"""

from __future__ import annotations

from collections.abc import Mapping
import datetime

from hickorygate.core import types

__all__ = ["ProxyCounter", "beat"]

_RENEWAL_INTERVAL = datetime.timedelta(seconds=8)
"""Interval between the renewals of a proxy's object."""

_PROXIES_PER_INTERVAL = 100
"""Number of proxies above which the interval grows in proportion. The list is
then longer, and a longer interval keeps its bytes per second constant."""

_MISSED_RENEWALS = 2.5
"""Number of renewal intervals without a renewal after which a proxy counts as
gone."""


def beat(proxies: int) -> datetime.timedelta:
    """Returns the interval between renewals, each of which makes two calls."""
    return _RENEWAL_INTERVAL * max(1.0, proxies / _PROXIES_PER_INTERVAL)


class ProxyCounter:
    """Tracks the proxies that renew their objects."""

    __slots__ = ("_seen",)

    def __init__(self) -> None:
        self._seen: dict[types.ProxyName, tuple[int, datetime.datetime]] = {}

    def __repr__(self) -> str:
        return f"ProxyCounter(known={len(self._seen)})"

    def update(
        self, revisions: Mapping[types.ProxyName, int], now: datetime.datetime
    ) -> None:
        """Records the current revisions of all proxies' objects."""
        for name in self._seen.keys() - revisions.keys():
            del self._seen[name]
        for name, revision in revisions.items():
            known = self._seen.get(name)
            if known is None or known[0] != revision:
                self._seen[name] = (revision, now)

    def gone(self, now: datetime.datetime) -> tuple[types.ProxyName, ...]:
        """Returns the proxies that no longer renew their objects."""
        limit = _MISSED_RENEWALS * beat(len(self._seen))
        return tuple(
            sorted(n for n, (_, at) in self._seen.items() if now - at > limit)
        )

    def count(self, now: datetime.datetime) -> int:
        """Returns the number of live proxies; at least 1, for this one."""
        return max(len(self._seen) - len(self.gone(now)), 1)
