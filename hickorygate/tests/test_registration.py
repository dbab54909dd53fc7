"""Tests how proxies agree on who holds shares of rate limits, on virtual time.

Guards against rate limits that come into a running fleet and find no proxy that
may use its shares, and against a proxy that waits for its shares and is taken
for gone.
"""

from __future__ import annotations

import asyncio
import dataclasses
import datetime
import random

import expression

from hickorygate.core import errors
from hickorygate.core import types
from hickorygate.store import registration
from hickorygate.testing import virtual_time

_NAMES = ("p0", "p1", "p2")
_CONFIGURATION_BOUND = 3.0
"""Seconds from a configuration's acknowledgement until it must be in force."""

_TICK = 0.3
"""Seconds between two requests of a process that lacks its shares."""


class _MemoryRegistry:
    """The objects of all proxies, in memory.

    Attributes:
      objects: object of each proxy.
    """

    def __init__(self) -> None:
        self.objects: dict[types.ProxyName, registration.RegisteredProxy] = {}
        self._revision = 0

    async def announce(
        self,
        name: types.ProxyName,
        beat: int,
        exists: bool,
        description: registration.ProxyDescription = registration.NOT_SERVING,
    ) -> expression.Result[None, errors.Failure]:
        await asyncio.sleep(0.004)
        self._revision += 1
        self.objects[name] = registration.RegisteredProxy(
            **dataclasses.asdict(description), revision=self._revision
        )
        return expression.Ok(None)

    async def withdraw(
        self, name: types.ProxyName
    ) -> expression.Result[None, errors.Failure]:
        await asyncio.sleep(0.004)
        self.objects.pop(name, None)
        return expression.Ok(None)

    async def proxies(
        self, may_be_outdated: bool
    ) -> expression.Result[
        dict[types.ProxyName, registration.RegisteredProxy], errors.Failure
    ]:
        await asyncio.sleep(0.004)
        return expression.Ok(dict(self.objects))


class RegistrationTest(virtual_time.VirtualTimeTestCase):
    """Proxies that share one registry."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        self.store = _MemoryRegistry()
        self.has_limits = False
        self.proxies: dict[str, registration.ProxyRegistration] = {}
        self.clock = virtual_time.LoopClock(asyncio.get_running_loop())

    def start(self, name: str, seed: int = 1) -> None:
        """Starts a proxy; like a process, it asks for counts without shares."""
        proxy = registration.ProxyRegistration(
            name,
            self.store,
            self.clock,
            random.Random(f"{name}-{seed}"),
            lambda found: None,
            has_limits=lambda: self.has_limits,
        )
        self.proxies[name] = proxy
        for work in (proxy.run(), self.request_counts(proxy)):
            self.addCleanup(asyncio.create_task(work).cancel)

    async def request_counts(
        self, proxy: registration.ProxyRegistration
    ) -> None:
        while True:
            await asyncio.sleep(_TICK)
            if self.has_limits and not proxy.membership.active:
                proxy.request_count()

    async def seconds_until_active(self, limit: float) -> float:
        """Returns after how many seconds all proxies may use their shares."""
        started = self.clock.now()
        async with asyncio.timeout(limit):
            while not all(
                proxy.membership.active for proxy in self.proxies.values()
            ):
                await asyncio.sleep(0.1)
        return (self.clock.now() - started).total_seconds()

    async def test_first_limits_find_shares_in_time(self) -> None:
        # Guards against refusals of the first workspace with a limit: its
        # proxies agreed on their shares at the next regular count only.
        for seed in range(8):
            with self.subTest(seed=seed):
                self.store = _MemoryRegistry()
                self.proxies.clear()
                self.has_limits = False
                for name in _NAMES:
                    self.start(name, seed)
                await asyncio.sleep(20 + seed)
                self.has_limits = True
                took = await self.seconds_until_active(60)
                self.assertLessEqual(took, _CONFIGURATION_BOUND)

    async def test_a_proxy_without_shares_is_not_taken_for_gone(self) -> None:
        # Guards against a proxy that stops renewing its object while another
        # one, which is gone, keeps it from agreeing with the fleet.
        self.store.objects["gone"] = registration.RegisteredProxy(
            capacity=1.0, fleet="former", active=True
        )
        self.has_limits = True
        self.start("p0")
        await asyncio.sleep(60)
        self.assertFalse(self.proxies["p0"].membership.active)
        former = self.store.objects["p0"].revision
        longest = 2 * datetime.timedelta(seconds=8 * 1.2).total_seconds() + 1
        await asyncio.sleep(longest)
        self.assertGreater(self.store.objects["p0"].revision, former)
