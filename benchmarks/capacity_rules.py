"""Compares rules that limit the statements in flight to a database.

The arrivals are the same for each rule, and time is virtual.

    python -m benchmarks.capacity_rules --seeds=5
"""

from __future__ import annotations

from collections.abc import Callable
import datetime
import json
import math
import random
import statistics
import sys

from absl import app
from absl import flags

from benchmarks import capacity_model as model
from hickorygate.core import capacity
from hickorygate.core import latency_baseline
from hickorygate.core import loop_delay
from hickorygate.upstreams import connection_share
from hickorygate.upstreams import failure_rate

_SEEDS = flags.DEFINE_integer("seeds", 3, "Number of seeds of the arrivals.")
_PROXIES = flags.DEFINE_multi_integer(
    "proxies", [2, 6, 25], "Numbers of proxies that serve the service."
)


class _Rule:
    """Today's rule: a fixed limit, and fixed costs of a read."""

    def __init__(self, proxies: int, seed: int) -> None:
        self.limits = [
            float(connection_share.permits_per_proxy(model.SLOTS, proxies))
        ] * 3
        self.greatest = max(math.ceil(4 * model.SLOTS / proxies), 1)
        self.rates = [failure_rate.FailureRate() for _ in range(3)]
        self.usual = [latency_baseline.LatencyBaseline() for _ in range(3)]
        self.recent = [0.0] * 3
        self.last = [0.0] * 3

    def tick(self, now: float) -> None:
        """Called every `model.TICK`."""

    def limit(self, database: int, urgent: bool = False) -> int:
        """Returns the greatest number of statements in flight."""
        return max(int(self.limits[database]), 1)

    def cost(self, database: int, load: int, now: float) -> float:
        """Returns the cost of a read at a database."""
        failing = self.rates[database].share(model.at(now))
        return load / model.SLOTS + (database == 0) + 5 * failing

    def sent(self, database: int, call: model.Call, now: float) -> object:
        """Returns what `ended` needs."""
        return now

    def ended(
        self,
        database: int,
        call: model.Call,
        token: object,
        outcome: capacity.StatementOutcome,
        now: float,
        in_flight: int,
    ) -> None:
        """Records the end of a statement."""
        failed = outcome is capacity.StatementOutcome.FAILED
        self.rates[database].note(failed, model.at(now))


class _Learning(_Rule):
    """Base of the rules that see one database only."""

    def cost(self, database: int, load: int, now: float) -> float:
        """Returns the expected time to completion."""
        idle = max(now - self.last[database] - 1, 0)
        ratio = math.exp(self.recent[database] * 0.5 ** (idle / 0.4))
        failing = 1 + 10 * self.rates[database].share(model.at(now))
        load += model.SLOTS * (database == 0)
        return ratio * (load + 1) / self.limit(database) * failing

    def ended(
        self,
        database: int,
        call: model.Call,
        token: float,
        outcome: capacity.StatementOutcome,
        now: float,
        in_flight: int,
    ) -> None:
        """Records the end of a statement."""
        super().ended(database, call, token, outcome, now, in_flight)
        served = outcome is capacity.StatementOutcome.SERVED
        if served:
            usual = self.usual[database]
            deviation = usual.deviation(call.kind, now - token) or 0.0
            usual.learn(call.kind, now - token, model.at(now))
            self.recent[database] += 0.2 * (deviation - self.recent[database])
            self.last[database] = now
        changed = self.change(database, served, in_flight)
        self.limits[database] = min(max(changed, 1.0), self.greatest)

    def change(self, database: int, served: bool, in_flight: int) -> float:
        """Returns the new limit after a statement."""
        raise NotImplementedError


class _Aimd(_Learning):
    """Additive increase, multiplicative decrease."""

    def change(self, database: int, served: bool, in_flight: int) -> float:
        """Halves on failure or twice the usual time; rises if used in full."""
        now = self.limits[database]
        if not served or self.recent[database] > math.log(2):
            return now * 0.9
        return now + 1 / now if in_flight >= int(now) else now


class _Gradient(_Learning):
    """The limit follows the usual response time over the recent one."""

    def change(self, database: int, served: bool, in_flight: int) -> float:
        """Moves towards limit x gradient + square root of the limit."""
        now = self.limits[database]
        if not served:
            return now * 0.9
        gradient = min(max(1.5 / math.exp(self.recent[database]), 0.5), 1.0)
        return now + 0.2 * (now * gradient + math.sqrt(now) - now)


class _Ratio(_Rule):
    """The ratio to the service's other databases: `core.capacity`."""

    def __init__(self, proxies: int, seed: int) -> None:
        super().__init__(proxies, seed)
        settings = capacity.CapacitySettings()
        loop = loop_delay.LoopDelay(
            datetime.timedelta(seconds=model.TICK), settings.loop_delay
        )
        service = capacity.ServiceCapacity(settings, random.Random(seed), loop)
        self.service = service
        self.estimates = [
            service.add(str(n), model.SLOTS, proxies, model.at(0))
            for n in range(3)
        ]

    def tick(self, now: float) -> None:
        """Adapts the limits."""
        self.service.update(model.at(now))

    def limit(self, database: int, urgent: bool = False) -> int:
        """Returns the learned limit."""
        e = self.estimates[database]
        return e.urgent_limit if urgent else e.limit

    def cost(self, database: int, load: int, now: float) -> float:
        """Returns the expected time to completion."""
        load += model.SLOTS * (database == 0)
        return self.estimates[database].unit_cost(model.at(now)) * (load + 1)

    def sent(self, database: int, call: model.Call, now: float) -> object:
        """Returns the number of the statement."""
        return self.estimates[database].sent(call.kind, model.at(now))

    def ended(
        self,
        database: int,
        call: model.Call,
        token: object,
        outcome: capacity.StatementOutcome,
        now: float,
        in_flight: int,
    ) -> None:
        """Records the end of a statement."""
        self.estimates[database].ended(token, outcome, model.at(now))


_RULES: dict[str, Callable[[int, int], _Rule]] = {
    "fixed": _Rule, "aimd": _Aimd, "gradient": _Gradient, "ratio": _Ratio,
}  # fmt: skip


def _summary(calls: list[model.Call]) -> dict[str, float]:
    seen = [c for c in calls if model.FAULT[0] <= c.arrived < model.FAULT[1]]
    took = [
        (c.ended - c.arrived if c.ended else c.deadline - c.arrived)
        for c in seen
    ]
    cuts = statistics.quantiles(took, n=100)
    late = sum(t > c.target for t, c in zip(took, seen, strict=True))
    urgent = [
        t > c.target for t, c in zip(took, seen, strict=True) if not c.rank
    ]
    return {
        "p50_ms": round(cuts[49] * 1_000, 1),
        "p99_ms": round(cuts[98] * 1_000, 1),
        "in_time": round(1 - late / len(seen), 4),
        "urgent_in_time": round(1 - sum(urgent) / len(urgent), 4),
    }


def main(argv: list[str]) -> None:
    """Runs all scenarios and prints one JSON line for each rule."""
    if len(argv) > 1:
        print(f"unexpected argument {argv[1]!r}", file=sys.stderr)
        raise SystemExit(2)
    for proxies in _PROXIES.value:
        for scenario in model.SCENARIOS:
            for rule, made in _RULES.items():
                calls = []
                for seed in range(1, _SEEDS.value + 1):
                    calls += model.Run(scenario, made, proxies, seed).run()
                found = _summary(calls)
                line = {"proxies": proxies, "fault": scenario, "rule": rule}
                print(json.dumps(line | found), flush=True)


if __name__ == "__main__":
    app.run(main)
