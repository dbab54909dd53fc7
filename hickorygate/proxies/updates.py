"""News about members, sent along with other messages.

Each piece of news travels on about as many messages as it takes to reach the
whole fleet by random exchange, and a message carries a bounded number.
"""

from __future__ import annotations

import dataclasses
import math

from hickorygate.core import types
from hickorygate.proxies import member as members

__all__ = ["UPDATES_A_MESSAGE", "UpdateQueue"]

UPDATES_A_MESSAGE = 8
_REPEATS = 3
"""Sends of a piece of news, times the logarithm of the fleet's size."""


@dataclasses.dataclass(slots=True)
class _Pending:
    member: members.Member
    sends_left: int


class UpdateQueue:
    """The news that still has to be sent, one piece a member."""

    __slots__ = ("_pending",)

    def __init__(self) -> None:
        self._pending: dict[types.ProxyName, _Pending] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def __repr__(self) -> str:
        return f"UpdateQueue(pending={len(self._pending)})"

    def add(self, member: members.Member, fleet_size: int) -> None:
        """Queues news; it replaces older news of the same member."""
        sends = _REPEATS * math.ceil(math.log2(fleet_size + 2))
        self._pending[member.name] = _Pending(member, sends)

    def take(
        self, first: members.Member | None = None
    ) -> tuple[members.Member, ...]:
        """Returns the news for one message.

        Args:
          first: sent whatever is queued.
        """
        chosen = sorted(self._pending.values(), key=lambda p: -p.sends_left)
        chosen = chosen[:UPDATES_A_MESSAGE]
        for pending in chosen:
            pending.sends_left -= 1
            if pending.sends_left == 0:
                del self._pending[pending.member.name]
        news = tuple(pending.member for pending in chosen)
        return news if first is None else (first, *news)
