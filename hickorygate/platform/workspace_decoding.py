"""Decodes the workspaces of the configuration and their keys."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import math
from typing import Annotated
from typing import Any
from typing import cast

import pydantic

from hickorygate.core import types
from hickorygate.core import workspace as workspaces

__all__ = ["ListedWorkspaces", "decode_workspaces"]

_MAX_NAMES = 10
"""Number of names in one error; more are only counted."""

_WorkspaceName = Annotated[
    str, pydantic.Field(strict=True, max_length=256, pattern=r"^[^\s\p{C}]+$")
]
"""A name that fits into a field of the line protocol."""


def _limit(value: object) -> float | None:
    """Returns a valid limit; None for an invalid one, which limits nothing."""
    if type(value) not in (int, float):  # A bool is an int, too.
        return None
    try:
        number = float(cast(float, value))
    except OverflowError:
        return None
    return number if math.isfinite(number) and number >= 0 else None


def _is_limit(value: object) -> bool:
    """Returns whether a value is a valid limit or says that there is none."""
    return value is None or _limit(value) is not None


class _Workspace(pydantic.BaseModel):
    """An entry of a workspace."""

    model_config = pydantic.ConfigDict(extra="ignore")

    name: _WorkspaceName
    api_keys: list[Any] = []
    rate_per_s: Any = None
    burst: Any = None

    @property
    def has_valid_limits(self) -> bool:
        """Whether both limits are valid or missing."""
        return _is_limit(self.rate_per_s) and _is_limit(self.burst)

    def workspace(self) -> workspaces.Workspace:
        return workspaces.Workspace(
            self.name, _limit(self.rate_per_s), _limit(self.burst) or 0.0
        )


@dataclasses.dataclass(frozen=True, slots=True)
class ListedWorkspaces:
    """The valid workspaces of a configuration.

    Attributes:
      workspaces: workspaces by name.
      keys: workspaces by key.
      errors: why entries are invalid; contains no keys.
    """

    workspaces: Mapping[types.WorkspaceName, workspaces.Workspace]
    keys: workspaces.KeyRing
    errors: tuple[str, ...]


class _Keys:
    """The entry of each key, by its digest."""

    def __init__(self) -> None:
        self._entries: dict[workspaces.Credential, int] = {}
        self._shared: dict[workspaces.Credential, set[int]] = {}
        self._unusable: set[int] = set()

    @property
    def shared(self) -> frozenset[int]:
        """Numbers of the entries that have a key in common with another."""
        return frozenset().union(*self._shared.values())

    @property
    def unusable(self) -> frozenset[int]:
        """Numbers of the entries with values that are no keys."""
        return frozenset(self._unusable)

    def add(self, key: object, entry: int) -> None:
        """Adds a key of an entry."""
        if not isinstance(key, str) or not key:
            self._unusable.add(entry)
            return
        credential = workspaces.Credential.of(key)
        known = self._entries.setdefault(credential, entry)
        if known != entry:
            self._shared.setdefault(credential, {known}).add(entry)

    def ring(
        self, valid: Mapping[int, workspaces.Workspace]
    ) -> workspaces.KeyRing:
        """Returns the keys that identify exactly one valid workspace."""
        return workspaces.KeyRing(
            {
                credential: valid[entry]
                for credential, entry in self._entries.items()
                if entry in valid and credential not in self._shared
            }
        )


def decode_workspaces(entries: Iterable[object]) -> ListedWorkspaces:
    """Decodes the entries of workspaces.

    An invalid entry, and each of several entries with the same name, is
    ignored. A key of several entries identifies none of them. An invalid limit
    limits nothing: the keys of its workspace are listed, so they are admitted.
    """
    keys = _Keys()
    decoded: dict[int, workspaces.Workspace] = {}
    malformed: list[int] = []
    unlimited: list[int] = []
    for number, value in enumerate(entries):
        try:
            entry = _Workspace.model_validate(value)
        except pydantic.ValidationError:
            malformed.append(number)
            continue
        for key in entry.api_keys:
            keys.add(key, number)
        if not entry.has_valid_limits:
            unlimited.append(number)
        decoded[number] = entry.workspace()
    counts = collections.Counter(w.name for w in decoded.values())
    valid = {n: w for n, w in decoded.items() if counts[w.name] == 1}

    def names(numbers: Iterable[int]) -> list[str]:
        return [decoded[number].name for number in sorted(numbers)]

    errors = (
        ("invalid entries", [f"#{number}" for number in malformed]),
        ("names used twice", [name for name, n in counts.items() if n > 1]),
        ("keys shared by", names(keys.shared)),
        ("unusable keys of", names(keys.unusable)),
        ("unusable limits of", names(unlimited)),
    )
    return ListedWorkspaces(
        workspaces={w.name: w for w in valid.values()},
        keys=keys.ring(valid),
        errors=tuple(_describe(kind, found) for kind, found in errors if found),
    )


def _describe(kind: str, found: list[str]) -> str:
    shown = ", ".join(found[:_MAX_NAMES])
    more = len(found) - _MAX_NAMES
    return f"{kind}: {shown}" + (f" and {more} more" if more > 0 else "")
