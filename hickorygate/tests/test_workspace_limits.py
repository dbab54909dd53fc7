"""Tests of the rate limits of workspaces, at one proxy and on its path.

They guard against operations beyond a limit, refusals below it, and log lines
that grow with the load.
"""

from __future__ import annotations

import dataclasses
import datetime
import random
import unittest

from hickorygate.callers import caller_session
from hickorygate.callers import workspace_limits
from hickorygate.core import access_policy
from hickorygate.core import errors
from hickorygate.core import events
from hickorygate.core import fleet_view
from hickorygate.core import operation as operations
from hickorygate.core import platform_events
from hickorygate.core import reply as replies
from hickorygate.core import workspace as workspaces
from hickorygate.testing import clock as fake_clock
from hickorygate.testing import line_cluster

_NAMES = tuple(f"p{n}" for n in range(10))
_CANDIDATE = fleet_view.Fleet(dict.fromkeys(_NAMES, 1.0)).candidates("w")[0]


def _seconds(count: float) -> datetime.timedelta:
    return datetime.timedelta(seconds=count)


def _listed(
    rate: float | None, burst: float
) -> dict[str, workspaces.Workspace]:
    return {"w": workspaces.Workspace("w", rate, burst)}


class WorkspaceLimitsTest(unittest.TestCase):
    """One proxy with a fake clock."""

    def setUp(self) -> None:
        self.clock = fake_clock.FakeClock()
        self.listed = _listed(10.0, 6.0)
        self.journal = events.Timeline(
            "p0", events.HybridLogicalClock(self.clock)
        )
        self.limits = self.make_limits("p0", ("p0",))

    def make_limits(
        self, name: str, fleet: tuple[str, ...]
    ) -> workspace_limits.WorkspaceLimits:
        """Returns the limits of a proxy that can use no other proxy."""
        limits = workspace_limits.WorkspaceLimits(
            name,
            lambda: self.listed,
            self.journal,
            random.Random(1),
            self.clock.now(),
        )
        view = fleet_view.FleetView(
            fleet_view.Fleet(dict.fromkeys(fleet, 1.0)),
            unusable=frozenset(fleet) - {name},
        )
        limits.set_view(view, True, self.clock.now())
        return limits

    def admitted(self, count: int = 100) -> int:
        """Offers operations at once; returns how many are admitted."""
        now = self.clock.now()
        offered = [self.limits.admit("w", now) for _ in range(count)]
        return offered.count(None)

    def refusal(self) -> errors.RateLimited:
        """Offers operations until one is refused."""
        while True:
            failure = self.limits.admit("w", self.clock.now())
            if failure is not None:
                return failure

    def recorded(self, kind: type[events.Event]) -> list[events.Event]:
        found = [recorded.event for recorded in self.journal.events]
        return [event for event in found if isinstance(event, kind)]

    def advance(self, seconds: float) -> None:
        """Advances the time; the limits tick as in a process."""
        end = self.clock.now() + _seconds(seconds)
        while self.clock.now() < end:
            self.clock.advance(min(_seconds(0.1), end - self.clock.now()))
            self.limits.tick(self.clock.now())

    def test_nothing_runs_in_the_first_second(self) -> None:
        self.advance(0.9)
        self.assertEqual(self.admitted(), 0)

    def test_rate_and_burst(self) -> None:
        self.advance(10)
        # A burst of 6, 4 of the slack, and 4 of the candidate's reserve.
        self.assertEqual(self.admitted(), 14)
        self.advance(0.5)
        self.assertEqual(self.admitted(), 5)

    def test_any_window_stays_within_the_bound(self) -> None:
        # 7.5 times the rate, in steps of 10 ms.
        rng = random.Random(3)
        times: list[float] = []
        for step in range(3_000):
            self.advance(0.01)
            if rng.random() < 0.75:
                times += [0.01 * step] * self.admitted(1)
        bound = (10.0 * 5 + 6) * 1.1 + 20
        for first, start in enumerate(times):
            inside = [t for t in times[first:] if t <= start + 5]
            self.assertLessEqual(len(inside), bound)
        self.assertGreaterEqual(len(times), 0.98 * 10 * 29)

    def test_a_workspace_below_its_limit_is_not_refused(self) -> None:
        # 62% of the limit on average, at random moments.
        rng = random.Random(5)
        self.advance(10)
        offered = served = 0
        for _ in range(6_000):
            self.advance(0.01)
            if rng.random() < 0.062:
                offered += 1
                served += self.admitted(1)
        self.assertGreaterEqual(served, 0.99 * offered)

    def test_proxy_uses_its_own_share_only(self) -> None:
        self.limits = self.make_limits(_CANDIDATE, _NAMES)
        self.advance(4.9)
        self.assertEqual(self.admitted(), 1)
        self.advance(1)
        # The reserve of a candidate begins one window after the start.
        self.assertEqual(self.admitted(), 5)

    def test_other_proxies_have_no_reserve(self) -> None:
        other = fleet_view.Fleet(dict.fromkeys(_NAMES, 1.0))
        reserved = other.candidates("w")[: fleet_view.RESERVED]
        name = next(n for n in _NAMES if n not in reserved)
        self.limits = self.make_limits(name, _NAMES)
        self.advance(20)
        self.assertEqual(self.admitted(), 1)

    def test_rate_without_a_burst_is_a_limit(self) -> None:
        # Guards against a workspace that is unlimited for want of a burst.
        self.listed = {"w": workspaces.Workspace("w", 10.0)}
        self.advance(10)
        # 4 of the slack, and 4 of the candidate's reserve.
        self.assertEqual(self.admitted(), 8)

    def test_lower_limit_applies_at_once(self) -> None:
        self.advance(10)
        self.assertEqual(self.admitted(1), 1)
        self.listed = _listed(1.0, 1.0)
        # 1 + 4 of the slack, and 4 of the reserve.
        self.assertEqual(self.admitted(), 9)

    def test_new_limit_starts_with_an_empty_bucket(self) -> None:
        self.listed = _listed(None, 6.0)
        self.advance(10)
        self.assertEqual(self.admitted(), 100)
        self.listed = _listed(10.0, 6.0)
        self.assertEqual(self.admitted(), 4)

    def test_removed_workspace_is_forgotten(self) -> None:
        self.advance(10)
        self.admitted()
        self.listed = {}
        self.limits.admit("v", self.clock.now())
        self.assertEqual(self.limits.usage, {})

    def test_workspace_that_returns_gets_no_second_burst(self) -> None:
        # Guards against an empty list that counts as no list before.
        self.advance(10)
        self.assertEqual(self.admitted(), 14)
        former = self.listed
        self.listed = {}
        self.limits.admit("v", self.clock.now())
        self.listed = former
        self.assertEqual(self.admitted(), 4)

    def test_operations_that_waited_do_not_run_all_at_once(self) -> None:
        # A database was silent for 8 s, and 80 admitted operations wait for it.
        self.advance(10)
        for _ in range(80):
            self.limits.admit("w", self.clock.now())
            self.advance(0.1)
        now = self.clock.now()
        deadline = now + _seconds(20)
        waits = [self.limits.time_to_run("w", now, deadline) for _ in range(80)]
        at_once = [wait for wait in waits if wait is not None and not wait]
        soon = [wait for wait in waits if wait and wait < _seconds(5)]
        self.assertNotIn(None, waits)
        bound = (10.0 * 5 + 6) * 1.1 + 20
        self.assertLessEqual(len(at_once) + len(soon), bound)
        self.assertLessEqual(len(at_once), 0.1 * 56 + 6 + 8)

    def test_operation_that_would_run_too_late_is_refused(self) -> None:
        self.advance(10)
        now = self.clock.now()
        deadline = now + _seconds(0.5)
        waits = [self.limits.time_to_run("w", now, deadline) for _ in range(40)]
        self.assertIsNone(waits[-1])

    def test_unknown_workspace_has_no_limit(self) -> None:
        for _ in range(100):
            self.assertIsNone(self.limits.admit("v", self.clock.now()))

    def test_retry_delay_covers_the_time_to_the_next_token(self) -> None:
        self.advance(10)
        failure = self.refusal()
        self.assertGreaterEqual(failure.retry_after, _seconds(0.1))
        self.assertLessEqual(failure.retry_after, _seconds(0.15))
        self.assertRegex(failure.message, r"retry after 1\d\d ms$")
        self.assertIs(failure.outcome, errors.Outcome.NOT_RUN)

    def test_one_event_for_each_change(self) -> None:
        self.advance(10)
        self.admitted()
        self.admitted()
        began = self.recorded(platform_events.WorkspaceLimited)
        self.assertEqual(began, [platform_events.WorkspaceLimited("w", 1.0)])
        self.advance(5)
        self.limits.tick(self.clock.now())
        self.limits.tick(self.clock.now())
        ended = self.recorded(platform_events.WorkspaceUnlimited)
        self.assertEqual(ended, [platform_events.WorkspaceUnlimited("w", 186)])

    def test_events_are_bounded(self) -> None:
        names = [f"w{n}" for n in range(500)]
        self.listed = {
            name: workspaces.Workspace(name, 0.0, 0.0) for name in names
        }
        for name in names:
            for _ in range(10):
                self.limits.admit(name, self.clock.now())
        began = self.recorded(platform_events.WorkspaceLimited)
        self.assertEqual(len(began), 20)

    def test_metrics_name_the_largest_workspaces_only(self) -> None:
        names = [f"w{n:03}" for n in range(100)] + [workspace_limits.OTHER]
        self.listed = {
            name: workspaces.Workspace(name, 0.0, 0.0) for name in names
        }
        for size, name in enumerate(names, start=1):
            for _ in range(size):
                self.limits.admit(name, self.clock.now())
        usage = self.limits.largest_usage()
        self.assertEqual([*usage], [*names[80:100], workspace_limits.OTHER])
        refused = sum(used.refused for used in usage.values())
        self.assertEqual(refused, 101 * 102 / 2)


class LimitedPathTest(unittest.IsolatedAsyncioTestCase):
    """A session at a proxy whose workspace is over its limit."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        self.cluster = await self.enterAsyncContext(line_cluster.LineCluster())
        await self.cluster.connect(line_cluster.PRIMARY_DB)
        caller = next(iter(self.cluster.proxies[0].server.callers))
        assert caller.session is not None
        env = caller.session.env
        listed = _listed(0.0, 0.0)
        credential = workspaces.Credential.of("key")
        self.cluster.proxies[0].fleet.apply(
            dataclasses.replace(
                line_cluster.make_catalog(2),
                workspaces=listed,
                access=access_policy.KeyedAccess(
                    workspaces.KeyRing({credential: listed["w"]})
                ),
            )
        )
        self.limits = workspace_limits.WorkspaceLimits(
            "proxy-0",
            lambda: listed,
            env.journal,
            random.Random(1),
            env.clock.now(),
        )
        self.session = caller_session.CallerSession(
            line_cluster.PRIMARY_DB,
            dataclasses.replace(env, limits=self.limits),
            "w",
            credential,
        )

    async def perform(self, operation: operations.Operation) -> replies.Reply:
        return await self.session.perform("q1", operation)

    async def test_refused_statement_is_not_sent(self) -> None:
        reply = await self.perform(operations.Write("WRITE x 1"))
        self.assertIsInstance(reply.result.error, errors.RateLimited)
        self.assertEqual(self.limits.usage["w"].refused, 1)
        self.assertEqual(self.cluster.group.acknowledged, [])

    async def test_transaction_is_refused_at_its_first_statement(self) -> None:
        begun = await self.perform(operations.Begin(False))
        self.assertTrue(begun.result.is_ok())
        reply = await self.perform(operations.Write("WRITE x 1"))
        self.assertIsInstance(reply.result.error, errors.RateLimited)
        self.assertEqual(reply.state, replies.TransactionState.FAILED)
        ended = await self.perform(operations.Rollback())
        self.assertEqual(ended.state, replies.TransactionState.IDLE)
        self.assertEqual(self.limits.usage["w"].refused, 1)

    async def test_local_answers_take_no_token(self) -> None:
        reply = await self.perform(operations.SetValue("a", "b"))
        self.assertTrue(reply.result.is_ok())
        self.assertEqual(self.limits.usage, {})
