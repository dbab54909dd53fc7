"""What this proxy asks of a database: typed requests, encoded elsewhere."""

from __future__ import annotations

import dataclasses
from typing import Protocol
from typing import TypeAlias

import expression

from hickorygate.core import errors
from hickorygate.core import operation as operations
from hickorygate.core import position as positions
from hickorygate.core import reply as replies
from hickorygate.core import types
from hickorygate.upstreams import member as members

__all__ = [
    "Begin",
    "Connection",
    "Connector",
    "Demote",
    "Execute",
    "Pause",
    "Prepare",
    "ReadStatus",
    "ReplyResult",
    "Request",
    "Reset",
    "Rollback",
    "Run",
    "SetValue",
    "failure_of",
]

ReplyResult: TypeAlias = expression.Result[replies.Reply, errors.Failure]
"""A database's reply, or the failure to get one."""


def failure_of(result: ReplyResult) -> errors.Failure | None:
    """Returns why a request wasn't run, or wasn't answered; None if it was."""
    if result.is_error():
        return result.error
    answer = result.ok.result
    return answer.error if answer.is_error() else None


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """Base of the requests."""


@dataclasses.dataclass(frozen=True, slots=True)
class Run(Request):
    """A caller's statement.

    Attributes:
      id: the caller's id of it.
      text: the statement, unchanged.
      floor: the database must hold this position, or refuse as lagging.
    """

    id: str
    text: str
    floor: positions.Position | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Execute(Request):
    """A caller's prepared statement.

    Attributes:
      id: the caller's id of it.
      name: under which it was prepared on the connection.
      arguments: unchanged.
      floor: as for `Run`.
    """

    id: str
    name: str
    arguments: str
    floor: positions.Position | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Begin(Request):
    """Opens a transaction; a replica refuses one that may write."""

    read_only: bool = False
    floor: positions.Position | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Rollback(Request):
    """Drops the open transaction, if any."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reset(Request):
    """Clears session values and prepared names."""


@dataclasses.dataclass(frozen=True, slots=True)
class SetValue(Request):
    """Sets a session value."""

    name: str
    value: str


@dataclasses.dataclass(frozen=True, slots=True)
class Prepare(Request):
    """Prepares a statement under a name."""

    name: str
    shape: operations.Shape


@dataclasses.dataclass(frozen=True, slots=True)
class ReadStatus(Request):
    """Asks for the place in the group; takes a slot."""


@dataclasses.dataclass(frozen=True, slots=True)
class Pause(Request):
    """Stops a replica from receiving until a primary of `term` leads."""

    term: types.Term


@dataclasses.dataclass(frozen=True, slots=True)
class Demote(Request):
    """Makes a primary of a term below `term` a replica."""

    term: types.Term


class Connection(Protocol):
    """A connection to one database; answers come in the order of requests."""

    @property
    def closed(self) -> bool:
        """Whether it can't be used any more."""

    async def ask(self, *requests: Request) -> list[ReplyResult]:
        """Sends requests together and returns their replies."""

    def close(self) -> None:
        """Closes it; what is outstanding fails as lost."""


class Connector(Protocol):
    """Opens connections."""

    async def open(
        self, member: members.Member
    ) -> expression.Result[Connection, errors.Failure]:
        """Connects to a database and checks that it is the one meant."""
