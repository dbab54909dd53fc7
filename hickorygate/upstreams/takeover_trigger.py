"""Decides whether to replace a primary, without I/O."""

from __future__ import annotations

from collections.abc import Mapping
import dataclasses
import datetime

from hickorygate.core import position as positions
from hickorygate.core import types
from hickorygate.upstreams import group_state
from hickorygate.upstreams import member as members

__all__ = [
    "Leaving",
    "Lost",
    "Reason",
    "GroupSnapshot",
    "Stalled",
    "TakeoverTrigger",
    "find_candidate",
]

_RETRY_DELAY = datetime.timedelta(seconds=1)
"""Delay before the next takeover after an aborted one."""

_UNKNOWN_TIMEOUT = datetime.timedelta(seconds=4)
"""Time without a known primary after which the primary counts as lost, even if
this process has never known a primary."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reason:
    """Base class of the reasons to replace a primary."""


@dataclasses.dataclass(frozen=True, slots=True)
class Lost(Reason):
    """The primary is unreachable."""


@dataclasses.dataclass(frozen=True, slots=True)
class Leaving(Reason):
    """The primary is about to stop but still serves."""


@dataclasses.dataclass(frozen=True, slots=True)
class Stalled(Reason):
    """The primary responds but does not acknowledge commits."""


@dataclasses.dataclass(frozen=True, slots=True)
class GroupSnapshot:
    """A snapshot of the known state of a group.

    Attributes:
      leader: current primary; None while there is none or it is unreachable.
      lost: primary that was lost last; None if a primary leads or none was
        lost.
      members: databases of the group, by id.
      departed: databases that left and may have held the only copy of a
        commit.
      positions: last known position of each database.
      unreachable: databases that are unreachable.
      stalled: whether the primary has stopped acknowledging commits.
      progressing: whether the lost primary still commits for others.
      patience: time to wait before replacing such a primary.
      term: highest term seen so far.
      synchronous_replicas: number of replicas that must have a commit before
        it is acknowledged.
    """

    leader: group_state.Leader | None
    lost: group_state.Leader | None
    members: Mapping[members.MemberId, members.Member]
    departed: frozenset[str]
    positions: Mapping[members.MemberId, positions.Position | None]
    unreachable: frozenset[members.MemberId]
    stalled: bool
    progressing: bool
    patience: datetime.timedelta
    term: types.Term
    synchronous_replicas: int


class TakeoverTrigger:
    """Decides over time whether to start a takeover."""

    __slots__ = ("_earliest_start", "_unknown_since")

    def __init__(self) -> None:
        self._earliest_start: datetime.datetime | None = None
        self._unknown_since: datetime.datetime | None = None

    def __repr__(self) -> str:
        return f"TakeoverTrigger(earliest={self._earliest_start})"

    def pause(self, now: datetime.datetime) -> None:
        """Delays the next takeover after an aborted one."""
        self._earliest_start = now + _RETRY_DELAY

    def reason(
        self, situation: GroupSnapshot, now: datetime.datetime
    ) -> Reason | None:
        """Returns the reason to replace the primary now; None if none."""
        if situation.leader is not None:
            self._unknown_since = None
        elif self._unknown_since is None:
            self._unknown_since = now
        if self._earliest_start is not None and now < self._earliest_start:
            return None
        return self._find_reason(situation, now)

    def _find_reason(
        self, situation: GroupSnapshot, now: datetime.datetime
    ) -> Reason | None:
        leader = situation.leader
        if leader is None:
            return self._find_absence_reason(situation, now)
        if situation.stalled:
            # No candidate catches up with it while its replicas are paused.
            return Stalled()
        member = situation.members.get(leader.member)
        if member is not None and member.leaving and find_candidate(situation):
            return Leaving()
        return None

    def _find_absence_reason(
        self, situation: GroupSnapshot, now: datetime.datetime
    ) -> Reason | None:
        since = self._unknown_since or now
        if situation.progressing and now - since < situation.patience:
            return None
        if situation.lost is not None or now - since >= _UNKNOWN_TIMEOUT:
            return Lost()
        return None


def find_candidate(situation: GroupSnapshot) -> members.MemberId | None:
    """Returns the replica to promote while the primary still serves.

    The replica with the highest position is preferred, then one that is not
    warming up. The result is None if no replica is suitable.
    """
    leader = situation.leader
    assert leader is not None, "a planned takeover requires a known primary"
    candidates = [
        (situation.positions[name], not member.warming, name)
        for name, member in situation.members.items()
        if name != leader.member
        and not member.leaving
        and name not in situation.unreachable
        and situation.positions.get(name) is not None
    ]
    return max(candidates)[2] if candidates else None
