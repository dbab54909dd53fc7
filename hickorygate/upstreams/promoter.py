"""Runs a takeover: calls databases, the store and the platform."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import datetime
import functools
from typing import TYPE_CHECKING
from typing import Protocol

import expression

from hickorygate.core import background
from hickorygate.core import clock as clocks
from hickorygate.core import decisions
from hickorygate.core import errors
from hickorygate.core import events
from hickorygate.core import types
from hickorygate.upstreams import duty as duties
from hickorygate.upstreams import member as members
from hickorygate.upstreams import reasons
from hickorygate.upstreams import request as requests
from hickorygate.upstreams import takeover as takeovers

if TYPE_CHECKING:
    from hickorygate.upstreams import supervisor as supervisors

__all__ = ["DutyStore", "Office", "Promoter"]

_TICK = datetime.timedelta(milliseconds=25)
_DUTY_LIMIT = datetime.timedelta(seconds=10)
_RETRY = datetime.timedelta(milliseconds=150)
"""Between calls to a store that didn't answer."""


class DutyStore(Protocol):
    """Where the duty's record is kept, and where promotions are ordered."""

    async def read_duty(
        self,
    ) -> expression.Result[duties.Stored | None, errors.Failure]:
        """Returns the record; None if there never was one."""

    async def write_duty(
        self, record: duties.Record, revision: int | None
    ) -> expression.Result[duties.Stored, errors.Failure]:
        """Stores a record if its revision still stands."""

    async def promote(
        self,
        service: types.ServiceName,
        member: members.MemberId,
        record: duties.Record,
        may_send: Callable[[], bool],
    ) -> expression.Result[None, errors.Failure]:
        """Orders a promotion; `may_send` is asked right before it is sent."""


class Office:
    """This process's hold on the duty; shared by all its takeovers."""

    def __init__(
        self,
        duty: duties.Duty,
        store: DutyStore,
        clock: clocks.Clock,
        journal: events.Journal,
    ) -> None:
        self._duty = duty
        self._store = store
        self._clock = clock
        self._journal = journal
        self._users = 0
        self._unanswered = False
        self._lock = asyncio.Lock()

    @property
    def held(self) -> bool:
        """Whether a call may be made under the duty."""
        return self._duty.may_call(self._clock.now())

    @property
    def number(self) -> int:
        """The number of the newest known record."""
        record = self._duty.record
        return record.number if record else 0

    def __repr__(self) -> str:
        return f"Office({self._duty!r})"

    async def enter(self, wanted: Callable[[], bool]) -> bool:
        """Gets the duty, for as long as it is wanted.

        Returns:
          Whether it is held; `leave` must follow.
        """
        async with self._lock:
            held = self.held or await self._claim(wanted)
        if held:
            self._users += 1
        return held

    async def leave(self) -> None:
        """Gives the duty back once nobody here uses it.

        After an order whose answer was lost it lapses instead: the order may
        still take effect, and no newer number may come before it.
        """
        self._users -= 1
        if self._users or self._unanswered:
            return
        async with self._lock:
            write = None if self._users else self._duty.release()
            if write is not None:
                await self._write(write)

    async def renew(self) -> bool:
        """Makes sure that a call may be made; renews the lease if needed."""
        if self.held:
            return True
        async with self._lock:
            return self.held or await self._try_once() is None

    async def promote(
        self, service: types.ServiceName, member: members.MemberId
    ) -> bool:
        """Orders a promotion under the duty's number."""
        record = self._duty.record
        if record is None or not self.held:
            return False
        # The lease is looked at again once connected: this process may have
        # stood still meanwhile.
        ordered = await self._store.promote(
            service, member, record, lambda: self.held
        )
        self._unanswered = self._unanswered or _is_unanswered(ordered)
        return ordered.is_ok()

    async def _claim(self, wanted: Callable[[], bool]) -> bool:
        ends = self._clock.now() + _DUTY_LIMIT
        while wanted() and self._clock.now() < ends:
            wait = await self._try_once()
            if wait is None:
                self._unanswered = False
                self._journal.record(decisions.DutyWon(self.number))
                return True
            await self._clock.sleep(wait)
        return False

    async def _try_once(self) -> datetime.timedelta | None:
        """Makes one attempt; returns how long to wait, None if held."""
        read = await self._store.read_duty()
        if read.is_error():
            self._journal.record(decisions.DutyLost(read.error.message))
            return _RETRY
        self._duty.see(read.ok, self._clock.now())
        match self._duty.decide(self._clock.now()):
            case duties.Wait(duration):
                return duration
            case duties.Write() as write:
                await self._write(write)
        return None if self.held else _RETRY

    async def _write(self, write: duties.Write) -> None:
        sent = self._clock.now()
        written = await self._store.write_duty(write.record, write.revision)
        if written.is_ok():
            self._duty.win(written.ok, sent)
            return
        self._journal.record(decisions.DutyLost(written.error.message))


def _is_unanswered(
    ordered: expression.Result[None, errors.Failure],
) -> bool:
    """Whether an order may take effect although no answer came."""
    return (
        ordered.is_error() and ordered.error.outcome is errors.Outcome.UNKNOWN
    )


class Promoter:
    """Replaces the primary of one group when it must."""

    def __init__(
        self,
        group: supervisors.Supervisor,
        office: Office,
        clock: clocks.Clock,
        journal: events.Journal,
    ) -> None:
        self._group = group
        self._office = office
        self._clock = clock
        self._journal = journal
        self._background = background.Background()
        self._takeover: takeovers.Takeover | None = None
        self._calls = background.Background()
        self._watch = reasons.Watch()

    @property
    def active(self) -> bool:
        """Whether a takeover is under way."""
        return self._background.running

    def __repr__(self) -> str:
        return f"Promoter({self._takeover!r})"

    async def close(self) -> None:
        """Ends what is under way."""
        await self._background.close()
        await self._calls.close()

    def consider(self) -> None:
        """Begins a takeover if there is a reason for one."""
        if self._takeover is not None:
            self._report_leader(self._takeover)
        reason = self._reason()
        if reason is not None and not self.active:
            self._background.start(self._run(reason))

    def _reason(self) -> reasons.Reason | None:
        return self._watch.reason(self._situation(), self._clock.now())

    def _situation(self) -> reasons.Situation:
        group = self._group
        now = self._clock.now()
        return reasons.Situation(
            leader=group.leader,
            lost=group.lost,
            members=group.evidence.members,
            departed=group.evidence.departed,
            positions={
                name: group.evidence.position(name)
                for name in group.evidence.members
            },
            unreachable=frozenset(
                name
                for name in group.evidence.members
                if group.prober.vital(name).lost(now)
            ),
            stalled=group.stall.stalled(now),
            term=group.evidence.term,
            synchronous_replicas=group.evidence.synchronous_replicas,
        )

    async def _run(self, reason: reasons.Reason) -> None:
        if not await self._office.enter(self._wanted):
            return
        try:
            # The wait for the duty may have been long; look again.
            fresh = self._reason()
            if fresh is not None:
                await self._take_over(fresh)
        finally:
            self._takeover = None
            await self._office.leave()

    def _wanted(self) -> bool:
        return self._reason() is not None

    async def _take_over(self, reason: reasons.Reason) -> None:
        plan = reasons.plan(self._group.service, reason, self._situation())
        if plan is None:
            return
        self._takeover = takeovers.Takeover(plan, self._clock.now())
        self._journal.record(
            decisions.TakeoverStarted(
                plan.service, plan.term, plan.reason, self._office.number
            )
        )
        while self._takeover is not None:
            takeover = self._takeover
            self._perform(takeover.advance(self._clock.now()), takeover)
            if takeover.stage is takeovers.Stage.AWAITING:
                self._group.suspect()
            await self._clock.sleep(_TICK)

    def _perform(
        self, effects: list[takeovers.Effect], takeover: takeovers.Takeover
    ) -> None:
        for effect in effects:
            if self._takeover is takeover:
                _perform(effect, self, takeover)

    def call(
        self,
        work: Awaitable[takeovers.Event],
        takeover: takeovers.Takeover,
    ) -> None:
        """Makes a call beside the takeover and reports its end."""
        self._calls.start(self._report(work, takeover))

    async def _report(
        self,
        work: Awaitable[takeovers.Event],
        takeover: takeovers.Takeover,
    ) -> None:
        event = await work
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
        event = takeovers.LeaderFound(leader.member, leader.term)
        now = self._clock.now()
        self._perform(takeovers.handle(event, takeover, now), takeover)

    async def pause(
        self, effect: takeovers.PauseReplica
    ) -> takeovers.ReplicaPaused:
        """Pauses a replica."""
        results = await self._group.prober.ask(
            effect.member, requests.Pause(effect.term)
        )
        status = results[0].ok.group if results else None
        return takeovers.ReplicaPaused(effect.member, status)

    async def compare(
        self, effect: takeovers.CompareCandidate
    ) -> takeovers.Event:
        """Reads the primary's position, then the candidate's end of log."""
        prober = self._group.prober
        first = await prober.ask(
            effect.leader, requests.Begin(), requests.Rollback()
        )
        second = await prober.ask(effect.candidate, requests.ReadStatus())
        leader = first[0].ok.position if first else None
        status = second[0].ok.group if second else None
        if leader is None or status is None:
            return takeovers.PromotionEnded(False)
        return takeovers.CandidateSeen(leader, status.received)

    async def order(
        self, effect: takeovers.OrderPromotion, takeover: takeovers.Takeover
    ) -> takeovers.PromotionEnded:
        """Orders the promotion under the duty."""
        accepted = await self._office.renew() and await self._office.promote(
            self._group.service, effect.member
        )
        status = takeover.statuses.get(effect.member)
        self._journal.record(
            decisions.PromotionOrdered(
                self._group.service,
                effect.member,
                self._office.number,
                status.received if status else None,
                accepted,
            )
        )
        return takeovers.PromotionEnded(accepted)

    def finish(
        self, effect: takeovers.Finish, takeover: takeovers.Takeover
    ) -> None:
        """Ends the takeover and cleans up after it."""
        self._takeover = None
        plan = takeover.plan
        self._journal.record(
            decisions.TakeoverEnded(plan.service, plan.term, effect.outcome)
        )
        if not effect.led:
            self._watch.pause(self._clock.now())
        if effect.demote is not None:
            demote = requests.Demote(plan.term)
            self._calls.start(self._tell(effect.demote, demote))

    async def _tell(
        self, name: members.MemberId, request: requests.Request
    ) -> None:
        """Sends a request whose answer changes nothing here."""
        await self._group.prober.ask(name, request)


@functools.singledispatch
def _perform(
    effect: takeovers.Effect,
    promoter: Promoter,
    takeover: takeovers.Takeover,
) -> None:
    raise TypeError(f"no way to perform {effect!r}; register one")


@_perform.register(takeovers.PauseReplica)
def _(
    effect: takeovers.PauseReplica,
    promoter: Promoter,
    takeover: takeovers.Takeover,
) -> None:
    promoter.call(promoter.pause(effect), takeover)


@_perform.register(takeovers.CompareCandidate)
def _(
    effect: takeovers.CompareCandidate,
    promoter: Promoter,
    takeover: takeovers.Takeover,
) -> None:
    promoter.call(promoter.compare(effect), takeover)


@_perform.register(takeovers.OrderPromotion)
def _(
    effect: takeovers.OrderPromotion,
    promoter: Promoter,
    takeover: takeovers.Takeover,
) -> None:
    promoter.call(promoter.order(effect, takeover), takeover)


@_perform.register(takeovers.Finish)
def _(
    effect: takeovers.Finish,
    promoter: Promoter,
    takeover: takeovers.Takeover,
) -> None:
    promoter.finish(effect, takeover)
