"""Checks acknowledged commits of one group before callers learn of them.

`commit_guard` decides; this module asks the replicas for what it needs to know.
Commits that wait at the same time share the answers. The replicas that proved
the last commit are asked first, the others only if that isn't enough.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from collections.abc import Mapping
import datetime
from typing import TYPE_CHECKING

from hickorygate.core import background
from hickorygate.core import clock as clocks
from hickorygate.core import position as positions
from hickorygate.upstreams import commit_guard
from hickorygate.upstreams import group_state
from hickorygate.upstreams import member as members

if TYPE_CHECKING:
    from hickorygate.upstreams import group_monitor

__all__ = ["CommitCheck"]

_RETRY_INTERVAL = datetime.timedelta(milliseconds=20)
"""Minimum time between two questions to a replica for the same commit."""


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
        self._answers: dict[members.MemberId, commit_guard.Replica] = {}
        self._asked: dict[members.MemberId, datetime.datetime] = {}
        self._asking: set[members.MemberId] = set()
        self._provers: frozenset[members.MemberId] = frozenset()
        self._followed: dict[members.MemberId, datetime.datetime] = {}
        self._answering: frozenset[members.MemberId] = frozenset()
        self._silent = False
        self._answered = asyncio.Event()
        self._background = background.BackgroundTasks()

    @property
    def provers(self) -> frozenset[members.MemberId]:
        """The replicas that proved the last commit by themselves."""
        return self._provers

    @property
    def takeover_seen(self) -> bool:
        """Whether another proxy seems to be replacing the primary."""
        return self._guard.under_way

    @property
    def may_succeed(self) -> bool:
        """Whether a commit that is sent now may be reported."""
        return not self._guard.needs_proof or self._guard.can_prove(
            self._answering, self._silent, self._clock.now()
        )

    def __repr__(self) -> str:
        return f"CommitCheck({self._guard!r})"

    async def close(self) -> None:
        """Cancels the outstanding questions."""
        await self._background.close()

    def set_synchronous_replicas(self, synchronous_replicas: int) -> None:
        """Sets the number of replicas that must hold a commit."""
        self._guard.set_synchronous_replicas(synchronous_replicas)

    def note_members(
        self,
        before: Iterable[members.Member],
        listed: Iterable[members.Member],
        known_since: Mapping[members.MemberId, datetime.datetime],
    ) -> None:
        """Notes which databases joined, restarted or left.

        Args:
          before: databases that were listed before.
          listed: databases that are listed now.
          known_since: time since when this proxy knows each of these.
        """
        known = {member.id: member.born for member in before}
        for member in listed:
            born = known.pop(member.id, None)
            if born != member.born:
                self._guard.record_join(member.id, known_since[member.id])
                self._answers.pop(member.id, None)
        for name in known:
            self._guard.forget(name)
            self._answers.pop(name, None)
            self._followed.pop(name, None)

    def note_leader(self, leader: group_state.Leader) -> None:
        """Notes that a primary was found, another one or the former again."""
        self._guard.record_leader(self._followed.get(leader.member))

    def note_round(
        self, finding: group_state.RoundResult, sent: datetime.datetime
    ) -> None:
        """Notes the conclusions of a round that was sent at a time."""
        self._followed.update(dict.fromkeys(finding.followers, sent))
        leader = self._group.leader
        if leader is None:
            return
        self._answering = finding.followers
        self._silent = not finding.followers >= self._replicas(leader)
        if not self._silent:
            self._guard.record_complete_round(sent)
        if not finding.has_statuses:
            return
        replicas = {
            name: commit_guard.Replica(status, sent)
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
        if position is None:
            return False
        answered = self._clock.now()
        first = self._provers & self._replicas(leader)
        while self._group.state.term <= leader.term:
            view = self._view(leader, answered)
            now = self._clock.now()
            if self._guard.is_safe(position, view, now):
                self._note_provers(self._guard.provers(position, view, now))
                return True
            if not view.silent:
                self._guard.observe(view, now)
            self._ask_replicas(first or self._replicas(leader), answered)
            first = frozenset()
            if not await self._wait_for_answer(deadline):
                return False
        return False

    def _note_provers(self, provers: frozenset[members.MemberId]) -> None:
        """Notes which replicas to ask first for the next commit."""
        if not self._provers or not self._provers <= provers:
            needed = self._guard.synchronous_replicas
            self._provers = frozenset(sorted(provers)[:needed])

    def _view(
        self, leader: group_state.Leader, since: datetime.datetime
    ) -> commit_guard.View:
        """Returns what the replicas answered last.

        Args:
          leader: the primary.
          since: replicas that have answered no later question count as silent.
        """
        names = self._replicas(leader)
        answers = {n: a for n, a in self._answers.items() if n in names}
        recent = [a.asked for a in answers.values() if a.asked >= since]
        return commit_guard.View(
            min(recent, default=since),
            leader.term,
            answers,
            silent=len(recent) < len(names),
        )

    def _replicas(
        self, leader: group_state.Leader
    ) -> frozenset[members.MemberId]:
        return frozenset(self._group.state.members) - {leader.member}

    def _ask_replicas(
        self, names: frozenset[members.MemberId], since: datetime.datetime
    ) -> None:
        """Asks replicas, unless they were asked since a time, or just now."""
        now = self._clock.now()
        for name in sorted(names - self._asking):
            last = self._asked.get(name)
            if last is None or last < since or now - last >= _RETRY_INTERVAL:
                self._asked[name] = now
                self._asking.add(name)
                self._background.start(self._ask(name, now))

    async def _ask(
        self, name: members.MemberId, now: datetime.datetime
    ) -> None:
        """Asks one replica, and wakes the commits that wait."""
        long_enough = self._guard.takeovers_since(now)
        try:
            replica = await self._group.prober.ask_running(name, long_enough)
        finally:
            self._asking.discard(name)
        if replica is not None:
            self._answers[name] = replica
            if replica.running_since is not None:
                self._guard.record_running(name, replica.running_since)
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
