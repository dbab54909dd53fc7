"""What is known of the orders to promote a database, without I/O."""

from __future__ import annotations

import enum

__all__ = ["OrderOutcome"]


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
