"""Events as JSON lines and as text for people.

An event of a kind that this version doesn't know is kept and shown as it
came, so that a fleet of two versions still has one time line.
"""

from __future__ import annotations

from collections.abc import Mapping
import dataclasses
import datetime
import functools

import expression
import pydantic

from hickorygate.core import events
from hickorygate.core import position as positions
from hickorygate.core import types
from hickorygate.operators import failures

__all__ = ["ForeignEvent", "as_json", "as_text", "read_json"]

_ADAPTERS: Mapping[str, pydantic.TypeAdapter[events.Event]] = {
    kind.__name__: pydantic.TypeAdapter(kind) for kind in events.kinds()
}


@dataclasses.dataclass(frozen=True, slots=True)
class ForeignEvent(events.Event):
    """An event of another version."""

    kind: str
    fields: Mapping[str, pydantic.JsonValue]


class _Line(pydantic.BaseModel):
    """One event as a JSON line."""

    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)

    wall: pydantic.AwareDatetime
    count: int
    process: types.ProxyName
    kind: str
    fields: dict[str, pydantic.JsonValue]


def as_json(recorded: events.Recorded) -> str:
    """Returns an event as one JSON line."""
    line = _Line(
        wall=recorded.stamp.wall,
        count=recorded.stamp.count,
        process=recorded.process,
        kind=_kind(recorded.event),
        fields=_fields(recorded.event),
    )
    return line.model_dump_json()


def read_json(
    text: str, address: str
) -> expression.Result[events.Recorded, failures.ProxyUnreachable]:
    """Reads what `as_json` wrote.

    Args:
      text: one line.
      address: where it came from; named in the error.
    """
    try:
        line = _Line.model_validate_json(text)
        event = _event(line)
    except pydantic.ValidationError as error:
        reason = f"malformed event: {error.errors(include_url=False)[0]['msg']}"
        return expression.Error(failures.ProxyUnreachable(address, reason))
    stamp = events.Stamp(line.wall, line.count)
    return expression.Ok(events.Recorded(stamp, line.process, event))


def as_text(recorded: events.Recorded) -> str:
    """Returns an event as a line for people."""
    wall = recorded.stamp.wall.astimezone(datetime.UTC)
    time = wall.strftime("%H:%M:%S.%f")
    values = _values(recorded.event)
    shown = " ".join(f"{name}={_shown(v)}" for name, v in values.items())
    kind = _kind(recorded.event)
    return (
        f"{time}+{recorded.stamp.count:<3} {recorded.process:<12} "
        f"{kind:<16} {shown}"
    ).rstrip()


def _event(line: _Line) -> events.Event:
    adapter = _ADAPTERS.get(line.kind)
    if adapter is None:
        return ForeignEvent(line.kind, line.fields)
    return adapter.validate_python(line.fields)


@functools.singledispatch
def _kind(event: events.Event) -> str:
    return type(event).__name__


@_kind.register
def _(event: ForeignEvent) -> str:
    return event.kind


@functools.singledispatch
def _fields(event: events.Event) -> Mapping[str, pydantic.JsonValue]:
    adapter = _ADAPTERS[type(event).__name__]
    return adapter.dump_python(event, mode="json")


@_fields.register
def _(event: ForeignEvent) -> Mapping[str, pydantic.JsonValue]:
    return event.fields


@functools.singledispatch
def _values(event: events.Event) -> Mapping[str, object]:
    """Returns the fields of an event as they are inside."""
    names = [field.name for field in dataclasses.fields(event)]
    return {name: getattr(event, name) for name in names}


@_values.register
def _(event: ForeignEvent) -> Mapping[str, object]:
    return event.fields


@functools.singledispatch
def _shown(value: object) -> str:
    """Returns a field as text for people."""
    return str(value)


@_shown.register
def _(value: datetime.timedelta) -> str:
    return f"{value.total_seconds():.3f}s"


@_shown.register
def _(value: positions.Position) -> str:
    return f"{value.term}/{value.offset}"
