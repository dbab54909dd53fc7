"""The parts of SQL text that are no words: literals, names, comments.

Each pattern takes one pass over the text, whatever a caller sends: repeats
are possessive, and what isn't closed runs to the end. Backslash escapes and
UTF-8 are taken for granted; sessions can't switch them off.
"""

from __future__ import annotations

import re

__all__ = ["BLANKED", "COMMENT", "PLACE", "SEPARATOR"]

_QUOTED = r"""
    '(?:[^'\\]++|\\(?:.|\Z)|'')*+(?:'|\Z)        # a string
    | "(?:[^"\\]++|\\(?:.|\Z)|"")*+(?:"|\Z)      # the same, or a name
    | `[^`]*+(?:`|\Z)                            # a name
"""
_COMMENT = r"""
    /\*(?!M?!)[^*]*+(?:\*(?!/)[^*]*+)*+(?:\*/|\Z)   # but not an executable one
    | --(?=\s|\Z)[^\n]*+
    | \#[^\n]*+
"""

BLANKED = re.compile(f"(?:{_QUOTED}|{_COMMENT})", re.S | re.X)
"""Whatever hides words that don't count."""

COMMENT = re.compile(_COMMENT, re.S | re.X)
"""A comment, if the place where it is looked for isn't quoted."""

SEPARATOR = re.compile(f"(?:{_QUOTED}|{_COMMENT})|(?P<end>;)", re.S | re.X)
"""Finds the semicolons between statements, as group `end`."""

PLACE = re.compile(f"(?:{_QUOTED}|{_COMMENT})|(?P<place>\\?)", re.S | re.X)
"""Finds a prepared statement's parameters, as group `place`."""
