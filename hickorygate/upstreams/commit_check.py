"""Checks acknowledged commits of one group before callers learn of them.

`commit_guard` decides; this module asks the replicas for what it needs to know.
Commits that wait at the same time share the answers.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
import dataclasses
import datetime
from typing import TYPE_CHECKING

from hickorygate.core import background
from hickorygate.core import clock as clocks
from hickorygate.core import position as positions
from hickorygate.upstreams import commit_guard
from hickorygate.upstreams import group_state
from hickorygate.upstreams import member as members
from hickorygate.upstreams import takeover_timing

if TYPE_CHECKING:
    from hickorygate.upstreams import group_monitor

__all__ = ["CommitCheck"]

_RETRY_INTERVAL = datetime.timedelta(milliseconds=20)
"""Minimum time between two questions to a replica for the same commit."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    """An answer of a replica.

    Attributes:
      asked: time at which it was asked.
      replica: what it answered.
    """

    asked: datetime.datetime
    replica: commit_guard.Replica


class CommitCheck:
    """The checks of one group's commits."""

    def __init__(
        self,
        group: group_monitor.GroupMonitor,
        synchronous_replicas: int,
        clock: clocks.Clock,
    ) -> None:
        self._group = group
        self._clock = clock
        self._guard = commit_guard.CommitGuard(synchronous_replicas)
        self._answers: dict[members.MemberId, _Answer] = {}
        self._asked: dict[members.MemberId, datetime.datetime] = {}
        self._asking: set[members.MemberId] = set()
        self._answered = asyncio.Event()
        self._background = background.BackgroundTasks()

    @property
    def takeover_seen(self) -> bool:
        """Whether another proxy seems to be replacing the primary."""
        return self._guard.under_way

    def __repr__(self) -> str:
        return f"CommitCheck({self._guard!r})"

    async def close(self) -> None:
        """Cancels the outstanding questions."""
        await self._background.close()

    def set_synchronous_replicas(self, synchronous_replicas: int) -> None:
        """Sets the number of replicas that must hold a commit."""
        self._guard.set_synchronous_replicas(synchronous_replicas)

    def note_members(
        self, before: Iterable[members.Member], listed: Iterable[members.Member]
    ) -> None:
        """Notes which databases joined, restarted or left."""
        known = {member.id: member.born for member in before}
        is_first = not known
        now = self._clock.now()
        for member in listed:
            born = known.pop(member.id, None)
            if born != member.born and not is_first:
                self._guard.record_join(member.id, now)
                self._answers.pop(member.id, None)
        for name in known:
            self._guard.forget(name)
            self._answers.pop(name, None)

    def note_leader(self) -> None:
        """Notes that a primary was found, another one or the former again."""
        self._guard.record_leader()

    def note_round(
        self, finding: group_state.RoundResult, sent: datetime.datetime
    ) -> None:
        """Notes the conclusions of a round that was sent at a time."""
        leader = self._group.leader
        if leader is None or not finding.has_statuses:
            return
        replicas = {
            name: commit_guard.Replica(status)
            for name, status in finding.statuses.items()
            if name != leader.member
        }
        silent = bool(finding.silent - {leader.member})
        view = commit_guard.View(sent, leader.term, replicas, silent)
        self._guard.observe(view, self._clock.now())

    async def confirm(
        self,
        leader: group_state.Leader,
        position: positions.Position | None,
        deadline: datetime.datetime,
    ) -> bool:
        """Returns whether a commit that was acknowledged just now is kept.

        Args:
          leader: primary that acknowledged it.
          position: its position in the primary's log; None if unknown.
          deadline: time until which to wait for a proof.
        """
        if not self._guard.needs_proof:
            return True
        position = position or self._group.state.position(leader.member)
        if position is None:
            return False
        answered = self._clock.now()
        while self._group.state.term <= leader.term:
            view = self._view(leader, answered)
            if self._guard.is_safe(position, view, self._clock.now()):
                return True
            if not view.silent:
                self._guard.observe(view, self._clock.now())
            self._ask_replicas(leader, answered)
            if not await self._wait_for_answer(deadline):
                return False
        return False

    def _view(
        self, leader: group_state.Leader, since: datetime.datetime
    ) -> commit_guard.View:
        """Returns what the replicas answered; earlier answers count as silence.

        Args:
          leader: the primary.
          since: earliest time at which they were asked.
        """
        names = self._replicas(leader)
        replicas = {
            name: answer.replica
            for name, answer in self._answers.items()
            if name in names and answer.asked >= since
        }
        silent = len(replicas) < len(names)
        return commit_guard.View(since, leader.term, replicas, silent)

    def _replicas(self, leader: group_state.Leader) -> set[members.MemberId]:
        return self._group.state.members.keys() - {leader.member}

    def _ask_replicas(
        self, leader: group_state.Leader, since: datetime.datetime
    ) -> None:
        """Asks the replicas that weren't asked since a time, or a while ago."""
        now = self._clock.now()
        for name in sorted(self._replicas(leader) - self._asking):
            last = self._asked.get(name)
            if last is None or last < since or now - last >= _RETRY_INTERVAL:
                self._asked[name] = now
                self._asking.add(name)
                self._background.start(self._ask(name, now))

    async def _ask(
        self, name: members.MemberId, now: datetime.datetime
    ) -> None:
        """Asks one replica, and wakes the commits that wait."""
        long_enough = now - takeover_timing.TAKEOVER_SPAN
        try:
            replica = await self._group.prober.ask_running(name, long_enough)
        finally:
            self._asking.discard(name)
        if replica is not None:
            self._answers[name] = _Answer(now, replica)
        answered, self._answered = self._answered, asyncio.Event()
        answered.set()

    async def _wait_for_answer(self, deadline: datetime.datetime) -> bool:
        """Waits for another answer; returns whether the deadline is ahead."""
        remaining = deadline - self._clock.now()
        if remaining <= datetime.timedelta():
            return False
        limit = min(remaining, _RETRY_INTERVAL)
        try:
            async with asyncio.timeout(limit.total_seconds()):
                await self._answered.wait()
        except TimeoutError:
            return self._clock.now() < deadline
        return True
