"""Tests of the rules on which the report of a commit rests (issue 46).

A commit may be reported only if no takeover can promote a database without it:
one that is under way, one that has ended unnoticed, or one whose proxy knows
other databases than this one.
"""

from __future__ import annotations

import asyncio
import datetime
import random
import types
import unittest

from hickorygate.core import errors
from hickorygate.core import operation as operations
from hickorygate.core import position as positions
from hickorygate.core import reply
from hickorygate.testing import clock as clocks
from hickorygate.testing import model_fleet
from hickorygate.testing import virtual_time
from hickorygate.upstreams import commit_check
from hickorygate.upstreams import commit_guard
from hickorygate.upstreams import group_state
from hickorygate.upstreams import member as members
from hickorygate.upstreams import takeover_plan
from hickorygate.upstreams import takeover_trigger

_LEADER = group_state.Leader("a", 1)
_COMMIT = positions.Position(1, 9)
_OLDER = positions.Position(1, 7)
_START = 100.0
_QUERY_TIME = datetime.timedelta(milliseconds=20)


def _seconds(seconds: float) -> datetime.timedelta:
    return datetime.timedelta(seconds=seconds)


def _member(name: str, born: int = 1) -> members.Member:
    return members.Member(name, born, "s", "h", 1, "a", 2, False, False)


def _listed(names: str) -> tuple[members.Member, ...]:
    return tuple(_member(name) for name in names)


class _Replica:
    """A replica as the proxy sees it.

    Attributes:
      received: end of its log.
      running_since: since when its process runs, as far as is known.
      answers: number of queries that it still answers; None for all.
      suspension: time for which the proxy is suspended before it reads an
        answer.
    """

    def __init__(
        self,
        received: positions.Position = _COMMIT,
        running_since: float = 0,
        answers: int | None = None,
        suspension: datetime.timedelta = _QUERY_TIME,
    ) -> None:
        self.received = received
        self.running_since = running_since
        self.answers = answers
        self.suspension = suspension

    def answer(self, asked: datetime.datetime) -> commit_guard.Replica | None:
        """Returns the answer to a query; None if there is none."""
        if self.answers is not None:
            if not self.answers:
                return None
            self.answers -= 1
        return commit_guard.Replica(
            reply.ReplicationStatus(False, 1, self.received, 0),
            asked,
            clocks.at(self.running_since),
        )


class _Group:
    """The databases a (the primary of term 1) and its replicas."""

    def __init__(
        self, clock: clocks.FakeClock, **replicas: _Replica | None
    ) -> None:
        self.state = group_state.GroupState(1)
        self.state.set_members(_listed("a" + "".join(replicas)))
        self.leader = _LEADER
        self.prober = self
        self._clock = clock
        self._replicas = replicas

    async def ask_running(
        self, name: str, long_enough: datetime.datetime
    ) -> commit_guard.Replica | None:
        """Answers as `GroupProber.ask_running` does."""
        replica = self._replicas[name]
        if replica is None:
            self._clock.advance(_QUERY_TIME)
            return None
        found = replica.answer(self._clock.now())
        self._clock.advance(replica.suspension)
        return found


class CommitCheckTest(unittest.IsolatedAsyncioTestCase):
    """A proxy that knows the primary a of term 1 and its replicas."""

    def setUp(self) -> None:
        self.clock = clocks.FakeClock()
        self.clock.advance(_seconds(_START))

    def check(self, **replicas: _Replica | None) -> commit_check.CommitCheck:
        self.group = _Group(self.clock, **replicas)
        check = commit_check.CommitCheck(self.group, 1, self.clock)
        self.addAsyncCleanup(check.close)
        return check

    async def reported(
        self,
        check: commit_check.CommitCheck,
        position: positions.Position | None = _COMMIT,
        limit: float = 4,
    ) -> bool:
        deadline = self.clock.now() + _seconds(limit)
        return await check.confirm(_LEADER, position, deadline)

    def note_round(
        self, check: commit_check.CommitCheck, sent: float, answering: str
    ) -> None:
        """Notes a round in which some replicas answer, none of them paused."""
        status = reply.ReplicationStatus(False, 1, _OLDER, 0)
        finding = group_state.RoundResult(
            _LEADER,
            confirmed=True,
            floor=None,
            has_statuses=True,
            statuses=dict.fromkeys(answering, status),
            silent=self.group.state.members.keys() - set(answering) - {"a"},
            followers=frozenset(answering),
        )
        check.note_round(finding, clocks.at(sent))

    async def test_an_old_answer_proves_no_longer_run_later(self) -> None:
        # Guards against a loss: b's process had run for 8 s when it answered.
        # A takeover paused it 8.5 s before the answer, b restarted, and c is
        # promoted without the commit. b answers no more, and time passes.
        check = self.check(
            b=_Replica(running_since=_START - 8, answers=1), c=None
        )
        self.assertFalse(await self.reported(check))

    async def test_an_answer_read_after_a_suspension_proves_no_longer_run(
        self,
    ) -> None:
        # Guards against a loss: as above, with b's process 2 s old. The proxy
        # is suspended before it reads the answer.
        check = self.check(
            b=_Replica(
                running_since=_START - 2, answers=1, suspension=_seconds(9)
            ),
            c=None,
        )
        self.assertFalse(await self.reported(check, limit=30))

    async def test_a_restarted_replica_is_no_proof_after_an_unseen_takeover(
        self,
    ) -> None:
        # Guards against a loss: 11 s ago a takeover paused b and c, b restarted
        # and follows a again, and c leads term 2. This proxy, a and b don't
        # reach c, so they don't know.
        check = self.check(b=_Replica(running_since=_START - 10.8), c=None)
        self.note_round(check, _START - 11.2, "bc")
        for ago in range(10, 0, -1):
            self.note_round(check, _START - ago, "b")
        self.assertFalse(await self.reported(check))

    async def test_other_proxies_may_not_know_what_the_first_list_names(
        self,
    ) -> None:
        # Guards against a loss: d was listed a moment before this proxy started
        # (or opened the group). A takeover that doesn't know d pauses b, which
        # lacks the commit, after b's answer, and promotes it.
        check = self.check(
            b=_Replica(_OLDER, _START), d=_Replica(running_since=_START)
        )
        now = dict.fromkeys("abd", self.clock.now())
        check.note_members((), _listed("abd"), now)
        self.assertFalse(await self.reported(check, limit=0.5))

    async def test_an_unknown_position_is_not_taken_from_an_older_answer(
        self,
    ) -> None:
        # Guards against a loss: the reply tells no position, and the known one
        # of the primary is older than the commit.
        check = self.check(b=_Replica(_OLDER, 0))
        self.group.state.record_position("a", _OLDER)
        self.assertFalse(await self.reported(check, position=None))

    async def test_a_commit_is_reported_once_the_only_replica_is_known(
        self,
    ) -> None:
        # Guards against a needless doubt: b restarted, was listed and holds the
        # commit. All proxies know of b long before the deadline.
        check = self.check(b=_Replica(running_since=_START))
        before = (_member("a"), _member("b"))
        now = dict.fromkeys("ab", self.clock.now())
        check.note_members(before, (_member("a"), _member("b", born=2)), now)
        self.clock.advance(_seconds(0.2))
        self.assertTrue(await self.reported(check))


class DifferentListsTest(unittest.TestCase):
    """Two proxies of which only one knows that b still runs."""

    def setUp(self) -> None:
        self.state = group_state.GroupState(1)
        self.state.set_members(_listed("abc"))

    def run_round(self) -> None:
        """Lets a answer as the primary and c as a replica with all its log."""
        probe_round = self.state.open_round(clocks.at(_START), True)
        statuses = {
            "a": reply.ReplicationStatus(True, 1, _OLDER, 0),
            "c": reply.ReplicationStatus(False, 1, _OLDER, 0),
        }
        for name, status in statuses.items():
            probe_round.answers[name] = group_state.ProbeAnswer(
                status.is_primary, _OLDER, status
            )
        self.state.evaluate(probe_round)

    def plan(self) -> takeover_plan.Plan:
        """Returns the plan after the loss of a."""
        situation = takeover_trigger.GroupSnapshot(
            leader=None,
            lost=_LEADER,
            members=self.state.members,
            departed=self.state.departed,
            positions={},
            unreachable=frozenset(),
            stalled=False,
            progressing=False,
            patience=datetime.timedelta(),
            term=1,
            synchronous_replicas=1,
        )
        plan = takeover_plan.plan("s", takeover_trigger.Lost(), situation)
        assert plan is not None, "there is a candidate"
        return plan

    def is_reported(self) -> bool:
        """Returns whether a proxy that still lists b reports a commit of it."""
        guard = commit_guard.CommitGuard(1)
        status = reply.ReplicationStatus(False, 1, _COMMIT, 0)
        replicas = types.MappingProxyType(
            {"b": commit_guard.Replica(status, clocks.at(_START), clocks.at(0))}
        )
        now = clocks.at(_START)
        view = commit_guard.View(now, 1, replicas, silent=True)
        return guard.is_safe(_COMMIT, view, now)

    def test_a_takeover_asks_a_replica_whose_entry_lapsed_while_it_serves(
        self,
    ) -> None:
        # Guards against a loss: b and a proxy are cut off from the store. b's
        # entry lapses, b receives on, and that proxy still counts b. The other
        # proxy has forgotten b and promotes c without it.
        self.state.set_members(_listed("ac"))
        self.run_round()
        self.run_round()
        asked = {"c"}
        promotes = self.plan().suffices(asked)
        self.assertFalse(promotes and self.is_reported())


class NewProxiesTest(virtual_time.VirtualTimeTestCase):
    """Proxies that have just started while one replica doesn't answer."""

    _PROXIES = 6
    _MOST_IN_DOUBT = 2 * _PROXIES
    _WRITES_EACH = 20
    _INTERVAL = _seconds(0.4)

    async def _write(
        self, proxy: model_fleet.ModelProxy
    ) -> list[model_fleet.CallOutcome]:
        outcomes = []
        for _ in range(self._WRITES_EACH):
            await asyncio.sleep(self._INTERVAL.total_seconds())
            write = operations.Write("WRITE 1 x")
            outcomes.append(await proxy.call("own", write))
        return outcomes

    async def test_a_write_that_can_not_be_proved_is_refused_before_it_is_sent(
        self,
    ) -> None:
        # Guards against needless doubt: until a replica is known to run for
        # long enough, no write can be reported, and the proxy knows that.
        fleet = model_fleet.ModelFleet(self._PROXIES)
        self.addAsyncCleanup(fleet.close)
        fleet.group.databases["c"].silence()
        await fleet.start(random.Random(1), _seconds(0.3))
        found = await asyncio.gather(*map(self._write, fleet.proxies))
        doubtful = [
            outcome
            for outcomes in found
            for outcome in outcomes
            if isinstance(outcome.failure, errors.AnswerLost)
        ]
        self.assertLessEqual(len(doubtful), self._MOST_IN_DOUBT)
