"""Who owns what: highest random weight, the same on each proxy.

A proxy that comes or goes moves only what it owned. Source: Thaler and
Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from hickorygate.core import types

__all__ = ["owners"]


def owners(
    key: str, candidates: Iterable[types.ProxyName], count: int
) -> tuple[types.ProxyName, ...]:
    """Returns the owners of a key, the first one first."""

    def weight(name: types.ProxyName) -> tuple[int, types.ProxyName]:
        return xxhash.xxh64_intdigest(f"{key}\0{name}".encode()), name

    return tuple(sorted(candidates, key=weight, reverse=True)[:count])
