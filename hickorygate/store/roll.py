"""Announces this proxy in the store and counts all that did."""

from __future__ import annotations

from collections.abc import Callable
import datetime
import random
from typing import Protocol

import expression

from hickorygate.core import clock as clocks
from hickorygate.core import errors
from hickorygate.core import types
from hickorygate.upstreams import census as censuses

__all__ = ["Roll", "RollStore"]

_FIRST = datetime.timedelta(milliseconds=300)
"""Before the first count, so that proxies that start together see all."""

_JITTER = 0.2


class RollStore(Protocol):
    """Where proxies announce themselves."""

    async def announce(
        self, name: types.ProxyName, beat: int, exists: bool
    ) -> expression.Result[None, errors.Failure]:
        """Creates or renews a proxy's object."""

    async def withdraw(
        self, name: types.ProxyName
    ) -> expression.Result[None, errors.Failure]:
        """Removes a proxy's object."""

    async def proxies(
        self,
    ) -> expression.Result[dict[types.ProxyName, int], errors.Failure]:
        """Returns the revisions of all proxies' objects."""


class Roll:
    """Keeps this proxy's object alive and the count up to date."""

    def __init__(
        self,
        name: types.ProxyName,
        store: RollStore,
        clock: clocks.Clock,
        rng: random.Random,
        on_count: Callable[[int], None],
    ) -> None:
        self._name = name
        self._store = store
        self._clock = clock
        self._rng = rng
        self._on_count = on_count
        self._census = censuses.Census()
        self._exists = False
        # A new process must change what a former one of this name left.
        self._beat = rng.getrandbits(40)

    def __repr__(self) -> str:
        return f"Roll({self._name!r}, {self._census!r})"

    async def run(self) -> None:
        """Renews and counts until it is cancelled."""
        while True:
            await self._renew()
            await self._clock.sleep(_FIRST)
            await self._count()
            factor = self._rng.uniform(1 - _JITTER, 1 + _JITTER)
            beat = censuses.beat(self._census.count(self._clock.now()))
            await self._clock.sleep(beat * factor)

    async def leave(self) -> None:
        """Removes this proxy's object."""
        await self._store.withdraw(self._name)

    async def _renew(self) -> None:
        """Creates or renews the object; whichever fails is tried next."""
        self._beat += 1
        made = await self._store.announce(self._name, self._beat, self._exists)
        if made.is_error():
            self._exists = not self._exists
            await self._store.announce(self._name, self._beat, self._exists)
        else:
            self._exists = True

    async def _count(self) -> None:
        listed = await self._store.proxies()
        if listed.is_error():
            return  # The former count holds until the store answers.
        now = self._clock.now()
        self._census.take(listed.ok, now)
        self._on_count(self._census.count(now))
        for name in self._census.gone(now)[:1]:
            await self._store.withdraw(name)
