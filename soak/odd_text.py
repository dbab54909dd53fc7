"""Texts with bytes that a careless reader takes for the end of a message."""

from __future__ import annotations

import random

__all__ = ["field", "plain", "rest"]

_BREAKS = ("\n", "\n\n", "\r", "\r\r", "\0", "\v\f\x85\u2028", "\udcff\udc80")
"""None of them is or makes CR LF, which alone ends a message.

The last isn't UTF-8.
"""

_MESSAGES = (
    "READ forged",
    "nothing",
    "QUERY forged WRITE forged 1",
    "QUERY forged READ forged",
    "ROW forged",
    "COMPLETE -",
    "READY I -",
    "ERROR BUSY forged",
)
"""What would be a message of its own, or the next line of an answer."""

_MARK = "~"
"""Separates a text from what was added to it."""


def field(text: str, rng: random.Random) -> str:
    """Returns a text with odd bytes after it, without blanks."""
    return f"{text}{_MARK}{rng.choice(_BREAKS)}{rng.randrange(100)}"


def rest(text: str, rng: random.Random) -> str:
    """Returns a text with odd bytes after it, for the last field."""
    return f"{text}{_MARK}{rng.choice(_BREAKS)}{rng.choice(_MESSAGES)}"


def plain(text: str) -> str:
    """Returns the text that odd bytes were added to."""
    return text.partition(_MARK)[0]
