"""Counts the proxies that share the databases, without I/O.

Each proxy periodically renews its own object in the platform's store and lists
the objects of all proxies. A proxy whose object no longer changes counts as
gone. Clocks of different machines are never compared.
"""

from __future__ import annotations

from collections.abc import Mapping
import datetime

from hickorygate.core import types

__all__ = ["COUNTS_PER_RENEWAL", "ProxyCounter", "count_interval"]

_COUNT_INTERVAL = datetime.timedelta(seconds=8)
"""Interval between two counts of the proxies."""

COUNTS_PER_RENEWAL = 2
"""Number of counts between two renewals of a proxy's object. A count may use
an outdated list, which is cheap; a renewal is a write."""

_PROXIES_PER_INTERVAL = 100
"""Number of proxies above which the interval grows in proportion. The list is
then longer, and a longer interval keeps its bytes per second constant."""

_LATE_COUNT = 1.5
"""Number of intervals after which a count is late; counts have jitter."""

_MISSED_COUNTS = 4
"""Number of count intervals without a renewal after which a proxy counts as
gone; more than the time between two renewals of a slow proxy."""


def count_interval(proxies: int) -> datetime.timedelta:
    """Returns the interval between two counts of the proxies."""
    return _COUNT_INTERVAL * max(1.0, proxies / _PROXIES_PER_INTERVAL)


class ProxyCounter:
    """Tracks the proxies that renew their objects."""

    __slots__ = ("_seen", "_updated")

    def __init__(self) -> None:
        self._seen: dict[types.ProxyName, tuple[int, datetime.datetime]] = {}
        self._updated: datetime.datetime | None = None

    def __repr__(self) -> str:
        return f"ProxyCounter(known={len(self._seen)})"

    def update(
        self, revisions: Mapping[types.ProxyName, int], now: datetime.datetime
    ) -> None:
        """Records the current revisions of all proxies' objects.

        Time in which the store gave no list doesn't count as time without a
        renewal, since no proxy could renew its object in an outage.
        """
        gap = self._gap(now)
        self._updated = now
        for name in self._seen.keys() - revisions.keys():
            del self._seen[name]
        for name, revision in revisions.items():
            known = self._seen.get(name)
            if known is None or known[0] != revision:
                self._seen[name] = (revision, now)
            else:
                self._seen[name] = (revision, known[1] + gap)

    def gone(
        self,
        now: datetime.datetime,
        at_least: datetime.timedelta = datetime.timedelta(),
    ) -> tuple[types.ProxyName, ...]:
        """Returns the proxies that no longer renew their objects.

        Args:
          now: current time.
          at_least: minimum time without a renewal.
        """
        limit = _MISSED_COUNTS * count_interval(len(self._seen))
        limit = max(limit, at_least)
        return tuple(
            sorted(n for n, (_, at) in self._seen.items() if now - at > limit)
        )

    def live(self, now: datetime.datetime) -> frozenset[types.ProxyName]:
        """Returns the proxies that renew their objects."""
        return frozenset(self._seen).difference(self.gone(now))

    def _gap(self, now: datetime.datetime) -> datetime.timedelta:
        """Returns the time since the last update beyond a count interval."""
        if self._updated is None:
            return datetime.timedelta()
        expected = _LATE_COUNT * count_interval(len(self._seen))
        return max(now - self._updated - expected, datetime.timedelta())
