"""Where a statement runs: dispatches on the statement's class."""

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
    "KeepLocally",
    "OpenImplicitly",
    "OpenTransaction",
    "Refuse",
    "Route",
    "SelectSchema",
    "SwitchAutocommit",
    "ToAny",
    "ToPinned",
    "ToPrimary",
    "route",
]


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Base of all routes."""


@dataclasses.dataclass(frozen=True, slots=True)
class ToAny(Route):
    """A replica that has reached the session's floor, or the primary."""


@dataclasses.dataclass(frozen=True, slots=True)
class ToPrimary(Route):
    """The primary; the answer waits until the write is durable."""


@dataclasses.dataclass(frozen=True, slots=True)
class ToPinned(Route):
    """The connection that the session keeps; taken if it has none."""


@dataclasses.dataclass(frozen=True, slots=True)
class InTransaction(Route):
    """The connection that the open transaction holds."""


@dataclasses.dataclass(frozen=True, slots=True)
class CommitFirst(Route):
    """An open transaction is kept, then the statement runs alone."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse(Route):
    """Not run: its meaning depends on a connection the session lost."""


@dataclasses.dataclass(frozen=True, slots=True)
class OpenTransaction(Route):
    """A new transaction, as the caller asked."""


@dataclasses.dataclass(frozen=True, slots=True)
class OpenImplicitly(Route):
    """A new transaction around the statement; autocommit is off."""


@dataclasses.dataclass(frozen=True, slots=True)
class EndTransaction(Route):
    """The held connection, then back to the pool."""

    keep: bool


@dataclasses.dataclass(frozen=True, slots=True)
class SelectSchema(Route):
    """Remembered; no database is asked."""

    schema: types.SchemaName


@dataclasses.dataclass(frozen=True, slots=True)
class SwitchAutocommit(Route):
    """Remembered; switching it on ends an open transaction."""

    enabled: bool


@dataclasses.dataclass(frozen=True, slots=True)
class KeepLocally(Route):
    """Changes only what the proxy remembers of the session."""


@functools.singledispatch
def route(statement: statements.Statement, session: sessions.Session) -> Route:
    """Tells where a statement runs.

    Args:
      statement: what the caller sent.
      session: the caller's session.
    """
    return _with_transaction(session, ToPrimary())


def _with_transaction(session: sessions.Session, alone: Route) -> Route:
    if session.in_transaction:
        return InTransaction()
    if not session.autocommit:
        return OpenImplicitly()
    if session.pinned:
        return ToPinned()
    return alone


@route.register
def _(statement: statements.Read, session: sessions.Session) -> Route:
    return _with_transaction(session, ToAny())


@route.register
def _(statement: statements.Pinning, session: sessions.Session) -> Route:
    if session.in_transaction and not session.pinned:
        return Refuse()
    return _with_transaction(session, ToPinned())


@route.register
def _(
    statement: statements.ConnectionBound, session: sessions.Session
) -> Route:
    if session.in_transaction or session.pinned:
        return _with_transaction(session, ToPinned())
    return Refuse()


@route.register
def _(statement: statements.ImplicitCommit, session: sessions.Session) -> Route:
    if session.in_transaction:
        return CommitFirst()
    return ToPinned() if session.pinned else ToPrimary()


@route.register
def _(statement: statements.Begin, session: sessions.Session) -> Route:
    return OpenTransaction()


@route.register
def _(statement: statements.Commit, session: sessions.Session) -> Route:
    if session.in_transaction:
        return EndTransaction(keep=True)
    return KeepLocally()


@route.register
def _(statement: statements.Rollback, session: sessions.Session) -> Route:
    if session.in_transaction:
        return EndTransaction(keep=False)
    return KeepLocally()


@route.register
def _(statement: statements.Use, session: sessions.Session) -> Route:
    return SelectSchema(statement.schema)


@route.register
def _(statement: statements.SetAutocommit, session: sessions.Session) -> Route:
    return SwitchAutocommit(statement.enabled)


@route.register
def _(statement: statements.SetVariable, session: sessions.Session) -> Route:
    return KeepLocally()
