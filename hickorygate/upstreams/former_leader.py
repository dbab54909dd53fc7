"""Keeps track of the primary that a group had, and ends what waits for it."""

from __future__ import annotations

from collections.abc import Mapping

from hickorygate.core import events
from hickorygate.core import platform_events
from hickorygate.core import types
from hickorygate.upstreams import connection_pool
from hickorygate.upstreams import group_prober
from hickorygate.upstreams import group_state
from hickorygate.upstreams import member as members

__all__ = ["FormerLeader"]


class FormerLeader:
    """The primary that one group had before the present one."""

    def __init__(
        self,
        service: types.ServiceName,
        state: group_state.GroupState,
        pools: Mapping[members.MemberId, connection_pool.ConnectionPool],
        prober: group_prober.GroupProber,
        journal: events.Journal,
    ) -> None:
        self._service = service
        self._state = state
        self._pools = pools
        self._prober = prober
        self._journal = journal
        self._lost: group_state.Leader | None = None
        self._replaced: group_state.Leader | None = None
        self._unreachable: frozenset[members.MemberId] = frozenset()

    @property
    def lost(self) -> group_state.Leader | None:
        """The primary that was lost last; None once a primary leads again."""
        return self._lost

    def __repr__(self) -> str:
        return f"FormerLeader(lost={self._lost}, replaced={self._replaced})"

    def lose(self, leader: group_state.Leader, reason: str) -> None:
        """Records that the primary is lost.

        Args:
          leader: the primary.
          reason: description of the cause, for the event log.
        """
        self._lost = leader
        self._state.lose_leader()
        self._journal.record(
            platform_events.LeaderLost(self._service, leader.member, reason)
        )

    def record_replaced(self, leader: group_state.Leader) -> None:
        """Records a primary that leads no more, whoever leads now."""
        self._replaced = leader

    def note_leader(self, before: group_state.Leader | None) -> bool:
        """Notes the present primary after a round.

        Args:
          before: primary that was known before the round.

        Returns:
          Whether it is another one than before.
        """
        leader = self._state.leader
        if leader is None:
            self._replaced = before or self._replaced
            return False
        if leader == before:
            return False
        self._close(before or self._replaced, leader)
        self._replaced = None
        position = self._state.position(leader.member)
        self._journal.record(
            platform_events.LeaderChanged(
                self._service, leader.member, leader.term, position
            )
        )
        return True

    def interrupt_lost(self) -> bool:
        """Interrupts the requests at databases that don't answer any more.

        Returns:
          Whether the primary is one of them.
        """
        former = self._unreachable
        self._unreachable = frozenset(
            name for name in self._pools if self._prober.is_lost(name)
        )
        for name in self._unreachable - former:
            self._pools[name].interrupt("it doesn't answer")
        leader = self._state.leader
        return leader is not None and leader.member in self._unreachable

    def _close(
        self, before: group_state.Leader | None, leader: group_state.Leader
    ) -> None:
        """Ends the wait for a silent primary that another one has replaced.

        A former primary that answers finishes what it runs.
        """
        former = self._lost or before
        lost, self._lost = self._lost is not None, None
        if former is None or former.member == leader.member:
            return
        pool = self._pools.get(former.member)
        silent = self._prober.is_silent(former.member)
        if pool is not None and (lost or silent):
            pool.close_connections("it was replaced")
