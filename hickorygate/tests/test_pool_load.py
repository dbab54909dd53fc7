"""Tests of the counters of the pool load benchmark."""

from __future__ import annotations

import asyncio
import datetime
import unittest

from hickorygate.core import admission
from hickorygate.core import rank as ranks
from hickorygate.operators import main
from hickorygate.testing import pool_load
from hickorygate.testing import virtual_time

_RANK = ranks.Rank("urgent", 0, datetime.timedelta(milliseconds=250), 0.5)
_STREAM = pool_load.Stream(_RANK, datetime.timedelta(milliseconds=20), 4.0)
_SETUP = pool_load.Setup(duration=datetime.timedelta(seconds=1))


async def _run(policy: admission.SchedulingPolicy) -> pool_load.Report:
    scenario = pool_load.Scenario("test", (_STREAM,))
    clock = virtual_time.LoopClock(asyncio.get_running_loop())
    return await pool_load.run(policy, scenario, _SETUP, clock)


class PoolLoadTest(unittest.TestCase):
    """Every request is counted once, and the limits take effect."""

    def run_and_check(
        self, policy: admission.SchedulingPolicy
    ) -> pool_load.Report:
        report = virtual_time.run(_run(policy))
        (rank,) = report.ranks
        counted = rank.answered + rank.refused + rank.unsettled
        self.assertEqual(counted, rank.offered)
        self.assertGreater(rank.answered, 0)
        return report

    def test_floors_refuse_what_the_slots_cannot_run(self) -> None:
        report = self.run_and_check(admission.Floors())
        self.assertEqual(report.most_running, _SETUP.slots)
        self.assertLessEqual(report.most_connections, 10)
        self.assertGreater(report.ranks[0].refused, 0)

    def test_plain_pool_overloads_the_database(self) -> None:
        report = self.run_and_check(pool_load.Plain())
        self.assertGreater(report.most_running, _SETUP.slots)

    def test_unknown_policy_is_a_usage_error(self) -> None:
        parsed = main.parse(["bench", "--policy", "lottery"])
        self.assertIn("lottery", parsed.error.message)
