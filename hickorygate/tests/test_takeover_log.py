"""Tests that the log of a takeover says whom it asked and what it learned.

The pattern: an acknowledged commit is missing after a takeover. Whoever is on
call finds in the lines of the process that took over which database answered
what, and when, and which one was silent.
"""

from __future__ import annotations

import asyncio
import datetime
import random
import unittest

from hickorygate.core import events
from hickorygate.core import platform_events
from hickorygate.core import position
from hickorygate.core import reply
from hickorygate.core import takeover_steps
from hickorygate.testing import clock as clocks
from hickorygate.testing import model_fleet
from hickorygate.testing import virtual_time
from hickorygate.upstreams import takeover as takeovers
from hickorygate.upstreams import takeover_log
from hickorygate.upstreams import takeover_plan
from hickorygate.upstreams import takeover_trigger

_MOST_LINES = 16
_SPREAD = datetime.timedelta(milliseconds=200)
_RECOVERY_SECONDS = 6.0
_MILLISECOND = datetime.timedelta(milliseconds=1)
_PAUSED = reply.ReplicationStatus(False, 1, position.Position(1, 7), 2)
_LINES_OF_TAKEOVERS = (
    takeover_steps.CandidateCompared,
    takeover_steps.PauseLost,
    platform_events.PromotionOrdered,
    takeover_steps.PromotionSent,
    takeover_steps.ReplicaAnswered,
    takeover_steps.ReplicaSilent,
    takeover_steps.TakeoverEnded,
    takeover_steps.TakeoverStarted,
)


def _lines(fleet: model_fleet.ModelFleet) -> list[events.Event]:
    """Returns the lines about takeovers, in the order of the timeline."""
    recorded = [
        entry for proxy in fleet.proxies for entry in proxy.journal.events
    ]
    recorded.sort(key=lambda entry: entry.stamp)
    return [
        entry.event
        for entry in recorded
        if isinstance(entry.event, _LINES_OF_TAKEOVERS)
    ]


class TakeoverLinesTest(virtual_time.VirtualTimeTestCase):
    """The lines about takeovers of a fleet of two."""

    async def start(self) -> model_fleet.ModelFleet:
        fleet = model_fleet.ModelFleet(2)
        self.addAsyncCleanup(fleet.close)
        await fleet.start(random.Random(1), _SPREAD)
        await asyncio.sleep(1)
        return fleet

    async def test_a_takeover_records_whom_it_asked_and_ordered(self) -> None:
        fleet = await self.start()
        fleet.group.databases["a"].silence()
        await asyncio.sleep(_RECOVERY_SECONDS)
        lines = _lines(fleet)
        started = lines[0]
        self.assertIsInstance(started, takeover_steps.TakeoverStarted)
        self.assertEqual(
            (started.listed, started.asked, started.max_silent),
            (("a", "b", "c"), ("b", "c"), 1),
        )
        answers = {
            (line.stage, line.member)
            for line in lines
            if isinstance(line, takeover_steps.ReplicaAnswered)
        }
        for stage in ("inspecting", "pausing", "verifying"):
            self.assertIn((stage, "b"), answers)
            self.assertIn((stage, "c"), answers)
        names = [type(line).__name__ for line in lines]
        sent = names.index("PromotionSent")
        ordered = names.index("PromotionOrdered")
        self.assertLess(sent, ordered)
        self.assertEqual(lines[ordered].outcome, "accepted")
        self.assertEqual(lines[sent].member, fleet.group.leader)
        self.assertEqual({line.number for line in lines}, {started.number})
        self.assertLessEqual(len(lines), _MOST_LINES)

    async def test_a_silent_replica_is_recorded_twice_not_each_time(
        self,
    ) -> None:
        fleet = await self.start()
        fleet.group.databases["a"].silence()
        fleet.group.databases["b"].silence()
        await asyncio.sleep(_RECOVERY_SECONDS)
        lines = _lines(fleet)
        ended = [
            line
            for line in lines
            if isinstance(line, takeover_steps.TakeoverEnded)
        ]
        self.assertEqual(
            {line.outcome for line in ended},
            {"aborted: too few replicas answer"},
        )
        silent = [
            line
            for line in lines
            if isinstance(line, takeover_steps.ReplicaSilent)
        ]
        self.assertEqual({line.member for line in silent}, {"b"})
        for line in ended:
            number = line.number
            count = sum(other.number == number for other in silent)
            self.assertIn(count, (1, 2))

    async def test_the_takeover_of_a_serving_primary_compares_logs(
        self,
    ) -> None:
        fleet = await self.start()
        fleet.group.databases["a"].leaving = True
        fleet.reload_members()
        await asyncio.sleep(_RECOVERY_SECONDS)
        lines = _lines(fleet)
        compared = [
            line
            for line in lines
            if isinstance(line, takeover_steps.CandidateCompared)
        ]
        self.assertEqual(compared[-1].leader, "a")
        self.assertEqual(compared[-1].candidate, fleet.group.leader)
        self.assertGreaterEqual(compared[-1].received, compared[-1].position)


class TakeoverLogTest(unittest.TestCase):
    """Which answers are recorded."""

    def setUp(self) -> None:
        self.clock = clocks.FakeClock()
        self.journal = events.Timeline(
            "p", events.HybridLogicalClock(self.clock)
        )
        self.log = takeover_log.TakeoverLog("s", self.clock, self.journal)
        self.start(number=3)

    def start(self, number: int) -> None:
        situation = takeover_trigger.GroupSnapshot(
            leader=None,
            lost=None,
            members={},
            departed=frozenset({"a@1"}),
            positions={},
            unreachable=frozenset(),
            stalled=False,
            progressing=False,
            patience=datetime.timedelta(),
            term=1,
            synchronous_replicas=1,
        )
        plan = takeover_plan.Plan(
            service="s",
            term=2,
            reason="the primary is unreachable",
            leader=None,
            candidate=None,
            pause=frozenset({"b", "c"}),
            max_silent=1,
            unreachable_count=1,
            leaving=frozenset(),
        )
        self.log.record_start(plan, situation, number, None)

    def lines(self) -> list[events.Event]:
        return [entry.event for entry in self.journal.events[1:]]

    def ask(
        self, status: reply.ReplicationStatus | None, stage: takeovers.Stage
    ) -> None:
        query = self.log.open_query("b", stage)
        self.clock.advance(_MILLISECOND)
        self.log.record_result(query, status)

    def test_an_answer_is_recorded_again_only_if_it_differs(self) -> None:
        for _ in range(3):
            self.ask(_PAUSED, takeovers.Stage.VERIFYING)
        self.ask(_PAUSED, takeovers.Stage.AWAITING)
        self.assertEqual(
            [line.stage for line in self.lines()], ["verifying", "awaiting"]
        )

    def test_a_late_answer_belongs_to_the_takeover_that_asked(self) -> None:
        query = self.log.open_query("b", takeovers.Stage.PAUSING)
        self.log.record_end("timed out")
        self.clock.advance(1_500 * _MILLISECOND)
        self.start(number=4)
        self.log.record_result(query, _PAUSED)
        line = self.lines()[-1]
        self.assertEqual((line.number, line.took), (3, 1_500 * _MILLISECOND))

    def test_a_query_without_an_answer_is_recorded_at_the_end(self) -> None:
        self.log.open_query("b", takeovers.Stage.PAUSING)
        self.clock.advance(1_500 * _MILLISECOND)
        self.log.record_end("timed out")
        silent, ended = self.lines()
        self.assertEqual((silent.member, silent.tries), ("b", 1))
        self.assertEqual((ended.number, ended.outcome), (3, "timed out"))

    def test_a_lasting_silence_is_recorded_first_and_last(self) -> None:
        for _ in range(9):
            self.ask(None, takeovers.Stage.PAUSING)
            self.clock.advance(150 * _MILLISECOND)
        self.log.record_end("timed out")
        first, last, _ = self.lines()
        self.assertEqual((first.tries, last.tries), (1, 9))

    def test_an_answer_ends_a_silence(self) -> None:
        self.ask(None, takeovers.Stage.PAUSING)
        self.ask(_PAUSED, takeovers.Stage.PAUSING)
        self.log.record_end("b is the primary")
        names = [type(line).__name__ for line in self.lines()]
        self.assertEqual(
            names, ["ReplicaSilent", "ReplicaAnswered", "TakeoverEnded"]
        )
