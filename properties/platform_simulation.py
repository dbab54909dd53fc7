"""A simulated database group on the users' platform, without I/O or timers.

Random steps let databases commit, replicate, apply entries, and answer late
or never. One proxy at a time replaces the primary, and the former primary may
continue to accept writes. The simulation records each acknowledged commit and
the time of its acknowledgement.
"""

from __future__ import annotations

import dataclasses
import datetime
import random

from hickorygate.core import reply
from hickorygate.testing import line_log
from hickorygate.upstreams import group_state
from hickorygate.upstreams import member
from hickorygate.upstreams import promotion_order
from hickorygate.upstreams import takeover as takeovers
from hickorygate.upstreams import takeover_events
from hickorygate.upstreams import takeover_plan
from hickorygate.upstreams import takeover_trigger

__all__ = ["PlatformSimulation"]

_START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
_STEP = datetime.timedelta(milliseconds=7)


def _member(name: str) -> member.Member:
    return member.Member(name, 1, "s", "h", 1, "a", 2, False, False)


@dataclasses.dataclass(frozen=True, slots=True)
class Acknowledged:
    """A commit that was acknowledged to its caller.

    Attributes:
      commit: acknowledged commit.
      at: simulated time of the acknowledgement.
    """

    commit: line_log.Commit
    at: datetime.datetime


class PlatformSimulation:
    """Three or more databases and one proxy's decision state.

    Attributes:
      acknowledged: all commits that were acknowledged to callers.
      promoted: number of promotions that took effect.
      floors: number of floors that status rounds established.
    """

    def __init__(self, names: str, rng: random.Random) -> None:
        self.random = rng
        self.now = _START
        self.acknowledged: list[Acknowledged] = []
        self.promoted = 0
        self.floors = 0
        roles = [line_log.Role.PRIMARY] + [line_log.Role.REPLICA] * len(names)
        self.logs = {
            name: line_log.LineLog(name, role)
            for name, role in zip(names, roles, strict=False)
        }
        self.state = group_state.GroupState(1)
        self.state.set_members(tuple(_member(n) for n in names))
        self.rounds: list[group_state.ProbeRound] = []
        self.takeover: takeovers.Takeover | None = None
        self.calls: list[takeover_events.Effect] = []
        self.orders: list[str] = []

    def step(self) -> None:
        """Performs one random action."""
        self.now += _STEP
        action = self.random.choice(
            (
                self.commit,
                self.replicate,
                self.replicate,
                self.apply,
                self.open_round,
                self.answer_round,
                self.answer_round,
                self.answer_round,
                self.check_round,
                self.begin_takeover,
                self.call,
                self.call,
                self.apply_promotion,
                self.drop_takeover,
            )
        )
        action()

    def commit(self) -> None:
        """Appends a commit at a random database that acts as primary."""
        leaders = [log for log in self.logs.values() if log.leads]
        if leaders:
            self.random.choice(leaders).append("w", (("x", "1"),))

    def replicate(self) -> None:
        """Replicates to one replica and acknowledges what the replica holds.

        Only commits of the primary's own term are acknowledged, and only if
        the replica has that term and its replication isn't paused.
        """
        leader, replica = self.random.sample(list(self.logs.values()), 2)
        if not leader.leads:
            return
        if replica.leads and replica.term >= leader.term:
            return
        replica.receive(leader)
        if replica.term != leader.term or replica.paused_for:
            return
        known = {a.commit for a in self.acknowledged}
        self.acknowledged += [
            Acknowledged(commit, self.now)
            for commit in leader.commits
            if commit not in known and commit.position.term == leader.term
        ]

    def apply(self) -> None:
        """Makes the received entries of one database visible to reads."""
        self.random.choice(list(self.logs.values())).apply()

    def open_round(self) -> None:
        """Opens a status round; at most four rounds stay open."""
        self.rounds = [*self.rounds[-3:], self.state.open_round(self.now)]

    def answer_round(self) -> None:
        """Records one database's answer to one round.

        About 70% of the answers contain the database's own status.
        """
        if not self.rounds:
            return
        seen = self.random.choice(self.rounds)
        name = self.random.choice(sorted(self.logs))
        if name not in seen.answers:
            seen.answers[name] = self._sight(name, self.random.random() < 0.7)

    def check_round(self) -> None:
        """Evaluates a round and checks what it found.

        A floor must cover each commit that was acknowledged before the round
        was sent, and a confirmed leader must hold all of them.
        """
        if not self.rounds:
            return
        index = self.random.randrange(len(self.rounds))
        seen = self.rounds.pop(index)
        finding = self.state.evaluate(seen)
        due = [a.commit for a in self.acknowledged if a.at < seen.sent]
        if finding.floor is not None:
            self.floors += 1
            above = [c for c in due if c.position > finding.floor.position]
            assert not above, (
                f"{finding} has a floor below acknowledged {above}"
            )
        if finding.confirmed and finding.leader is not None:
            held = set(self.logs[finding.leader.member].commits)
            missing = [c for c in due if c not in held]
            assert not missing, (
                f"{finding} confirmed a leader without {missing}"
            )

    def begin_takeover(self) -> None:
        """Starts a takeover, whether or not the primary is lost."""
        if self.takeover is not None or self.random.random() < 0.7:
            return
        leader = self.state.leader
        situation = takeover_trigger.GroupSnapshot(
            progressing=False,
            patience=datetime.timedelta(),
            leader=leader,
            lost=leader,
            members=self.state.members,
            departed=self.state.departed,
            positions={n: log.visible for n, log in self.logs.items()},
            unreachable=frozenset(),
            stalled=False,
            term=max(log.term for log in self.logs.values()),
            synchronous_replicas=1,
        )
        planned = leader is not None and self.random.random() < 0.4
        reason = (
            takeover_trigger.Leaving() if planned else takeover_trigger.Lost()
        )
        plan = takeover_plan.plan("s", reason, situation)
        if plan is not None:
            self.takeover = takeovers.Takeover(plan, self.now)
            self.calls, self.orders = [], []

    def call(self) -> None:
        """Advances a takeover by one call, whose answer may be lost."""
        takeover = self.takeover
        if takeover is None:
            return
        self._queue_calls(takeover.advance(self.now))
        if not self.calls:
            return
        call = self.calls.pop(self.random.randrange(len(self.calls)))
        event = self._perform(call)
        if event is not None and self.takeover is takeover:
            self._queue_calls(takeovers.handle(event, takeover, self.now))

    def apply_promotion(self) -> None:
        """Applies the oldest ordered promotion.

        The promoted database must hold each acknowledged commit.
        """
        if not self.orders:
            return
        name = self.orders.pop(0)
        self.orders.clear()
        newest = max(log.term for log in self.logs.values())
        self.logs[name].promote(newest + 1)
        self.promoted += 1
        held = set(self.logs[name].commits)
        lost = [a.commit for a in self.acknowledged if a.commit not in held]
        assert not lost, f"{name} was promoted but lacks acknowledged {lost}"
        self.takeover = None

    def drop_takeover(self) -> None:
        """Drops a takeover that has not ordered a promotion yet."""
        if self.takeover is None or self.orders or self.random.random() < 0.9:
            return
        self.takeover = None

    def _sight(self, name: str, with_status: bool) -> group_state.ProbeAnswer:
        log = self.logs[name]
        status = None
        if with_status:
            status = reply.ReplicationStatus(
                log.leads, log.term, log.received, log.paused_for
            )
        return group_state.ProbeAnswer(log.leads, log.visible, status)

    def _queue_calls(self, effects: list[takeover_events.Effect]) -> None:
        for effect in effects:
            if isinstance(effect, takeover_events.Finish):
                self.takeover = None
                return
            self.calls.append(effect)

    def _perform(
        self, call: takeover_events.Effect
    ) -> takeover_events.Event | None:
        match call:
            case takeover_events.PauseReplica(name, term):
                log = self.logs[name]
                log.pause(term)
                lost = self.random.random() < 0.2
                status = reply.ReplicationStatus(
                    log.leads, log.term, log.received, log.paused_for
                )
                return takeover_events.ReplicaPaused(
                    name, None if lost else status
                )
            case takeover_events.InspectReplica(name, number):
                log = self.logs[name]
                lost = self.random.random() < 0.2
                status = reply.ReplicationStatus(
                    log.leads, log.term, log.received, log.paused_for
                )
                return takeover_events.ReplicaInspected(
                    name, None if lost else status, number
                )
            case takeover_events.CompareCandidate(leader, candidate):
                return takeover_events.CandidateSeen(
                    self.logs[leader].received, self.logs[candidate].received
                )
            case takeover_events.OrderPromotion(name):
                self.orders.append(name)
                return takeover_events.PromotionEnded(
                    promotion_order.OrderOutcome.ACCEPTED
                )
        return None
