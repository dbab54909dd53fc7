"""Events about requests, primaries, databases and configuration.

Each event is written to the log as one line and counted in the metrics.
"""

from __future__ import annotations

import dataclasses
import datetime

from hickorygate.core import answer_fault
from hickorygate.core import events
from hickorygate.core import position as positions
from hickorygate.core import types

__all__ = [
    "AnswerDiscarded",
    "AnswerRepeated",
    "CapacityChanged",
    "CallersClosed",
    "CallersRejected",
    "CatalogApplied",
    "CatalogRejected",
    "CommitReported",
    "CommitWithheld",
    "ConnectionUnsettled",
    "DutyLost",
    "DutyWon",
    "EntryIgnored",
    "LeaderChanged",
    "LeaderLost",
    "LinkLost",
    "MemberLeaving",
    "MemberListed",
    "MemberUnlisted",
    "MessagesRejected",
    "ObjectsListed",
    "PromotionOrdered",
    "ReadDiscarded",
    "RequestEnded",
    "RequestRetried",
    "SessionRevoked",
    "SettingsReloaded",
    "StoreLost",
    "StoreEraChanged",
    "StatementForwarded",
    "StoreRegained",
    "WatchFailed",
    "WorkspacesIgnored",
    "WorkspaceLimited",
    "WorkspaceUnlimited",
]


@dataclasses.dataclass(frozen=True, slots=True)
class RequestEnded(events.Event):
    """A request got its final answer.

    Attributes:
      request: request id, chosen by the caller.
      database: database name that the caller connected to.
      kind: class name of the operation.
      served_by: id of the database that answered or was tried last; empty if
        none was.
      outcome: "ok", the reason of a rejection, or what a failure says about
        whether the request ran.
      detail: message of the failure; empty for "ok".
      version: version of the configuration that routed the request.
      floor: minimum log position that the database had to have applied; None
        if there was no such requirement.
      floor_age: age of the floor when the answer was sent.
      tries: number of attempts that were made at a database.
      took: time from the arrival of the request to its answer.
      signature: signature of the answer that was passed on; empty if it has
        none.
    """

    request: str
    database: types.SchemaName
    kind: str
    served_by: str
    outcome: str
    detail: str
    version: int
    floor: positions.Position | None
    floor_age: datetime.timedelta | None
    tries: int
    took: datetime.timedelta
    signature: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class RequestRetried(events.Event):
    """A request is retried after a database failed or refused it.

    Attributes:
      request: request id, chosen by the caller.
      database: id of the database that failed or refused the request.
      reason: message of the failure.
      tries: number of attempts so far.
    """

    request: str
    database: str
    reason: str
    tries: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReadDiscarded(events.Event):
    """An answer was discarded: its database may not be the primary any more.

    Attributes:
      request: request id, chosen by the caller.
      database: id of the database that answered.
      leader: id of the confirmed primary; empty if none was confirmed.
    """

    request: str
    database: str
    leader: str


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerDiscarded(events.Event):
    """A database sent something that isn't the answer to any open request.

    The connection was closed; its open requests failed.

    Attributes:
      database: id of the database.
      fault: what is wrong with the answer.
      reason: the same in detail; it may quote the answer.
      requests: class names of the open requests, oldest first.
    """

    database: str
    fault: answer_fault.AnswerFault
    reason: str
    requests: str


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerRepeated(events.Event):
    """A database sent an answer a second time; the copy was dropped.

    Attributes:
      database: id of the database.
    """

    database: str


@dataclasses.dataclass(frozen=True, slots=True)
class CommitReported(events.Event):
    """A commit is about to be reported to its caller as successful.

    Attributes:
      request: request id, chosen by the caller.
      service: name of the service.
      database: id of the primary that acknowledged the commit.
      term: term that the primary leads.
      position: position of the commit in its log; None if unknown.
      provers: ids of the replicas that prove by themselves that the commit is
        kept; none if it took the answers of all replicas, or none is needed.
    """

    request: str
    service: types.ServiceName
    database: str
    term: types.Term
    position: positions.Position | None
    provers: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CommitWithheld(events.Event):
    """A commit was reported as in doubt although the primary acknowledged it.

    A takeover relies on replicas that acknowledge nothing for this primary, and
    one of them may have done so after a restart.

    Attributes:
      request: request id, chosen by the caller.
      database: id of the primary.
      position: position of the commit in its log; None if unknown.
    """

    request: str
    database: str
    position: positions.Position | None


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionUnsettled(events.Event):
    """A connection was closed because its session state was not known.

    Attributes:
      database: id of the database.
      reason: why the session state is not known.
      unread: class names of the requests whose replies were not read, oldest
        first.
    """

    database: str
    reason: str
    unread: str


@dataclasses.dataclass(frozen=True, slots=True)
class WorkspaceLimited(events.Event):
    """This proxy begins to refuse a workspace's operations beyond its limit.

    Attributes:
      workspace: name of the workspace.
      share: share of the limit that this proxy may use, 0 to 1.
    """

    workspace: types.WorkspaceName
    share: float


@dataclasses.dataclass(frozen=True, slots=True)
class WorkspaceUnlimited(events.Event):
    """This proxy has refused none of a workspace's operations for a while.

    Attributes:
      workspace: name of the workspace.
      refused: number of operations refused since `WorkspaceLimited`.
    """

    workspace: types.WorkspaceName
    refused: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderChanged(events.Event):
    """A group has a new primary, or its primary leads a new term.

    Attributes:
      service: name of the service.
      member: id of the primary.
      term: term that the primary leads.
      position: position of the primary's log; None if unknown.
    """

    service: types.ServiceName
    member: str
    term: types.Term
    position: positions.Position | None


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderLost(events.Event):
    """A group's primary is unreachable, delisted or about to stop.

    Attributes:
      service: name of the service.
      member: id of the former primary.
      reason: why the primary is given up.
    """

    service: types.ServiceName
    member: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class PromotionOrdered(events.Event):
    """The platform was asked to promote a database.

    Attributes:
      service: name of the service.
      member: id of the database.
      number: fencing token of the promotion lease.
      received: end of the database's log; None if unknown.
      outcome: "accepted", "refused", or "unknown" if the answer was lost.
    """

    service: types.ServiceName
    member: str
    number: int
    received: positions.Position | None
    outcome: str


@dataclasses.dataclass(frozen=True, slots=True)
class DutyWon(events.Event):
    """This process acquired the promotion lease and may order promotions.

    Attributes:
      number: fencing token of the lease.
    """

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class DutyLost(events.Event):
    """The promotion lease could not be acquired, renewed or released.

    Another process changed the lease first, or the store didn't answer.

    Attributes:
      reason: message of the failure.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class MemberListed(events.Event):
    """A database was added to the list in service discovery.

    Attributes:
      service: name of the service.
      member: id of the database.
    """

    service: types.ServiceName
    member: str


@dataclasses.dataclass(frozen=True, slots=True)
class MemberLeaving(events.Event):
    """A database announced its shutdown.

    Attributes:
      service: name of the service.
      member: id of the database.
    """

    service: types.ServiceName
    member: str


@dataclasses.dataclass(frozen=True, slots=True)
class MemberUnlisted(events.Event):
    """A database was removed from the list, or came back as a new one.

    Attributes:
      service: name of the service.
      member: id of the database.
    """

    service: types.ServiceName
    member: str


@dataclasses.dataclass(frozen=True, slots=True)
class EntryIgnored(events.Event):
    """An entry in service discovery is invalid and names no database.

    Attributes:
      entry: name of the entry.
      reason: first field that is invalid, and why.
    """

    entry: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class CatalogApplied(events.Event):
    """A configuration was put in force.

    Attributes:
      version: version of the configuration.
      routes: number of database names that the configuration routes.
      access: "open" if callers need no keys, otherwise the number of keys.
    """

    version: int
    routes: int
    access: str


@dataclasses.dataclass(frozen=True, slots=True)
class CatalogRejected(events.Event):
    """A configuration is invalid; the previous one stays in force.

    Attributes:
      reason: message of the failure.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class WorkspacesIgnored(events.Event):
    """Entries of workspaces are invalid, or their keys or limits are.

    What is invalid grants nothing and limits nothing.

    Attributes:
      version: version of the configuration.
      reasons: why the entries are invalid.
    """

    version: int
    reasons: str


@dataclasses.dataclass(frozen=True, slots=True)
class SessionRevoked(events.Event):
    """A session ended because its key no longer identifies its workspace.

    Attributes:
      database: database name that the caller connected to.
      workspace: workspace of the session; empty if it had none.
      in_transaction: whether a transaction was open, which is rolled back.
    """

    database: types.SchemaName
    workspace: types.WorkspaceName
    in_transaction: bool


@dataclasses.dataclass(frozen=True, slots=True)
class WatchFailed(events.Event):
    """A call that follows the objects of one kind had no usable answer.

    Attributes:
      kind: kind of the objects.
      reason: message of the failure.
      took: time from the call to the failure.
    """

    kind: str
    reason: str
    took: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectsListed(events.Event):
    """All objects of one kind were listed, to follow their changes from there.

    Attributes:
      kind: kind of the objects.
      count: number of objects in the list.
    """

    kind: str
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoreLost(events.Event):
    """The platform's store failed to answer.

    Attributes:
      kind: kind of the objects that can't be followed.
      reason: message of the failure.
    """

    kind: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoreEraChanged(events.Event):
    """The store tells another era, or its first one to this process.

    After the first one, the store was restored from an older copy.

    Attributes:
      era: the era.
    """

    era: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoreRegained(events.Event):
    """The platform's store answers again.

    Attributes:
      kind: kind of the objects that are followed again.
    """

    kind: str


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsReloaded(events.Event):
    """The settings file was read again.

    Attributes:
      problem: why the file is invalid; empty if the settings were applied.
    """

    problem: str


@dataclasses.dataclass(frozen=True, slots=True)
class LinkLost(events.Event):
    """A link to a serving proxy was closed, or the proxy doesn't answer.

    Attributes:
      server: name of the serving proxy.
      reason: why the link is given up.
      outstanding: number of statements without a reply.
    """

    server: types.ProxyName
    reason: str
    outstanding: int


@dataclasses.dataclass(frozen=True, slots=True)
class StatementForwarded(events.Event):
    """A request was sent to serving proxies.

    Attributes:
      request: request id, chosen by the caller.
      server: name of the proxy that it was sent to last.
      outcome: "ok", the reason of a rejection, "local" if this proxy ran it
        in the end, or what a failure says about whether the request ran.
      tries: number of proxies that it was sent to.
    """

    request: str
    server: types.ProxyName
    outcome: str
    tries: int


@dataclasses.dataclass(frozen=True, slots=True)
class CapacityChanged(events.Event):
    """The learned limit of a database changed by more than a quarter.

    Attributes:
      service: service of the database.
      database: id of the database.
      former: number of this proxy's statements that could be in flight before.
      limit: the same number now.
      state: "normal", "slow", "saturated" or "failing".
      ratio: ratio of the recent response times to the usual ones.
      failing_share: share of the recent statements that failed, 0 to 1.
      in_flight: number of this proxy's statements that are in flight.
    """

    service: types.ServiceName
    database: types.DatabaseName
    former: int
    limit: int
    state: str
    ratio: float
    failing_share: float
    in_flight: int


@dataclasses.dataclass(frozen=True, slots=True)
class CallersRejected(events.Event):
    """New connections of callers were rejected.

    The event is recorded for the first one of a cause within 10 s.

    Attributes:
      cause: why they were rejected.
      count: number of rejected connections since the last event of this cause.
    """

    cause: str
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class CallersClosed(events.Event):
    """Connections of callers were closed because they exceeded a limit.

    The event is recorded for the first one of a cause within 10 s.

    Attributes:
      cause: which limit they exceeded.
      count: number of closed connections since the last event of this cause.
    """

    cause: str
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class MessagesRejected(events.Event):
    """Messages of callers were not understood and answered with an error.

    The event is recorded for the first one of a cause within 10 s. In a session
    it may be the rest of a message that ended too early.

    Attributes:
      cause: whether the caller had a session.
      count: number of rejected messages since the last event of this cause.
    """

    cause: str
    count: int
