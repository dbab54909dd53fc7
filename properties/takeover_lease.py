"""The promotion lease and the promotion call of the takeover model.

Each proxy uses the production `PromotionLease`. Its calls to the store end at
once; an order may stay without an answer for as long as the call's time-out.
Coroutines are run by hand, so no event loop is needed.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Generator
import dataclasses
import datetime
import enum
from typing import Any
from typing import Protocol
from typing import TypeVar

import expression

from hickorygate.core import errors
from hickorygate.core import events
from hickorygate.core import types
from hickorygate.upstreams import lease_record
from hickorygate.upstreams import member as members
from hickorygate.upstreams import promotion_lease
from hickorygate.upstreams import promotion_order

__all__ = ["LeaseTable", "OrderFate", "OrderTarget", "ProxyLease", "Suspended"]

_Result = TypeVar("_Result")


class OrderFate(enum.Enum):
    """What happens to a promotion order."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    LOST = "doesn't arrive, and there is no answer"
    UNANSWERED = "accepted, but there is no answer"
    SLOW = "accepted, but the answer is slow"
    LATE = "accepted, but the connection to the platform is slow"


@dataclasses.dataclass(frozen=True, slots=True)
class _Refused(errors.Failure):
    """The platform refused an order."""

    @property
    def message(self) -> str:
        """The description of the failure for people."""
        return "refused"


@dataclasses.dataclass(frozen=True, slots=True)
class _NoAnswer(errors.Failure):
    """A call had no answer."""

    @property
    def outcome(self) -> errors.Outcome:
        """Whether the call ran."""
        return errors.Outcome.UNKNOWN

    @property
    def message(self) -> str:
        """The description of the failure for people."""
        return "no answer"


_ANSWERS: dict[OrderFate, expression.Result[None, errors.Failure]] = {
    OrderFate.ACCEPTED: expression.Ok(None),
    OrderFate.REFUSED: expression.Error(_Refused()),
    OrderFate.LOST: expression.Error(_NoAnswer()),
    OrderFate.UNANSWERED: expression.Error(_NoAnswer()),
    OrderFate.SLOW: expression.Ok(None),
    OrderFate.LATE: expression.Ok(None),
}


class OrderTarget(Protocol):
    """The platform, which accepts orders."""

    @property
    def now(self) -> datetime.datetime:
        """The simulated time."""

    def accept_order(self, name: members.MemberId) -> bool:
        """Returns whether it accepts the order to promote a database."""


class LeaseTable:
    """The store's record of the lease."""

    def __init__(self) -> None:
        self._stored: lease_record.StoredLeaseRecord | None = None
        self._revision = 0

    def read(self) -> lease_record.LeaseReading:
        """Returns the record."""
        return lease_record.LeaseReading(self._stored)

    def write(
        self, record: lease_record.LeaseRecord, revision: int | None
    ) -> expression.Result[lease_record.LeaseReading, errors.Failure]:
        """Stores a record if the stored revision is still `revision`."""
        known = self._stored.revision if self._stored else None
        if known != revision:
            return expression.Error(lease_record.LeaseConflict())
        self._revision += 1
        self._stored = lease_record.StoredLeaseRecord(record, self._revision)
        return expression.Ok(self.read())


class _Suspension:
    """A point at which a coroutine waits until it is resumed."""

    def __await__(self) -> Generator[_Suspension, None, None]:
        yield self


class Suspended:
    """A coroutine that waits for an answer."""

    def __init__(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        self._coroutine = coroutine

    def resume(self) -> Any:
        """Returns the coroutine's result, after its answer has arrived."""
        return _run(self._coroutine)

    def close(self) -> None:
        """Abandons the coroutine."""
        self._coroutine.close()


class _SteadyClock:
    """The clock of a proxy. It differs from others', but doesn't step."""

    def __init__(
        self, target: OrderTarget, difference: datetime.timedelta
    ) -> None:
        self._target = target
        self._difference = difference

    def now(self) -> datetime.datetime:
        """Returns the proxy's time."""
        return self._target.now + self._difference

    async def sleep(self, duration: datetime.timedelta) -> None:
        """Gives up: the model tries again at another time."""
        await _Suspension()


class _NoJournal:
    """Drops all events."""

    def record(self, event: events.Event) -> None:
        """Drops an event."""


class ProxyLease:
    """The promotion lease of one proxy, and its calls to the platform.

    Attributes:
      clock: clock of the proxy.
      cut: whether the proxy doesn't reach the store.
      fate: what happens to the next order.
    """

    def __init__(
        self,
        name: types.ProxyName,
        incarnation: str,
        table: LeaseTable,
        target: OrderTarget,
        difference: datetime.timedelta,
    ) -> None:
        self.clock = _SteadyClock(target, difference)
        self.cut = False
        self.fate = OrderFate.ACCEPTED
        self._table = table
        self._target = target
        self._lease = promotion_lease.PromotionLease(
            lease_record.LeaseState(name, incarnation),
            self,
            self.clock,
            _NoJournal(),
        )

    def acquire(self, needed: Callable[[], bool]) -> bool:
        """Returns whether the lease is held now."""
        result = _run(self._lease.acquire(needed))
        if isinstance(result, Suspended):
            result.close()
            return False
        return result

    def release(self) -> None:
        """Ends the use of the lease."""
        _run(self._lease.release())

    @property
    def tenure(self) -> int:
        """The number of times that the lease was acquired."""
        return self._lease.tenure

    def note_primary(self, name: members.MemberId) -> None:
        """Notes that a database leads that was to be promoted."""
        self._lease.note_primary("s", name)

    def order(
        self, name: members.MemberId, wanted: Callable[[], bool]
    ) -> promotion_order.OrderOutcome | Suspended:
        """Orders a promotion as the promoter does.

        Args:
          name: database to promote.
          wanted: returns whether the order is still wanted.

        Returns:
          What the promoter is told; `Suspended` while there is no answer.
        """
        return _run(self._order(name, wanted))

    async def _order(
        self, name: members.MemberId, wanted: Callable[[], bool]
    ) -> promotion_order.OrderOutcome:
        if not await self._lease.renew():
            return promotion_order.OrderOutcome.REFUSED
        return await self._lease.promote("s", name, wanted)

    async def read_lease(
        self,
    ) -> expression.Result[lease_record.LeaseReading, errors.Failure]:
        """Returns the record of the lease."""
        if self.cut:
            return expression.Error(_NoAnswer())
        return expression.Ok(self._table.read())

    async def write_lease(
        self, record: lease_record.LeaseRecord, revision: int | None
    ) -> expression.Result[lease_record.LeaseReading, errors.Failure]:
        """Stores the record of the lease."""
        if self.cut:
            return expression.Error(_NoAnswer())
        return self._table.write(record, revision)

    async def promote(
        self,
        service: types.ServiceName,
        member: members.MemberId,
        record: lease_record.LeaseRecord,
        may_send: Callable[[], bool],
    ) -> expression.Result[None, errors.Failure]:
        """Orders a promotion; `fate` tells what happens."""
        fate = self.fate
        if fate is OrderFate.LATE:
            await _Suspension()
        if not may_send():
            return expression.Error(_Refused())
        arrives = fate not in (OrderFate.LOST, OrderFate.REFUSED)
        accepted = arrives and self._target.accept_order(member)
        if fate in (OrderFate.LOST, OrderFate.UNANSWERED, OrderFate.SLOW):
            await _Suspension()
        if arrives and not accepted and fate is not OrderFate.UNANSWERED:
            return expression.Error(_Refused())
        return _ANSWERS[fate]


def _run(coroutine: Coroutine[Any, Any, _Result]) -> _Result | Any:
    """Runs a coroutine until it ends or waits.

    Returns:
      Its result; `Suspended` if it waits.
    """
    try:
        coroutine.send(None)
    except StopIteration as end:
        return end.value
    return Suspended(coroutine)
