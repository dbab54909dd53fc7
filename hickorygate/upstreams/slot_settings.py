"""Time limits for holding the slots of a database."""

from __future__ import annotations

import dataclasses
import datetime

__all__ = ["SlotSettings"]


@dataclasses.dataclass(frozen=True, slots=True)
class SlotSettings:
    """Time limits for holding slots.

    Attributes:
      idle: time after which an unused slot is released, if no other
        proxy was waiting when the slot was granted.
      check: hold time of an uncontended slot; when a request
        ends after this time, the slot is offered to waiting proxies.
      contended_hold: hold time of a contended slot; when a request ends
        after this time, the slot is offered to waiting proxies.
      reopen: delay before a connection that failed to open is tried
        again.
    """

    idle: datetime.timedelta = datetime.timedelta(milliseconds=50)
    check: datetime.timedelta = datetime.timedelta(milliseconds=20)
    contended_hold: datetime.timedelta = datetime.timedelta(milliseconds=10)
    reopen: datetime.timedelta = datetime.timedelta(milliseconds=100)
