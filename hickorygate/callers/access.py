"""Decides for which workspace a caller's statements run; does no I/O."""

from __future__ import annotations

import functools
from typing import TypeAlias

import expression

from hickorygate.core import access_policy
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
    identified = _identify(catalog.access, credential)
    if identified.is_error() and _is_public(catalog, database):
        return expression.Ok("")
    return identified


def renew(
    catalog: catalogs.Catalog,
    database: types.SchemaName,
    workspace: types.WorkspaceName,
    credential: workspaces.Credential | None,
) -> AccessResult:
    """Returns the workspace of an open session under another configuration.

    A key that identifies another workspace than before is as good as revoked,
    except on a public route. A session with a workspace and without a
    credential belongs to another proxy, which checks the key; it ends if no key
    identifies its workspace any more.

    Args:
      catalog: configuration in force.
      database: database name that the session was opened for.
      workspace: workspace of the session so far; empty for none.
      credential: digest of the caller's key; None if there is none.
    """
    if workspace and credential is None:
        return _keep(catalog.access, workspace)
    admitted = admit(catalog, database, credential)
    if admitted.is_error():
        return admitted
    moved = workspace and admitted.ok and admitted.ok != workspace
    if moved and not _is_public(catalog, database):
        return _denied()
    return admitted


@functools.singledispatch
def _identify(
    policy: access_policy.AccessPolicy,
    credential: workspaces.Credential | None,
) -> AccessResult:
    """Returns the workspace that a key identifies, or the rejection."""
    raise TypeError(f"no rule for {policy!r}; register one")


@_identify.register
def _(
    policy: access_policy.OpenAccess,
    credential: workspaces.Credential | None,
) -> AccessResult:
    return expression.Ok("")


@_identify.register
def _(
    policy: access_policy.KeyedAccess,
    credential: workspaces.Credential | None,
) -> AccessResult:
    found = policy.keys.find(credential)
    return _denied() if found is None else expression.Ok(found.name)


@functools.singledispatch
def _keep(
    policy: access_policy.AccessPolicy, workspace: types.WorkspaceName
) -> AccessResult:
    """Returns the workspace of a session whose key another proxy checks."""
    raise TypeError(f"no rule for {policy!r}; register one")


@_keep.register
def _(
    policy: access_policy.OpenAccess, workspace: types.WorkspaceName
) -> AccessResult:
    return expression.Ok("")


@_keep.register
def _(
    policy: access_policy.KeyedAccess, workspace: types.WorkspaceName
) -> AccessResult:
    kept = policy.keys.has_key_of(workspace)
    return expression.Ok(workspace) if kept else _denied()


def _is_public(catalog: catalogs.Catalog, database: types.SchemaName) -> bool:
    route = catalog.routes.get(database)
    return route is not None and route.public


def _denied() -> AccessResult:
    return expression.Error(
        replies.Rejection(
            replies.RejectionReason.ACCESS_DENIED, "unknown or revoked key"
        )
    )
