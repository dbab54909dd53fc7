"""What a proxy remembers of one caller's session, without I/O."""

from __future__ import annotations

import dataclasses
import datetime

from hickorygate.core import catalog as catalogs
from hickorygate.core import operation as operations
from hickorygate.core import position as positions
from hickorygate.core import types
from hickorygate.upstreams import evidence as evidences
from hickorygate.upstreams import lender as lenders

__all__ = ["Call", "DialogState", "Transaction"]


@dataclasses.dataclass(slots=True)
class Call:
    """One request on its way.

    Attributes:
      id: the caller's id of it.
      arrived: when it was read.
      deadline: when it is given up.
      served_by: the database that was asked last; empty if none was.
      floor: what it had to see at least.
      tries: databases that were asked.
    """

    id: str
    arrived: datetime.datetime
    deadline: datetime.datetime
    served_by: str = ""
    floor: evidences.Floor | None = None
    tries: int = 0


@dataclasses.dataclass(slots=True)
class Transaction:
    """An open transaction.

    Attributes:
      route: the terms that it began under.
      read_only: whether it may not write.
      opened: when it was asked for.
      active: when it was last used.
      loan: its connection; None before its first statement and after it
        was given up.
      leader: the primary that it runs on; None on a replica.
      failed: whether only its end may follow.
      untold: whether it was given up and the caller doesn't know yet.
      wrote: whether a write ran in it.
      confirmed: whether its database is known to have been the primary.
    """

    route: catalogs.Route
    read_only: bool
    opened: datetime.datetime
    active: datetime.datetime
    loan: lenders.Loan | None = None
    leader: evidences.Leader | None = None
    failed: bool = False
    untold: bool = False
    wrote: bool = False
    confirmed: bool = False


@dataclasses.dataclass(slots=True)
class DialogState:
    """What is remembered of one session.

    Attributes:
      database: the name that the caller connected to.
      values: session values by name.
      shapes: prepared statements by the caller's name.
      floors: by service, the newest commit of this session.
      transaction: the open one, if any.
    """

    database: types.SchemaName
    values: dict[str, str] = dataclasses.field(default_factory=dict)
    shapes: dict[str, operations.Shape] = dataclasses.field(
        default_factory=dict
    )
    floors: dict[types.ServiceName, positions.Position] = dataclasses.field(
        default_factory=dict
    )
    transaction: Transaction | None = None

    def raise_floor(
        self, service: types.ServiceName, position: positions.Position | None
    ) -> None:
        """Takes in the position of a commit of this session."""
        if position is None:
            return
        known = self.floors.get(service)
        if known is None or position > known:
            self.floors[service] = position
