"""How a proxy ends without cutting a request: decisions without I/O."""

from __future__ import annotations

import dataclasses
import datetime

__all__ = ["Ending", "Shutdown"]

_NOTICE = datetime.timedelta(seconds=2.2)
"""The platform asks once a second and takes a proxy out after two misses."""

_NOTICE_SHARE = 0.4
"""Most of the grace period that the notice may take."""

_TRANSACTIONS_SHARE = 0.5
"""Of the grace period, that open transactions have to end."""

_CLOSED_SHARE = 0.75
"""Of the grace period, after which all idle sessions are closed."""

_MARGIN = datetime.timedelta(milliseconds=500)
"""Kept before the end of the grace period."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ending:
    """What to do at a moment of the shutdown.

    Attributes:
      close_share: part of the idle sessions to have closed, 0 to 1.
      drop_transactions: whether open transactions are given up.
      exit: whether to end whatever is left.
    """

    close_share: float
    drop_transactions: bool
    exit: bool


class Shutdown:
    """The schedule of one graceful shutdown."""

    __slots__ = ("_began", "_grace")

    def __init__(
        self, began: datetime.datetime, grace: datetime.timedelta
    ) -> None:
        self._began = began
        self._grace = grace

    def __repr__(self) -> str:
        return f"Shutdown(began={self._began}, grace={self._grace})"

    def at(self, now: datetime.datetime) -> Ending:
        """Returns what to do at a time."""
        passed = now - self._began
        notice = min(_NOTICE, self._grace * _NOTICE_SHARE)
        closed = self._grace * _CLOSED_SHARE
        share = (passed - notice) / max(closed - notice, _MARGIN)
        return Ending(
            close_share=min(max(share, 0.0), 1.0),
            drop_transactions=passed >= self._grace * _TRANSACTIONS_SHARE,
            exit=passed >= self._grace - _MARGIN,
        )
