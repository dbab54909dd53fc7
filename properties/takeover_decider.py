"""One proxy of the takeover model; it decides with the production code."""

from __future__ import annotations

import dataclasses
import datetime
from typing import TYPE_CHECKING

from hickorygate.testing import line_log
from hickorygate.upstreams import commit_guard
from hickorygate.upstreams import group_state
from hickorygate.upstreams import member as members
from hickorygate.upstreams import promotion_order
from hickorygate.upstreams import takeover as takeovers
from hickorygate.upstreams import takeover_events
from hickorygate.upstreams import takeover_plan
from hickorygate.upstreams import takeover_trigger
from properties import takeover_lease

if TYPE_CHECKING:
    from properties import takeover_model

__all__ = ["Decider"]

SYNCHRONOUS_REPLICAS = 1

_CALL_TIMEOUT = datetime.timedelta(seconds=1.5)
"""Time after which a call without an answer counts as failed."""


@dataclasses.dataclass(slots=True)
class _UnreportedCommit:
    """A commit that the primary acknowledged and no caller knows of.

    Attributes:
      leader: name of the primary.
      since: time at which it was acknowledged, by the proxy's clock.
      answers: what replicas answered since then.
    """

    leader: str
    since: datetime.datetime
    answers: dict[str, commit_guard.Replica] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, slots=True)
class _Order:
    """An order without an answer.

    Attributes:
      takeover: takeover that made it.
      waiting: the call.
      until: time at which the call ends.
    """

    takeover: takeovers.Takeover
    waiting: takeover_lease.Suspended
    until: datetime.datetime


class Decider:
    """The takeover decisions of one proxy.

    Attributes:
      name: name of the proxy.
      state: what it knows of the group.
      guard: what it knows of commits that it may report.
      lease: its promotion lease.
      takeover: takeover that it carries out; None if there is none.
      calls: calls that the takeover requested and that weren't made yet.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        model: takeover_model.TakeoverModel,
        difference: datetime.timedelta,
    ) -> None:
        self.name = name
        self.state = group_state.GroupState(SYNCHRONOUS_REPLICAS)
        self.guard = commit_guard.CommitGuard(SYNCHRONOUS_REPLICAS)
        self.lease = takeover_lease.ProxyLease(
            name, f"{name}-{incarnation}", model.lease, model, difference
        )
        self.takeover: takeovers.Takeover | None = None
        self.calls: list[takeover_events.Effect] = []
        self._model = model
        self._trigger = takeover_trigger.TakeoverTrigger()
        self._listing = members.Listing()
        self._learns_until: datetime.datetime | None = None
        self._connected: dict[str, datetime.datetime] = {}
        self._unreported: dict[line_log.Commit, _UnreportedCommit] = {}
        self._orders: list[_Order] = []
        self._followed: dict[str, datetime.datetime] = {}
        self._term = 0
        self._tenure = 0
        self._lost: group_state.Leader | None = None
        self._unreachable: frozenset[str] = frozenset()
        self._stalled = False
        self.learn_members()
        self.run_round(frozenset(model.databases))

    @property
    def now(self) -> datetime.datetime:
        """The time of its clock."""
        return self.lease.clock.now()

    @property
    def waits_for_order(self) -> bool:
        """Whether an order has no answer yet."""
        return bool(self._orders)

    @property
    def next_call(self) -> str | None:
        """The database that the first requested call asks; None if none."""
        return getattr(self.calls[0], "member", None) if self.calls else None

    def connect_early(self, since: datetime.datetime) -> None:
        """Makes its connections older, as of a proxy that runs for long."""
        self._connected = dict.fromkeys(self._connected, since)
        for name in self._connected:
            self.guard.record_join(name, since)

    def advance_clock(self) -> None:
        """Does what is due: learns the list, ends calls without an answer."""
        if self._learns_until is not None and self.now >= self._learns_until:
            self.learn_members()
        if not self.lease.cut and self._listing.expire(self.now):
            self._apply_listing()
        if self._orders and self.now >= self._orders[0].until:
            self.end_order()

    def expect_list(self, delay: datetime.timedelta) -> None:
        """Notes that the list changed; it learns so within a delay."""
        until = self.now + delay
        if self._learns_until is None and not self.lease.cut:
            self._learns_until = until

    def cut(self) -> None:
        """Cuts it from the store: it learns nothing and gets no lease."""
        self.lease.cut = True
        self._learns_until = None

    def reach(self, delay: datetime.timedelta) -> None:
        """Ends the cut: it reads the list within a delay."""
        if self.lease.cut:
            self.lease.cut = False
            self._listing.restart(self.now)
            self.expect_list(delay)

    def learn_members(self) -> None:
        """Reads the present list of databases if it reaches the store."""
        if self.lease.cut:
            return
        self._learns_until = None
        listed = self._model.listed()
        present = {member.id for member in listed}
        for member in self._listing.members:
            if member.id not in present:
                self._listing.remove(member.id, self.now)
        for member in listed:
            self._listing.put(member, self.now)
        self._apply_listing()

    def _apply_listing(self) -> None:
        before = self.state.leader
        listed = self._listing.members
        self._note_members(listed)
        self.state.set_members(listed)
        if before is not None and self.state.leader is None:
            self._lost = before

    def _note_members(self, listed: tuple[members.Member, ...]) -> None:
        """Notes what joined and left, as `CommitCheck` does."""
        known = {m.id: m.born for m in self.state.members.values()}
        for member in listed:
            born = known.pop(member.id, None)
            if born == member.born:
                continue
            self._connected[member.id] = self.now
            self._forget_answers(member.id)
            since = self._listing.known_since[member.id]
            self.guard.record_join(member.id, since)
        for name in known:
            self.guard.forget(name)
            self._connected.pop(name, None)
            self._forget_answers(name)

    def _forget_answers(self, name: str) -> None:
        for unreported in self._unreported.values():
            unreported.answers.pop(name, None)

    def reconnect(self, name: str) -> None:
        """Replaces its connections to a database by new ones."""
        if name in self._connected:
            self._connected[name] = self.now

    def hear(self, name: str) -> None:
        """Gets a caller's answer from a database, which shows its position."""
        database = self._model.databases.get(name)
        if database is not None:
            self.state.record_position(name, database.log.visible)

    def run_round(self, answering: frozenset[str]) -> None:
        """Asks all databases for their status; some of them answer."""
        probe_round = self.state.open_round(self.now, with_status=True)
        for name in probe_round.asked & answering:
            database = self._model.databases.get(name)
            if database is not None:
                probe_round.answers[name] = group_state.ProbeAnswer(
                    database.log.leads, database.log.visible, database.status()
                )
        self._unreachable = probe_round.silent
        finding = self.state.evaluate(probe_round)
        leader = self.state.leader
        self._followed.update(dict.fromkeys(finding.followers, self.now))
        if leader is None:
            return
        if leader.term > self._term:
            self._term = leader.term
            self.guard.record_leader(self._followed.get(leader.member))
        self._observe(finding, leader)
        if leader.member in self._unreachable:
            self._lost = leader
            self.state.lose_leader()
        else:
            self._lost = None

    def _observe(
        self, finding: group_state.RoundResult, leader: group_state.Leader
    ) -> None:
        """Passes a round's conclusions on, as `CommitCheck` does."""
        if finding.followers >= self.state.members.keys() - {leader.member}:
            self.guard.record_complete_round(self.now)
        replicas = {
            name: commit_guard.Replica(status, self.now)
            for name, status in finding.statuses.items()
            if name != leader.member
        }
        silent = bool(finding.silent - {leader.member})
        view = commit_guard.View(self.now, leader.term, replicas, silent)
        self.guard.observe(view, self.now)

    def note_stall(self, stalled: bool) -> None:
        """Notes whether commits stay without an answer."""
        self._stalled = stalled

    def acknowledge(self, commit: line_log.Commit, leader: str) -> None:
        """Notes that the primary acknowledged a commit just now."""
        self._unreported[commit] = _UnreportedCommit(leader, self.now)

    def report(self, answering: frozenset[str]) -> None:
        """Asks the replicas, and reports the commits that it may report.

        Args:
          answering: databases that answer it.
        """
        for commit, unreported in list(self._unreported.items()):
            if self.state.term > commit.position.term:
                del self._unreported[commit]
                continue
            if self._may_report(commit, unreported, answering):
                del self._unreported[commit]
                self._model.report(commit)

    def _may_report(
        self,
        commit: line_log.Commit,
        unreported: _UnreportedCommit,
        answering: frozenset[str],
    ) -> bool:
        """Returns whether a commit is kept, as `CommitCheck` decides."""
        replicas = self.state.members.keys() - {unreported.leader}
        for name in replicas & answering & self._model.databases.keys():
            unreported.answers[name] = self._ask(name)
        known = {n: r for n, r in unreported.answers.items() if n in replicas}
        view = commit_guard.View(
            unreported.since,
            commit.position.term,
            known,
            silent=len(known) < len(replicas),
        )
        if self.guard.is_safe(commit.position, view, self.now):
            return True
        if not view.silent:
            self.guard.observe(view, self.now)
        return False

    def _ask(self, name: str) -> commit_guard.Replica:
        database = self._model.databases[name]
        difference = self.now - self._model.now
        since = max(database.running_since + difference, self._connected[name])
        self.guard.record_running(name, since)
        return commit_guard.Replica(database.status(), self.now, since)

    def think(self) -> None:
        """Begins a takeover if one is needed, or informs the running one."""
        if self.takeover is not None:
            self._advance()
            return
        if self._reason() is None or not self.lease.acquire(self._is_needed):
            return
        self.learn_members()
        reason = self._reason()
        plan = None
        if reason is not None:
            plan = takeover_plan.plan("s", reason, self._situation())
        if plan is None:
            self.lease.release()
            return
        self.takeover = takeovers.Takeover(plan, self.now)
        self._tenure = self.lease.tenure
        self.calls = []
        self._advance()

    def call(
        self,
        index: int,
        lost: bool,
        fate: takeover_lease.OrderFate = takeover_lease.OrderFate.ACCEPTED,
    ) -> None:
        """Makes one of the requested calls.

        Args:
          index: index of the call.
          lost: whether the answer is lost, unless it is an order.
          fate: what happens to it if it is an order.
        """
        if self.takeover is None or not self.calls:
            return
        effect = self.calls.pop(index % len(self.calls))
        if isinstance(effect, takeover_events.OrderPromotion):
            self._order(effect, fate)
            return
        event = self._model.perform(effect)
        if lost:
            event = _without_answer(event)
        self._queue(_handle(event, self.takeover, self.now))

    def _order(
        self,
        effect: takeover_events.OrderPromotion,
        fate: takeover_lease.OrderFate,
    ) -> None:
        takeover = self.takeover
        assert takeover is not None, "no takeover runs"
        self.lease.fate = fate
        result = self.lease.order(
            effect.member, lambda: self._may_order(takeover)
        )
        if isinstance(result, takeover_lease.Suspended):
            until = self.now + _CALL_TIMEOUT
            self._orders.append(_Order(takeover, result, until))
            return
        self._end_order(takeover, result)

    def _may_order(self, takeover: takeovers.Takeover) -> bool:
        """Returns whether a takeover may still send an order."""
        return (
            self.takeover is takeover
            and self.lease.tenure == self._tenure
            and takeover.may_order(self.now)
        )

    def _end_order(
        self,
        takeover: takeovers.Takeover,
        outcome: promotion_order.OrderOutcome,
    ) -> None:
        """Tells a takeover what became of its order, as the promoter does."""
        if self.takeover is not takeover:
            return
        event: takeover_events.Event = takeover_events.PromotionEnded(outcome)
        refused = outcome is promotion_order.OrderOutcome.REFUSED
        if refused and self.lease.tenure != self._tenure:
            event = takeover_events.LeaseLost()
        self._queue(_handle(event, takeover, self.now))

    def end_order(self) -> None:
        """Ends the oldest order that has no answer yet."""
        if not self._orders:
            return
        order = self._orders.pop(0)
        self._end_order(order.takeover, order.waiting.resume())

    def close(self) -> None:
        """Ends its process."""
        for order in self._orders:
            order.waiting.close()

    def _advance(self) -> None:
        takeover = self.takeover
        assert takeover is not None, "no takeover runs"
        takeover.add_replicas(self.state.members.keys(), self.now)
        leader = self.state.leader
        if leader is not None:
            found = takeover_events.LeaderFound(leader.member, leader.term)
            self._queue(_handle(found, takeover, self.now))
        if self.takeover is takeover:
            self._queue(takeover.advance(self.now))

    def _queue(self, effects: list[takeover_events.Effect]) -> None:
        for effect in effects:
            if isinstance(effect, takeover_events.Finish):
                self._finish(effect)
                return
            if not isinstance(effect, takeover_events.RecordLostPause):
                self.calls.append(effect)

    def _finish(self, effect: takeover_events.Finish) -> None:
        takeover, self.takeover = self.takeover, None
        assert takeover is not None, "no takeover runs"
        self.calls = []
        if not effect.succeeded:
            self._trigger.pause(self.now)
        elif self.state.leader is not None:
            self.lease.note_primary(self.state.leader.member)
        if effect.demote is not None:
            self._model.demote(effect.demote, takeover.plan.term)
        self.lease.release()

    def _is_needed(self) -> bool:
        return self._reason() is not None

    def _reason(self) -> takeover_trigger.Reason | None:
        return self._trigger.reason(self._situation(), self.now)

    def _situation(self) -> takeover_trigger.GroupSnapshot:
        state = self.state
        return takeover_trigger.GroupSnapshot(
            leader=state.leader,
            lost=self._lost,
            members=state.members,
            departed=state.departed,
            positions={name: state.position(name) for name in state.members},
            unreachable=self._unreachable,
            stalled=self._stalled,
            progressing=False,
            patience=datetime.timedelta(),
            term=state.term,
            synchronous_replicas=SYNCHRONOUS_REPLICAS,
        )


def _handle(
    event: takeover_events.Event,
    takeover: takeovers.Takeover,
    now: datetime.datetime,
) -> list[takeover_events.Effect]:
    """Passes an event to a takeover, then advances it."""
    effects = takeovers.handle(event, takeover, now)
    if any(isinstance(e, takeover_events.Finish) for e in effects):
        return effects
    return effects + takeover.advance(now)


def _without_answer(event: takeover_events.Event) -> takeover_events.Event:
    """Returns the event of a call whose answer was lost."""
    match event:
        case takeover_events.ReplicaPaused(name, _):
            return takeover_events.ReplicaPaused(name, None)
        case takeover_events.ReplicaInspected(name, _, number):
            return takeover_events.ReplicaInspected(name, None, number)
    return takeover_events.ComparisonFailed()
