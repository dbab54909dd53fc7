"""Messages between a gateway and a serving proxy, without their encoding.

The gateway is the proxy that a caller is connected to. The serving proxy runs
statements at the databases for several gateways.
"""

from __future__ import annotations

from collections.abc import Mapping
import dataclasses
import enum

from hickorygate.core import operation as operations
from hickorygate.core import position as positions
from hickorygate.core import reply as replies
from hickorygate.core import types

__all__ = [
    "SINGLE_STATEMENT",
    "AbortTransaction",
    "Hello",
    "KnownFleet",
    "Leaving",
    "LentView",
    "LinkMessage",
    "Ping",
    "Pong",
    "RecallStatement",
    "Rights",
    "RightsRequest",
    "RunStatement",
    "StatementReply",
    "TransactionStart",
    "Verdict",
    "Welcome",
]

SINGLE_STATEMENT = 0
"""Transaction number of a statement outside transactions."""


class TransactionStart(enum.Enum):
    """Whether a statement is the first one of its transaction."""

    CONTINUES = 0
    READ_WRITE = 1
    READ_ONLY = 2


class Verdict(enum.Enum):
    """What became of a statement at the serving proxy."""

    ANSWERED = 0
    REJECTED = 1
    OUTDATED = 2
    LEAVING = 3

    @property
    def served(self) -> bool:
        """Whether the reply is final; otherwise the statement did not run."""
        return self in (Verdict.ANSWERED, Verdict.REJECTED)


@dataclasses.dataclass(frozen=True, slots=True)
class LinkMessage:
    """Base of the messages."""


@dataclasses.dataclass(frozen=True, slots=True)
class Hello(LinkMessage):
    """First message of a gateway on a new link.

    Attributes:
      gateway: name of the proxy that opened the link.
      server: name of the proxy that the link is meant for. Another one may
        listen at its former address.
    """

    gateway: types.ProxyName
    server: types.ProxyName


@dataclasses.dataclass(frozen=True, slots=True)
class Welcome(LinkMessage):
    """The serving proxy accepts a link.

    The gateway sends no statement before, so that none is in doubt because
    another proxy, or one that hangs, has accepted the connection.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class RunStatement(LinkMessage):
    """A statement that the serving proxy shall run.

    Attributes:
      number: number that the reply repeats, unique on the link.
      transaction: number of the transaction, unique on the link;
        `SINGLE_STATEMENT` for a statement outside transactions.
      start: whether the statement opens its transaction.
      request_id: request id that the caller assigned.
      operation: what to run: a read, a write, an execution, a commit or a
        rollback.
      prepared: statement that an `Execute` runs; None for other operations.
      values: session values of the caller.
      floor: log position of the session's newest commit at the service; None
        if it made none.
      database: database name that the caller connected to.
      service: service of the gateway's route for that name.
      workspace: workspace of the caller; empty for none.
      version: version of the gateway's configuration.
      time_left_ms: time until the statement must be answered, in
        milliseconds.
    """

    number: int
    transaction: int
    start: TransactionStart
    request_id: str
    operation: operations.Operation
    prepared: operations.PreparedStatement | None
    values: Mapping[str, str]
    floor: positions.Position | None
    database: types.SchemaName
    service: types.ServiceName
    workspace: types.WorkspaceName
    version: int
    time_left_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class AbortTransaction(LinkMessage):
    """The gateway gives up a transaction; its number isn't used again."""

    transaction: int


@dataclasses.dataclass(frozen=True, slots=True)
class RecallStatement(LinkMessage):
    """Rejects a statement unless it was sent to a database already.

    Attributes:
      number: number of the statement, which gets a reply in any case.
      reason: reason of the rejection.
      detail: explanation of the rejection.
    """

    number: int
    reason: replies.RejectionReason
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Ping(LinkMessage):
    """Asks for a `Pong` with the same number."""

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class StatementReply(LinkMessage):
    """The final reply to a `RunStatement`.

    Attributes:
      number: number of the statement.
      verdict: whether the statement was answered, rejected or not run.
      rows: rows, encoded as the database sent them.
      signature: signature of the database; empty if it sent none.
      reason: reason of a rejection; None otherwise.
      detail: explanation of a rejection.
      state: transaction state after the statement.
      position: log position in the database's reply; None if there was none.
      served_by: id of the last database that the statement was sent to; empty
        if it was sent to none.
      version: version of the serving proxy's configuration.
    """

    number: int
    verdict: Verdict
    rows: tuple[bytes, ...] = ()
    signature: bytes = b""
    reason: replies.RejectionReason | None = None
    detail: str = ""
    state: replies.TransactionState = replies.TransactionState.IDLE
    position: positions.Position | None = None
    served_by: str = ""
    version: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Pong(LinkMessage):
    """The answer to a `Ping`."""

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Leaving(LinkMessage):
    """The serving proxy stops soon and accepts no new work."""


@dataclasses.dataclass(frozen=True, slots=True)
class RightsRequest(LinkMessage):
    """Asks a proxy for its shares of the rate limits of workspaces.

    Attributes:
      number: number that the answer repeats.
      received: number of the last request whose answer the sender applied; 0
        if there is none.
      fleets: digests of the fleets that the sender knows.
    """

    number: int
    received: int
    fleets: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class KnownFleet:
    """The content of a fleet.

    Attributes:
      digest: digest of the fleet.
      capacities: cores of each proxy.
    """

    digest: str
    capacities: Mapping[types.ProxyName, float]


@dataclasses.dataclass(frozen=True, slots=True)
class LentView:
    """A view of the fleet under which a proxy lends its shares.

    Attributes:
      fleet: digest of the fleet.
      absent: proxies that no longer renew their registration.
      slow: proxies that are used only if no other candidate can be.
      unusable: proxies to which no statement can be sent.
      servers: for a former view, the proxies that may still use shares under
        it; empty for the present view.
    """

    fleet: str
    absent: frozenset[types.ProxyName]
    slow: frozenset[types.ProxyName]
    unusable: frozenset[types.ProxyName]
    servers: frozenset[types.ProxyName]


@dataclasses.dataclass(frozen=True, slots=True)
class Rights(LinkMessage):
    """The answer to a `RightsRequest`.

    Attributes:
      number: number of the request.
      views: present view, then former ones; empty if nothing is lent.
      fleets: fleets of the views that the sender of the request doesn't know.
    """

    number: int
    views: tuple[LentView, ...]
    fleets: tuple[KnownFleet, ...]
