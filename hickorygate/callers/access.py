"""Decides for which workspace a caller's statements run; does no I/O."""

from __future__ import annotations

from typing import TypeAlias

import expression

from hickorygate.core import catalog as catalogs
from hickorygate.core import reply as replies
from hickorygate.core import types
from hickorygate.core import workspace as workspaces

__all__ = ["AccessResult", "admit", "renew"]

AccessResult: TypeAlias = expression.Result[
    types.WorkspaceName, replies.Rejection
]
"""The workspace, empty for none, or the rejection of the caller."""


def admit(
    catalog: catalogs.Catalog,
    database: types.SchemaName,
    credential: workspaces.Credential | None,
) -> AccessResult:
    """Returns the workspace of a caller that opens a session.

    Args:
      catalog: configuration in force.
      database: database name that the caller connects to.
      credential: digest of the caller's key; None if it sent none.
    """
    if catalog.keys is None:
        return expression.Ok("")
    found = catalog.keys.find(credential)
    if found is not None:
        return expression.Ok(found.name)
    if _is_public(catalog, database):
        return expression.Ok("")
    return _denied()


def renew(
    catalog: catalogs.Catalog,
    database: types.SchemaName,
    workspace: types.WorkspaceName,
    credential: workspaces.Credential | None,
) -> AccessResult:
    """Returns the workspace of an open session under another configuration.

    A key that identifies another workspace than before is as good as revoked,
    except on a public route. A session with a workspace and without a
    credential belongs to another proxy, which checks the key.

    Args:
      catalog: configuration in force.
      database: database name that the session was opened for.
      workspace: workspace of the session so far; empty for none.
      credential: digest of the caller's key; None if there is none.
    """
    if workspace and credential is None and catalog.keys is not None:
        known = workspace in catalog.workspaces
        return expression.Ok(workspace) if known else _denied()
    admitted = admit(catalog, database, credential)
    if admitted.is_error():
        return admitted
    moved = workspace and admitted.ok and admitted.ok != workspace
    if moved and not _is_public(catalog, database):
        return _denied()
    return admitted


def _is_public(catalog: catalogs.Catalog, database: types.SchemaName) -> bool:
    route = catalog.routes.get(database)
    return route is not None and route.public


def _denied() -> AccessResult:
    return expression.Error(
        replies.Rejection(
            replies.RejectionReason.ACCESS_DENIED, "unknown or revoked key"
        )
    )
