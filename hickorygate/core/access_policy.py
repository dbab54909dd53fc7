"""Decides whether the callers of a deployment need keys; does no I/O.

A configuration states its policy as a type. A list of keys that is missing,
empty or unreadable is never a statement that anyone is admitted.
"""

from __future__ import annotations

import dataclasses

from hickorygate.core import workspace as workspaces

__all__ = ["AccessPolicy", "KeyedAccess", "OpenAccess", "choose"]


@dataclasses.dataclass(frozen=True, slots=True)
class AccessPolicy:
    """Base of the policies of who may open sessions."""


@dataclasses.dataclass(frozen=True, slots=True)
class OpenAccess(AccessPolicy):
    """Anyone is admitted: a deployment without workspaces."""

    def __str__(self) -> str:
        return "open"


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedAccess(AccessPolicy):
    """Only a key of a workspace opens a session on a route that isn't public.

    Attributes:
      keys: the keys in force; without any, nobody is admitted.
    """

    keys: workspaces.KeyRing

    def __str__(self) -> str:
        return f"{len(self.keys)} keys"


def choose(
    listed: workspaces.KeyRing | None, keys_required: bool
) -> AccessPolicy:
    """Returns the policy of one version of the configuration.

    Args:
      listed: keys of the configuration's list of workspaces, which may be
        empty; None if the configuration has no such list.
      keys_required: whether the settings of the process say that the deployment
        has workspaces.
    """
    if listed is not None:
        return KeyedAccess(listed)
    if keys_required:
        return KeyedAccess(workspaces.KeyRing({}))
    return OpenAccess()
