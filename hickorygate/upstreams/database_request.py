"""Typed requests to a database; the platform package encodes them."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import functools
from typing import Protocol
from typing import TypeAlias

import expression

from hickorygate.core import errors
from hickorygate.core import operation
from hickorygate.core import position
from hickorygate.core import reply
from hickorygate.core import types
from hickorygate.upstreams import member as members

__all__ = [
    "Begin",
    "CheckOrder",
    "ConnectResult",
    "Connection",
    "Connector",
    "Demote",
    "Execute",
    "OpenSession",
    "Pause",
    "Prepare",
    "ReadStatus",
    "ReplyResult",
    "Request",
    "Reset",
    "Rollback",
    "RunStatement",
    "SetValue",
    "StatusRequest",
    "failure_of",
    "id_of",
]

ReplyResult: TypeAlias = expression.Result[reply.Reply, errors.Failure]
"""A database's reply, or the failure to get one."""


def failure_of(result: ReplyResult) -> errors.Failure | None:
    """Returns why a request was refused or not answered; None if it ran."""
    if result.is_error():
        return result.error
    answer = result.ok.result
    return answer.error if answer.is_error() else None


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """Base class of the requests."""


@dataclasses.dataclass(frozen=True, slots=True)
class RunStatement(Request):
    """Runs a caller's statement.

    Attributes:
      id: request id that the caller assigned.
      text: text of the statement, unchanged.
      floor: position that the database must have reached; otherwise it
        refuses the statement as lagging. None if any position is sufficient.
      ends_transaction: whether no transaction is open once it has succeeded.
    """

    id: str
    text: str
    floor: position.Position | None = None
    ends_transaction: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Execute(Request):
    """Executes a caller's prepared statement.

    Attributes:
      id: request id that the caller assigned.
      name: name under which the statement was prepared on the connection.
      arguments: text of the arguments, unchanged.
      floor: as for `RunStatement`.
    """

    id: str
    name: str
    arguments: str
    floor: position.Position | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Begin(Request):
    """Opens a transaction; a replica refuses one that is not read-only.

    Attributes:
      read_only: whether the transaction only reads.
      floor: as for `RunStatement`.
    """

    read_only: bool = False
    floor: position.Position | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Rollback(Request):
    """Rolls back the open transaction, if any."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reset(Request):
    """Clears the session variables and prepared statements."""


@dataclasses.dataclass(frozen=True, slots=True)
class SetValue(Request):
    """Sets a session variable."""

    name: str
    value: str


@dataclasses.dataclass(frozen=True, slots=True)
class Prepare(Request):
    """Prepares a statement under a name."""

    name: str
    prepared: operation.PreparedStatement


@dataclasses.dataclass(frozen=True, slots=True)
class OpenSession(Request):
    """Opens the session; the first request of each connection.

    The database refuses a session that was meant for another database.

    Attributes:
      service: service that the database belongs to.
      workspace: workspace that the connection serves; empty for none.
      member: id of the database.
    """

    service: types.ServiceName
    workspace: types.WorkspaceName
    member: members.MemberId


@dataclasses.dataclass(frozen=True, slots=True)
class CheckOrder(Request):
    """Changes nothing; its reply confirms that those before it were in order.

    It takes no slot of the database.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class StatusRequest(Request):
    """Base class of the requests that are answered with a status."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadStatus(StatusRequest):
    """Requests the replication status; uses a slot of the database."""


@dataclasses.dataclass(frozen=True, slots=True)
class Pause(StatusRequest):
    """Pauses replication on a replica until a primary of `term` leads.

    Attributes:
      term: term of the primary that ends the pause.
    """

    term: types.Term


@dataclasses.dataclass(frozen=True, slots=True)
class Demote(StatusRequest):
    """Makes a primary of a lower term a replica.

    Attributes:
      term: a primary of a term below this one is demoted.
    """

    term: types.Term


@functools.singledispatch
def id_of(request: Request) -> str:
    """Returns the id that a caller gave to a request; empty if none did."""
    return ""


@id_of.register(RunStatement)
@id_of.register(Execute)
def _(request: RunStatement | Execute) -> str:
    return request.id


class Connection(Protocol):
    """A connection to one database; replies arrive in request order."""

    @property
    def closed(self) -> bool:
        """Whether the connection is closed and unusable."""

    async def ask(self, *requests: Request) -> list[ReplyResult]:
        """Sends requests in one batch and returns their results in order."""

    def close(self) -> None:
        """Closes the connection; outstanding requests fail as lost."""


ConnectResult: TypeAlias = expression.Result[Connection, errors.Failure]
"""An opened connection, or the failure to open one."""


class Connector(Protocol):
    """Opens connections to databases."""

    async def open(
        self,
        member: members.Member,
        on_connect: Callable[[], None],
        workspace: types.WorkspaceName = "",
    ) -> ConnectResult:
        """Connects to a database and verifies its identity.

        Args:
          member: database to connect to.
          on_connect: called once the database's host has answered; the session
            may then still wait for a free slot.
          workspace: workspace that the database is told; empty for none.
        """
