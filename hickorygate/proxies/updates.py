"""Member updates, piggybacked on other messages.

Each update is sent with about as many messages as are needed to reach the
whole fleet by gossip. A message carries a bounded number of updates.
"""

from __future__ import annotations

import dataclasses
import math

from hickorygate.core import types
from hickorygate.proxies import member as members

__all__ = ["MAX_UPDATES_PER_MESSAGE", "UpdateQueue"]

MAX_UPDATES_PER_MESSAGE = 8
"""Maximum number of queued updates that one message carries."""
_TRANSMISSIONS_FACTOR = 3
"""Transmissions of an update per binary logarithm of the fleet size."""


@dataclasses.dataclass(slots=True)
class _PendingUpdate:
    """An update that still has to be sent.

    Attributes:
      member: record to send.
      sends_left: number of messages that the update is still sent with.
    """

    member: members.Member
    sends_left: int


class UpdateQueue:
    """Updates that still have to be sent, at most one per member."""

    __slots__ = ("_pending",)

    def __init__(self) -> None:
        self._pending: dict[types.ProxyName, _PendingUpdate] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def __repr__(self) -> str:
        return f"UpdateQueue(pending={len(self._pending)})"

    def add(self, member: members.Member, fleet_size: int) -> None:
        """Queues an update, which replaces a queued one of the same member.

        Args:
          member: record to send.
          fleet_size: number of known proxies.
        """
        transmissions = _TRANSMISSIONS_FACTOR * math.ceil(
            math.log2(fleet_size + 2)
        )
        self._pending[member.name] = _PendingUpdate(member, transmissions)

    def next_updates(
        self, first: members.Member | None = None
    ) -> tuple[members.Member, ...]:
        """Returns the updates for one message.

        The updates with the most transmissions left come first.

        Args:
          first: record to send in addition, before the queued updates.
        """
        selected = sorted(self._pending.values(), key=lambda p: -p.sends_left)
        selected = selected[:MAX_UPDATES_PER_MESSAGE]
        for pending in selected:
            pending.sends_left -= 1
            if pending.sends_left == 0:
                del self._pending[pending.member.name]
        updates = tuple(pending.member for pending in selected)
        return updates if first is None else (first, *updates)
