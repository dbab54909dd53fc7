"""Decides when a takeover orders the promotion, without I/O.

An order that was sent can't be taken back. While one may take effect, the
takeover must not order another database: the second one may lack what the first
one acknowledges. An order without an answer may be repeated for the same
database, since the platform ignores it if that database leads already.
"""

from __future__ import annotations

import datetime

from hickorygate.upstreams import promotion_order
from hickorygate.upstreams import takeover_timing

__all__ = ["PromotionAttempt"]

_RETRY_INTERVAL = datetime.timedelta(milliseconds=150)
"""Minimum time between the end of an order and the next one."""


class PromotionAttempt:
    """The orders of one takeover."""

    __slots__ = ("_accepted", "_effective_until", "_ended", "_outstanding")

    def __init__(self) -> None:
        self._outstanding = False
        self._accepted = False
        self._ended: datetime.datetime | None = None
        self._effective_until: datetime.datetime | None = None

    @property
    def binding(self) -> bool:
        """Whether an order was made that may take effect."""
        return self._outstanding or self._effective_until is not None

    def __repr__(self) -> str:
        return (
            f"PromotionAttempt(outstanding={self._outstanding}, "
            f"accepted={self._accepted})"
        )

    def start_order(self, now: datetime.datetime) -> bool:
        """Returns whether to send an order now, and records it."""
        if self._outstanding or self._accepted or not self._is_due(now):
            return False
        self._outstanding = True
        return True

    def end_order(
        self, outcome: promotion_order.OrderOutcome, now: datetime.datetime
    ) -> None:
        """Records what became of the order."""
        self._outstanding = False
        self._ended = now
        if outcome is promotion_order.OrderOutcome.REFUSED:
            return
        self._accepted = outcome is promotion_order.OrderOutcome.ACCEPTED
        # It was sent before now, so it takes effect before this time.
        self._effective_until = now + takeover_timing.EFFECT_SPAN

    def may_choose_anew(self, now: datetime.datetime) -> bool:
        """Returns whether another database may be chosen after a refusal."""
        return not self.binding and self._is_due(now)

    def overdue(self, now: datetime.datetime) -> bool:
        """Returns whether no order can take effect any more."""
        return (
            not self._outstanding
            and self._effective_until is not None
            and now >= self._effective_until
        )

    def _is_due(self, now: datetime.datetime) -> bool:
        return self._ended is None or now - self._ended >= _RETRY_INTERVAL
