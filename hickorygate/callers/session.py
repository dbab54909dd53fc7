"""The state that a proxy keeps for one caller; no I/O."""

from __future__ import annotations

import dataclasses
import datetime

from hickorygate.callers import hints as hints_lib
from hickorygate.core import assignment
from hickorygate.core import position as positions
from hickorygate.core import types

__all__ = ["Session"]


@dataclasses.dataclass(slots=True)
class Session:
    """The state of one caller's session.

    Attributes:
      user: name of the user that logged in.
      started_at: time at which the session started on this proxy.
      schema: selected schema; None if there is none.
      autocommit: whether each statement is its own transaction.
      in_transaction: whether a transaction is open.
      pinned: whether the session has a pinned connection, because it left
        state there that cannot be moved to another connection.
      floors: minimum log position that reads must reach, by group.
      groups_with_floor: groups whose floor is known, from a token or an
        observation.
      variables: session variables, which are set on each connection that is
        leased for the session.
      hints: hints set by session variables; they take precedence over
        `attribute_hints`.
      attribute_hints: hints set by connection attributes.
    """

    user: types.CallerName
    started_at: datetime.datetime
    schema: types.SchemaName | None = None
    autocommit: bool = True
    in_transaction: bool = False
    pinned: bool = False
    floors: dict[types.GroupName, positions.Position] = dataclasses.field(
        default_factory=dict
    )
    groups_with_floor: set[types.GroupName] = dataclasses.field(
        default_factory=set
    )
    variables: assignment.Variables = ()
    hints: hints_lib.Hints = hints_lib.Hints()
    attribute_hints: hints_lib.Hints = hints_lib.Hints()

    def floor(self, group: types.GroupName) -> positions.Position:
        """Returns the minimum position that reads in a group must reach."""
        return self.floors.get(group, positions.START)

    def raise_floor(
        self, group: types.GroupName, position: positions.Position
    ) -> None:
        """Raises the floor of a group to a position; never lowers it.

        Args:
          group: name of the group.
          position: position that the session has written or must read.
        """
        self.floors[group] = max(self.floor(group), position)
        self.groups_with_floor.add(group)

    def set_variable(self, variable: assignment.SessionVariable) -> None:
        """Stores a session variable, or removes it if it has no value."""
        others = [v for v in self.variables if v.name != variable.name]
        if variable.value is not None:
            others.append(variable)
        self.variables = tuple(others)
