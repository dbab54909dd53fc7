"""What the metrics show of the callers of a process."""

from __future__ import annotations

from collections.abc import Mapping
import dataclasses
import enum

from hickorygate.core import memory_budget

__all__ = ["CallerUsage", "MessageCause"]


class MessageCause(enum.Enum):
    """Where a message was not understood."""

    NO_SESSION = "not a message, before a session"
    SESSION = "not a message, in a session"


@dataclasses.dataclass(frozen=True, slots=True)
class CallerUsage(memory_budget.BufferUsage):
    """What callers occupy, and which of their messages were rejected.

    Attributes:
      messages: number of messages that were not understood, by cause.
    """

    messages: Mapping[MessageCause, int] = dataclasses.field(
        default_factory=dict
    )
