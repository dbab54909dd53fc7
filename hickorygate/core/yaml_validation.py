"""Reads YAML into a pydantic model and reports errors with their location.

All problems of a document are reported at once, each with its line, the key,
the value that was found and how to correct it. Constructs that would make
parsing slow or ambiguous are rejected: long documents, aliases, duplicate keys.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Set
import dataclasses
import pathlib
from typing import TypeAlias
from typing import TypeVar

import expression
import pydantic
import pydantic_core
import yaml

from hickorygate.core import errors

__all__ = ["LENGTH_LIMIT", "RuleViolation", "KeyPath", "read_file", "read_yaml"]

LENGTH_LIMIT = 1_048_576
"""Maximum size of a document: bytes of a file, characters of a text."""

_MAX_VALUE_LENGTH = 60
"""Characters of a value that an error message shows."""

_REASONS = {
    "extra_forbidden": "unknown key; remove it or correct its name",
    "missing": "this key is missing; add it",
    "string_pattern_mismatch": (
        "not a name; use lower-case letters, digits, '_', '.' and '-'"
    ),
    "model_type": "must be a mapping of keys to values",
}
_Loader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)

ModelT = TypeVar("ModelT", bound=pydantic.BaseModel)
KeyPath: TypeAlias = tuple[str | int, ...]
"""Path to a value: the keys and indices from the top level of the document."""


@dataclasses.dataclass(frozen=True, slots=True)
class RuleViolation:
    """A violation of a rule by a model that is valid by itself.

    Attributes:
      path: path to the value.
      value: value that was found; None to leave it out of the message.
      reason: what is wrong and how to correct it.
    """

    path: KeyPath
    value: object
    reason: str


Rules: TypeAlias = Callable[[ModelT], Iterator[RuleViolation]]
"""Yields the violations of rules that a valid model can still have."""


class _Outline:
    """The lines of a document's values, found in its YAML nodes.

    Attributes:
      problems: aliases and duplicate keys in the document.
    """

    __slots__ = ("_lines", "_seen", "problems")

    def __init__(self, root: yaml.Node | None) -> None:
        self.problems: list[errors.FileProblem] = []
        self._lines: dict[KeyPath, int] = {}
        self._seen: set[int] = set()
        if root is not None:
            self._walk(root, ())

    def __repr__(self) -> str:
        return f"_Outline(places={len(self._lines)})"

    def line(self, place: KeyPath) -> int | None:
        """Returns the line of a value, or of the innermost one around it."""
        for length in range(len(place), -1, -1):
            if place[:length] in self._lines:
                return self._lines[place[:length]]
        return None

    def _walk(self, node: yaml.Node, place: KeyPath) -> None:
        if id(node) in self._seen:
            reason = "aliases are not allowed; write the value out"
            self._add_problem(self.line(place), place, reason)
            return
        self._seen.add(id(node))
        self._lines.setdefault(place, _line(node))
        if isinstance(node, yaml.MappingNode):
            self._walk_mapping(node, place)
        elif isinstance(node, yaml.SequenceNode):
            for index, item in enumerate(node.value):
                self._walk(item, (*place, index))

    def _walk_mapping(self, node: yaml.MappingNode, place: KeyPath) -> None:
        keys: set[str] = set()
        for key, value in node.value:
            name = str(key.value)
            if name in keys:
                reason = "this key occurs twice; keep one"
                self._add_problem(_line(key), (*place, name), reason)
            keys.add(name)
            self._lines[(*place, name)] = _line(key)
            self._walk(value, (*place, name))

    def _add_problem(
        self, line: int | None, place: KeyPath, reason: str
    ) -> None:
        self.problems.append(
            errors.FileProblem(line, _dotted_path(place), reason)
        )


def _line(node: yaml.Node) -> int:
    return node.start_mark.line + 1


def _dotted_path(place: KeyPath) -> str:
    return ".".join(str(part) for part in place) or "top level"


def _shortened(value: object) -> str:
    text = repr(value)
    if len(text) <= _MAX_VALUE_LENGTH:
        return text
    return text[:_MAX_VALUE_LENGTH] + "..."


def _yaml_problem(error: yaml.YAMLError) -> errors.FileProblem:
    mark = getattr(error, "problem_mark", None)
    line = mark.line + 1 if mark else None
    text = getattr(error, "problem", None) or " ".join(str(error).split())
    return errors.FileProblem(line, "YAML", text)


def _model_problems(
    found: pydantic.ValidationError, outline: _Outline
) -> tuple[errors.FileProblem, ...]:
    details = found.errors(include_url=False)
    places = {detail["loc"] for detail in details}
    return tuple(
        _model_problem(detail, outline)
        for detail in details
        if not _is_consequence(detail, places)
    )


def _is_consequence(
    detail: pydantic_core.ErrorDetails, places: Set[KeyPath]
) -> bool:
    """Returns whether a list is too short only because items are invalid."""
    place = detail["loc"]
    return detail["type"] == "too_short" and any(
        len(other) > len(place) and other[: len(place)] == place
        for other in places
    )


def _model_problem(
    detail: pydantic_core.ErrorDetails, outline: _Outline
) -> errors.FileProblem:
    place = detail["loc"]
    reason = _REASONS.get(detail["type"], detail["msg"])
    if detail["type"] != "missing" and not _is_secret(place):
        reason += f" (found {_shortened(detail['input'])})"
    return errors.FileProblem(outline.line(place), _dotted_path(place), reason)


def _is_secret(place: KeyPath) -> bool:
    """Returns whether a value must not be shown in an error message."""
    names = {str(part) for part in place}
    return bool(names & {"users", "password", "token_key", "secret_key"})


def _violation_problem(
    violation: RuleViolation, outline: _Outline
) -> errors.FileProblem:
    reason = violation.reason
    if violation.value is not None:
        reason += f" (found {_shortened(violation.value)})"
    line = outline.line(violation.path)
    return errors.FileProblem(line, _dotted_path(violation.path), reason)


def _no_rules(model: pydantic.BaseModel) -> Iterator[RuleViolation]:
    return iter(())


def read_yaml(
    model: type[ModelT],
    text: str,
    path: str,
    rules: Rules[ModelT] = _no_rules,
) -> expression.Result[ModelT, errors.FileInvalid]:
    """Parses a YAML document and validates it.

    Args:
      model: model to validate the document against.
      text: the document.
      path: origin of the document, named in error messages.
      rules: additional rules, checked once the document fits the model.

    Returns:
      The model, or all problems that were found in the document.
    """

    def invalid(
        *problems: errors.FileProblem,
    ) -> expression.Result[ModelT, errors.FileInvalid]:
        return expression.Error(errors.FileInvalid(path, problems))

    if len(text) > LENGTH_LIMIT:
        reason = f"longer than {LENGTH_LIMIT} characters; split it"
        return invalid(errors.FileProblem(None, "file", reason))
    try:
        outline = _Outline(yaml.compose(text, _Loader))
        if outline.problems:
            return invalid(*outline.problems)
        value = yaml.load(text, _Loader)
    except yaml.YAMLError as error:
        return invalid(_yaml_problem(error))
    except (ValueError, RecursionError) as error:
        return invalid(errors.FileProblem(None, "YAML", str(error)))
    try:
        valid = model.model_validate(value)
    except pydantic.ValidationError as error:
        return invalid(*_model_problems(error, outline))
    violations = [_violation_problem(v, outline) for v in rules(valid)]
    return invalid(*violations) if violations else expression.Ok(valid)


def read_file(
    path: pathlib.Path,
) -> expression.Result[str, errors.FileInvalid]:
    """Reads a UTF-8 file of at most `LENGTH_LIMIT` bytes.

    Args:
      path: the file.

    Returns:
      The text, or the reason why the file can't be read.
    """
    try:
        with path.open("rb") as file:
            data = file.read(LENGTH_LIMIT + 1)
        if len(data) <= LENGTH_LIMIT:
            return expression.Ok(data.decode())
        reason = f"longer than {LENGTH_LIMIT} bytes; split it"
    except OSError as error:
        reason = f"can't be read: {error.strerror}; check the path"
    except UnicodeDecodeError as error:
        reason = f"not UTF-8 at byte {error.start}; save it as UTF-8"
    problem = errors.FileProblem(None, "file", reason)
    return expression.Error(errors.FileInvalid(str(path), (problem,)))
