"""Strategies for malformed input: values and messages that are almost valid."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Mapping
import copy
from typing import Any

from hypothesis import strategies

__all__ = ["VALUES", "changed"]

_NUMBERS = strategies.one_of(
    strategies.integers(),
    strategies.sampled_from([2**31, 2**62, 2**64 - 1, -1, 0, 10**30]),
    strategies.floats(allow_nan=False, allow_infinity=False),
    strategies.sampled_from([1e300, -1e300, 1e-300, 1e14]),
)
_TEXTS = strategies.one_of(
    strategies.text(),
    strategies.sampled_from(
        ["", "-", "a:b", "999.1.1.1:99999", ":80", "2026-01-01T00:00:00"]
    ),
)
_SCALARS = strategies.one_of(
    strategies.none(), strategies.booleans(), _NUMBERS, _TEXTS
)
VALUES = strategies.recursive(
    _SCALARS,
    lambda inner: strategies.one_of(
        strategies.lists(inner, max_size=4),
        strategies.dictionaries(strategies.text(max_size=8), inner, max_size=4),
    ),
    max_leaves=8,
)
"""Values of any type that JSON can hold."""


def changed(valid: Any) -> strategies.SearchStrategy[Any]:
    """Returns copies of a value in which one part, at any depth, is replaced.

    Args:
      valid: value of lists, dictionaries with text keys and scalars.
    """
    places = strategies.sampled_from(list(_places(valid, ())))
    return strategies.builds(_replace, strategies.just(valid), places, VALUES)


def _places(value: Any, path: tuple[Any, ...]) -> Iterator[tuple[Any, ...]]:
    """Yields the path of each part of a value."""
    yield path
    if isinstance(value, Mapping):
        for key, part in value.items():
            yield from _places(part, (*path, key))
    elif isinstance(value, list):
        for index, part in enumerate(value):
            yield from _places(part, (*path, index))


def _replace(valid: Any, path: tuple[Any, ...], part: Any) -> Any:
    if not path:
        return part
    result = copy.deepcopy(valid)
    parent = result
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = part
    return result
