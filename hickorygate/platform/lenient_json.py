"""Decodes JSON in which single values can't be represented.

Objects of the store come from several writers. One value that is nested too
deeply, a number that is too large or text that isn't valid must not make the
other objects of a response unreadable, so such a value is replaced.
"""

from __future__ import annotations

import math
import re

import orjson

__all__ = ["loads"]

_MAX_DEPTH = 64
"""Levels of nesting that are kept; what is nested deeper becomes null."""

_MAX_NUMBER_LENGTH = 400
"""Characters of a number that is kept; a longer one becomes null."""

_TOKEN = re.compile(
    rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{}]|[^\s"\[\]{},:]+', re.DOTALL
)
_ESCAPE = re.compile(rb"\\(?:u[0-9a-fA-F]{4}|.)|[\x00-\x1f]", re.DOTALL)
_SURROGATE = re.compile(rb"\\u[dD][89a-fA-F]")
_NUMBER = re.compile(rb"-?(?:0|[1-9]\d*)(?:\.\d+)?(?:[eE][+-]?\d+)?")
_NUMBER_LIKE = re.compile(rb"-?(?:\d[\d.eE+-]*|NaN|Infinity)")
_VALID_ESCAPES = frozenset(b'"\\/bfnrt')
_NULL = b"null"
_REPLACEMENT_CHARACTER = rb"\ufffd"


def loads(body: bytes) -> object:
    """Decodes a JSON text; values that can't be represented are replaced.

    Such numbers and values nested too deeply become null, such characters
    become U+FFFD.

    Raises:
      ValueError: the text is not JSON otherwise.
    """
    try:
        return orjson.loads(body)
    except ValueError:
        return orjson.loads(_repair(body))


def _repair(body: bytes) -> bytes:
    """Returns the text with all values replaced that can't be represented."""
    text = body.decode("utf-8", "replace").encode()
    kept: list[bytes] = []
    depth = 0
    copied = 0
    for token in _TOKEN.finditer(text):
        value = token.group()
        if value in (b"[", b"{"):
            depth += 1
            if depth == _MAX_DEPTH + 1:
                kept += [text[copied : token.start()], _NULL]
        elif value in (b"]", b"}"):
            depth -= 1
            if depth == _MAX_DEPTH:
                copied = token.end()
        elif depth <= _MAX_DEPTH:
            kept += [text[copied : token.start()], _repair_scalar(value)]
            copied = token.end()
    return b"".join([*kept, text[copied:]])


def _repair_scalar(value: bytes) -> bytes:
    """Returns a string, a number or another word, or what replaces it."""
    if value.startswith(b'"'):
        return _ESCAPE.sub(_repair_character, value)
    if _NUMBER_LIKE.fullmatch(value) and not _is_representable(value):
        return _NULL
    return value


def _repair_character(escape: re.Match[bytes]) -> bytes:
    value = escape.group()
    is_unicode = len(value) > 2
    if is_unicode and not _SURROGATE.match(value):
        return value
    if len(value) == 2 and value[1] in _VALID_ESCAPES:
        return value
    return _REPLACEMENT_CHARACTER


def _is_representable(value: bytes) -> bool:
    """Returns whether a number is well-formed and of finite size."""
    if len(value) > _MAX_NUMBER_LENGTH or not _NUMBER.fullmatch(value):
        return False
    return math.isfinite(float(value))
