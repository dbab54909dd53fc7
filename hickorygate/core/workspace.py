"""Workspaces of callers, and the keys that identify them."""

from __future__ import annotations

from collections.abc import Mapping
import dataclasses
import hashlib
import hmac

from hickorygate.core import types

__all__ = ["Credential", "KeyRing", "Workspace"]


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """A workspace and its rate limit.

    Attributes:
      name: name that databases are told; has no spaces.
      rate: operations per second over all proxies; None if unlimited.
      burst: operations that may exceed the rate at once.
    """

    name: types.WorkspaceName
    rate: float | None = None
    burst: float = 0.0


class Credential:
    """The digest of a caller's key; the key itself is not kept."""

    __slots__ = ("_digest",)

    def __init__(self, digest: bytes) -> None:
        self._digest = digest

    def __repr__(self) -> str:
        return "Credential(...)"

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, Credential):
            return NotImplemented
        return hmac.compare_digest(self._digest, other._digest)

    def __hash__(self) -> int:
        return hash(self._digest)

    @classmethod
    def of(cls, key: str) -> Credential:
        """Returns the credential of a key.

        The key may contain any characters, also surrogates that stand for
        bytes that are not UTF-8.
        """
        return cls(
            hashlib.sha256(key.encode("utf-8", "surrogatepass")).digest()
        )


class KeyRing:
    """The keys of one configuration and the workspaces that they identify."""

    __slots__ = ("_names", "_workspaces")

    def __init__(self, workspaces: Mapping[Credential, Workspace]) -> None:
        self._workspaces = dict(workspaces)
        self._names = frozenset(each.name for each in workspaces.values())

    def __len__(self) -> int:
        return len(self._workspaces)

    def __repr__(self) -> str:
        return f"KeyRing({len(self)} keys)"

    def find(self, credential: Credential | None) -> Workspace | None:
        """Returns the workspace of a credential; None if it has none."""
        if credential is None:
            return None
        return self._workspaces.get(credential)

    def has_key_of(self, workspace: types.WorkspaceName) -> bool:
        """Returns whether any key identifies a workspace."""
        return workspace in self._names
