"""State of one caller's session; this module does no I/O."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import datetime
from typing import Protocol

from hickorygate.core import catalog
from hickorygate.core import operation
from hickorygate.core import position as positions
from hickorygate.core import reply as replies
from hickorygate.core import types
from hickorygate.core import workspace as workspaces
from hickorygate.upstreams import group_state
from hickorygate.upstreams import pooled_connection as pooled_connections

__all__ = [
    "CallerRequest",
    "CallerSessionState",
    "OpenTransaction",
    "RemoteTransaction",
]


class RemoteTransaction(Protocol):
    """A transaction that is open at a serving proxy."""

    @property
    def workspace(self) -> types.WorkspaceName:
        """Workspace that the transaction runs for; empty for none."""

    def abort(self) -> None:
        """Makes the proxy roll it back, without waiting for that."""


@dataclasses.dataclass(slots=True)
class CallerRequest:
    """One request of a caller while the proxy processes it.

    Attributes:
      id: request id that the caller assigned.
      arrived: time at which the request was read from the connection.
      deadline: time after which the proxy stops processing the request.
      served_by: id of the last database that the request was sent to; empty
        if it was sent to none.
      floor: lowest log position that the request's reads must see; None if
        no floor was needed.
      tries: number of attempts to run the request at a database.
      workspace: workspace of the caller; empty if it has none.
      in_flight: whether the statement was sent to a database and its answer
        isn't decided yet.
      recall: asks the serving proxy that the statement was sent to not to run
        it any more; None if there is none.
    """

    id: str
    arrived: datetime.datetime
    deadline: datetime.datetime
    served_by: str = ""
    floor: group_state.Floor | None = None
    tries: int = 0
    workspace: types.WorkspaceName = ""
    in_flight: bool = False
    recall: Callable[[replies.Rejection], None] | None = None


@dataclasses.dataclass(slots=True)
class OpenTransaction:
    """An open transaction.

    Attributes:
      route: route that was in force when the transaction was begun.
      read_only: whether the caller declared the transaction read-only.
      opened: time at which the caller sent BEGIN.
      last_active: time at which the last statement of the transaction ended.
      pooled_connection: database connection of the transaction; None before the
        first statement and after an abort.
      remote: the transaction at the serving proxy that runs it; None if it
        runs here, has not started or is aborted.
      leader: primary and term that the transaction runs on; None if it runs
        on a replica.
      failed: whether the transaction is aborted, so that only COMMIT or
        ROLLBACK may follow.
      abort_unreported: whether the transaction was aborted between two
        statements and no reply has reported the abort yet.
      has_written: whether a write ran in the transaction.
      confirmed: whether a round of health checks proved that the database
        was the primary after the transaction was opened.
    """

    route: catalog.Route
    read_only: bool
    opened: datetime.datetime
    last_active: datetime.datetime
    pooled_connection: pooled_connections.PooledConnection | None = None
    remote: RemoteTransaction | None = None
    leader: group_state.Leader | None = None
    failed: bool = False
    abort_unreported: bool = False
    has_written: bool = False
    confirmed: bool = False

    @property
    def has_started(self) -> bool:
        """Whether it is open at a database, here or at a serving proxy."""
        return self.holder is not None

    @property
    def holder(
        self,
    ) -> pooled_connections.PooledConnection | RemoteTransaction | None:
        """Connection or transaction at a serving proxy that runs it."""
        return self.pooled_connection or self.remote


@dataclasses.dataclass(slots=True)
class CallerSessionState:
    """State of one session that lasts between operations.

    Attributes:
      database: database name that the caller connected to.
      values: session values by name.
      prepared_statements: prepared statements by the name that the caller
        chose.
      floors: log position of this session's newest commit, by service.
      transaction: transaction that is open; None if none is.
      workspace: workspace of the caller; empty if it has none.
      credential: digest of the caller's key; None if the caller sent none.
    """

    database: types.SchemaName
    values: dict[str, str] = dataclasses.field(default_factory=dict)
    prepared_statements: dict[str, operation.PreparedStatement] = (
        dataclasses.field(default_factory=dict)
    )
    floors: dict[types.ServiceName, positions.Position] = dataclasses.field(
        default_factory=dict
    )
    transaction: OpenTransaction | None = None
    workspace: types.WorkspaceName = ""
    credential: workspaces.Credential | None = None

    def raise_floor(
        self, service: types.ServiceName, position: positions.Position | None
    ) -> None:
        """Records the log position of a commit of this session."""
        if position is None:
            return
        known = self.floors.get(service)
        if known is None or position > known:
            self.floors[service] = position
