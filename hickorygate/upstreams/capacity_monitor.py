"""Keeps the learned limits of one service's databases up to date.

The decisions are made in `core.capacity`; this module runs them on the event
loop.
"""

from __future__ import annotations

from collections.abc import Mapping
import datetime
import random

from hickorygate.core import capacity as capacities
from hickorygate.core import clock as clocks
from hickorygate.core import events
from hickorygate.core import loop_delay
from hickorygate.core import platform_events
from hickorygate.core import types
from hickorygate.upstreams import connection_pool
from hickorygate.upstreams import member as members

__all__ = ["CapacityMonitor"]

_INTERVAL = datetime.timedelta(milliseconds=100)
"""Interval at which learned limits are adapted without a statement."""


class CapacityMonitor:
    """The estimates of a service's databases; none if limits are fixed."""

    def __init__(
        self,
        service: types.ServiceName,
        settings: capacities.CapacitySettings | None,
        clock: clocks.Clock,
        journal: events.Journal,
        rng: random.Random | None = None,
    ) -> None:
        self._service = service
        self._clock = clock
        self._journal = journal
        self._capacity: capacities.ServiceCapacity | None = None
        if settings is not None:
            self._capacity = capacities.ServiceCapacity(
                settings,
                rng or random.Random(),
                loop_delay.LoopDelay(_INTERVAL, settings.loop_delay),
            )

    @property
    def active(self) -> bool:
        """Whether limits are learned."""
        return self._capacity is not None

    def __repr__(self) -> str:
        return f"CapacityMonitor({self._capacity!r})"

    def add(
        self, member: members.Member, proxies: int
    ) -> capacities.CapacityEstimate | None:
        """Returns a new estimate of a database; None if limits are fixed."""
        if self._capacity is None:
            return None
        now = self._clock.now()
        return self._capacity.add(member.id, member.slots, proxies, now)

    def remove(self, name: members.MemberId) -> None:
        """Removes the estimate of a database that left."""
        if self._capacity is not None:
            self._capacity.remove(name)

    async def run(
        self, pools: Mapping[members.MemberId, connection_pool.ConnectionPool]
    ) -> None:
        """Adapts the learned limits and records their changes."""
        assert self._capacity is not None, "limits are fixed"
        while True:
            await self._clock.sleep(_INTERVAL)
            now = self._clock.now()
            self._capacity.update(now)
            for name, pool in pools.items():
                pool.permits.refresh()
                if pool.capacity is not None:
                    self._record(name, pool.capacity.take_change(now))

    def _record(
        self, name: members.MemberId, change: capacities.CapacityChange | None
    ) -> None:
        if change is None:
            return
        self._journal.record(
            platform_events.CapacityChanged(
                self._service,
                name,
                change.former,
                change.limit,
                change.state.value,
                round(change.ratio, 2),
                round(change.failing_share, 2),
                change.in_flight,
            )
        )
