"""What a takeover knows of the replicas that it paused, without I/O."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Set

from hickorygate.core import position
from hickorygate.core import reply
from hickorygate.upstreams import member as members

__all__ = ["PausedReplicas"]


class PausedReplicas:
    """The replicas that confirmed a pause, and which of them did so again."""

    __slots__ = ("_log_ends", "_statuses", "_verified")

    def __init__(self) -> None:
        self._statuses: dict[members.MemberId, reply.ReplicationStatus] = {}
        self._log_ends: dict[members.MemberId, position.Position] = {}
        self._verified: set[members.MemberId] = set()

    @property
    def statuses(self) -> Mapping[members.MemberId, reply.ReplicationStatus]:
        """The statuses of the paused replicas, by database."""
        return self._statuses

    @property
    def verified(self) -> Set[members.MemberId]:
        """The replicas whose pause was verified since the last reset."""
        return self._verified

    @property
    def unverified(self) -> Set[members.MemberId]:
        """The paused replicas whose pause is still to be verified."""
        return self._statuses.keys() - self._verified

    def __repr__(self) -> str:
        return f"PausedReplicas({sorted(self._statuses)})"

    def has_lost_log(
        self, name: members.MemberId, status: reply.ReplicationStatus
    ) -> bool:
        """Returns whether a replica has less than when it was paused."""
        known = self._log_ends.get(name)
        return known is not None and status.received < known

    def record_pause(
        self, name: members.MemberId, status: reply.ReplicationStatus
    ) -> None:
        """Records that a replica confirmed its pause."""
        self._statuses[name] = status
        self._log_ends[name] = status.received

    def record_lost_pause(self, name: members.MemberId) -> None:
        """Records that a replica isn't paused any more."""
        self._statuses.pop(name, None)

    def record_verification(self, name: members.MemberId) -> None:
        """Records that the pause of a replica was verified."""
        self._verified.add(name)

    def reset_verification(self) -> None:
        """Lets all pauses be verified again."""
        self._verified.clear()

    def most_advanced(self, leaving: Set[members.MemberId]) -> members.MemberId:
        """Returns the verified replica with the greatest log end.

        Args:
          leaving: databases that are about to stop; among equals, another one
            is preferred.
        """

        def key(name: members.MemberId) -> tuple[position.Position, bool, str]:
            received = self._statuses[name].received
            return (received, name not in leaving, name)

        return max(self._verified, key=key)
