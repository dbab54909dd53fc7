"""Executes takeovers: calls the databases, the store and the platform."""

from __future__ import annotations

from collections.abc import Awaitable
import datetime
import functools
from typing import TYPE_CHECKING

from hickorygate.core import background
from hickorygate.core import clock as clocks
from hickorygate.core import events
from hickorygate.core import platform_events
from hickorygate.core import reply
from hickorygate.upstreams import database_request
from hickorygate.upstreams import member
from hickorygate.upstreams import promotion_lease
from hickorygate.upstreams import promotion_order
from hickorygate.upstreams import takeover as takeovers
from hickorygate.upstreams import takeover_events
from hickorygate.upstreams import takeover_log
from hickorygate.upstreams import takeover_plan
from hickorygate.upstreams import takeover_trigger

if TYPE_CHECKING:
    from hickorygate.upstreams import group_monitor

__all__ = ["Promoter"]

_ADVANCE_INTERVAL = datetime.timedelta(milliseconds=25)
"""Interval at which a running takeover is advanced."""


class Promoter:
    """Replaces the primary of one group when there is a reason to."""

    def __init__(
        self,
        group: group_monitor.GroupMonitor,
        lease: promotion_lease.PromotionLease,
        clock: clocks.Clock,
        journal: events.Journal,
    ) -> None:
        self._group = group
        self._lease = lease
        self._clock = clock
        self._journal = journal
        self._background = background.BackgroundTasks()
        self._takeover: takeovers.Takeover | None = None
        self._log = takeover_log.TakeoverLog(group.service, clock, journal)
        self._calls = background.BackgroundTasks()
        self._trigger = takeover_trigger.TakeoverTrigger()
        self._tenure = 0

    @property
    def active(self) -> bool:
        """Whether a takeover is running or waits for the promotion lease."""
        return self._background.running

    def __repr__(self) -> str:
        return f"Promoter({self._takeover!r})"

    async def close(self) -> None:
        """Cancels the running takeover and its outstanding calls."""
        await self._background.close()
        await self._calls.close()

    def start_if_needed(self) -> None:
        """Starts a takeover if one is needed and none is running.

        A running takeover is informed of the group's current primary.
        """
        if self._takeover is not None:
            self._report_leader(self._takeover)
        reason = self._reason()
        if reason is not None and not self.active:
            self._background.start(self._run())

    def _reason(self) -> takeover_trigger.Reason | None:
        return self._trigger.reason(self._situation(), self._clock.now())

    def _situation(self) -> takeover_trigger.GroupSnapshot:
        group = self._group
        now = self._clock.now()
        return takeover_trigger.GroupSnapshot(
            leader=group.leader,
            lost=group.lost,
            members=group.state.members,
            departed=group.state.departed,
            positions={
                name: group.state.position(name) for name in group.state.members
            },
            unreachable=frozenset(
                name
                for name in group.state.members
                if group.prober.is_lost(name)
            ),
            stalled=group.stall.stalled(now),
            progressing=group.progressing,
            patience=self._lease.order(group.service).patience,
            term=group.state.term,
            synchronous_replicas=group.state.synchronous_replicas,
        )

    async def _run(self) -> None:
        service = self._group.service
        if not await self._lease.acquire(self._still_needed, service):
            return
        try:
            if not await self._group.renew_list():
                self._trigger.pause(self._clock.now())
                return
            # The former holder of the lease may have replaced the primary, and
            # this proxy may not have heard of it. A takeover without a known
            # primary looks for one itself.
            if self._group.leader is None or await self._group.renew_view():
                await self._run_takeover()
        finally:
            self._takeover = None
            await self._lease.release()

    def _still_needed(self) -> bool:
        return self._reason() is not None

    async def _run_takeover(self) -> None:
        """Replaces the primary if there still is a reason to."""
        reason = self._reason()
        if reason is None:
            return
        situation = self._situation()
        plan = takeover_plan.plan(self._group.service, reason, situation)
        if plan is None:
            return
        self._takeover = takeovers.Takeover(plan, self._clock.now())
        self._log.record_start(
            plan, situation, self._lease.number, self._group.view_age
        )
        self._tenure = self._lease.tenure
        while self._takeover is not None:
            takeover = self._takeover
            takeover.add_replicas(
                self._group.state.members.keys(), self._clock.now()
            )
            self._perform(takeover.advance(self._clock.now()), takeover)
            if takeover.stage is takeovers.Stage.AWAITING:
                self._group.schedule_round()
            await self._clock.sleep(_ADVANCE_INTERVAL)

    def _perform(
        self,
        effects: list[takeover_events.Effect],
        takeover: takeovers.Takeover,
    ) -> None:
        for effect in effects:
            if self._takeover is takeover:
                _perform(effect, self, takeover)

    def call(
        self,
        operation: Awaitable[takeover_events.Event],
        takeover: takeovers.Takeover,
    ) -> None:
        """Runs a call in the background and passes its result on.

        The result is dropped if the takeover has ended by then.

        Args:
          operation: the call; returns the event that describes its result.
          takeover: the takeover that requested the call.
        """
        self._calls.start(self._report_result(operation, takeover))

    async def _report_result(
        self,
        operation: Awaitable[takeover_events.Event],
        takeover: takeovers.Takeover,
    ) -> None:
        event = await operation
        if self._takeover is takeover:
            now = self._clock.now()
            self._perform(takeovers.handle(event, takeover, now), takeover)
            if self._takeover is takeover:
                now = self._clock.now()
                self._perform(takeover.advance(now), takeover)

    def _report_leader(self, takeover: takeovers.Takeover) -> None:
        leader = self._group.leader
        if leader is None:
            return
        event = takeover_events.LeaderFound(leader.member, leader.term)
        now = self._clock.now()
        self._perform(takeovers.handle(event, takeover, now), takeover)

    async def pause(
        self,
        effect: takeover_events.PauseReplica,
        stage: takeovers.Stage,
    ) -> takeover_events.ReplicaPaused:
        """Pauses replication on a replica and returns the result."""
        status = await self._ask(
            effect.member, database_request.Pause(effect.term), stage
        )
        return takeover_events.ReplicaPaused(effect.member, status)

    async def inspect(
        self,
        effect: takeover_events.InspectReplica,
        stage: takeovers.Stage,
    ) -> takeover_events.ReplicaInspected:
        """Reads the status of a replica and returns the result."""
        status = await self._ask(
            effect.member, database_request.ReadStatus(), stage
        )
        return takeover_events.ReplicaInspected(
            effect.member, status, effect.number
        )

    async def _ask(
        self,
        name: member.MemberId,
        request: database_request.Request,
        stage: takeovers.Stage,
    ) -> reply.ReplicationStatus | None:
        """Returns the status with which a database answers a request."""
        query = self._log.open_query(name, stage)
        results = await self._group.prober.ask(name, request)
        status = results[0].ok.group if results else None
        self._log.record_result(query, status)
        return status

    async def compare(
        self, effect: takeover_events.CompareCandidate
    ) -> takeover_events.Event:
        """Reads the primary's position, then the candidate's log end.

        Returns:
          Both positions. ComparisonFailed if either could not be read, so that
          the comparison is repeated. LeaderReplaced if the roles have changed.
        """
        prober = self._group.prober
        first = await prober.ask(
            effect.leader, database_request.Begin(), database_request.Rollback()
        )
        second = await prober.ask(
            effect.candidate, database_request.ReadStatus()
        )
        if first and _is_read_only(first[0]):
            reason = f"{effect.leader} is no longer the primary"
            return takeover_events.LeaderReplaced(reason)
        leader = first[0].ok.position if first else None
        status = second[0].ok.group if second else None
        self._log.record_comparison(effect, leader, status)
        if leader is None or status is None:
            return takeover_events.ComparisonFailed()
        if status.is_primary:
            reason = f"{effect.candidate} is the primary already"
            return takeover_events.LeaderReplaced(reason)
        return takeover_events.CandidateSeen(leader, status.received)

    async def order(
        self,
        effect: takeover_events.OrderPromotion,
        takeover: takeovers.Takeover,
    ) -> takeover_events.Event:
        """Renews the promotion lease and orders the promotion."""
        outcome = promotion_order.OrderOutcome.REFUSED
        if await self._lease.renew():
            outcome = await self._lease.promote(
                self._group.service,
                effect.member,
                lambda: self._may_order(takeover),
            )
        status = takeover.statuses.get(effect.member)
        self._journal.record(
            platform_events.PromotionOrdered(
                self._group.service,
                effect.member,
                self._lease.number,
                status.received if status else None,
                outcome.value,
            )
        )
        refused = outcome is promotion_order.OrderOutcome.REFUSED
        if refused and self._lease.tenure != self._tenure:
            return takeover_events.LeaseLost()
        return takeover_events.PromotionEnded(outcome)

    def _may_order(self, takeover: takeovers.Takeover) -> bool:
        """Returns whether a takeover may still send an order."""
        return (
            self._takeover is takeover
            and self._lease.tenure == self._tenure
            and takeover.may_order(self._clock.now())
        )

    def record_order(
        self,
        effect: takeover_events.OrderPromotion,
        takeover: takeovers.Takeover,
    ) -> None:
        """Records the order before it is sent, in case no answer follows."""
        status = takeover.statuses.get(effect.member)
        self._log.record_order(
            effect.member, status.received if status else None
        )

    def record_lost_pause(
        self, effect: takeover_events.RecordLostPause
    ) -> None:
        """Records that a replica isn't paused any more."""
        self._log.record_lost_pause(effect.member, effect.ordered)

    def finish(
        self, effect: takeover_events.Finish, takeover: takeovers.Takeover
    ) -> None:
        """Ends the takeover and records its outcome.

        Delays the next takeover after a failure, and demotes the former
        primary in the background if `effect` names one.
        """
        self._takeover = None
        plan = takeover.plan
        self._log.record_end(effect.outcome)
        if not effect.succeeded:
            self._trigger.pause(self._clock.now())
        elif self._group.leader is not None:
            leader = self._group.leader.member
            self._lease.note_primary(plan.service, leader)
        if effect.demote is not None:
            demote = database_request.Demote(plan.term)
            self._calls.start(self._send(effect.demote, demote))

    async def _send(
        self, name: member.MemberId, request: database_request.Request
    ) -> None:
        """Sends a request and ignores the response."""
        await self._group.prober.ask(name, request)


def _is_read_only(result: database_request.ReplyResult) -> bool:
    """Returns whether a database refused a transaction as a replica does."""
    match database_request.failure_of(result):
        case reply.Rejection(reason=reply.RejectionReason.READ_ONLY):
            return True
    return False


@functools.singledispatch
def _perform(
    effect: takeover_events.Effect,
    promoter: Promoter,
    takeover: takeovers.Takeover,
) -> None:
    raise TypeError(f"no handler for {effect!r} is registered")


@_perform.register(takeover_events.PauseReplica)
def _(
    effect: takeover_events.PauseReplica,
    promoter: Promoter,
    takeover: takeovers.Takeover,
) -> None:
    promoter.call(promoter.pause(effect, takeover.stage), takeover)


@_perform.register(takeover_events.InspectReplica)
def _(
    effect: takeover_events.InspectReplica,
    promoter: Promoter,
    takeover: takeovers.Takeover,
) -> None:
    promoter.call(promoter.inspect(effect, takeover.stage), takeover)


@_perform.register(takeover_events.CompareCandidate)
def _(
    effect: takeover_events.CompareCandidate,
    promoter: Promoter,
    takeover: takeovers.Takeover,
) -> None:
    promoter.call(promoter.compare(effect), takeover)


@_perform.register(takeover_events.OrderPromotion)
def _(
    effect: takeover_events.OrderPromotion,
    promoter: Promoter,
    takeover: takeovers.Takeover,
) -> None:
    promoter.record_order(effect, takeover)
    promoter.call(promoter.order(effect, takeover), takeover)


@_perform.register(takeover_events.RecordLostPause)
def _(
    effect: takeover_events.RecordLostPause,
    promoter: Promoter,
    takeover: takeovers.Takeover,
) -> None:
    promoter.record_lost_pause(effect)


@_perform.register(takeover_events.Finish)
def _(
    effect: takeover_events.Finish,
    promoter: Promoter,
    takeover: takeovers.Takeover,
) -> None:
    promoter.finish(effect, takeover)
