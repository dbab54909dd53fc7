"""Tests a fleet whose primary works for some proxies and not for others.

The patterns: a few proxies are cut off from a primary that the others use; most
of them are; a primary answers but has lost its replicas; a primary is so busy
that a proxy's only connection is always in use. A healthy group must not be
disturbed by a proxy that alone sees a fault, and callers whom one proxy can't
serve must learn that at once, so that they can ask another one.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import datetime
import random

from hickorygate.core import errors
from hickorygate.core import operation as operations
from hickorygate.core import platform_events
from hickorygate.testing import model_fleet
from hickorygate.testing import model_group
from hickorygate.testing import virtual_time

_PROXIES = 24
_CALLS_PER_SECOND = 3.0
_SPREAD = datetime.timedelta(seconds=0.3)
_DETECTION_SECONDS = 1.8
"""Longest time until a proxy knows that it can't reach a primary."""

_LONGEST_REJECTION = datetime.timedelta(milliseconds=150)
_MOST_IN_DOUBT = 2 * _PROXIES
"""Writes that may end in doubt before a stalled primary is known as such."""


class _Traffic:
    """Callers of all proxies, and how their calls ended.

    Attributes:
      calls: outcome of each call, by proxy.
    """

    def __init__(
        self,
        fleet: model_fleet.ModelFleet,
        writes: float,
        rate: float = _CALLS_PER_SECOND,
    ) -> None:
        self.calls: dict[str, list[model_fleet.CallOutcome]] = {}
        self._fleet = fleet
        self._writes = writes
        self._rate = rate
        self._tasks = [
            asyncio.create_task(self._run(proxy)) for proxy in fleet.proxies
        ]

    def stop(self) -> None:
        """Stops the callers."""
        for task in self._tasks:
            task.cancel()

    def sent_after(
        self, start: datetime.datetime, *proxies: str
    ) -> list[model_fleet.CallOutcome]:
        """Returns the calls that were sent to some proxies after a time."""
        return [
            call
            for proxy in proxies
            for call in self.calls[proxy]
            if call.started >= start
        ]

    async def _run(self, proxy: model_fleet.ModelProxy) -> None:
        rng = random.Random(proxy.name)
        outcomes = self.calls.setdefault(proxy.name, [])
        while True:
            await asyncio.sleep(rng.expovariate(self._rate))
            write = rng.random() < self._writes
            step = (
                operations.Write("WRITE 1 x")
                if write
                else operations.Read("READ 1")
            )
            outcomes.append(await proxy.call("strong", step))


class PartialOutageLoadTest(virtual_time.VirtualTimeTestCase):
    """A fleet of 24 proxies before one group, for some seconds."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        self.fleet = model_fleet.ModelFleet(_PROXIES)
        self.addAsyncCleanup(self.fleet.close)
        await self.fleet.start(random.Random(1), _SPREAD)
        await asyncio.sleep(1)

    async def run_traffic(
        self,
        seconds: float,
        change: Callable[[], None],
        writes: float = 0.3,
    ) -> _Traffic:
        """Runs callers, makes a change after a second, and runs on."""
        traffic = _Traffic(self.fleet, writes)
        await asyncio.sleep(1)
        change()
        self.changed = self.fleet.clock.now()
        await asyncio.sleep(seconds)
        traffic.stop()
        return traffic

    def cut_off(self, *names: str) -> None:
        self.fleet.group.databases["a"].cut_off(*names)

    def after_detection(self) -> datetime.datetime:
        return self.changed + datetime.timedelta(seconds=_DETECTION_SECONDS)

    async def test_one_proxy_replaces_no_primary_that_others_use(self) -> None:
        alone = "proxy-7"
        traffic = await self.run_traffic(5, lambda: self.cut_off(alone))
        self.assertEqual(self.fleet.group.promotions, [])
        others = [p.name for p in self.fleet.proxies if p.name != alone]
        calls = traffic.sent_after(self.changed, *others)
        self.assertEqual([c.failure for c in calls if not c.served], [])
        rejected = traffic.sent_after(self.after_detection(), alone)
        self.assertTrue(rejected)
        for call in rejected:
            self.assertFalse(call.served)
            self.assertLess(call.took, _LONGEST_REJECTION)
            self.assertIs(call.failure.outcome, errors.Outcome.NOT_RUN)

    async def test_many_proxies_replace_a_primary_that_few_use(self) -> None:
        names = [p.name for p in self.fleet.proxies[: _PROXIES * 2 // 3]]
        traffic = await self.run_traffic(6, lambda: self.cut_off(*names))
        self.assertEqual(len(self.fleet.group.promotions), 1)
        late = self.changed + datetime.timedelta(seconds=5)
        calls = traffic.sent_after(late, *names)
        self.assertTrue(calls)
        self.assertEqual([c.failure for c in calls if not c.served], [])

    async def test_all_proxies_replace_a_dead_primary_at_once(self) -> None:
        names = [p.name for p in self.fleet.proxies]
        traffic = await self.run_traffic(4, lambda: self.cut_off(*names))
        self.assertEqual(len(self.fleet.group.promotions), 1)
        late = self.changed + datetime.timedelta(seconds=2.5)
        calls = traffic.sent_after(late, *names)
        self.assertEqual([c.failure for c in calls if not c.served], [])

    async def test_writes_are_not_sent_to_a_stalled_primary(self) -> None:
        # Nobody can replace the primary, because the store is down.
        primary = self.fleet.group.databases["a"]
        self.fleet.store.down = True

        def lose_replicas() -> None:
            primary.set_replicating(False)

        before = primary.written
        traffic = await self.run_traffic(6, lose_replicas, writes=1.0)
        names = [p.name for p in self.fleet.proxies]
        calls = traffic.sent_after(self.after_detection(), *names)
        doubtful = [
            call
            for call in calls
            if call.failure is not None
            and call.failure.outcome is errors.Outcome.UNKNOWN
        ]
        self.assertEqual(doubtful, [])
        acknowledged = self.fleet.group.end.offset
        self.assertLess(primary.written - before - acknowledged, _MOST_IN_DOUBT)

    async def test_writes_go_on_once_the_replicas_are_back(self) -> None:
        primary = self.fleet.group.databases["a"]
        self.fleet.store.down = True

        def lose_replicas() -> None:
            primary.set_replicating(False)

        await self.run_traffic(3, lose_replicas, writes=1.0)
        primary.set_replicating(True)
        traffic = await self.run_traffic(2, lambda: None, writes=1.0)
        names = [p.name for p in self.fleet.proxies]
        calls = traffic.sent_after(self.changed, *names)
        self.assertTrue(calls)
        self.assertEqual([c.failure for c in calls if not c.served], [])


class WorkingPrimaryTest(virtual_time.VirtualTimeTestCase):
    """A primary that works, although not each probe is answered."""

    async def start(self, settings: model_group.ModelSettings) -> None:
        self.fleet = model_fleet.ModelFleet(_PROXIES, settings)
        self.addAsyncCleanup(self.fleet.close)
        await self.fleet.start(random.Random(1), _SPREAD)

    def check_primary_kept(self) -> None:
        self.assertEqual(self.fleet.count(platform_events.LeaderLost), 0)
        self.assertEqual(self.fleet.group.promotions, [])

    async def test_a_busy_primary_is_not_taken_for_lost(self) -> None:
        # Each proxy may have one connection, which is always in use.
        await self.start(
            model_group.ModelSettings(
                connections=_PROXIES, work=datetime.timedelta(milliseconds=150)
            )
        )
        traffic = _Traffic(self.fleet, writes=0.0, rate=20.0)
        await asyncio.sleep(4)
        traffic.stop()
        self.check_primary_kept()

    async def test_resting_callers_do_not_make_a_primary_lost(self) -> None:
        # Each proxy may have one connection, and a caller begins a transaction
        # on it, writes and rests.
        await self.start(model_group.ModelSettings(connections=_PROXIES))
        await asyncio.sleep(1)
        resting = [
            proxy.call(
                "strong",
                operations.Begin(read_only=False),
                operations.Write("WRITE 1 x"),
                operations.Commit("COMMIT"),
                pause=datetime.timedelta(seconds=2),
            )
            for proxy in self.fleet.proxies
        ]
        ended = await asyncio.gather(*resting)
        self.check_primary_kept()
        self.assertTrue(all(call.served for call in ended))

    async def test_a_primary_without_free_slots_is_not_taken_for_lost(
        self,
    ) -> None:
        # The only connection of each proxy belongs to a transaction, and no
        # other one can be opened while all slots are taken.
        await self.start(model_group.ModelSettings(connections=2 * _PROXIES))
        await asyncio.sleep(1)
        resting = [
            asyncio.create_task(
                proxy.call(
                    "strong",
                    operations.Begin(read_only=False),
                    operations.Write("WRITE 1 x"),
                    operations.Commit("COMMIT"),
                    pause=datetime.timedelta(seconds=2.5),
                )
            )
            for proxy in self.fleet.proxies
        ]
        await asyncio.sleep(1)
        primary = self.fleet.group.databases["a"]
        busy = datetime.timedelta(seconds=3)
        async with asyncio.TaskGroup() as tasks:
            for _ in range(primary.group.settings.slots):
                tasks.create_task(primary.occupy_slot(busy))
        await asyncio.gather(*resting)
        self.check_primary_kept()

    async def test_one_silent_connection_does_not_make_a_primary_lost(
        self,
    ) -> None:
        # Other connections of the same proxy show that the database works.
        await self.start(model_group.ModelSettings(connections=6 * _PROXIES))
        traffic = _Traffic(self.fleet, writes=0.5, rate=20.0)
        await asyncio.sleep(1)
        self.fleet.group.databases["a"].silence_one_connection_each()
        await asyncio.sleep(3)
        traffic.stop()
        self.check_primary_kept()
