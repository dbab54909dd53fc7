"""Learns what each database of a service can handle, without I/O.

Each proxy learns from the response times and outcomes of its own statements.
A database is compared with the other databases of its service, so a change
that affects all of them alike (the load, the proxy itself) isn't attributed to
one of them.

A limit falls at once, to the share that corresponds to the database's
slowdown. It rises in steps at random moments, so that proxies don't return to a
database at the same time.
"""

from __future__ import annotations

import collections
import dataclasses
import datetime
import enum
import math
import random
import statistics

from hickorygate.core import latency_baseline
from hickorygate.core import loop_delay
from hickorygate.core import types

__all__ = [
    "CapacityChange",
    "CapacityEstimate",
    "CapacitySettings",
    "CapacityState",
    "ServiceCapacity",
    "StatementOutcome",
]


class StatementOutcome(enum.Enum):
    """What the end of a statement says about its database."""

    SERVED = "served"
    FAILED = "failed"
    BUSY = "busy"
    UNRELATED = "unrelated"


class CapacityState(enum.Enum):
    """Why the limit of a database has its value."""

    NORMAL = "normal"
    SLOW = "slow"
    SATURATED = "saturated"
    FAILING = "failing"


@dataclasses.dataclass(frozen=True, slots=True)
class CapacitySettings:
    """Settings of learned capacity.

    Attributes:
      in_flight_per_slot: greatest number of statements per slot that all
        proxies together send to a database.
      decay_time: time constant of the exponential decay of the weight of a
        response time.
      max_samples: number of newest response times that are considered.
      slow_ratio: ratio to the other databases from which a limit falls.
      common_ratio: ratio to the baseline that, reached by the median database,
        shows that the cause isn't in one database.
      failing_share: share of failed statements from which a limit falls.
      step_interval: mean time between two steps of a rising limit.
      step_factor: factor of such a step.
      loop_delay: delay of the event loop from which response times are not
        considered.
    """

    in_flight_per_slot: int = 4
    decay_time: datetime.timedelta = datetime.timedelta(milliseconds=500)
    max_samples: int = 32
    slow_ratio: float = 2.0
    common_ratio: float = 1.5
    failing_share: float = 0.2
    step_interval: datetime.timedelta = datetime.timedelta(milliseconds=400)
    step_factor: float = 1.6
    loop_delay: datetime.timedelta = datetime.timedelta(milliseconds=50)


_BUSY_FACTOR = 0.7
"""Factor by which a limit falls when a database rejects a statement."""

_BUSY_INTERVAL = datetime.timedelta(milliseconds=100)
"""Least time between two such reductions, because several statements in flight
are rejected by the same full queue."""

_STALE_AFTER = datetime.timedelta(seconds=1)
"""Time without a statement after which the last known deviation is halved per
`_STALE_HALF_LIFE`, and after which earlier statements count no more once there
is a new one. Without that, a database that gets no statements because it was
slow would never get one again."""

_STALE_HALF_LIFE = datetime.timedelta(milliseconds=400)

_PRIOR_WEIGHT = 0.4
"""Weight of an assumed response time equal to the baseline, relative to a
statement that ended just now. It prevails where there are only old ones."""

_SPARSE_PRIOR_WEIGHT = 1.0
"""The same while fewer than `_MIN_SAMPLES` statements are known, so that a
single one that takes long doesn't count as a slow database."""

_MIN_SAMPLES = 3

_REFRESH = datetime.timedelta(milliseconds=10)
"""Time for which a computed deviation is used again, to limit the computing
time at many statements per second."""

_FAILURE_DECAY = datetime.timedelta(seconds=2)
"""Time constant of the exponential decay of past failures."""

_PRIOR_ANSWERS = 3.0
"""Number of successful statements added to the observed ones, so that a single
failure does not yield an extreme share."""

_FAILING_COST = 20.0
"""Cost of a certain failure, in usual response times."""

_REPORTED_SHARE = 0.25
"""Share of a limit up to which a change isn't reported."""

_GROWTH_RATIO = 1.3
"""Ratio to the baseline up to which a limit that is used in full may rise
beyond its initial value."""

_GROWTH_DELAY = 5
"""Steps beyond the initial value are slower by this factor. Faster ones would
fill the database's own queue, which knows no ranks, at the onset of a load."""


@dataclasses.dataclass(frozen=True, slots=True)
class CapacityChange:
    """A change of a limit, with the values that led to it.

    Attributes:
      former: limit before.
      limit: limit now.
      state: why it has that value.
      ratio: ratio of the response times to the baseline at that time.
      failing_share: share of recent statements that failed, 0 to 1.
      in_flight: number of this proxy's statements in flight.
    """

    former: int
    limit: int
    state: CapacityState
    ratio: float
    failing_share: float
    in_flight: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Sample:
    """The deviation of one response time from its baseline."""

    at: datetime.datetime
    deviation: float
    in_flight: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Outstanding:
    """A statement that was sent and has not ended."""

    kind: latency_baseline.StatementClass
    sent: datetime.datetime
    in_flight: int


class CapacityEstimate:
    """What one database can handle, as one proxy sees it."""

    def __init__(
        self,
        service: ServiceCapacity,
        slots: int,
        proxies: int,
        now: datetime.datetime,
    ) -> None:
        self._service = service
        self._settings = service.settings
        self._initial = 1
        self._greatest = 1
        self._limit = 0.0
        self._state = CapacityState.NORMAL
        self._cause = (CapacityState.NORMAL, 0.0)
        self._samples: collections.deque[_Sample] = collections.deque(
            maxlen=self._settings.max_samples
        )
        self._outstanding: dict[int, _Outstanding] = {}
        self._next_number = 0
        self._deviation = 0.0
        self._evaluated: datetime.datetime | None = None
        self._updated: datetime.datetime | None = None
        self._answers = 0.0
        self._failures = 0.0
        self._failures_updated = now
        self._reduced_at: datetime.datetime | None = None
        self._next_step = now
        self._was_full = False
        self.set_size(slots, proxies)
        self._reported_limit = self.limit

    @property
    def limit(self) -> int:
        """Number of statements that this proxy may have in flight."""
        return max(int(self._limit), 1)

    @property
    def urgent_limit(self) -> int:
        """The same while a statement of the most urgent rank waits."""
        return max(self.limit, self._initial)

    @property
    def in_flight(self) -> int:
        """Number of statements that were sent and have not ended."""
        return len(self._outstanding)

    @property
    def response_ratio(self) -> float:
        """The last computed ratio of the response times to the baseline."""
        return math.exp(self._deviation)

    @property
    def state(self) -> CapacityState:
        """Why the limit has its value."""
        return self._state

    def __repr__(self) -> str:
        return f"CapacityEstimate(limit={self.limit}, {self._state.value})"

    def set_size(self, slots: int, proxies: int) -> None:
        """Sets the database's slots and the number of proxies that use it."""
        total = self._settings.in_flight_per_slot * slots
        greatest = max(math.ceil(total / max(proxies, 1)), 1)
        initial = min(slots, greatest)
        if self._limit:
            # A reduction that was learned stays in proportion.
            self._limit = max(self._limit * initial / self._initial, 1.0)
        else:
            self._limit = float(initial)
        self._initial, self._greatest = initial, greatest
        self._limit = min(self._limit, greatest)

    def sent(
        self, kind: latency_baseline.StatementClass, now: datetime.datetime
    ) -> int:
        """Records that a statement was sent; returns its number for `ended`."""
        self._next_number += 1
        self._outstanding[self._next_number] = _Outstanding(
            kind, now, len(self._outstanding) + 1
        )
        self._was_full |= len(self._outstanding) >= self.limit
        return self._next_number

    def ended(
        self, number: int, outcome: StatementOutcome, now: datetime.datetime
    ) -> None:
        """Records how a statement ended."""
        statement = self._outstanding.pop(number)
        late = self._service.loop.affects(statement.sent, now)
        if outcome is not StatementOutcome.UNRELATED and not late:
            self._count(outcome is StatementOutcome.FAILED, now)
        if outcome is StatementOutcome.SERVED and not late:
            self._learn_time(statement, now)
        if outcome is StatementOutcome.BUSY:
            self._reduce_busy(now)
        if self._updated is None or now - self._updated >= _REFRESH:
            self.update(now)

    def update(self, now: datetime.datetime) -> None:
        """Adapts the limit to what is known at this time."""
        self._updated = now
        ratio = self._service.ratio(self, now)
        if ratio is None:
            self._state = CapacityState.NORMAL
            target = float(self._initial)
        else:
            target = self._target(ratio, now)
        if target < self._limit:
            self._limit = target
            self._note_cause()
            self._delay_step(now)
        elif target > self._limit and now >= self._next_step:
            self._raise(target)
            self._note_cause()
            self._delay_step(now)

    def deviation(self, now: datetime.datetime) -> float:
        """Returns the median deviation from the baseline, as a logarithm.

        Recent statements weigh more, and statements that are overdue count
        with their present age. Without statements the value fades, so that a
        database that got none because it was slow gets some again.
        """
        if self._evaluated is None or now - self._evaluated >= _REFRESH:
            self._evaluated = now
            self._deviation = self._evaluate(now)
        return self._deviation

    def has_recent(self, now: datetime.datetime) -> bool:
        """Returns whether statements ended here a short time ago."""
        return bool(self._samples) and self._idle_time(now) <= _STALE_AFTER

    def failing_share(self, now: datetime.datetime) -> float:
        """Returns the share of recent statements that failed, 0 to 1."""
        self._decay(now)
        return self._failures / (self._answers + _PRIOR_ANSWERS)

    def unit_cost(self, now: datetime.datetime) -> float:
        """Returns the expected time per statement ahead of a new one.

        The unit is the usual response time of the new statement's class. A
        failed statement must be repeated elsewhere, which costs several times
        that.
        """
        ratio = self._service.ratio(self, now) or 1.0
        failing = 1 + _FAILING_COST * self.failing_share(now)
        return ratio * failing / self.limit

    def take_change(self, now: datetime.datetime) -> CapacityChange | None:
        """Returns the change of the limit since the last one returned.

        None unless it is more than `_REPORTED_SHARE` of the former limit.
        """
        former = self._reported_limit
        if abs(self.limit - former) <= _REPORTED_SHARE * former:
            return None
        self._reported_limit = self.limit
        return CapacityChange(
            former=former,
            limit=self.limit,
            state=self._cause[0],
            ratio=math.exp(self._cause[1]),
            failing_share=self.failing_share(now),
            in_flight=self.in_flight,
        )

    def expected_service(
        self, kind: latency_baseline.StatementClass
    ) -> datetime.timedelta | None:
        """Returns how long a statement takes here, once it was sent.

        The value is the last computed one; None while the class has no
        baseline.
        """
        usual = self._service.baseline.seconds(kind)
        if usual is None:
            return None
        return datetime.timedelta(seconds=usual * self.response_ratio)

    def service_seconds(
        self,
    ) -> dict[latency_baseline.StatementClass, float]:
        """Returns `expected_service` of each class that has a baseline."""
        found = {}
        for kind in self._service.baseline.classes:
            expected = self.expected_service(kind)
            if expected is not None:
                found[kind] = expected.total_seconds()
        return found

    def _learn_time(
        self, statement: _Outstanding, now: datetime.datetime
    ) -> None:
        seconds = (now - statement.sent).total_seconds()
        baseline = self._service.baseline
        deviation = baseline.deviation(statement.kind, seconds)
        if self._state is CapacityState.NORMAL:
            baseline.learn(statement.kind, seconds, now)
        if deviation is None:
            return
        if self._samples and self._idle_time(now) > _STALE_AFTER:
            self._samples.clear()
        self._samples.append(_Sample(now, deviation, statement.in_flight))

    def _evaluate(self, now: datetime.datetime) -> float:
        sparse = len(self._samples) < _MIN_SAMPLES
        weighted = [(0.0, _SPARSE_PRIOR_WEIGHT if sparse else _PRIOR_WEIGHT)]
        weighted += [self._weighted(s, now) for s in self._samples]
        overdue = self._overdue(now)
        weighted += [(s.deviation, 1.0) for s in overdue]
        median = _weighted_median(weighted)
        if overdue or not self._samples:
            return median
        stale = max(self._idle_time(now) - _STALE_AFTER, datetime.timedelta())
        return median * 0.5 ** (stale / _STALE_HALF_LIFE)

    def _weighted(
        self, sample: _Sample, now: datetime.datetime
    ) -> tuple[float, float]:
        """Returns a deviation and its weight, which decays with its age."""
        age = (now - sample.at) / self._settings.decay_time
        return sample.deviation, math.exp(-age)

    def _idle_time(self, now: datetime.datetime) -> datetime.timedelta:
        return now - self._samples[-1].at

    def _overdue(self, now: datetime.datetime) -> list[_Sample]:
        """Returns the statements that take too long already."""
        slow = math.log(self._settings.slow_ratio)
        overdue = []
        for statement in self._outstanding.values():
            if self._service.loop.affects(statement.sent, now):
                continue
            age = (now - statement.sent).total_seconds()
            deviation = self._service.baseline.deviation(statement.kind, age)
            if deviation is not None and deviation > slow:
                sample = _Sample(now, deviation, statement.in_flight)
                overdue.append(sample)
        return overdue

    def _target(self, ratio: float, now: datetime.datetime) -> float:
        """Returns the limit to move to, and sets the state."""
        failing = self.failing_share(now)
        if failing >= self._settings.failing_share:
            self._state = CapacityState.FAILING
            return max(self._initial * (1 - failing), 1.0)
        if ratio >= self._settings.slow_ratio:
            self._state = self._slow_state(now)
            slow_limit = min(self._greatest / ratio, float(self._initial))
            return max(slow_limit, 1.0)
        self._state = CapacityState.NORMAL
        if self._was_full and self.deviation(now) < math.log(_GROWTH_RATIO):
            return float(self._greatest)
        return max(float(self._initial), self._limit)

    def _slow_state(self, now: datetime.datetime) -> CapacityState:
        """Returns whether a slow database is slow with few in flight too."""
        few = max(self.limit / 2, 1)
        known = [*self._samples, *self._overdue(now)]
        weighted = [self._weighted(s, now) for s in known if s.in_flight <= few]
        slow = math.log(self._settings.slow_ratio)
        if weighted and _weighted_median(weighted) < slow:
            return CapacityState.SATURATED
        return CapacityState.SLOW

    def _raise(self, target: float) -> None:
        """Raises the limit by one step towards a target."""
        if self._limit >= self._initial:
            step = self._limit + 1
        else:
            step = max(self._limit * self._settings.step_factor, 2.0)
        self._limit = min(step, target)
        self._was_full = False

    def _reduce_busy(self, now: datetime.datetime) -> None:
        if (
            self._reduced_at is not None
            and now - self._reduced_at < _BUSY_INTERVAL
        ):
            return
        self._reduced_at = now
        self._limit = max(self._limit * _BUSY_FACTOR, 1.0)
        self._state = CapacityState.SATURATED
        self._note_cause()
        self._delay_step(now)

    def _note_cause(self) -> None:
        """Keeps the state and the deviation that changed the limit."""
        self._cause = (self._state, self._deviation)

    def _delay_step(self, now: datetime.datetime) -> None:
        delay = self._service.rng.uniform(0.5, 1.5)
        if self._limit >= self._initial:
            delay *= _GROWTH_DELAY
        self._next_step = now + delay * self._settings.step_interval

    def _count(self, failed: bool, now: datetime.datetime) -> None:
        self._decay(now)
        self._answers += 1
        self._failures += failed

    def _decay(self, now: datetime.datetime) -> None:
        factor = math.exp(-((now - self._failures_updated) / _FAILURE_DECAY))
        self._answers *= factor
        self._failures *= factor
        self._failures_updated = now


class ServiceCapacity:
    """The estimates of all databases of one service.

    Attributes:
      settings: settings of learned capacity.
      rng: determines the moments at which limits rise.
      loop: detects that this proxy's event loop runs late.
      baseline: usual response times of the service.
    """

    def __init__(
        self,
        settings: CapacitySettings,
        rng: random.Random,
        loop: loop_delay.LoopDelay,
    ) -> None:
        self.settings = settings
        self.rng = rng
        self.loop = loop
        self.baseline = latency_baseline.LatencyBaseline()
        self._estimates: dict[types.DatabaseName, CapacityEstimate] = {}

    def __repr__(self) -> str:
        return f"ServiceCapacity({self._estimates!r})"

    def add(
        self,
        name: types.DatabaseName,
        slots: int,
        proxies: int,
        now: datetime.datetime,
    ) -> CapacityEstimate:
        """Adds a database, or replaces the estimate of its former process."""
        estimate = CapacityEstimate(self, slots, proxies, now)
        self._estimates[name] = estimate
        return estimate

    def remove(self, name: types.DatabaseName) -> None:
        """Removes a database that left."""
        self._estimates.pop(name, None)

    def update(self, now: datetime.datetime) -> None:
        """Adapts all limits; called periodically."""
        self.loop.tick(now)
        for estimate in self._estimates.values():
            estimate.update(now)

    def ratio(
        self, estimate: CapacityEstimate, now: datetime.datetime
    ) -> float | None:
        """Returns the ratio of a database's response times to the others'.

        None while all databases are slow, because nothing can be concluded
        about one of them then.
        """
        common = self._common_deviation(now)
        if common > math.log(self.settings.common_ratio):
            return None
        return math.exp(estimate.deviation(now) - max(common, 0.0))

    def _common_deviation(self, now: datetime.datetime) -> float:
        """Returns the median of the databases' deviations.

        With an even number it is the lower one of the two in the middle. A
        single database has nothing to be compared with, so the result is zero.
        """
        known = [
            estimate.deviation(now)
            for estimate in self._estimates.values()
            if estimate.has_recent(now)
        ]
        return statistics.median_low(known) if len(known) > 1 else 0.0


def _weighted_median(weighted: list[tuple[float, float]]) -> float:
    """Returns the weighted median of pairs of a value and its weight."""
    half = sum(weight for _, weight in weighted) / 2
    total = 0.0
    for value, weight in sorted(weighted):
        total += weight
        if total >= half:
            return value
    raise ValueError("no values")
