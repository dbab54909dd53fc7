"""State machine that replaces a group's primary, without I/O.

Unplanned takeover (the primary is lost): the replicas are first inspected, so
that none is paused unless enough of them answer to complete the takeover. Then
replication is paused on every replica. After that the former primary cannot
acknowledge a commit in the old term, and the responses contain the log end of
each replica. The replica with the greatest log end is promoted. The number of
databases without a response, including the primary, must not exceed the number
of synchronous replicas, because these databases could have the only copies of a
commit.

Planned takeover (the primary is about to stop but still serves): all replicas
are inspected, then all except the candidate are paused. Every later commit is
then acknowledged only with a copy on the candidate, so the candidate has all of
them. The primary serves until the promotion takes effect.

A takeover that was planned for a former primary must pause no replica: the
present primary needs it. The inspection shows a present primary, because the
promotion lease is held from before it until the order has taken effect.

A pause ends when its replica restarts, and the replica then receives from the
former primary again. So the order follows only after all paused replicas were
asked once more, when the last of them had confirmed its pause: what they hold
then is all that was acknowledged. An order can't be taken back: once one may
take effect, no other database is ordered (`promotion_attempt`). Replicas that
join or restart from then on are paused without another choice, and
`commit_guard` withholds what was acknowledged meanwhile.

A pause is never revoked. A promotion that this proxy or another one ordered
can still take effect; a replica that resumed replication from the former
primary would let that primary acknowledge commits that the new one does not
have. A pause ends when the new primary leads. If no new primary emerges, the
next attempt starts with the replicas still paused.
"""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Set
import dataclasses
import datetime
import enum
import functools

from hickorygate.core import reply
from hickorygate.upstreams import call_pacing
from hickorygate.upstreams import member as members
from hickorygate.upstreams import paused_replicas
from hickorygate.upstreams import promotion_attempt
from hickorygate.upstreams import promotion_order
from hickorygate.upstreams import takeover_events
from hickorygate.upstreams import takeover_plan
from hickorygate.upstreams import takeover_timing

__all__ = [
    "Stage",
    "Takeover",
    "handle",
]

_TAKEOVER_TIMEOUT = datetime.timedelta(seconds=6)
"""Time after which a takeover requests no order any more. It ends then unless
an order may still take effect."""

_INSPECTION_TIMEOUT = datetime.timedelta(seconds=1.5)
"""Maximum time for enough replicas to answer. The lease is then free for
another proxy, which may reach them."""


class Stage(enum.Enum):
    """The stage of a takeover."""

    INSPECTING = "inspecting the replicas"
    PAUSING = "pausing the replicas"
    VERIFYING = "verifying the pauses"
    CATCHING_UP = "waiting for the candidate to catch up"
    PROMOTING = "ordering the promotion"
    AWAITING = "waiting for the promotion to take effect"


class Takeover:
    """One attempt to replace a primary."""

    __slots__ = (
        "_attempt",
        "_chosen",
        "_inspected",
        "_pacing",
        "_paused",
        "_plan",
        "_stage",
        "_stage_number",
        "_stage_started",
        "_started",
    )

    def __init__(
        self, plan: takeover_plan.Plan, now: datetime.datetime
    ) -> None:
        self._plan = plan
        self._stage = Stage.INSPECTING
        self._stage_number = 0
        self._started = now
        self._stage_started = now
        self._paused = paused_replicas.PausedReplicas()
        self._inspected: set[members.MemberId] = set()
        self._attempt = promotion_attempt.PromotionAttempt()
        self._pacing = call_pacing.CallPacing()
        self._chosen = plan.candidate

    @property
    def plan(self) -> takeover_plan.Plan:
        """The parameters of the takeover."""
        return self._plan

    @property
    def stage(self) -> Stage:
        """The current stage."""
        return self._stage

    @property
    def chosen(self) -> members.MemberId | None:
        """The replica to promote; None until one is selected."""
        return self._chosen

    @property
    def statuses(self) -> Mapping[members.MemberId, reply.ReplicationStatus]:
        """The statuses of the paused replicas, by database."""
        return self._paused.statuses

    def may_order(self, now: datetime.datetime) -> bool:
        """Returns whether an order that is sent now takes effect in time."""
        return now - self._started < takeover_timing.ORDER_WINDOW

    def __repr__(self) -> str:
        return f"Takeover({self._plan.service!r}, {self._stage.value})"

    def advance(self, now: datetime.datetime) -> list[takeover_events.Effect]:
        """Advances the takeover and returns the actions to perform.

        Must be called after each event and periodically.
        """
        if now >= self._ends_at:
            return [self._abort("timed out")]
        if self._stage is Stage.INSPECTING and self._enough_inspected():
            self._enter_stage(Stage.PAUSING, now)
        if self._stage is Stage.PROMOTING and self._attempt.may_choose_anew(
            now
        ):
            self._resume_after_refusal(now)
        if self._stage is Stage.PAUSING and self._plan.suffices(self.statuses):
            planned = self._plan.candidate is not None
            following = Stage.CATCHING_UP if planned else Stage.VERIFYING
            self._enter_stage(following, now)
        if self._stage is Stage.VERIFYING and self._plan.suffices(
            self._paused.verified
        ):
            self._finish_verifying(now)
        match self._stage:
            case Stage.INSPECTING:
                if now - self._stage_started >= _INSPECTION_TIMEOUT:
                    return [self._abort("too few replicas answer")]
                return self._inspection_effects(now)
            case Stage.PAUSING:
                return self._pause_effects(now)
            case Stage.VERIFYING:
                return self._status_effects(self._paused.unverified, now)
            case Stage.CATCHING_UP:
                return self._compare_effects(now)
            case Stage.PROMOTING:
                return self._promotion_effects(now)
            case Stage.AWAITING:
                if self._attempt.overdue(now):
                    return [self._abort("the promotion had no effect")]
                return self._promotion_effects(now)
        return []

    def add_replicas(
        self, names: Set[members.MemberId], now: datetime.datetime
    ) -> None:
        """Adds the databases that joined the group meanwhile."""
        joined = names - self._plan.replicas - {self._plan.leader}
        if not joined:
            return
        self._plan = dataclasses.replace(
            self._plan, pause=self._plan.pause | joined
        )
        if self._stage is not Stage.INSPECTING and not self._attempt.binding:
            self._enter_stage(Stage.PAUSING, now)

    def take_inspection(
        self, event: takeover_events.ReplicaInspected, now: datetime.datetime
    ) -> list[takeover_events.Effect]:
        """Handles a status that a replica returned."""
        if event.number != self._stage_number:
            return []
        self._pacing.end_call(event.member)
        if event.status is None:
            return []
        match self._stage:
            case Stage.INSPECTING:
                return self._inspect(event.member, event.status)
            case Stage.VERIFYING:
                return self._verify(event.member, event.status, now)
            case Stage.PROMOTING | Stage.AWAITING:
                return self._watch(event.member, event.status)
        return []

    def _inspect(
        self, name: members.MemberId, status: reply.ReplicationStatus
    ) -> list[takeover_events.Effect]:
        """Handles the status of a replica before any is paused."""
        if status.term >= self._plan.term:
            return [self._abort("another database leads a newer term")]
        if status.is_primary and status.term == self._plan.term - 1:
            # It was promoted before this takeover and needs its replicas.
            return [self._abort(f"{name} is the primary")]
        self._inspected.add(name)
        return []

    def _verify(
        self,
        name: members.MemberId,
        status: reply.ReplicationStatus,
        now: datetime.datetime,
    ) -> list[takeover_events.Effect]:
        """Handles the status of a replica that had confirmed its pause."""
        if status.is_primary or status.term >= self._plan.term:
            return [self._abort("another database leads a newer term")]
        paused = self.statuses.get(name)
        if paused is None:
            return []
        # A paused replica receives nothing; one that did was paused again.
        received = status.received != paused.received
        if received or status.paused_for < self._plan.term:
            self._paused.record_lost_pause(name)
            self._enter_stage(Stage.PAUSING, now)
            return [takeover_events.RecordLostPause(name, ordered=False)]
        self._paused.record_verification(name)
        return []

    def _watch(
        self, name: members.MemberId, status: reply.ReplicationStatus
    ) -> list[takeover_events.Effect]:
        """Handles the status of a replica after the order.

        A replica whose pause has ended must be paused and verified again before
        another order, if this one is refused.
        """
        if status.is_primary or status.term >= self._plan.term:
            return []
        if status.paused_for >= self._plan.term:
            return []
        self._paused.record_lost_pause(name)
        return [
            takeover_events.RecordLostPause(name, ordered=True),
            takeover_events.PauseReplica(name, self._plan.term),
        ]

    def take_pause(
        self, event: takeover_events.ReplicaPaused
    ) -> list[takeover_events.Effect]:
        """Handles the response to a pause request."""
        self._pacing.end_call(event.member)
        status = event.status
        if status is None or self._attempt.binding:
            return []
        if status.term >= self._plan.term:
            return [self._abort("another database leads a newer term")]
        if self._paused.has_lost_log(event.member, status):
            return [self._abort(f"{event.member} has lost its log")]
        if status.paused_for >= self._plan.term:
            self._paused.record_pause(event.member, status)
        return []

    def take_candidate(
        self, event: takeover_events.CandidateSeen, now: datetime.datetime
    ) -> list[takeover_events.Effect]:
        """Verifies the pauses once the candidate has caught up."""
        self._pacing.end_all_calls()
        if self._stage is Stage.CATCHING_UP and event.candidate >= event.leader:
            self._enter_stage(Stage.VERIFYING, now)
        return []

    def take_failed_comparison(self) -> list[takeover_events.Effect]:
        """Lets the comparison be repeated."""
        self._pacing.end_all_calls()
        return []

    def take_replacement(
        self, event: takeover_events.LeaderReplaced
    ) -> list[takeover_events.Effect]:
        """Handles the discovery that the plan rests on a former primary."""
        if self._stage is not Stage.CATCHING_UP:
            return []
        return [self._abort(event.reason)]

    def take_promotion(
        self, event: takeover_events.PromotionEnded, now: datetime.datetime
    ) -> list[takeover_events.Effect]:
        """Handles the response to a promotion order."""
        self._attempt.end_order(event.outcome, now)
        if self._stage is Stage.PROMOTING and self._attempt.binding:
            self._enter_stage(Stage.AWAITING, now)
        return []

    def take_lost_lease(
        self, now: datetime.datetime
    ) -> list[takeover_events.Effect]:
        """Ends the takeover unless an earlier order may take effect.

        What it knows of the pauses may be older than another proxy's takeover.
        """
        self._attempt.end_order(promotion_order.OrderOutcome.REFUSED, now)
        if self._attempt.binding:
            return []
        return [self._abort("another proxy may have held the lease")]

    def handle_leader(
        self, event: takeover_events.LeaderFound
    ) -> list[takeover_events.Effect]:
        """Ends the takeover if the primary that was found makes it obsolete.

        That is a primary of the new term or, before a replica was paused, any
        primary if none answered when the takeover began.
        """
        if event.term < self._plan.term:
            inspecting = self._stage is Stage.INSPECTING
            if inspecting and not self._plan.leader_answers:
                return [self._abort(f"{event.member} answers as the primary")]
            return []
        former = self._plan.leader
        demote = former if former != event.member else None
        return [
            takeover_events.Finish(
                True, demote, f"{event.member} is the primary"
            )
        ]

    @property
    def _ends_at(self) -> datetime.datetime:
        """Time after which nothing of the takeover can take effect."""
        limit = (
            takeover_timing.TAKEOVER_SPAN
            if self._attempt.binding
            else _TAKEOVER_TIMEOUT
        )
        return self._started + limit

    def _enough_inspected(self) -> bool:
        if self._plan.candidate is not None:
            return self._inspected >= self._plan.replicas
        return self._plan.suffices(self._inspected)

    def _finish_verifying(self, now: datetime.datetime) -> None:
        if self._plan.candidate is None:
            self._chosen = self._paused.most_advanced(self._plan.leaving)
        self._enter_stage(Stage.PROMOTING, now)

    def _resume_after_refusal(self, now: datetime.datetime) -> None:
        """Prepares another order.

        The pauses are verified again first: what is known of them may be as old
        as the refused order.
        """
        unpaused = self._plan.pause - self.statuses.keys()
        self._enter_stage(Stage.PAUSING if unpaused else Stage.VERIFYING, now)

    def _enter_stage(self, stage: Stage, now: datetime.datetime) -> None:
        self._stage = stage
        self._stage_number += 1
        self._stage_started = now
        self._paused.reset_verification()
        if stage is Stage.PROMOTING:
            # The replicas were asked a moment ago.
            self._pacing.end_all_calls()
        else:
            self._pacing.reset()

    def _inspection_effects(
        self, now: datetime.datetime
    ) -> list[takeover_events.Effect]:
        return self._status_effects(self._plan.replicas - self._inspected, now)

    def _status_effects(
        self, names: Set[members.MemberId], now: datetime.datetime
    ) -> list[takeover_events.Effect]:
        return [
            takeover_events.InspectReplica(name, self._stage_number)
            for name in sorted(names)
            if self._pacing.start_call(name, now)
        ]

    def _pause_effects(
        self, now: datetime.datetime
    ) -> list[takeover_events.Effect]:
        unpaused = self._plan.pause - self.statuses.keys()
        return [
            takeover_events.PauseReplica(name, self._plan.term)
            for name in sorted(unpaused)
            if self._pacing.start_call(name, now)
        ]

    def _compare_effects(
        self, now: datetime.datetime
    ) -> list[takeover_events.Effect]:
        leader, candidate = self._plan.leader, self._chosen
        assert leader and candidate, "no primary or no candidate"
        due = self._pacing.start_call(candidate, now)
        return (
            [takeover_events.CompareCandidate(leader, candidate)] if due else []
        )

    def _promotion_effects(
        self, now: datetime.datetime
    ) -> list[takeover_events.Effect]:
        """Returns the order if it is due, and asks for the pauses after it."""
        assert self._chosen is not None, "no replica selected for promotion"
        effects: list[takeover_events.Effect] = []
        in_time = now - self._started < _TAKEOVER_TIMEOUT
        if in_time and self._attempt.start_order(now):
            effects.append(takeover_events.OrderPromotion(self._chosen))
        if self._attempt.binding:
            effects += self._status_effects(self._plan.pause, now)
        return effects

    def _abort(self, outcome: str) -> takeover_events.Finish:
        return takeover_events.Finish(False, None, f"aborted: {outcome}")


@functools.singledispatch
def handle(
    event: takeover_events.Event, takeover: Takeover, now: datetime.datetime
) -> list[takeover_events.Effect]:
    """Handles an event and returns the actions to perform immediately."""
    raise TypeError(f"no handler for {event!r} is registered")


@handle.register
def _(
    event: takeover_events.ReplicaInspected,
    takeover: Takeover,
    now: datetime.datetime,
) -> list[takeover_events.Effect]:
    return takeover.take_inspection(event, now)


@handle.register
def _(
    event: takeover_events.ReplicaPaused,
    takeover: Takeover,
    now: datetime.datetime,
) -> list[takeover_events.Effect]:
    return takeover.take_pause(event)


@handle.register
def _(
    event: takeover_events.CandidateSeen,
    takeover: Takeover,
    now: datetime.datetime,
) -> list[takeover_events.Effect]:
    return takeover.take_candidate(event, now)


@handle.register
def _(
    event: takeover_events.ComparisonFailed,
    takeover: Takeover,
    now: datetime.datetime,
) -> list[takeover_events.Effect]:
    return takeover.take_failed_comparison()


@handle.register
def _(
    event: takeover_events.LeaderReplaced,
    takeover: Takeover,
    now: datetime.datetime,
) -> list[takeover_events.Effect]:
    return takeover.take_replacement(event)


@handle.register
def _(
    event: takeover_events.PromotionEnded,
    takeover: Takeover,
    now: datetime.datetime,
) -> list[takeover_events.Effect]:
    return takeover.take_promotion(event, now)


@handle.register
def _(
    event: takeover_events.LeaseLost,
    takeover: Takeover,
    now: datetime.datetime,
) -> list[takeover_events.Effect]:
    return takeover.take_lost_lease(now)


@handle.register
def _(
    event: takeover_events.LeaderFound,
    takeover: Takeover,
    now: datetime.datetime,
) -> list[takeover_events.Effect]:
    return takeover.handle_leader(event)
