"""Orders the proxies that want to replace a primary, without I/O.

All proxies that watch a group notice the loss of its primary within moments.
If each of them asked the store for the promotion lease at once, a takeover
would cost calls in proportion to the fleet. So each proxy first waits for its
turn, and most find that another one has replaced the primary meanwhile.

Groups that are monitored by the same proxies have the same order, so that one
holder of the lease replaces the primaries of all those that fail together. A
group that only some proxies monitor has an order of these. Proxies may disagree
about it while their lists of proxies differ: the lease decides, the order only
saves calls.
"""

from __future__ import annotations

from collections.abc import Iterable
import datetime

from hickorygate.core import rendezvous
from hickorygate.core import types

__all__ = ["TakeoverOrder"]

_ORDER_KEY = "promotion"

_IMMEDIATE_PROXIES = 3
"""Number of proxies that don't wait, since some may be gone or unable to reach
the store."""

_STEP = datetime.timedelta(milliseconds=100)
"""Additional wait of each further proxy."""

_MAX_DELAY = datetime.timedelta(seconds=4)
"""Longest wait of a proxy, if no other one takes over."""

_PATIENCE_STEP = datetime.timedelta(seconds=1)
"""Time that each proxy waits in turn before it replaces a primary that still
works for others. The more proxies are cut off from it, the sooner one of them
has its turn; a single one rarely has."""


class TakeoverOrder:
    """The place of one proxy in the order."""

    __slots__ = ("_delay", "_name", "_place")

    def __init__(self, name: types.ProxyName) -> None:
        """Creates the order of a proxy that knows no other one."""
        self._name = name
        self._delay = datetime.timedelta()
        self._place = 0

    @property
    def delay(self) -> datetime.timedelta:
        """Time from noticing a loss until the proxy may take over."""
        return self._delay

    @property
    def is_early(self) -> bool:
        """Whether the proxy is among those that don't wait."""
        return self._place < _IMMEDIATE_PROXIES

    @property
    def patience(self) -> datetime.timedelta:
        """Time to wait while the primary works for others."""
        return (self._place + 1) * _PATIENCE_STEP

    def __repr__(self) -> str:
        return f"TakeoverOrder({self._name!r}, delay={self._delay})"

    def set_proxies(self, live: Iterable[types.ProxyName]) -> None:
        """Sets the names of the live proxies that monitor the group.

        A proxy that isn't one of them has its turn after all others.
        """
        names = frozenset(live)
        self._place = (
            rendezvous.owner_index(_ORDER_KEY, self._name, names)
            if self._name in names
            else len(names)
        )
        later = max(self._place + 1 - _IMMEDIATE_PROXIES, 0)
        self._delay = min(later * _STEP, _MAX_DELAY)
