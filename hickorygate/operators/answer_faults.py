"""Sorts the reasons for which answers of databases were discarded.

A reason may quote what a database sent; a metric needs a small set of labels.
"""

from __future__ import annotations

import enum
import re

__all__ = ["AnswerFault", "classify"]


class AnswerFault(enum.StrEnum):
    """What was wrong with an answer."""

    ORDER = "order"
    """It isn't the answer to the oldest open request."""
    LENGTH = "length"
    """It is longer than a message may be."""
    MALFORMED = "malformed"
    """It isn't an answer."""
    OTHER = "other"


_PATTERNS = (
    (
        re.compile(r"(broken answer: )?an answer (to nothing|is older)"),
        AnswerFault.ORDER,
    ),
    (
        re.compile(r"(broken answer: )?an answer is longer"),
        AnswerFault.LENGTH,
    ),
    (re.compile(r"broken answer: "), AnswerFault.MALFORMED),
    (re.compile(r"[a-z ]+ in answer to [A-Za-z]+\Z"), AnswerFault.ORDER),
)


def classify(reason: str) -> AnswerFault:
    """Returns the fault that the reason of an `AnswerDiscarded` names."""
    for pattern, fault in _PATTERNS:
        if pattern.match(reason):
            return fault
    return AnswerFault.OTHER
