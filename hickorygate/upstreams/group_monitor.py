"""Monitors the database group of one service: rounds, floors, the primary.

The decisions are made in `group_state`, `health`, `stall`, `takeover_trigger`,
`takeover` and `lease_record`. This module and `promoter` run them on the event
loop. This module also wakes the requests that wait for their results.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
import datetime
import random

from hickorygate.core import background
from hickorygate.core import capacity as capacities
from hickorygate.core import catalog
from hickorygate.core import clock as clocks
from hickorygate.core import errors
from hickorygate.core import events
from hickorygate.core import platform_events
from hickorygate.core import position as positions
from hickorygate.core import reply
from hickorygate.core import request_context
from hickorygate.core import types
from hickorygate.upstreams import capacity_monitor
from hickorygate.upstreams import commit_check
from hickorygate.upstreams import connection_pool
from hickorygate.upstreams import connection_share
from hickorygate.upstreams import database_request
from hickorygate.upstreams import failover_estimate
from hickorygate.upstreams import former_leader
from hickorygate.upstreams import group_prober
from hickorygate.upstreams import group_state
from hickorygate.upstreams import member as members
from hickorygate.upstreams import promoter
from hickorygate.upstreams import promotion_lease
from hickorygate.upstreams import round_schedule
from hickorygate.upstreams import stall as stalls

__all__ = ["GroupMonitor"]

_WAKE_DELAY = datetime.timedelta(milliseconds=40)
"""Delay of a round that something unexpected or a waiting request calls for."""

_VIEW_TIMEOUT = datetime.timedelta(milliseconds=800)
"""Longest wait for a round that begins now; two queries of one round take less
than half of it."""

_GROWTH_WINDOW = datetime.timedelta(seconds=2)
"""Time within which the replicas' logs must have grown for a primary that
doesn't answer to count as working for others."""


ListReader = Callable[[], Awaitable[bool]]
"""Reads the list of databases; returns whether the store answered."""


class GroupMonitor:
    """Monitors the databases of one service and replaces their primary."""

    def __init__(
        self,
        terms: catalog.ServiceSettings,
        connector: database_request.Connector,
        lease: promotion_lease.PromotionLease,
        clock: clocks.Clock,
        journal: events.Journal,
        capacity: capacities.CapacitySettings | None = None,
        rng: random.Random | None = None,
        renew_list: ListReader | None = None,
    ) -> None:
        self._capacity = capacity_monitor.CapacityMonitor(
            terms.name, capacity, clock, journal, rng
        )
        self._terms = terms
        self._connector = connector
        self._clock = clock
        self._lease = lease
        self._journal = journal
        self._state = group_state.GroupState(terms.synchronous_replicas)
        self._pools: dict[members.MemberId, connection_pool.ConnectionPool] = {}
        self._prober = group_prober.GroupProber(self._state, self._pools, clock)
        self._stall = stalls.StallDetector()
        self._failover_estimate = failover_estimate.FailoverEstimate(
            clock.now()
        )
        self._commits = commit_check.CommitCheck(
            self, terms.synchronous_replicas, clock
        )
        self._promoter = promoter.Promoter(self, lease, clock, journal)
        self._background = background.BackgroundTasks()
        self._round_requested = asyncio.Event()
        self._round_ended = asyncio.Event()
        self._rounds = 0
        self._proxies = connection_share.ASSUMED_PROXIES
        self._last_finding: (
            tuple[group_state.RoundResult, datetime.datetime] | None
        ) = None
        self._former = former_leader.FormerLeader(
            terms.name, self._state, self._pools, self._prober, journal
        )
        self._schedule = round_schedule.RoundSchedule(clock.now())
        self._renew_list = renew_list

    @property
    def service(self) -> types.ServiceName:
        """The service that the databases belong to."""
        return self._terms.name

    @property
    def state(self) -> group_state.GroupState:
        """The known state of the group."""
        return self._state

    @property
    def prober(self) -> group_prober.GroupProber:
        """The prober that queries the databases."""
        return self._prober

    @property
    def stall(self) -> stalls.StallDetector:
        """The detector for a primary that stopped acknowledging commits."""
        return self._stall

    @property
    def commits(self) -> commit_check.CommitCheck:
        """The checks of commits before callers learn of them."""
        return self._commits

    @property
    def leader(self) -> group_state.Leader | None:
        """The primary; None while there is none or it is unreachable."""
        return self._state.leader

    @property
    def lost(self) -> group_state.Leader | None:
        """The primary that was lost last; None once a primary leads again."""
        return self._former.lost

    @property
    def progressing(self) -> bool:
        """Whether the lost primary still commits for others."""
        lost = self._former.lost
        if lost is None:
            return False
        health = self._prober.health(lost.member)
        if health.failing_since is None:
            return False
        recent = self._clock.now() - _GROWTH_WINDOW
        return self._state.growth.grew_since(max(health.failing_since, recent))

    @property
    def busy(self) -> bool:
        """Whether a connection is in use or a takeover is running."""
        borrowed = any(pool.borrowed_count for pool in self._pools.values())
        return borrowed or self._promoter.active

    @property
    def view_age(self) -> datetime.timedelta | None:
        """The time since the last evaluated round was sent; None if none."""
        if self._last_finding is None:
            return None
        return self._clock.now() - self._last_finding[1]

    @property
    def rounds(self) -> int:
        """The number of completed rounds."""
        return self._rounds

    @property
    def pools(self) -> dict[members.MemberId, connection_pool.ConnectionPool]:
        """The connection pools, by database."""
        return self._pools

    def __repr__(self) -> str:
        return f"GroupMonitor({self.service!r}, {self._state!r})"

    def start(self) -> None:
        """Starts the background task that runs the rounds."""
        self._background.keep(self._run)
        if self._capacity.active:
            self._background.keep(lambda: self._capacity.run(self._pools))

    async def close(self) -> None:
        """Stops all background tasks and closes the connection pools."""
        await self._background.close()
        await self._promoter.close()
        await self._commits.close()
        await self._prober.close()
        for pool in self._pools.values():
            pool.retire("this proxy stops")

    def set_service_settings(self, terms: catalog.ServiceSettings) -> None:
        """Applies the changed settings of the service."""
        self._terms = terms
        self._state.set_synchronous_replicas(terms.synchronous_replicas)
        self._commits.set_synchronous_replicas(terms.synchronous_replicas)

    def set_reduced_probing(self, reduced: bool) -> None:
        """Sets whether rounds are less frequent while the group is unused."""
        self._schedule.set_reduced(reduced)

    def mark_used(self) -> None:
        """Records that a caller's statement needs the group.

        Starts a round at once if the group was unused and rounds were less
        frequent for that reason.
        """
        if self._schedule.record_use(self._clock.now()):
            self._round_requested.set()

    def set_proxies(self, count: int) -> None:
        """Sets the number of proxies that share the databases."""
        self._proxies = count
        for pool in self._pools.values():
            pool.update(pool.member, self._terms.connections, count)

    def set_members(
        self,
        listed: tuple[members.Member, ...],
        known_since: Mapping[members.MemberId, datetime.datetime],
    ) -> None:
        """Replaces the set of databases of the group.

        Args:
          listed: databases of the group.
          known_since: time since when this proxy knows each of them.
        """
        new = {member.id: member for member in listed}
        if self.leader is not None and self.leader.member not in new:
            self._lose_leader("it is no longer listed")
        for name, pool in list(self._pools.items()):
            current = new.get(name)
            if current is None or current.born != pool.member.born:
                del self._pools[name]
                pool.retire("it left")
                self._prober.forget(name)
                self._capacity.remove(name)
                self._journal.record(
                    platform_events.MemberUnlisted(self.service, name)
                )
        for name, member in new.items():
            self._update_member(name, member)
        self._commits.note_members(
            self._state.members.values(), listed, known_since
        )
        self._state.set_members(listed)
        self._round_requested.set()

    def record_reply(
        self, name: members.MemberId, position: positions.Position | None
    ) -> None:
        """Records the log position from a reply to a caller's statement.

        The reply also shows that the database works. If it shows that the
        primary was replaced, a round looks for the new one at once.
        """
        before = self.leader
        self._state.record_position(name, position)
        self._prober.record_answer(name)
        if before is not None and self.leader is None:
            self._former.record_replaced(before)
            self._round_requested.set()

    def heard_recently(self, name: members.MemberId) -> bool:
        """Returns whether a database answered anything a moment ago."""
        return self._prober.health(name).heard_recently(self._clock.now())

    def is_silent(self, name: members.MemberId) -> bool:
        """Returns whether a database answers no status query."""
        return self._prober.is_silent(name)

    def request_round(self) -> None:
        """Starts a round now, or after the one that is running."""
        self._round_requested.set()

    def request_statuses(self) -> None:
        """Lets the next round request the statuses of the databases."""
        self._schedule.request_status()

    def schedule_round(self) -> None:
        """Schedules a round soon, after an unexpected response."""
        loop = asyncio.get_running_loop()
        loop.call_later(_WAKE_DELAY.total_seconds(), self._round_requested.set)

    async def confirmed_leader(
        self, after: datetime.datetime, deadline: datetime.datetime
    ) -> group_state.Leader | None:
        """Returns the primary that a round sent after `after` confirmed.

        A request that was sent to this primary after `after`, and was served
        by it, saw all commits that were acknowledged before `after`.

        Args:
          after: earliest time at which the confirming round may be sent.
          deadline: time until which to wait for such a round.

        Returns:
          The primary; None if none was confirmed before the deadline.
        """
        immediately = True
        while True:
            if self._last_finding is not None:
                finding, sent = self._last_finding
                if sent >= after and finding.confirmed:
                    return finding.leader
                # Avoids an immediate repeat of an inconclusive round.
                immediately = sent < after
            if not await self.next_round(deadline, immediately):
                return None

    async def renew_list(self) -> bool:
        """Reads the list of databases anew, since the known one may be old.

        Returns:
          Whether the list is as new as this call.
        """
        return self._renew_list is None or await self._renew_list()

    async def renew_view(self) -> bool:
        """Waits for the conclusions of a round that begins now.

        Returns:
          Whether such a round ended in time.
        """
        asked = self._clock.now()
        deadline = asked + _VIEW_TIMEOUT
        while self._last_finding is None or self._last_finding[1] < asked:
            if not await self.next_round(deadline, immediately=True):
                return False
        return True

    async def wait_for_floor(
        self,
        consistency: catalog.Consistency,
        request: request_context.RequestContext,
    ) -> group_state.Floor | None:
        """Returns the floor of a read; waits if one is expected in time.

        Args:
          consistency: consistency that the read requires.
          request: terms of the read.

        Returns:
          The floor; None if none was known in time.
        """
        immediately = True
        began = self._clock.now()
        while True:
            floor = self._state.floor(consistency, request.arrived)
            if floor is not None:
                return floor
            until = self.wait_deadline(request, began)
            if not await self.next_round(until, immediately):
                return None
            immediately = False

    async def wait_for_leader(
        self, request: request_context.RequestContext
    ) -> group_state.Leader | None:
        """Returns the primary; waits if one is expected within the deadline.

        Returns:
          The primary; None if none was found in time.
        """
        began = self._clock.now()
        while self.leader is None:
            if not await self.next_round(self.wait_deadline(request, began)):
                return None
        return self.leader

    async def wait_for_writable(
        self, request: request_context.RequestContext
    ) -> group_state.Leader | None:
        """Returns the primary once it acknowledges commits.

        A write that is sent to a primary which acknowledges nothing ends in
        doubt; one that was not sent can be repeated.

        Returns:
          The primary; None if none acknowledged commits in time.
        """
        began = self._clock.now()
        while not self._acknowledges():
            until = self._recovery_deadline(request, began)
            if not await self.next_round(until):
                return None
        return self.leader

    def _acknowledges(self) -> bool:
        """Whether the primary is known and seems to acknowledge commits."""
        if self.leader is None or self._commits.takeover_seen:
            return False
        if not self._commits.may_succeed:
            return False
        return not self._stall.stalled(self._clock.now())

    def wait_deadline(
        self,
        request: request_context.RequestContext,
        began: datetime.datetime,
    ) -> datetime.datetime:
        """Returns until when a request should wait for the group.

        Without a primary, or without connections to too many databases, that
        depends on how long this has lasted.

        Args:
          request: request that waits.
          began: time at which it began to wait.
        """
        if self.leader is None:
            return self._recovery_deadline(request, began)
        refused_since = self._refused_since()
        if refused_since is not None:
            return failover_estimate.overdue_wait(request, began, refused_since)
        return request.deadline

    def _recovery_deadline(
        self,
        request: request_context.RequestContext,
        began: datetime.datetime,
    ) -> datetime.datetime:
        """Returns until when to wait for a primary that takes writes."""
        now = self._clock.now()
        self._failover_estimate.record_loss(now)
        if self.progressing:
            return failover_estimate.brief_wait(request, began)
        return self._failover_estimate.wait_deadline(request, began, now)

    def _refused_since(self) -> datetime.datetime | None:
        """Returns since when too many databases refuse connections.

        The others are then too few to prove anything. None if they aren't.
        """
        refusing = [
            pool.refused_since
            for pool in self._pools.values()
            if pool.refused_since is not None
        ]
        if len(refusing) <= self._state.synchronous_replicas:
            return None
        return min(refusing)

    def no_leader_rejection(self) -> errors.Failure:
        """Returns the rejection for a request that needs a primary."""
        wait = self._failover_estimate.retry_after(self._clock.now())
        milliseconds = int(wait.total_seconds() * 1_000)
        return reply.Rejection(
            reply.RejectionReason.BUSY,
            f"no primary at the moment; retry after {milliseconds} ms",
        )

    def found(
        self, finding: group_state.RoundResult, sent: datetime.datetime
    ) -> None:
        """Records the conclusions of a round.

        Args:
          finding: conclusions of the round.
          sent: time at which the round was sent.
        """
        self._rounds += 1
        self._last_finding = (finding, sent)

    def _lose_leader(self, reason: str) -> None:
        """Marks the primary as lost.

        Args:
          reason: description of the cause, for the event log.
        """
        if self.leader is not None:
            self._failover_estimate.record_loss(self._clock.now())
            self._former.lose(self.leader, reason)

    def _update_member(
        self, name: members.MemberId, member: members.Member
    ) -> None:
        limit = self._terms.connections
        pool = self._pools.get(name)
        if pool is None:
            pool = connection_pool.ConnectionPool(
                member,
                limit,
                self._connector,
                self._clock,
                self._journal,
                self._capacity.add(member, self._proxies),
            )
            self._pools[name] = pool
            self._journal.record(
                platform_events.MemberListed(self.service, name)
            )
        if member.leaving and not pool.member.leaving:
            self._journal.record(
                platform_events.MemberLeaving(self.service, name)
            )
        pool.update(member, limit, self._proxies)

    def commit_sent(self) -> None:
        """Records that a commit was sent to the primary."""
        self._stall.record_commit(self._clock.now())

    def commit_answered(self) -> None:
        """Records that the primary answered a commit."""
        self._stall.answered()

    async def _run(self) -> None:
        while True:
            self._round_requested.clear()
            await self._round()
            pause = self._round_delay()
            try:
                async with asyncio.timeout(pause.total_seconds()):
                    await self._round_requested.wait()
            except TimeoutError:
                continue

    def _round_delay(self) -> datetime.timedelta:
        """Returns the time until the next round, if none is requested."""
        return self._schedule.delay(
            self._clock.now(),
            responsive=self._leader_responsive(),
            early=self._lease.order(self.service).is_early,
            active=self._promoter.active,
        )

    def _leader_responsive(self) -> bool:
        """Whether the primary is known and responsive."""
        if self.leader is None:
            return False
        database_health = self._prober.health(self.leader.member)
        return not database_health.doubtful(self._clock.now())

    async def _round(self) -> None:
        sent = self._clock.now()
        with_status = self._schedule.take_status(sent, self._is_urgent(sent))
        before = self.leader
        finding = await self._prober.run_round(with_status)
        self.found(finding, sent)
        if self._former.note_leader(before) and self.leader is not None:
            self._stall = stalls.StallDetector()
            self._commits.note_leader(self.leader)
        self._commits.note_round(finding, sent)
        if self._former.interrupt_lost():
            self._lose_leader("it doesn't answer")
        self._note_recovery(finding)
        self._promoter.start_if_needed()
        for pool in self._pools.values():
            pool.trim()
        ended, self._round_ended = self._round_ended, asyncio.Event()
        ended.set()

    def _is_urgent(self, now: datetime.datetime) -> bool:
        """Returns whether the log ends are needed more often than usual."""
        doubtful = self._stall.doubtful(now) or self._commits.takeover_seen
        return doubtful or not self._leader_responsive()

    def _note_recovery(self, finding: group_state.RoundResult) -> None:
        """Ends a stall or an outage that the round shows to be over."""
        now = self._clock.now()
        if finding.replication is not None:
            self._stall.record_log_ends(finding.replication)
            if finding.replication.complete and self._stall.stalled(now):
                self._stall.answered()
        if self.leader and not self._stall.stalled(now):
            self._failover_estimate.record_recovery(now)

    async def next_round(
        self, deadline: datetime.datetime, immediately: bool = False
    ) -> bool:
        """Requests a round and waits for the end of one.

        Args:
          deadline: time until which to wait.
          immediately: whether to start the round now instead of shortly.

        Returns:
          Whether a round ended before the deadline.
        """
        remaining = (deadline - self._clock.now()).total_seconds()
        if remaining <= 0:
            return False
        if immediately:
            self._round_requested.set()
        else:
            loop = asyncio.get_running_loop()
            loop.call_later(
                _WAKE_DELAY.total_seconds(), self._round_requested.set
            )
        try:
            async with asyncio.timeout(remaining):
                await self._round_ended.wait()
        except TimeoutError:
            return False
        return True
