"""Tests of the fair order of workspaces, alone and under a simulated load.

They guard against a workspace that delays others by sending more than usual,
and against a changed order where there are no workspaces.
"""

from __future__ import annotations

import collections
import dataclasses
import datetime
import heapq
import random
import statistics
import unittest

from hickorygate.core import admission
from hickorygate.core import errors
from hickorygate.core import fair_order
from hickorygate.core import lane
from hickorygate.core import rank as ranks
from hickorygate.core import request_context

_START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
_COST = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Item:
    workspace: str
    deadline: int

    @property
    def order(self) -> tuple[int, ...]:
        return (self.deadline,)


def _drain(order: fair_order.FairOrder[_Item]) -> str:
    """Removes all requests; returns their workspaces in order."""
    return "".join(order.pop_first(_COST).workspace for _ in range(len(order)))


class FairOrderTest(unittest.TestCase):
    """The order of a few requests."""

    def setUp(self) -> None:
        self.order: fair_order.FairOrder[_Item] = fair_order.FairOrder()

    def add(self, workspaces: str) -> None:
        for deadline, workspace in enumerate(workspaces):
            self.order.add(_Item(workspace, deadline))

    def test_workspaces_take_turns(self) -> None:
        self.add("aaaabb")
        self.assertEqual(_drain(self.order), "ababaa")

    def test_one_workspace_is_ordered_by_deadline(self) -> None:
        deadlines = random.Random(1).sample(range(100), 100)
        for deadline in deadlines:
            self.order.add(_Item("", deadline))
        got = [self.order.pop_first(_COST).deadline for _ in deadlines]
        self.assertEqual(got, sorted(deadlines))

    def test_new_workspace_goes_before_one_that_used_more(self) -> None:
        self.add("aaaaaa")
        for _ in range(3):
            self.order.pop_first(_COST)
        self.order.add(_Item("b", 99))
        self.assertEqual(_drain(self.order), "baaa")

    def test_quiet_time_saves_up_no_service(self) -> None:
        self.add("b")
        _drain(self.order)
        self.add("aaaa")
        _drain(self.order)
        self.add("aaabbb")
        self.assertIn(_drain(self.order), ("ababab", "bababa"))

    def test_longer_requests_are_charged(self) -> None:
        self.add("aaab")
        self.assertEqual(self.order.pop_first(_COST).workspace, "a")
        self.order.charge("a", 5 * _COST)
        self.order.add(_Item("b", 8))
        self.order.add(_Item("b", 9))
        self.assertEqual(_drain(self.order), "bbbaa")

    def test_position_is_the_one_that_a_request_gets(self) -> None:
        rng = random.Random(2)
        for _ in range(50):
            self.order = fair_order.FairOrder()
            items = [
                _Item(rng.choice("aaabc"), deadline) for deadline in range(20)
            ]
            for item in items:
                self.order.add(item)
            for _ in range(rng.randrange(6)):
                items.remove(self.order.pop_first(_COST))
            ahead = {item: self.order.ahead(item, _COST) for item in items}
            for position in range(len(items)):
                item = self.order.pop_first(_COST)
                # Requests with equal virtual times may go in either order.
                self.assertAlmostEqual(ahead[item], position, delta=2)

    def test_idle_workspaces_are_forgotten(self) -> None:
        for number in range(10_000):
            self.order.add(_Item(f"w{number}", number))
            self.order.pop_first(_COST)
        self.assertIn("flows", repr(self.order))
        self.assertLess(len(self.order._flows), 100)


def _rank(name: str, order: int, milliseconds: int, floor: float) -> ranks.Rank:
    target = datetime.timedelta(milliseconds=milliseconds)
    return ranks.Rank(name, order, target, floor)


_URGENT = _rank("urgent", 0, 250, 0.5)
_NORMAL = _rank("normal", 1, 1_000, 0.2)
_SLOTS = 5
_SECONDS = 8.0
_SERVICE = 0.008
_LOUD_SECONDS = (2.0, 6.0)
_USUAL_RATE = 42.0
"""Operations per second of each of 10 workspaces, 74% of the capacity."""

_TARGET = 0.203
"""Target latency of deployment A's strong statements, in seconds."""

_LOUD_FACTOR = 7.5
_LOUD = "w0"


@dataclasses.dataclass(frozen=True, slots=True)
class _Arrival:
    """A request of the trace; times are in seconds."""

    at: float
    workspace: str
    rank: ranks.Rank
    service: float


def _trace(seed: int) -> list[_Arrival]:
    """Returns the arrivals of 10 workspaces, of which one is loud."""
    rng = random.Random(seed)
    found = []
    for number in range(10):
        workspace, at = f"w{number}", 0.0
        while at < _SECONDS:
            loud = workspace == _LOUD
            if loud and _LOUD_SECONDS[0] <= at < _LOUD_SECONDS[1]:
                rate = _USUAL_RATE * _LOUD_FACTOR
            else:
                rate = _USUAL_RATE
            at += rng.expovariate(rate)
            rank = _URGENT if rng.random() < 0.3 else _NORMAL
            long = 6 if rng.random() < 0.02 else 1
            service = _SERVICE * long * rng.uniform(0.5, 1.5)
            found.append(_Arrival(at, workspace, rank, service))
    return sorted(found, key=lambda arrival: arrival.at)


@dataclasses.dataclass(slots=True)
class _Result:
    """Waiting times in seconds and counts by workspace and rank."""

    waits: dict[tuple[str, str], list[float]]
    offered: collections.Counter[tuple[str, str]]
    refused: collections.Counter[tuple[str, str]]

    def p99(self, rank: ranks.Rank, loud: bool) -> float:
        found = [
            wait
            for (workspace, name), waits in self.waits.items()
            if name == rank.name and (workspace == _LOUD) == loud
            for wait in waits
        ]
        return statistics.quantiles(found, n=100)[-1]

    def refused_share(self, loud: bool) -> float:
        keys = [key for key in self.offered if (key[0] == _LOUD) == loud]
        refused = sum(self.refused[key] for key in keys)
        return refused / sum(self.offered[key] for key in keys)


def _run(trace: list[_Arrival], fair: bool) -> _Result:
    """Runs a trace; without `fair` all requests have the same workspace."""
    settings = admission.QueueSettings(slots=_SLOTS, capacity=float(_SLOTS))
    queue = admission.RankQueue(settings)
    result = _Result(
        collections.defaultdict(list),
        collections.Counter(),
        collections.Counter(),
    )
    waiting: dict[int, _Arrival] = {}
    running: list[tuple[float, int, lane.AdmittedRequest, float]] = []

    def key(arrival: _Arrival) -> tuple[str, str]:
        return arrival.workspace, arrival.rank.name

    def grant(at: float) -> None:
        now = _START + datetime.timedelta(seconds=at)
        for late in (*queue.remove_late(now), *queue.remove_displaced(now)):
            result.refused[key(waiting.pop(late.number))] += 1
        while queue.running < _SLOTS:
            waiter = queue.dequeue(now)
            if waiter is None:
                return
            arrival = waiting.pop(waiter.number)
            result.waits[key(arrival)].append(at - arrival.at)
            end = at + arrival.service
            heapq.heappush(
                running, (end, waiter.number, waiter, arrival.service)
            )

    def end_until(at: float) -> None:
        while running and running[0][0] <= at:
            end, _, waiter, service = heapq.heappop(running)
            now = _START + datetime.timedelta(seconds=end)
            queue.finish(waiter, datetime.timedelta(seconds=service), now)
            grant(end)

    for arrival in trace:
        end_until(arrival.at)
        now = _START + datetime.timedelta(seconds=arrival.at)
        request = request_context.RequestContext(
            arrival.rank,
            now,
            now + datetime.timedelta(seconds=1),
            workspace=arrival.workspace if fair else "",
        )
        result.offered[key(arrival)] += 1
        offered = queue.offer(request, now, queue.running < _SLOTS)
        if offered.is_error():
            result.refused[key(arrival)] += 1
        else:
            waiting[offered.ok.number] = arrival
        grant(arrival.at)
    end_until(_SECONDS + 5)
    return result


class LoudWorkspaceTest(unittest.TestCase):
    """One workspace sends 7.5 times its usual rate for 4 s."""

    @classmethod
    def setUpClass(cls) -> None:
        trace = _trace(7)
        cls.fair = _run(trace, fair=True)
        cls.unfair = _run(trace, fair=False)

    def test_quiet_workspaces_are_not_refused(self) -> None:
        self.assertGreater(self.unfair.refused_share(loud=False), 0.005)
        self.assertLess(self.fair.refused_share(loud=False), 0.001)

    def test_quiet_workspaces_hardly_wait(self) -> None:
        for rank in (_URGENT, _NORMAL):
            with self.subTest(rank.name):
                wait = self.fair.p99(rank, loud=False)
                self.assertLess(wait, _TARGET)
        before = self.unfair.p99(_NORMAL, loud=False)
        self.assertGreater(before, 3 * self.fair.p99(_NORMAL, loud=False))

    def test_loud_workspace_uses_the_idle_capacity(self) -> None:
        served = sum(
            len(waits)
            for (workspace, _), waits in self.fair.waits.items()
            if workspace == _LOUD
        )
        usual = _USUAL_RATE * _SECONDS
        idle = _SLOTS / _SERVICE * 0.8 - 10 * _USUAL_RATE
        self.assertGreater(served, usual + idle * 2)

    def test_nobody_starves(self) -> None:
        for key, offered in self.fair.offered.items():
            with self.subTest(key):
                self.assertGreater(len(self.fair.waits[key]), 0.2 * offered)

    def test_urgent_requests_of_all_go_first(self) -> None:
        urgent = self.fair.p99(_URGENT, loud=True)
        normal = self.fair.p99(_NORMAL, loud=True)
        self.assertLess(urgent, normal)

    def test_full_lane_admits_other_workspaces(self) -> None:
        queue = admission.RankQueue(admission.QueueSettings(max_waiting=3))
        deadline = _START + datetime.timedelta(seconds=10)

        def offer(workspace: str) -> bool:
            request = request_context.RequestContext(
                _NORMAL, _START, deadline, workspace=workspace
            )
            return queue.offer(request, _START, False).is_ok()

        self.assertEqual([offer("a") for _ in range(4)], [True] * 3 + [False])
        self.assertTrue(offer("b"))
        removed = queue.remove_displaced(_START)
        self.assertEqual([w.workspace for w in removed], ["a"])
        self.assertEqual(queue.size, 3)

    def test_refusals_are_overload_and_not_a_rate_limit(self) -> None:
        queue = admission.RankQueue(admission.QueueSettings(max_waiting=0))
        request = request_context.RequestContext(
            _NORMAL, _START, _START + _NORMAL.target, workspace="a"
        )
        refused = queue.offer(request, _START, False)
        self.assertIsInstance(refused.error, errors.Overloaded)
