"""A rank of work: how urgent it is and what it keeps under overload."""

from __future__ import annotations

import dataclasses
import datetime

from hickorygate.core import types

__all__ = ["Rank"]


@dataclasses.dataclass(frozen=True, slots=True)
class Rank:
    """A rank of work.

    Attributes:
      name: its name in the sheet.
      order: 0 is the most urgent.
      target: the time within which its requests should be answered.
      floor: the share of capacity that it keeps under overload, 0 to 1.
    """

    name: types.RankName
    order: int
    target: datetime.timedelta
    floor: float
