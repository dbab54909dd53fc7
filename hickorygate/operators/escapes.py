"""Escapes texts of callers and databases for operators' terminals and files.

Such texts may hold line feeds, control characters and bytes that aren't UTF-8.
"""

from __future__ import annotations

from collections.abc import Mapping

__all__ = ["encodable", "label_values", "printable"]


def encodable(text: str) -> str:
    """Returns a text whose bytes that aren't UTF-8 are escaped."""
    return text.encode(errors="backslashreplace").decode()


def printable(text: str) -> str:
    """Returns a text whose characters that can't be printed are escaped."""
    if text.isprintable():
        return text
    return "".join(
        character
        if character.isprintable()
        else character.encode("unicode_escape").decode()
        for character in text
    )


def label_values(labels: Mapping[str, str]) -> dict[str, str]:
    """Returns labels with values that are safe in Prometheus text format."""
    return {name: _label_value(value) for name, value in labels.items()}


def _label_value(value: str) -> str:
    return printable(value).replace("\\", "\\\\").replace('"', '\\"')
