"""Ranks: the priority classes of requests."""

from __future__ import annotations

import dataclasses
import datetime

from hickorygate.core import types

__all__ = ["Rank"]


@dataclasses.dataclass(frozen=True, slots=True)
class Rank:
    """A priority class of requests.

    Attributes:
      name: name of the rank in the sheet.
      order: order of urgency; 0 is the most urgent.
      target: time within which requests of the rank should be answered.
      floor: share of capacity guaranteed to the rank under overload, 0 to 1.
    """

    name: types.RankName
    order: int
    target: datetime.timedelta
    floor: float
