"""Validated types of the objects in the platform's store."""

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
    "StoredValue",
    "StoredSheet",
    "Unchanged",
    "ValueT",
]

ValueT = TypeVar("ValueT", bound=pydantic.BaseModel)


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)


@dataclasses.dataclass(frozen=True, slots=True)
class Key:
    """The key of an object.

    Attributes:
      kind: kind of the object, such as `sheets`.
      name: name of the object, unique among objects of its kind.
    """

    kind: str
    name: str

    @property
    def text(self) -> str:
        """The key as it is shown in messages."""
        return f"{self.kind}/{self.name}"


SHEET_KEY = Key("sheets", "current")


class SheetObject(_Model):
    """The sheet as it is stored.

    Attributes:
      text: YAML source of the sheet.
      loaded_by: name of the operator who loaded the sheet.
      loaded_at: time at which the sheet was loaded.
    """

    text: str
    loaded_by: str
    loaded_at: datetime.datetime


@dataclasses.dataclass(frozen=True, slots=True)
class StoredValue(Generic[ValueT]):
    """An object of the store.

    Attributes:
      version: revision of the store at the object's last change.
      value: validated content of the object.
    """

    version: types.SheetVersion
    value: ValueT


StoredSheet: TypeAlias = StoredValue[SheetObject]


@dataclasses.dataclass(frozen=True, slots=True)
class Unchanged:
    """The answer that the store has no newer object.

    Attributes:
      version: version of the object in the store; 0 if there is none.
    """

    version: types.SheetVersion


class InstanceState(enum.Enum):
    """The state of an instance in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class Instance(_Model):
    """An instance in the platform's list, which lags behind reality.

    Attributes:
      name: name of the instance.
      address: address of the instance, as `host:port`.
      zone: availability zone of the instance.
      state: state of the instance.
    """

    name: str
    address: str
    zone: types.ZoneName
    state: InstanceState


class InstanceList(_Model):
    """The platform's list of instances.

    Attributes:
      instances: the instances.
    """

    instances: tuple[Instance, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ListedInstances:
    """The list of instances and its revision.

    Attributes:
      listed: the list of instances.
      revision: revision of the store when the instances were listed.
    """

    listed: InstanceList
    revision: int
