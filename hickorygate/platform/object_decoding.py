"""Decodes service discovery entries of databases and instances."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Annotated
from typing import Literal

import expression
import pydantic

from hickorygate.core import errors
from hickorygate.platform import decoding_failure
from hickorygate.platform import settings
from hickorygate.store import list_watch
from hickorygate.store import objects
from hickorygate.upstreams import member

__all__ = [
    "SERVERS",
    "decode_instances",
    "decode_member",
]

SERVERS = "servers"
"""Kind of the service discovery entries that databases write."""

_Count = Annotated[int, pydantic.Field(strict=True, ge=0)]
_Name = Annotated[str, pydantic.Field(strict=True, min_length=1)]
_Word = Annotated[str, pydantic.Field(strict=True, pattern=r"\A[!-~]+\z")]
"""A name that is a field of a message to a database."""


class _DatabaseEntry(pydantic.BaseModel):
    """The service discovery entry of a database."""

    model_config = pydantic.ConfigDict(extra="ignore", strict=True)

    service: _Word
    address: settings.AddressField
    zone: _Name
    slots: Annotated[int, pydantic.Field(strict=True, gt=0)]
    state: Literal["ready", "draining"]
    db_role: Literal["primary", "replica"]
    cold_left_ms: Annotated[float, pydantic.Field(ge=0)] = 0
    born: _Count = 0
    seq_no: _Count = 0


_ID = pydantic.TypeAdapter(_Word)


def decode_member(
    name: str, value: object
) -> expression.Result[member.Member, errors.Failure]:
    """Decodes the entry of a database.

    An entry that is accepted counts as a database of its group, so it must name
    one that a connection can be opened to.

    Returns:
      The database, or `ObjectMalformed` with the first invalid field.
    """
    try:
        _ID.validate_python(name)
        entry = _DatabaseEntry.model_validate(value)
    except pydantic.ValidationError as error:
        return expression.Error(decoding_failure.malformed(SERVERS, error))
    return expression.Ok(
        member.Member(
            id=name,
            born=entry.born,
            service=entry.service,
            host=entry.address.host,
            port=entry.address.port,
            zone=entry.zone,
            slots=entry.slots,
            leaving=entry.state == "draining",
            leads=entry.db_role == "primary",
            warming=entry.cold_left_ms > 0,
            sequence=entry.seq_no,
        )
    )


class _InstanceEntry(pydantic.BaseModel):
    """The fields of an entry that an instance list needs."""

    model_config = pydantic.ConfigDict(extra="ignore", strict=True)

    address: _Name
    zone: _Name
    state: Literal["ready", "draining"]


def decode_instances(
    entries: Sequence[list_watch.StoredObject],
) -> objects.InstanceList:
    """Returns the instances of the valid entries; invalid ones are skipped."""
    found = [_decode_instance(entry) for entry in entries]
    return objects.InstanceList(
        instances=tuple(instance for instance in found if instance is not None)
    )


def _decode_instance(entry: list_watch.StoredObject) -> objects.Instance | None:
    try:
        parsed = _InstanceEntry.model_validate(entry.value)
    except pydantic.ValidationError:
        return None
    states = objects.InstanceState
    leaving = parsed.state == "draining"
    return objects.Instance(
        name=entry.name,
        address=parsed.address,
        zone=parsed.zone,
        state=states.LEAVING if leaving else states.LIVE,
    )
