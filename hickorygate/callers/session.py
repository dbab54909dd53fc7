"""What a proxy remembers of one caller, without I/O."""

from __future__ import annotations

import dataclasses
import datetime

from hickorygate.callers import hints as hints_lib
from hickorygate.core import assignment as assignments
from hickorygate.core import position as positions
from hickorygate.core import types

__all__ = ["Session"]


@dataclasses.dataclass(slots=True)
class Session:
    """One caller's session.

    Attributes:
      user: who logged in.
      arrived: when it came to this proxy.
      schema: the selected schema.
      autocommit: whether each statement is its own transaction.
      in_transaction: whether a transaction is open.
      pinned: whether it keeps a connection for what it left there.
      floors: the newest position that it must see in each group.
      settled: groups whose floor is known, by a token or an observation.
      variables: set again on each connection that the session is lent.
      hints: of the session variables; those of `attributes` come behind.
      attributes: hints of the connection.
    """

    user: types.CallerName
    arrived: datetime.datetime
    schema: types.SchemaName | None = None
    autocommit: bool = True
    in_transaction: bool = False
    pinned: bool = False
    floors: dict[types.GroupName, positions.Position] = dataclasses.field(
        default_factory=dict
    )
    settled: set[types.GroupName] = dataclasses.field(default_factory=set)
    variables: assignments.Variables = ()
    hints: hints_lib.Hints = hints_lib.Hints()
    attributes: hints_lib.Hints = hints_lib.Hints()

    def floor(self, group: types.GroupName) -> positions.Position:
        """Returns the least position that the session must see."""
        return self.floors.get(group, positions.START)

    def raise_floor(
        self, group: types.GroupName, position: positions.Position
    ) -> None:
        """Takes in a position that the session has written or must see."""
        self.floors[group] = max(self.floor(group), position)
        self.settled.add(group)

    def remember(self, variable: assignments.SessionVariable) -> None:
        """Takes in a variable; one without a value is forgotten."""
        kept = [v for v in self.variables if v.name != variable.name]
        if variable.value is not None:
            kept.append(variable)
        self.variables = tuple(kept)
