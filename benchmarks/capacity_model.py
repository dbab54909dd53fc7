"""A model of proxies and of one service's databases on virtual time.

The databases have slots and a queue of their own, first in first out. Proxies
queue statements by rank and place reads. `benchmarks.capacity_rules` compares
the rules for limits on it.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
import dataclasses
import datetime
import heapq
import random
from typing import Protocol

from hickorygate.core import capacity
from hickorygate.core import latency_baseline

__all__ = ["FAULT", "SCENARIOS", "SLOTS", "TICK", "Call", "Rule", "Run", "at"]

_START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
_SECONDS = 24.0
FAULT = (6.0, 12.0)
"""Seconds between which the fault of a scenario is active."""

_RATE, _OVERLOAD = 215.0, 4.0
SLOTS, _QUEUE, _HOP = 5, 44, 0.001
_TAIL_SHARE, _TAIL_FACTOR, _SPREAD = 0.03, 7.0, 0.4
TICK, _RETRY_DELAY, _MOST_TRIES = 0.1, 0.05, 6
_FAILING_SHARE, _SLOWDOWN = 0.45, 5.0
_KINDS = (("strong", 0.4, 0.008, 0.203, 3.0, 0),
          ("own", 0.3, 0.024, 0.403, 3.0, 1),
          ("bounded", 0.3, 0.040, 1.2, 10.0, 2))  # fmt: skip
"""Name, share, work, target, time-out (all in seconds) and rank."""

SCENARIOS = (
    "plain", "overload", "slow replica", "slow primary", "failing replica",
    "flapping replica",
)  # fmt: skip


def at(seconds: float) -> datetime.datetime:
    """Returns the time this many seconds after the start."""
    return _START + datetime.timedelta(seconds=seconds)


@dataclasses.dataclass(slots=True, eq=False)
class Call:
    """One statement of a caller."""

    kind: latency_baseline.StatementClass
    work: float
    arrived: float
    target: float
    deadline: float
    rank: int
    proxy: int
    tries: int = 0
    ended: float | None = None
    excluded: int | None = None


class Rule(Protocol):
    """A rule for limits and for the placement of reads, of one proxy."""

    def tick(self, now: float) -> None:
        """Called every `TICK` seconds."""

    def limit(self, database: int, urgent: bool) -> int:
        """Returns the greatest number of statements in flight."""

    def cost(self, database: int, load: int, now: float) -> float:
        """Returns the cost of a read at a database."""

    def sent(self, database: int, call: Call, now: float) -> object:
        """Records a statement and returns what `ended` needs."""

    def ended(
        self,
        database: int,
        call: Call,
        token: object,
        outcome: capacity.StatementOutcome,
        now: float,
        in_flight: int,
    ) -> None:
        """Records the end of a statement."""


class Run:
    """One run of a scenario under a rule."""

    def __init__(
        self,
        scenario: str,
        rule: Callable[[int, int], Rule],
        proxies: int,
        seed: int,
    ) -> None:
        self._rng = random.Random(seed)
        self._noise = random.Random(seed + 1)
        self._scenario = scenario
        self._rules = [rule(proxies, seed + n) for n in range(proxies)]
        self._proxies = proxies
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        self.now = 0.0
        self._queues = [[[] for _ in range(3)] for _ in range(proxies)]
        self._in_flight = [[0] * 3 for _ in range(proxies)]
        self._busy = [0] * 3
        self._waiting = [collections.deque() for _ in range(3)]
        self.calls: list[Call] = []

    def __repr__(self) -> str:
        return f"Run({self._scenario!r}, proxies={self._proxies})"

    def run(self) -> list[Call]:
        """Runs all arrivals to their end and returns the calls."""
        overload = _OVERLOAD if self._scenario == "overload" else 1.0
        now = self._rng.expovariate(_RATE)
        while now < _SECONDS:
            self._add_call(now)
            active = FAULT[0] <= now < FAULT[1]
            rate = _RATE * (overload if active else 1.0)
            now += self._rng.expovariate(rate)
        for step in range(int(_SECONDS / TICK)):
            self._schedule(step * TICK, self._tick)
        while self._events:
            self.now, _, action = heapq.heappop(self._events)
            action()
        return self.calls

    def _add_call(self, now: float) -> None:
        shares = [kind[1] for kind in _KINDS]
        name, _, work, target, timeout, rank = self._rng.choices(
            _KINDS, shares
        )[0]
        seconds = work * self._rng.lognormvariate(-(_SPREAD**2) / 2, _SPREAD)
        if self._rng.random() < _TAIL_SHARE:
            seconds *= _TAIL_FACTOR
        kind = latency_baseline.StatementClass(name, False, False)
        proxy = self._rng.randrange(self._proxies)
        call = Call(kind, seconds, now, target, now + timeout, rank, proxy)
        self.calls.append(call)
        self._schedule(now, lambda: self._place(call))

    def _schedule(self, at: float, action: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._events, (at, self._count, action))

    def _tick(self) -> None:
        for proxy, rule in enumerate(self._rules):
            rule.tick(self.now)
            for database in range(3):
                self._send(proxy, database)

    def _is(self, *scenarios: str) -> bool:
        active = FAULT[0] <= self.now < FAULT[1]
        return active and self._scenario in scenarios

    def _down(self, database: int) -> bool:
        flapping = database == 1 and self._is("flapping replica")
        return flapping and int(self.now) % 2 == 0

    def _place(self, call: Call) -> None:
        rule, proxy = self._rules[call.proxy], call.proxy
        found = 0
        if call.rank:
            found = min(
                (n for n in range(3) if n != call.excluded),
                key=lambda n: (
                    rule.cost(n, self._load(proxy, n), self.now),
                    self._noise.random(),
                ),
            )
        item = (call.rank, call.deadline, id(call), call)
        heapq.heappush(self._queues[proxy][found], item)
        self._send(proxy, found)

    def _load(self, proxy: int, database: int) -> int:
        queued = len(self._queues[proxy][database])
        return queued + self._in_flight[proxy][database]

    def _send(self, proxy: int, database: int) -> None:
        queue, rule = self._queues[proxy][database], self._rules[proxy]
        while queue and self._in_flight[proxy][database] < rule.limit(
            database, queue[0][0] == 0
        ):
            call = heapq.heappop(queue)[-1]
            if call.deadline <= self.now:
                continue
            self._in_flight[proxy][database] += 1
            token = rule.sent(database, call, self.now)
            action = self._arrive(database, call, token)
            self._schedule(self.now + _HOP, action)

    def _arrive(
        self, database: int, call: Call, token: object
    ) -> Callable[[], None]:
        def arrive() -> None:
            if self._down(database):
                self._reply(database, call, token, "FAILED")
            elif self._busy[database] < SLOTS:
                self._start(database, call, token)
            elif len(self._waiting[database]) < _QUEUE:
                self._waiting[database].append((call, token))
            else:
                self._reply(database, call, token, "BUSY")

        return arrive

    def _start(self, database: int, call: Call, token: object) -> None:
        self._busy[database] += 1
        slow = self._is(("slow primary", "slow replica")[min(database, 1)])
        work = call.work * (_SLOWDOWN if slow and database < 2 else 1.0)
        fails = database == 1 and self._is("failing replica")
        fails = fails and self._noise.random() < _FAILING_SHARE
        if fails:
            work = 0.001

        def end() -> None:
            self._busy[database] -= 1
            lost = fails or self._down(database)
            outcome = "FAILED" if lost else "SERVED"
            self._reply(database, call, token, outcome)
            if self._waiting[database]:
                self._start(database, *self._waiting[database].popleft())

        self._schedule(self.now + work, end)

    def _reply(
        self, database: int, call: Call, token: object, outcome: str
    ) -> None:
        def receive() -> None:
            in_flight = self._in_flight[call.proxy][database]
            self._in_flight[call.proxy][database] -= 1
            self._rules[call.proxy].ended(
                database,
                call,
                token,
                capacity.StatementOutcome[outcome],
                self.now,
                in_flight,
            )
            if outcome == "SERVED":
                call.ended = self.now
            elif call.tries < _MOST_TRIES and self.now < call.deadline:
                call.tries += 1
                call.excluded = database if call.rank else None
                again = self.now + _RETRY_DELAY
                self._schedule(again, lambda: self._place(call))
            self._send(call.proxy, database)

        self._schedule(self.now + _HOP, receive)
