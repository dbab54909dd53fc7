"""Patterns for the quoted parts and the comments of SQL text.

Each pattern takes one pass over the text, whatever a caller sends:
repetitions are possessive, and an unterminated string, name or comment extends
to the end of the text. The patterns assume backslash escapes and UTF-8, which
sessions can't turn off.
"""

from __future__ import annotations

import re

__all__ = ["QUOTED_OR_COMMENT", "PLACE", "SEPARATOR"]

_QUOTED = r"""
    '(?:[^'\\]++|\\(?:.|\Z)|'')*+(?:'|\Z)        # a string
    | "(?:[^"\\]++|\\(?:.|\Z)|"")*+(?:"|\Z)      # a string or a name
    | `[^`]*+(?:`|\Z)                            # a name
"""
_COMMENT = r"""
    /\*(?!M?!)[^*]*+(?:\*(?!/)[^*]*+)*+(?:\*/|\Z)   # but not an executable one
    | --(?=\s|\Z)[^\n]*+
    | \#[^\n]*+
"""

QUOTED_OR_COMMENT = re.compile(f"(?:{_QUOTED}|{_COMMENT})", re.S | re.X)
"""A string, a quoted name or a comment. Words inside these don't affect the
class of a statement."""

SEPARATOR = re.compile(f"(?:{_QUOTED}|{_COMMENT})|(?P<end>;)", re.S | re.X)
"""Matches what `QUOTED_OR_COMMENT` matches, or a semicolon between statements
as group `end`."""

PLACE = re.compile(f"(?:{_QUOTED}|{_COMMENT})|(?P<place>\\?)", re.S | re.X)
"""Matches what `QUOTED_OR_COMMENT` matches, or a parameter of a prepared
statement as group `place`."""
