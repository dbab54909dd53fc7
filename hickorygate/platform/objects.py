"""What the platform's object API sends, validated."""

from __future__ import annotations

import datetime
import enum

import pydantic

from hickorygate.core import types

__all__ = ["Instance", "InstanceList", "InstanceState", "SheetObject", "Stored"]


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)


class SheetObject(_Model):
    """The stored sheet."""

    text: str
    loaded_by: str
    loaded_at: datetime.datetime


class Stored(_Model):
    """The envelope around every object."""

    version: types.SheetVersion
    value: SheetObject


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
