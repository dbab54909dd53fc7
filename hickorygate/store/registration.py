"""Registers this proxy in the store and counts the registered proxies."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import datetime
import random
from typing import Protocol

import expression

from hickorygate.core import clock as clocks
from hickorygate.core import errors
from hickorygate.core import limit_membership
from hickorygate.core import types
from hickorygate.upstreams import proxy_count

__all__ = [
    "NOT_SERVING",
    "ProxyDescription",
    "ProxyRegistration",
    "ProxyRegistry",
    "RegisteredProxy",
]

_COUNT_DELAY = datetime.timedelta(milliseconds=300)
"""Delay between a renewal and a count, so that proxies that start together
count each other."""

_JITTER = 0.2
"""Maximum relative deviation from the time between renewals."""

_SETTLING_INTERVAL = datetime.timedelta(seconds=1)
"""Time between two counts while this proxy must be counted by all others before
it may use its shares of rate limits."""

_MIN_EARLY_INTERVAL = datetime.timedelta(seconds=2)
"""Minimum time between a count and an early one."""


@dataclasses.dataclass(frozen=True, slots=True)
class ProxyDescription:
    """What other proxies need to know of a proxy.

    Attributes:
      address: host and port of its listener for statements; empty if it
        serves none.
      zone: availability zone; empty if unknown.
      capacity: number of cores that it may use, reduced if its network is
        slow; 0 if unknown.
      fleet: digest of the proxies with shares of rate limits that it counts;
        empty if it is of a build without rate limits.
      active: whether it uses or lends such shares.
    """

    address: str = ""
    zone: types.ZoneName = ""
    capacity: float = 0.0
    fleet: str = ""
    active: bool = False


NOT_SERVING = ProxyDescription()
"""Description of a proxy that serves no statements of other proxies."""


@dataclasses.dataclass(frozen=True, slots=True)
class RegisteredProxy(ProxyDescription):
    """A proxy as its object in the store describes it.

    Attributes:
      revision: revision of the object, which rises with each renewal.
    """

    revision: int = 0


class ProxyRegistry(Protocol):
    """The store in which each proxy keeps an object of its own."""

    async def announce(
        self,
        name: types.ProxyName,
        beat: int,
        exists: bool,
        description: ProxyDescription = NOT_SERVING,
    ) -> expression.Result[None, errors.Failure]:
        """Creates or renews a proxy's object.

        Args:
          name: name of the proxy.
          beat: content of the object; must differ from the previous content.
          exists: whether to renew an existing object instead of creating one.
          description: what other proxies need to know.
        """

    async def withdraw(
        self, name: types.ProxyName
    ) -> expression.Result[None, errors.Failure]:
        """Removes a proxy's object."""

    async def proxies(
        self, may_be_outdated: bool
    ) -> expression.Result[
        dict[types.ProxyName, RegisteredProxy], errors.Failure
    ]:
        """Returns all registered proxies by name.

        Args:
          may_be_outdated: whether changes of the last seconds may be missing,
            which makes the call cheap.
        """


class ProxyRegistration:
    """Renews this proxy's object and counts the registered proxies.

    Also removes the objects of proxies that are gone, at most one per count.
    """

    def __init__(
        self,
        name: types.ProxyName,
        store: ProxyRegistry,
        clock: clocks.Clock,
        rng: random.Random,
        on_count: Callable[[Mapping[types.ProxyName, RegisteredProxy]], None],
        description: ProxyDescription = NOT_SERVING,
        has_limits: Callable[[], bool] = lambda: False,
    ) -> None:
        """Creates the registration; `run` makes the first call.

        Args:
          name: name of this proxy.
          store: the store of the proxies' objects.
          clock: source of time and of delays.
          rng: source of jitter.
          on_count: called with the live proxies after each count, including
            this one.
          description: what other proxies need to know of this one.
          has_limits: returns whether any workspace has a rate limit.
        """
        self._name = name
        self._store = store
        self._clock = clock
        self._rng = rng
        self._on_count = on_count
        self._description = description
        self._has_limits = has_limits
        self._proxy_counter = proxy_count.ProxyCounter()
        self._membership = limit_membership.LimitMembership(name)
        self._announced = ("", False)
        self._announced_at = clock.now()
        self._left = False
        self._exists = False
        # A random start, so that a new process changes the object that a
        # former process of this name left behind.
        self._beat = rng.getrandbits(40)
        self._early = asyncio.Event()
        self._counted: frozenset[types.ProxyName] = frozenset()

    def __repr__(self) -> str:
        return f"ProxyRegistration({self._name!r}, {self._proxy_counter!r})"

    @property
    def membership(self) -> limit_membership.LimitMembership:
        """The proxies that hold shares of rate limits."""
        return self._membership

    async def run(self) -> None:
        """Renews the object and counts until the task is cancelled."""
        await self._count_former_fleet()
        await self._renew()
        await self._clock.sleep(_COUNT_DELAY)
        await self._count(may_be_outdated=False)
        while True:
            for _ in range(proxy_count.COUNTS_PER_RENEWAL):
                await self._settle()
                await self._pause()
                await self._count(may_be_outdated=True)
            await self._renew()

    def describe(self, description: ProxyDescription) -> None:
        """Sets what the next renewal tells other proxies."""
        self._description = description

    def request_count(self) -> None:
        """Asks for a count before the next regular one is due.

        A proxy that was replaced has another address, and counts are rare.
        """
        self._early.set()

    async def deregister(self) -> None:
        """Removes this proxy's object; it isn't written again."""
        self._left = True
        await self._store.withdraw(self._name)

    async def _pause(self) -> None:
        """Waits until the next regular count is due; makes requested ones.

        A requested count also settles: rate limits that are new to a running
        fleet find proxies that don't use their shares yet.
        """
        live = self._proxy_counter.live(self._clock.now())
        factor = self._rng.uniform(1 - _JITTER, 1 + _JITTER)
        due = self._clock.now() + proxy_count.count_interval(len(live)) * factor
        while await self._early_count_requested(due):
            await self._count(may_be_outdated=True)
            await self._settle()

    async def _early_count_requested(self, due: datetime.datetime) -> bool:
        """Waits until an early count is requested and allowed.

        Returns:
          False if the regular count is due before.
        """
        await self._clock.sleep(
            min(_MIN_EARLY_INTERVAL, due - self._clock.now())
        )
        left = (due - self._clock.now()).total_seconds()
        if left <= 0:
            return False
        try:
            async with asyncio.timeout(left):
                await self._early.wait()
        except TimeoutError:
            return False
        self._early.clear()
        return True

    async def _settle(self) -> None:
        """Tells others at once which proxies this one counts.

        Counts more often until this proxy may use its shares of rate limits.
        It may wait for long for a proxy that is gone, so it goes on to renew.
        """
        while self._has_limits():
            is_new = self._announced != self._membership_fields
            if is_new or self._is_renewal_due:
                await self._renew()
            if self._membership.active:
                return
            await self._clock.sleep(self._settling_interval)
            await self._count(may_be_outdated=False)

    @property
    def _settling_interval(self) -> datetime.timedelta:
        proxies = len(self._membership.fleet)
        longer = proxy_count.count_interval(proxies)
        return _SETTLING_INTERVAL * (longer / proxy_count.count_interval(0))

    @property
    def _is_renewal_due(self) -> bool:
        live = self._proxy_counter.live(self._clock.now())
        interval = proxy_count.count_interval(len(live))
        age = self._clock.now() - self._announced_at
        return age >= proxy_count.COUNTS_PER_RENEWAL * interval

    @property
    def _membership_fields(self) -> tuple[str, bool]:
        return self._membership.fleet.digest, self._membership.active

    async def _renew(self) -> None:
        """Creates or renews the object; if one fails, tries the other."""
        if not await self._announce():
            self._exists = not self._exists
            await self._announce()
        else:
            self._exists = True

    async def _announce(self) -> bool:
        """Creates or renews the object; returns whether that succeeded."""
        if self._left:
            return True
        self._beat += 1
        fields = self._membership_fields
        fleet, active = fields
        description = dataclasses.replace(
            self._description, fleet=fleet, active=active
        )
        began = self._clock.now()
        written = await self._store.announce(
            self._name, self._beat, self._exists, description
        )
        if written.is_error():
            return False
        self._announced = fields
        self._announced_at = began
        self._membership.record_renewal(began)
        return True

    async def _count_former_fleet(self) -> None:
        """Counts the proxies whose objects exist before this one registers.

        Proxies that restart together thereby know the size of the fleet before
        they open connections. An empty list says nothing, since all proxies
        may be new.
        """
        listed = await self._store.proxies(may_be_outdated=True)
        if listed.is_ok():
            self._membership.record_start(_members(listed.ok))
        if listed.is_ok() and listed.ok:
            self._apply_count(listed.ok, complete=False)

    async def _count(self, may_be_outdated: bool) -> None:
        listed = await self._store.proxies(may_be_outdated)
        if listed.is_error():
            return  # The previous count holds until the store answers.
        self._apply_count(listed.ok, not may_be_outdated)
        # Others may remove it only after it stopped using its shares.
        gone = self._proxy_counter.gone(
            self._clock.now(), limit_membership.REMOVAL_AGE
        )
        for name in gone[:1]:
            await self._store.withdraw(name)

    def _apply_count(
        self,
        proxies: Mapping[types.ProxyName, RegisteredProxy],
        complete: bool,
    ) -> None:
        now = self._clock.now()
        self._membership.record_list(_members(proxies), complete, now)
        self._proxy_counter.update(
            {name: proxy.revision for name, proxy in proxies.items()}, now
        )
        live = self._proxy_counter.live(now)
        found = {n: proxy for n, proxy in proxies.items() if n in live}
        own = self._description
        found[self._name] = RegisteredProxy(
            own.address, own.zone, own.capacity, self._beat
        )
        if found.keys() != self._counted:
            # Others may have started or stopped together with these.
            self._counted = frozenset(found)
            self.request_count()
        self._on_count(found)


def _members(
    proxies: Mapping[types.ProxyName, RegisteredProxy],
) -> dict[types.ProxyName, limit_membership.MemberObject]:
    """Returns the proxies of builds that know shares of rate limits."""
    return {
        name: limit_membership.MemberObject(
            proxy.capacity, proxy.fleet, proxy.active
        )
        for name, proxy in proxies.items()
        if proxy.fleet
    }
