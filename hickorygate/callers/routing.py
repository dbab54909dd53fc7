"""Decides where a statement runs; no I/O.

The class of the statement and the state of the session determine the decision.
"""

from __future__ import annotations

import dataclasses
import functools

from hickorygate.callers import session as sessions
from hickorygate.core import statement as statements
from hickorygate.core import types

__all__ = [
    "CommitFirst",
    "EndTransaction",
    "InTransaction",
    "AcknowledgeLocally",
    "BeginImplicitly",
    "BeginTransaction",
    "RejectStatement",
    "Route",
    "SelectSchema",
    "SwitchAutocommit",
    "ToFreshDatabase",
    "ToPinned",
    "ToPrimary",
    "route",
]


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Base class of the routes."""


@dataclasses.dataclass(frozen=True, slots=True)
class ToFreshDatabase(Route):
    """Sends a read to a fresh enough replica, or to the primary.

    A replica is fresh enough if it has reached the session's floor.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class ToPrimary(Route):
    """Sends a write to the primary and answers it once it is durable."""


@dataclasses.dataclass(frozen=True, slots=True)
class ToPinned(Route):
    """Sends the statement on the session's pinned connection.

    If there is no pinned connection, one is leased first.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class InTransaction(Route):
    """Sends the statement on the connection of the open transaction."""


@dataclasses.dataclass(frozen=True, slots=True)
class CommitFirst(Route):
    """Commits the open transaction, then runs the statement on its own."""


@dataclasses.dataclass(frozen=True, slots=True)
class RejectStatement(Route):
    """Rejects the statement.

    The statement depends on state of a connection that the session has not
    kept, or would leave such state on a connection that it cannot keep.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class BeginTransaction(Route):
    """Opens a transaction, as the caller requested."""


@dataclasses.dataclass(frozen=True, slots=True)
class BeginImplicitly(Route):
    """Opens a transaction for the statement because autocommit is off."""


@dataclasses.dataclass(frozen=True, slots=True)
class EndTransaction(Route):
    """Ends the open transaction and returns its connection to the pool.

    Attributes:
      is_commit: whether to commit; False rolls back.
    """

    is_commit: bool


@dataclasses.dataclass(frozen=True, slots=True)
class SelectSchema(Route):
    """Selects a schema in the session, without contacting a database.

    Attributes:
      schema: name of the schema.
    """

    schema: types.SchemaName


@dataclasses.dataclass(frozen=True, slots=True)
class SwitchAutocommit(Route):
    """Sets autocommit in the session.

    Enabling autocommit commits the open transaction.

    Attributes:
      enabled: new value of autocommit.
    """

    enabled: bool


@dataclasses.dataclass(frozen=True, slots=True)
class AcknowledgeLocally(Route):
    """Changes only session state that the proxy keeps itself."""


@functools.singledispatch
def route(statement: statements.Statement, session: sessions.Session) -> Route:
    """Returns the route of a statement.

    Args:
      statement: classified statement of the caller.
      session: session of the caller.
    """
    return _route_in_session(session, ToPrimary())


def _route_in_session(session: sessions.Session, default: Route) -> Route:
    """Returns the route that the state of the session requires.

    Args:
      session: session of the caller.
      default: route outside a transaction and without a pinned connection.
    """
    if session.in_transaction:
        return InTransaction()
    if not session.autocommit:
        return BeginImplicitly()
    if session.pinned:
        return ToPinned()
    return default


@route.register
def _(statement: statements.Read, session: sessions.Session) -> Route:
    return _route_in_session(session, ToFreshDatabase())


@route.register
def _(statement: statements.PinsConnection, session: sessions.Session) -> Route:
    if session.in_transaction and not session.pinned:
        return RejectStatement()
    return _route_in_session(session, ToPinned())


@route.register
def _(
    statement: statements.ConnectionBound, session: sessions.Session
) -> Route:
    if session.in_transaction or session.pinned:
        return _route_in_session(session, ToPinned())
    return RejectStatement()


@route.register
def _(statement: statements.ImplicitCommit, session: sessions.Session) -> Route:
    if session.in_transaction:
        return CommitFirst()
    return ToPinned() if session.pinned else ToPrimary()


@route.register
def _(statement: statements.Begin, session: sessions.Session) -> Route:
    return BeginTransaction()


@route.register
def _(statement: statements.Commit, session: sessions.Session) -> Route:
    if session.in_transaction:
        return EndTransaction(is_commit=True)
    return AcknowledgeLocally()


@route.register
def _(statement: statements.Rollback, session: sessions.Session) -> Route:
    if session.in_transaction:
        return EndTransaction(is_commit=False)
    return AcknowledgeLocally()


@route.register
def _(statement: statements.UseSchema, session: sessions.Session) -> Route:
    return SelectSchema(statement.schema)


@route.register
def _(statement: statements.SetAutocommit, session: sessions.Session) -> Route:
    return SwitchAutocommit(statement.enabled)


@route.register
def _(statement: statements.SetVariable, session: sessions.Session) -> Route:
    return AcknowledgeLocally()
