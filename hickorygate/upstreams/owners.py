"""Which proxies look after a group: rendezvous hashing over the live ones.

Source: Thaler and Ravishankar, "A Name-Based Mapping Scheme for Rendezvous",
1996. Proxies whose views of each other differ may both think themselves
first; then their runs duel, which costs time but is safe.
"""

from __future__ import annotations

from collections.abc import Iterable
import hashlib

from hickorygate.core import types

__all__ = ["rank"]

_DIGEST_BYTES = 8


def rank(
    group: types.GroupName,
    proxy: types.ProxyName,
    live: Iterable[types.ProxyName],
) -> int:
    """Returns the proxy's place for the group, 0 for the first.

    Args:
      group: what is looked after.
      proxy: whose place is asked for.
      live: the other live proxies; the proxy itself may be among them.
    """
    own = _weight(group, proxy)
    return sum(
        _weight(group, other) > own for other in set(live) if other != proxy
    )


def _weight(group: types.GroupName, proxy: types.ProxyName) -> bytes:
    text = f"{group}\0{proxy}".encode()
    return hashlib.blake2b(text, digest_size=_DIGEST_BYTES).digest()
