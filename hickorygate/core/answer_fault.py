"""What can be wrong with the answers of databases."""

from __future__ import annotations

import enum

__all__ = ["AnswerFault"]


class AnswerFault(enum.StrEnum):
    """What is wrong with an answer."""

    ORDER = "order"
    """It isn't the answer to the oldest open request."""
    LENGTH = "length"
    """It is longer than a message may be."""
    MALFORMED = "malformed"
    """It isn't an answer."""
