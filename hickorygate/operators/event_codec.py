"""Encodes events as JSON lines and as human-readable text.

An event whose kind this version doesn't know is kept and printed unchanged, so
that the events of a fleet with two versions still merge into one timeline.
"""

from __future__ import annotations

from collections.abc import Mapping
import dataclasses
import datetime
import functools

import expression
import pydantic

from hickorygate.core import events
from hickorygate.core import position
from hickorygate.core import types
from hickorygate.operators import escapes
from hickorygate.operators import failures

__all__ = ["UnknownEvent", "encode_json", "format_text", "decode_json"]

_ADAPTERS: Mapping[str, pydantic.TypeAdapter[events.Event]] = {
    kind.__name__: pydantic.TypeAdapter(kind) for kind in events.event_types()
}


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownEvent(events.Event):
    """An event of a kind that this version doesn't know.

    Attributes:
      kind: name of the event class in the process that recorded the event.
      fields: fields of the event as decoded from JSON.
    """

    kind: str
    fields: Mapping[str, pydantic.JsonValue]


class _JsonLine(pydantic.BaseModel):
    """The JSON form of one event.

    Attributes:
      wall: wall-clock part of the event's timestamp.
      count: counter that orders events with the same wall-clock part.
      process: name of the process that recorded the event.
      kind: class name of the event.
      fields: fields of the event.
    """

    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)

    wall: pydantic.AwareDatetime
    count: int
    process: types.ProxyName
    kind: str
    fields: dict[str, pydantic.JsonValue]


def encode_json(recorded: events.RecordedEvent) -> str:
    """Returns an event as one JSON line, without the line break."""
    line = _JsonLine(
        wall=recorded.stamp.wall,
        count=recorded.stamp.count,
        process=recorded.process,
        kind=_kind(recorded.event),
        fields={
            name: _encodable(value)
            for name, value in _fields(recorded.event).items()
        },
    )
    return line.model_dump_json()


def decode_json(
    text: str, address: str
) -> expression.Result[events.RecordedEvent, failures.ProxyUnreachable]:
    """Decodes a line that `encode_json` encoded.

    Args:
      text: JSON line of one event.
      address: admin address that sent the line, for the error message.
    """
    try:
        line = _JsonLine.model_validate_json(text)
        event = _decode_event(line)
    except pydantic.ValidationError as error:
        reason = f"malformed event: {error.errors(include_url=False)[0]['msg']}"
        return expression.Error(failures.ProxyUnreachable(address, reason))
    stamp = events.Timestamp(line.wall, line.count)
    return expression.Ok(events.RecordedEvent(stamp, line.process, event))


def format_text(recorded: events.RecordedEvent) -> str:
    """Returns an event as one human-readable line."""
    wall = recorded.stamp.wall.astimezone(datetime.UTC)
    time = wall.strftime("%H:%M:%S.%f")
    values = _values(recorded.event)
    shown = " ".join(f"{name}={_format(v)}" for name, v in values.items())
    kind = _kind(recorded.event)
    return escapes.printable(
        f"{time}+{recorded.stamp.count:<3} {recorded.process:<12} "
        f"{kind:<16} {shown}"
    ).rstrip()


def _decode_event(line: _JsonLine) -> events.Event:
    adapter = _ADAPTERS.get(line.kind)
    if adapter is None:
        return UnknownEvent(line.kind, line.fields)
    return adapter.validate_python(line.fields)


@functools.singledispatch
def _kind(event: events.Event) -> str:
    return type(event).__name__


@_kind.register
def _(event: UnknownEvent) -> str:
    return event.kind


@functools.singledispatch
def _fields(event: events.Event) -> Mapping[str, pydantic.JsonValue]:
    adapter = _ADAPTERS[type(event).__name__]
    return adapter.dump_python(event, mode="json")


@_fields.register
def _(event: UnknownEvent) -> Mapping[str, pydantic.JsonValue]:
    return event.fields


@functools.singledispatch
def _encodable(value: pydantic.JsonValue) -> pydantic.JsonValue:
    """Returns a value without texts that JSON can't represent."""
    return value


@_encodable.register
def _(value: str) -> pydantic.JsonValue:
    return escapes.encodable(value)


@_encodable.register
def _(value: list) -> pydantic.JsonValue:
    return [_encodable(item) for item in value]


@_encodable.register
def _(value: dict) -> pydantic.JsonValue:
    return {
        escapes.encodable(name): _encodable(item)
        for name, item in value.items()
    }


@functools.singledispatch
def _values(event: events.Event) -> Mapping[str, object]:
    """Returns the fields of an event as Python values, not encoded as JSON."""
    names = [field.name for field in dataclasses.fields(event)]
    return {name: getattr(event, name) for name in names}


@_values.register
def _(event: UnknownEvent) -> Mapping[str, object]:
    return event.fields


@functools.singledispatch
def _format(value: object) -> str:
    """Returns the value of a field as human-readable text."""
    return str(value)


@_format.register
def _(value: datetime.timedelta) -> str:
    return f"{value.total_seconds():.3f}s"


@_format.register
def _(value: position.Position) -> str:
    return f"{value.term}/{value.offset}"
