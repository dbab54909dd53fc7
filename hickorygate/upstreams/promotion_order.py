"""What is known of the orders to promote a database, without I/O."""

from __future__ import annotations

import dataclasses
import datetime
import enum

from hickorygate.core import types
from hickorygate.upstreams import member as members
from hickorygate.upstreams import takeover_timing

__all__ = ["OrderOutcome", "PendingOrder", "PendingOrders"]


class OrderOutcome(enum.Enum):
    """What is known of an order to promote a database.

    Attributes:
      ACCEPTED: the platform accepted it; it takes effect soon.
      REFUSED: it wasn't sent, or the platform refused it; it takes no effect.
      UNKNOWN: its answer was lost; it may take effect.
    """

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class PendingOrder:
    """An order that was sent.

    Attributes:
      service: service whose primary it replaces.
      member: database to promote.
      until: time after which it takes no effect.
    """

    service: types.ServiceName
    member: members.MemberId
    until: datetime.datetime


class PendingOrders:
    """The orders of this process that may still take effect."""

    __slots__ = ("_orders",)

    def __init__(self) -> None:
        self._orders: list[PendingOrder] = []

    def __repr__(self) -> str:
        return f"PendingOrders({self._orders!r})"

    def record_sent(
        self,
        service: types.ServiceName,
        member: members.MemberId,
        now: datetime.datetime,
    ) -> PendingOrder:
        """Records an order immediately before it is sent."""
        order = PendingOrder(service, member, now + takeover_timing.EFFECT_SPAN)
        self._orders.append(order)
        return order

    def record_refused(self, order: PendingOrder) -> None:
        """Records that an order takes no effect."""
        self._remove(order)

    def record_primary(
        self, service: types.ServiceName, member: members.MemberId
    ) -> None:
        """Records that a database was found to lead after it was ordered.

        If several orders are pending, it isn't known which one took effect.
        """
        match [order for order in self._orders if order.service == service]:
            case [order] if order.member == member:
                self._remove(order)

    def any_pending(self, now: datetime.datetime) -> bool:
        """Returns whether an order may still take effect."""
        return any(now < order.until for order in self._orders)

    def remaining(
        self, service: types.ServiceName, now: datetime.datetime
    ) -> datetime.timedelta:
        """Returns the time until no order for a service takes effect."""
        self._orders = [order for order in self._orders if now < order.until]
        return max(
            (o.until - now for o in self._orders if o.service == service),
            default=datetime.timedelta(),
        )

    def _remove(self, order: PendingOrder) -> None:
        self._orders = [other for other in self._orders if other is not order]
