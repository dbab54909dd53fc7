"""The product's objects in the platform's store, validated."""

from __future__ import annotations

import dataclasses
import datetime
import enum
from typing import Generic
from typing import TypeAlias
from typing import TypeVar

import pydantic

from hickorygate.core import types

__all__ = [
    "Instance",
    "InstanceList",
    "InstanceState",
    "Key",
    "ListedInstances",
    "SHEET_KEY",
    "SheetObject",
    "Stored",
    "StoredSheet",
    "Unchanged",
    "ValueT",
]

ValueT = TypeVar("ValueT", bound=pydantic.BaseModel)


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)


@dataclasses.dataclass(frozen=True, slots=True)
class Key:
    """Names an object.

    Attributes:
      kind: such as `sheets`.
      name: unique among objects of its kind.
    """

    kind: str
    name: str

    @property
    def text(self) -> str:
        """How messages name it."""
        return f"{self.kind}/{self.name}"


SHEET_KEY = Key("sheets", "current")


class SheetObject(_Model):
    """The stored sheet."""

    text: str
    loaded_by: str
    loaded_at: datetime.datetime


@dataclasses.dataclass(frozen=True, slots=True)
class Stored(Generic[ValueT]):
    """An object and the store's revision at its last change."""

    version: types.SheetVersion
    value: ValueT


StoredSheet: TypeAlias = Stored[SheetObject]


@dataclasses.dataclass(frozen=True, slots=True)
class Unchanged:
    """No newer object; the version that the store has, 0 for none."""

    version: types.SheetVersion


class InstanceState(enum.Enum):
    """What the platform says of an instance."""

    LIVE = "live"
    LEAVING = "leaving"


class Instance(_Model):
    """An instance in the platform's list, which lags behind reality."""

    name: str
    address: str
    zone: types.ZoneName
    state: InstanceState


class InstanceList(_Model):
    """All instances."""

    instances: tuple[Instance, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ListedInstances:
    """All instances, and the store's revision when they were listed."""

    listed: InstanceList
    revision: int
