"""Rendezvous hashing (highest random weight): assigns keys to proxies.

All proxies compute the same owners from the same set of live proxies, and may
disagree while their views of that set differ. When a proxy joins or leaves,
only the keys that it owns change their owner. Source: Thaler and Ravishankar,
"Using Name-Based Mappings to Increase Hit Rates", 1998.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
import math

import xxhash

from hickorygate.core import types

__all__ = ["owners", "owner_index", "weighted_owners"]

_HASH_RANGE = float(2**64)


def owners(
    key: str, candidates: Iterable[types.ProxyName], count: int
) -> tuple[types.ProxyName, ...]:
    """Returns the owners of a key, in descending order of weight.

    Args:
      key: the key.
      candidates: names of the live proxies.
      count: maximum number of owners.
    """

    def weight(name: types.ProxyName) -> tuple[int, types.ProxyName]:
        return _weight(key, name)

    return tuple(sorted(candidates, key=weight, reverse=True)[:count])


def owner_index(
    key: str, proxy: types.ProxyName, live: Iterable[types.ProxyName]
) -> int:
    """Returns the position of a proxy among the owners of a key, from 0.

    Args:
      key: the key.
      proxy: name of the proxy.
      live: names of the live proxies; the proxy itself may be left out.
    """
    own = _weight(key, proxy)
    return sum(_weight(key, other) > own for other in set(live) - {proxy})


def weighted_owners(
    key: str, weights: Mapping[types.ProxyName, float], count: int
) -> tuple[types.ProxyName, ...]:
    """Returns the owners of a key; a proxy owns keys in proportion to weight.

    Source: Schindelhauer and Schomaker, "Weighted Distributed Hash Tables",
    2005 (logarithmic method).

    Args:
      key: the key.
      weights: weight of each candidate; one without a positive weight owns
        nothing.
      count: maximum number of owners.
    """

    def score(name: types.ProxyName) -> tuple[float, types.ProxyName]:
        digest, _ = _weight(key, name)
        # Strictly between 0 and 1, so that the logarithm is negative.
        uniform = (digest + 0.5) / _HASH_RANGE
        return -weights[name] / math.log(min(uniform, 1 - 1e-12)), name

    usable = [name for name, weight in weights.items() if weight > 0]
    return tuple(sorted(usable, key=score, reverse=True)[:count])


def _weight(key: str, name: types.ProxyName) -> tuple[int, types.ProxyName]:
    return xxhash.xxh64_intdigest(f"{key}\0{name}".encode()), name
