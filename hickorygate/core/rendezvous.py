"""Who owns what: highest random weight, the same on each proxy.

A proxy that comes or goes moves only what it owned. Proxies whose views of
each other differ may name different owners. Source: Thaler and Ravishankar,
"Using Name-Based Mappings to Increase Hit Rates", 1998.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from hickorygate.core import types

__all__ = ["owners", "rank"]


def owners(
    key: str, candidates: Iterable[types.ProxyName], count: int
) -> tuple[types.ProxyName, ...]:
    """Returns the owners of a key, the first one first."""

    def weight(name: types.ProxyName) -> tuple[int, types.ProxyName]:
        return _weight(key, name)

    return tuple(sorted(candidates, key=weight, reverse=True)[:count])


def rank(
    key: str, proxy: types.ProxyName, live: Iterable[types.ProxyName]
) -> int:
    """Returns a proxy's place among the owners of a key, 0 for the first.

    Args:
      key: what is owned.
      proxy: whose place is asked for.
      live: the other live proxies; the proxy itself may be among them.
    """
    own = _weight(key, proxy)
    return sum(_weight(key, other) > own for other in set(live) - {proxy})


def _weight(key: str, name: types.ProxyName) -> tuple[int, types.ProxyName]:
    return xxhash.xxh64_intdigest(f"{key}\0{name}".encode()), name
