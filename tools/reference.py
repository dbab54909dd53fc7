"""Generates docs/REFERENCE.md from the code: `python -m tools.reference`.

Settings, commands, metrics and events are defined and documented once, in the
code. A test fails while the page differs from the generated text.
"""

from __future__ import annotations

from collections.abc import Iterator
import enum
import inspect
import pathlib
import re
import types
import typing

import pydantic
import pydantic_core

from hickorygate.core import events
from hickorygate.core import settings
from hickorygate.core import sheet_model
from hickorygate.operators import command
from hickorygate.operators import main
from hickorygate.operators import metrics

__all__ = ["PAGE_PATH", "generate"]

PAGE_PATH = pathlib.Path(__file__).parent.parent / "docs" / "REFERENCE.md"

_HEAD = """\
# Reference

Written by `make reference` out of the code; don't edit it by hand. How to
work with all this is in [OPERATIONS.md](OPERATIONS.md).
"""
_ATTRIBUTE = re.compile(r"^(\w+): (.*)$")
_TYPES = {
    "Path": "path",
    "float": "number",
    "int": "integer",
    "str": "text",
}
_KINDS = {
    "Counter": "counter",
    "Gauge": "gauge",
    "Histogram": "histogram",
}


def _attributes(kind: type) -> dict[str, str]:
    """Returns the attributes that a class's docstring documents."""
    text = inspect.getdoc(kind) or ""
    _, _, section = text.partition("Attributes:\n")
    found: dict[str, str] = {}
    name = ""
    for line in inspect.cleandoc(section).splitlines():
        match = _ATTRIBUTE.match(line)
        if match:
            name = match.group(1)
            found[name] = match.group(2)
        elif name and line.strip():
            found[name] += " " + line.strip()
    return found


def _model_of(annotation: object) -> type[pydantic.BaseModel] | None:
    """Returns the model in an annotation, or None.

    Tuples, unions and other generic types are searched too.
    """
    if inspect.isclass(annotation) and issubclass(
        annotation, pydantic.BaseModel
    ):
        return annotation
    models = (_model_of(part) for part in typing.get_args(annotation))
    return next((model for model in models if model), None)


def _is_list(annotation: object) -> bool:
    return typing.get_origin(annotation) is tuple


def _type(annotation: object) -> str:
    """Returns the name of a type for readers of YAML files."""
    origin = typing.get_origin(annotation)
    arguments = [a for a in typing.get_args(annotation) if a is not Ellipsis]
    if origin is tuple:
        return f"list of {_type(arguments[0])}"
    if origin is dict:
        return f"{_type(arguments[0])} to {_type(arguments[1])}"
    if origin is typing.Literal:
        return ", ".join(str(argument) for argument in arguments)
    if origin in (typing.Union, types.UnionType):
        kept = [a for a in arguments if a is not type(None)]
        return _type(kept[0])
    if origin is typing.Annotated:
        return _type(arguments[0])
    if annotation is pydantic.SecretStr:
        return "secret"
    if annotation is pydantic.AwareDatetime:
        return "time"
    name = getattr(annotation, "__name__", str(annotation))
    return _TYPES.get(name, name)


def _default(field: pydantic.fields.FieldInfo) -> str:
    if field.default is pydantic_core.PydanticUndefined:
        return "required"
    if field.default in (None, ()):
        return "none"
    if isinstance(field.default, pydantic.SecretStr):
        return "empty"
    return f"`{field.default}`"


def _keys(
    model: type[pydantic.BaseModel], prefix: str = ""
) -> Iterator[tuple[str, str, str, str]]:
    """Yields key, type, default and meaning of each field, with nested ones."""
    meanings = _attributes(model)
    for name, field in model.model_fields.items():
        nested = _model_of(field.annotation)
        key = prefix + name
        if nested is None:
            shown = _type(field.annotation)
            yield key, shown, _default(field), meanings[name]
            continue
        is_list = _is_list(field.annotation)
        shown = "list" if is_list else "mapping"
        required = field.default is pydantic_core.PydanticUndefined
        presence = "required" if required else "optional"
        yield key, shown, presence, meanings[name]
        yield from _keys(nested, f"{key}[]." if is_list else f"{key}.")


def _row(*cells: str) -> str:
    escaped = (cell.replace("|", "\\|") for cell in cells)
    return "| " + " | ".join(escaped) + " |"


def _table(*head: str) -> Iterator[str]:
    yield _row(*head)
    yield _row(*("---" for _ in head))


def _model_section(
    title: str, model: type[pydantic.BaseModel]
) -> Iterator[str]:
    yield f"\n## {title}\n"
    yield "Keys that end in `_ms` are in milliseconds.\n"
    yield from _table("key", "type", "default", "meaning")
    for key, shown, default, meaning in _keys(model):
        yield _row(f"`{key}`", shown, default, meaning)


def _commands() -> Iterator[str]:
    yield "\n## Commands\n"
    yield from _table("command", "does")
    for family in main.FAMILIES.values():
        for usage in family.usages:
            yield _row(f"`hickorygate {usage.syntax}`", usage.description)
    yield "\n### Flags\n"
    yield from _table("family", "flag", "default", "meaning")
    for family in main.FAMILIES.values():
        for name in sorted(family.flags):
            flag = family.flags[name]
            default = "none" if flag.default in (None, []) else flag.default
            yield _row(family.name, f"`--{name}`", f"{default}", flag.help)
    yield "\n### Exit codes\n"
    yield from _table("code", "means")
    for code in command.ExitCode:
        yield _row(str(code.value), _meaning(code))


def _meaning(member: enum.Enum) -> str:
    return _attributes(type(member))[member.name]


def _metrics() -> Iterator[str]:
    yield "\n## Metrics\n"
    yield from _table("metric", "kind", "meaning")
    for metric in metrics.CATALOGUE:
        kind = _KINDS[metric.kind.__name__]
        yield _row(f"`{metric.full_name}`", kind, metric.help)


def _events() -> Iterator[str]:
    yield "\n## Events on the time line\n"
    yield from _table("event", "fields", "meaning")
    for kind in events.event_types():
        fields = ", ".join(kind.__dataclass_fields__) or "none"
        meaning = (inspect.getdoc(kind) or "").splitlines()[0]
        yield _row(f"`{kind.__name__}`", fields, meaning)


def generate() -> str:
    """Returns the text of the page."""
    lines = [
        _HEAD.rstrip(),
        *_model_section("Settings", settings.Settings),
        *_model_section("The sheet", sheet_model.SheetModel),
        *_commands(),
        *_metrics(),
        *_events(),
    ]
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    PAGE_PATH.write_text(generate())
