"""Tests the load on the store when a fleet of proxies loses one primary.

The pattern: many proxies watch the same group, and all of them notice the loss
of its primary within a few hundred milliseconds. One of them is to replace it,
without a call to the store by each of the others, and soon, even if many
proxies don't reach the store.
"""

from __future__ import annotations

import asyncio
import dataclasses
import datetime
import random
import unittest

import expression

from hickorygate.core import errors
from hickorygate.core import events
from hickorygate.testing import line_cluster
from hickorygate.testing import line_group
from hickorygate.testing import virtual_time
from hickorygate.upstreams import lease_record
from hickorygate.upstreams import promotion_lease

_PROXIES = 78
_DETECTION_SPREAD_SECONDS = 0.4
_TAKEOVER = datetime.timedelta(seconds=1.2)
_LONGEST_EXTRA_WAIT_SECONDS = 1.0
_SEEDS = range(20)


class _CountingStore(line_cluster.MemoryStore):
    """Counts the calls.

    Attributes:
      calls: number of calls that read or write the lease record.
    """

    def __init__(self) -> None:
        super().__init__(line_group.LineGroup())
        self.calls = 0

    async def read_lease(
        self,
    ) -> expression.Result[lease_record.LeaseReading, errors.Failure]:
        self.calls += 1
        return await super().read_lease()

    async def write_lease(
        self, record: lease_record.LeaseRecord, revision: int | None
    ) -> expression.Result[lease_record.LeaseReading, errors.Failure]:
        self.calls += 1
        return await super().write_lease(record, revision)


@dataclasses.dataclass(slots=True)
class _Outcome:
    """What a fleet did after the loss of a primary.

    Attributes:
      calls: calls to the store.
      waited: seconds from the first detection until a proxy held the lease.
      holders: names of the proxies that carried out a takeover.
    """

    calls: int = 0
    waited: float = 0.0
    holders: list[str] = dataclasses.field(default_factory=list)


class _Fleet:
    """Proxies that share one lease; some of them don't reach the store."""

    def __init__(self, proxies: int, cut: int, seed: int) -> None:
        self._clock = virtual_time.LoopClock(asyncio.get_running_loop())
        self._rng = random.Random(seed)
        self._store = _CountingStore()
        self._unreachable = _CountingStore()
        self._unreachable.down = True
        self._names = [f"proxy-{n}" for n in range(proxies)]
        self._cut = set(self._rng.sample(self._names, cut))
        self._replaced = False
        self._outcome = _Outcome()

    async def lose_primary(self) -> _Outcome:
        """Lets all proxies notice the loss and waits until all are done."""
        began = self._clock.now()
        delays = [
            self._rng.uniform(0, _DETECTION_SPREAD_SECONDS) for _ in self._names
        ]
        first = began + datetime.timedelta(seconds=min(delays))
        async with asyncio.TaskGroup() as tasks:
            for name, delay in zip(self._names, delays, strict=True):
                tasks.create_task(self._replace_primary(name, delay, first))
        self._outcome.calls = self._store.calls + self._unreachable.calls
        return self._outcome

    async def _replace_primary(
        self, name: str, delay: float, first: datetime.datetime
    ) -> None:
        lease = self._make_lease(name)
        await asyncio.sleep(delay)
        if not await lease.acquire(lambda: not self._replaced):
            return
        if not self._replaced:
            waited = self._clock.now() - first
            self._outcome.waited = waited.total_seconds()
            self._outcome.holders.append(name)
            await self._clock.sleep(_TAKEOVER)
            self._replaced = True
        await lease.release()

    def _make_lease(self, name: str) -> promotion_lease.PromotionLease:
        stamps = events.HybridLogicalClock(self._clock)
        lease = promotion_lease.PromotionLease(
            lease_record.LeaseState(name, name),
            self._unreachable if name in self._cut else self._store,
            self._clock,
            events.Timeline(name, stamps),
        )
        lease.set_proxies(self._names)
        lease.set_proxies(self._names)
        return lease


async def _lose_primary(proxies: int, cut: int, seed: int) -> _Outcome:
    return await _Fleet(proxies, cut, seed).lose_primary()


class TakeoverLoadTest(unittest.TestCase):
    """Exactly one proxy replaces the primary, with few calls and soon."""

    def check(self, cut: int) -> None:
        for seed in _SEEDS:
            with self.subTest(seed=seed):
                outcome = virtual_time.run(_lose_primary(_PROXIES, cut, seed))
                self.assertEqual(len(outcome.holders), 1)
                self.assertLess(outcome.calls, _PROXIES)
                self.assertLess(outcome.waited, _LONGEST_EXTRA_WAIT_SECONDS)

    def test_a_fleet_makes_less_than_a_call_for_each_proxy(self) -> None:
        self.check(cut=0)

    def test_a_third_of_the_proxies_is_cut_off_from_the_store(self) -> None:
        self.check(cut=_PROXIES // 3)

    def test_few_proxies_do_not_wait_for_each_other(self) -> None:
        for seed in _SEEDS:
            with self.subTest(seed=seed):
                outcome = virtual_time.run(_lose_primary(5, 2, seed))
                self.assertLess(outcome.waited, _DETECTION_SPREAD_SECONDS + 0.1)
