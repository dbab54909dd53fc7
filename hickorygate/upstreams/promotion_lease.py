"""Acquires, renews and releases the promotion lease of this process."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import datetime
from typing import Protocol

import expression

from hickorygate.core import clock as clocks
from hickorygate.core import errors
from hickorygate.core import events
from hickorygate.core import platform_events
from hickorygate.core import types
from hickorygate.upstreams import lease_record
from hickorygate.upstreams import member as members
from hickorygate.upstreams import promotion_order
from hickorygate.upstreams import takeover_order

__all__ = ["LeaseStore", "PromotionLease"]

_ACQUIRE_TIMEOUT = datetime.timedelta(seconds=10)
"""Maximum time to wait for the lease; the caller then evaluates anew whether
it needs the lease."""

_RETRY_DELAY = datetime.timedelta(milliseconds=150)
"""Delay before the next attempt after a failed call to the store."""

_MAX_RETRY_DELAY = datetime.timedelta(milliseconds=600)
"""Longest such delay; it doubles while reads of the record fail, since all
proxies may wait for a store that is down."""


_TURN_CHECK_INTERVAL = datetime.timedelta(milliseconds=50)
"""Interval at which a proxy that waits for its turn checks whether it still
needs the lease."""


class LeaseStore(Protocol):
    """The store of the lease record, which also accepts promotion orders."""

    async def read_lease(
        self,
    ) -> expression.Result[lease_record.LeaseReading, errors.Failure]:
        """Returns the record, if there is one, and the era of the store."""

    async def write_lease(
        self, record: lease_record.LeaseRecord, revision: int | None
    ) -> expression.Result[lease_record.LeaseReading, errors.Failure]:
        """Stores a record if the stored revision is still `revision`."""

    async def promote(
        self,
        service: types.ServiceName,
        member: members.MemberId,
        record: lease_record.LeaseRecord,
        may_send: Callable[[], bool],
    ) -> expression.Result[None, errors.Failure]:
        """Orders a promotion.

        Args:
          service: service whose primary is replaced.
          member: database to promote.
          record: record of the lease under which the order is made.
          may_send: called immediately before the order is sent; returns
            whether the lease is still held.
        """


def _always() -> bool:
    return True


class PromotionLease:
    """The promotion lease of this process, shared by all its takeovers."""

    def __init__(
        self,
        lease_state: lease_record.LeaseState,
        store: LeaseStore,
        clock: clocks.Clock,
        journal: events.Journal,
    ) -> None:
        self._lease_state = lease_state
        self._store = store
        self._clock = clock
        self._journal = journal
        self._order = takeover_order.TakeoverOrder(lease_state.name)
        self._orders: dict[types.ServiceName, takeover_order.TakeoverOrder] = {}
        self._use_count = 0
        self._pending = promotion_order.PendingOrders()
        self._retry_delay = _RETRY_DELAY
        self._lock = asyncio.Lock()

    @property
    def held(self) -> bool:
        """Whether the lease is held long enough for another call."""
        return self._lease_state.may_call(self._clock.now())

    @property
    def number(self) -> int:
        """The fencing token of the last known record; 0 if there is none."""
        record = self._lease_state.record
        return record.number if record else 0

    @property
    def tenure(self) -> int:
        """A number that rises if another process may have held the lease."""
        return self._lease_state.tenure

    def __repr__(self) -> str:
        return f"PromotionLease({self._lease_state!r})"

    def set_proxies(self, live: Iterable[types.ProxyName]) -> None:
        """Sets the names of the proxies that may also acquire the lease."""
        self._order.set_proxies(live)

    def set_monitors(
        self, service: types.ServiceName, live: Iterable[types.ProxyName]
    ) -> None:
        """Sets the names of the proxies that monitor the group of a service.

        Without this call, these are all proxies.
        """
        order = self._orders.get(service)
        if order is None:
            order = takeover_order.TakeoverOrder(self._lease_state.name)
            self._orders[service] = order
        order.set_proxies(live)

    def order(self, service: types.ServiceName) -> takeover_order.TakeoverOrder:
        """Returns the place of this proxy in the order for a group."""
        return self._orders.get(service, self._order)

    def note_era(self, era: int) -> None:
        """Notes the era that the store told in a response."""
        self._lease_state.record_era(era, self._clock.now())

    async def acquire(
        self, needed: Callable[[], bool], service: types.ServiceName = ""
    ) -> bool:
        """Acquires the lease once it is this proxy's turn.

        Args:
          needed: returns whether the caller still needs the lease; the
            attempt ends otherwise.
          service: service whose primary is replaced.

        Returns:
          Whether the lease is held; if so, `release` must be called later.
          False while an order for the service may still take effect.
        """
        await self._wait_for_turn(needed, self.order(service).delay)
        if not await self._wait_for_effect(needed, service):
            return False
        async with self._lock:
            held = self.held or await self._acquire(needed)
        if held:
            self._use_count += 1
        return held

    async def release(self) -> None:
        """Ends one use of the lease and releases it after the last one.

        While an order can still take effect, the lease is left to expire
        instead: no higher fencing token may be issued before it does.
        """
        self._use_count -= 1
        async with self._lock:
            if self._use_count or self._pending.any_pending(self._clock.now()):
                return
            write = self._lease_state.release()
            if write is not None:
                await self._write(write)

    async def renew(self) -> bool:
        """Renews the lease unless the store confirmed it a moment ago.

        A lease that nobody uses any more isn't renewed.

        Returns:
          Whether an order may be sent.
        """
        if self._may_order():
            return True
        async with self._lock:
            if self._use_count == 0:
                return False
            return self._may_order() or await self._attempt() is None

    async def promote(
        self,
        service: types.ServiceName,
        member: members.MemberId,
        wanted: Callable[[], bool] = _always,
    ) -> promotion_order.OrderOutcome:
        """Orders a promotion under the fencing token of the lease.

        Args:
          service: service whose primary is replaced.
          member: database to promote.
          wanted: checked right before the order is sent; returns whether it is
            still wanted.
        """
        record = self._lease_state.record
        if record is None or not self._may_order():
            return promotion_order.OrderOutcome.REFUSED
        sent: list[promotion_order.PendingOrder] = []

        def may_send() -> bool:
            # The store checks the lease again after connecting, because this
            # process may have been suspended in the meantime.
            if not self._may_order_as(record) or not wanted():
                return False
            now = self._clock.now()
            sent.append(self._pending.record_sent(service, member, now))
            return True

        ordered = await self._store.promote(service, member, record, may_send)
        outcome = _outcome(ordered)
        if outcome is promotion_order.OrderOutcome.REFUSED:
            for order in sent:
                self._pending.record_refused(order)
        return outcome

    def note_primary(
        self, service: types.ServiceName, member: members.MemberId
    ) -> None:
        """Notes that a database leads that was to be promoted."""
        self._pending.record_primary(service, member)

    def _may_order(self) -> bool:
        return self._lease_state.may_order(self._clock.now())

    def _may_order_as(self, record: lease_record.LeaseRecord) -> bool:
        """Returns whether an order may be sent with a record's number."""
        return self.number == record.number and self._may_order()

    async def _wait_for_turn(
        self, needed: Callable[[], bool], delay: datetime.timedelta
    ) -> None:
        """Waits until other proxies had the time to acquire the lease."""
        turn = self._clock.now() + delay
        while needed() and not self.held:
            left = turn - self._clock.now()
            if left <= datetime.timedelta():
                return
            await self._clock.sleep(min(left, _TURN_CHECK_INTERVAL))

    async def _wait_for_effect(
        self, needed: Callable[[], bool], service: types.ServiceName
    ) -> bool:
        """Waits until no order of this process for a service takes effect.

        Returns:
          Whether none does; False if the caller doesn't need to know any more.
        """
        while left := self._pending.remaining(service, self._clock.now()):
            if not needed():
                return False
            await self._clock.sleep(min(left, _TURN_CHECK_INTERVAL))
        return True

    async def _acquire(self, needed: Callable[[], bool]) -> bool:
        give_up_at = self._clock.now() + _ACQUIRE_TIMEOUT
        while needed() and self._clock.now() < give_up_at:
            wait = await self._attempt()
            if wait is None:
                self._journal.record(platform_events.DutyWon(self.number))
                return True
            await self._clock.sleep(wait)
        return False

    async def _attempt(self) -> datetime.timedelta | None:
        """Makes one attempt to acquire or renew the lease.

        Returns:
          Time until the next attempt; None if the lease is held.
        """
        read = await self._store.read_lease()
        if read.is_error():
            self._journal.record(platform_events.DutyLost(read.error.message))
            delay = self._retry_delay
            self._retry_delay = min(2 * delay, _MAX_RETRY_DELAY)
            return delay
        self._retry_delay = _RETRY_DELAY
        if not self._lease_state.record_read(read.ok, self._clock.now()):
            return _RETRY_DELAY
        match self._lease_state.decide(self._clock.now()):
            case lease_record.Wait(duration):
                return duration
            case lease_record.Write() as write:
                await self._write(write)
        return None if self.held else _RETRY_DELAY

    async def _write(self, write: lease_record.Write) -> None:
        sent = self._clock.now()
        written = await self._store.write_lease(write.record, write.revision)
        if written.is_ok():
            self._lease_state.record_era(written.ok.era, self._clock.now())
            self._lease_state.record_write(written.ok, sent)
            return
        self._journal.record(platform_events.DutyLost(written.error.message))


def _outcome(
    ordered: expression.Result[None, errors.Failure],
) -> promotion_order.OrderOutcome:
    if ordered.is_ok():
        return promotion_order.OrderOutcome.ACCEPTED
    if ordered.error.outcome is errors.Outcome.NOT_RUN:
        return promotion_order.OrderOutcome.REFUSED
    return promotion_order.OrderOutcome.UNKNOWN
