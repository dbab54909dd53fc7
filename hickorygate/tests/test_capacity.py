"""Tests what is learned about databases, each test under one load.

A limit that doesn't follow leaves callers waiting at a slow database; one that
falls without a cause takes capacity from callers on plain days.
"""

from __future__ import annotations

from collections.abc import Callable
import datetime
import heapq
import random
import statistics
import unittest

from hickorygate.core import capacity
from hickorygate.core import latency_baseline
from hickorygate.core import loop_delay
from hickorygate.testing import clock as clocks

_SLOTS = 5
_PROXIES = 2
_INITIAL = 5
_UNCHANGED = 4
"""A fall of a quarter or less isn't reported as a change."""

_TICK_SECONDS = 0.1
_WORK = {"0": 0.008, "1": 0.024, "2": 0.040}
"""Usual seconds of a statement, by rank: five-fold between kinds."""

_SERVED = capacity.StatementOutcome.SERVED
_FAILED = capacity.StatementOutcome.FAILED
_BUSY = capacity.StatementOutcome.BUSY


class _Load:
    """Statements at three databases, each at its own rate, on a fake time.

    Attributes:
      estimates: estimates by database.
      factor: returns the ratio of a database's response times to the usual.
      outcome: returns how a statement at a database ends.
      lowest: lowest limit that was seen, by database.
      now: seconds since the start.
    """

    def __init__(self, rate: float, seed: int = 1) -> None:
        settings = capacity.CapacitySettings()
        self.loop = loop_delay.LoopDelay(
            datetime.timedelta(seconds=_TICK_SECONDS), settings.loop_delay
        )
        self.service = capacity.ServiceCapacity(
            settings, random.Random(seed), self.loop
        )
        self.estimates = {
            name: self.service.add(name, _SLOTS, _PROXIES, clocks.at(0))
            for name in "abc"
        }
        self.factor: Callable[[str], float] = lambda name: 1.0
        self.outcome: Callable[[str], capacity.StatementOutcome]
        self.outcome = lambda name: _SERVED
        self.lowest = dict.fromkeys("abc", _INITIAL)
        self.now = 0.0
        self.ticking = True
        self._rng = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        for name in "abc":
            self._schedule(0.0, self._arrival(name, rate))
        self._schedule(0.0, self._tick)

    def run(self, seconds: float) -> None:
        """Runs the load for some seconds."""
        until = self.now + seconds
        while self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
            for name, estimate in self.estimates.items():
                self.lowest[name] = min(self.lowest[name], estimate.limit)
        self.now = until

    def reset_lowest(self) -> None:
        """Starts to track the lowest limits anew."""
        self.lowest = dict.fromkeys("abc", _INITIAL)

    def limits(self) -> list[int]:
        """Returns the limits of the three databases."""
        return [estimate.limit for estimate in self.estimates.values()]

    def _schedule(self, at: float, action: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._events, (at, self._count, action))

    def _tick(self) -> None:
        if self.ticking:
            self.service.update(clocks.at(self.now))
        self._schedule(self.now + _TICK_SECONDS, self._tick)

    def _arrival(self, name: str, rate: float) -> Callable[[], None]:
        def arrive() -> None:
            self._send(name)
            self._schedule(self.now + self._rng.expovariate(rate), arrive)

        return arrive

    def _send(self, name: str) -> None:
        rank = self._rng.choice("012")
        kind = latency_baseline.StatementClass(rank, False, False)
        number = self.estimates[name].sent(kind, clocks.at(self.now))
        seconds = _WORK[rank] * self._rng.lognormvariate(0, 0.4)
        if self._rng.random() < 0.03:
            seconds *= 7
        seconds *= self.factor(name)

        def end() -> None:
            now = clocks.at(self.now)
            self.estimates[name].ended(number, self.outcome(name), now)

        self._schedule(self.now + seconds, end)


class CapacityTest(unittest.TestCase):
    """Limits follow changes of one database, and only those."""

    def test_limit_follows_a_five_fold_slowdown_within_a_second(self) -> None:
        for seed in range(10):
            load = _Load(rate=10, seed=seed)
            load.run(10)
            load.factor = lambda name: 5.0 if name == "b" else 1.0
            load.reset_lowest()
            load.run(1)
            self.assertLessEqual(load.lowest["b"], 0.6 * _INITIAL, seed)
            self.assertGreaterEqual(load.lowest["a"], _UNCHANGED, seed)
            self.assertGreater(
                load.estimates["b"].unit_cost(clocks.at(load.now)),
                4 * load.estimates["a"].unit_cost(clocks.at(load.now)),
            )

    def test_limit_returns_in_steps_within_three_seconds(self) -> None:
        for seed in range(10):
            load = _Load(rate=10, seed=seed)
            load.run(10)
            load.factor = lambda name: 5.0 if name == "b" else 1.0
            load.run(6)
            load.factor = lambda name: 1.0
            seen = []
            for _ in range(30):
                load.run(0.1)
                seen.append(load.limits()[1])
            self.assertGreaterEqual(seen[-1], _INITIAL, seed)
            self.assertGreater(len(set(seen)), 2, "it rose in one step")

    def test_proxies_return_at_different_moments(self) -> None:
        # A database that all proxies return to at once is slow again.
        returned = []
        for seed in range(8):
            load = _Load(rate=10)
            load.service.rng.seed(seed)
            load.run(10)
            load.factor = lambda name: 5.0 if name == "b" else 1.0
            load.run(3)
            load.factor = lambda name: 1.0
            while load.limits()[1] < _INITIAL:
                load.run(0.01)
            returned.append(load.now)
        self.assertGreater(max(returned) - min(returned), 0.2)
        self.assertGreater(statistics.pstdev(returned), 0.05)

    def test_a_slow_database_without_statements_gets_some_again(self) -> None:
        # Reads avoid it, so no statement shows that it has recovered.
        load = _Load(rate=10)
        load.run(10)
        load.factor = lambda name: 5.0 if name == "b" else 1.0
        load.run(3)
        estimate = load.estimates["b"]
        before = estimate.unit_cost(clocks.at(load.now))
        later = load.now
        for _ in range(30):
            later += _TICK_SECONDS
            estimate.update(clocks.at(later))
        after = estimate.unit_cost(clocks.at(later))
        self.assertLess(after, before / 4)

    def test_a_database_that_fails_45_percent_gets_less(self) -> None:
        # Its failures are fast, so response times alone would attract reads.
        load = _Load(rate=10)
        rng = random.Random(1)
        load.run(10)
        load.outcome = lambda name: (
            _FAILED if name == "b" and rng.random() < 0.45 else _SERVED
        )
        load.run(2)
        now = clocks.at(load.now)
        failing = load.estimates["b"]
        self.assertLess(failing.limit, _INITIAL)
        self.assertIs(failing.state, capacity.CapacityState.FAILING)
        self.assertGreater(
            failing.unit_cost(now), 3 * load.estimates["a"].unit_cost(now)
        )
        self.assertEqual(load.limits()[::2], [_INITIAL, _INITIAL])

    def test_a_flapping_database_keeps_a_limit_of_at_least_one(self) -> None:
        load = _Load(rate=10)
        load.run(5)
        load.outcome = lambda name: (
            _FAILED if name == "b" and int(load.now) % 2 else _SERVED
        )
        load.run(10)
        self.assertGreaterEqual(load.lowest["b"], 1)
        self.assertLess(load.lowest["b"], _INITIAL)
        self.assertEqual(load.lowest["a"], _INITIAL)
        load.outcome = lambda name: _SERVED
        load.run(3)
        self.assertGreaterEqual(min(load.limits()), _INITIAL)

    def test_tails_and_kinds_of_statements_lower_no_limit(self) -> None:
        # 3% take seven times as long, and work differs five-fold by kind.
        for rate, seconds in ((10, 60), (30, 20), (100, 10)):
            load = _Load(rate=rate, seed=3)
            load.run(seconds)
            lowest = min(load.lowest.values())
            self.assertGreaterEqual(lowest, _UNCHANGED, rate)

    def test_a_proxy_whose_loop_is_late_learns_nothing(self) -> None:
        # All that it measures includes its own delay.
        load = _Load(rate=20)
        load.run(10)
        load.reset_lowest()
        load.ticking = False
        load.factor = lambda name: 8.0 if name == "b" else 1.0
        load.run(2)
        self.assertEqual(load.lowest, dict.fromkeys("abc", _INITIAL))

    def test_all_databases_slow_at_once_lower_no_limit(self) -> None:
        load = _Load(rate=20)
        load.run(10)
        load.reset_lowest()
        load.factor = lambda name: 5.0
        load.run(6)
        self.assertEqual(load.limits(), [_INITIAL] * 3)

    def test_a_rejection_for_saturation_is_no_failure(self) -> None:
        load = _Load(rate=20)
        load.run(10)
        load.outcome = lambda name: _BUSY if name == "b" else _SERVED
        load.run(0.5)
        now = clocks.at(load.now)
        self.assertLess(load.limits()[1], _INITIAL)
        self.assertLess(load.estimates["b"].failing_share(now), 0.01)
        load.outcome = lambda name: _SERVED
        load.run(3)
        self.assertEqual(load.limits()[1], _INITIAL)

    def test_a_database_slow_only_when_full_is_saturated(self) -> None:
        load = _Load(rate=40)
        load.run(10)
        load.factor = lambda name: (
            1.0
            if name != "b" or load.estimates["b"].in_flight <= 2
            else 2.0 * load.estimates["b"].in_flight
        )
        states = set()
        for _ in range(60):
            load.run(0.1)
            states.add(load.estimates["b"].state)
        self.assertIn(capacity.CapacityState.SATURATED, states)

    def test_few_proxies_share_four_statements_per_slot(self) -> None:
        # Beyond that the database's own queue, which knows no ranks, fills.
        load = _Load(rate=1)
        for proxies in (1, 2, 5, 25):
            estimate = load.service.add("d", _SLOTS, proxies, clocks.at(0))
            kind = latency_baseline.StatementClass("0", False, False)
            for step in range(4_000):
                now = clocks.at(step * 0.05)
                numbers = [estimate.sent(kind, now) for _ in range(30)]
                for number in numbers:
                    later = now + datetime.timedelta(seconds=0.008)
                    estimate.ended(number, _SERVED, later)
            bound = max(4 * _SLOTS // proxies, 1)
            self.assertLessEqual(estimate.limit, bound)


if __name__ == "__main__":
    unittest.main()
