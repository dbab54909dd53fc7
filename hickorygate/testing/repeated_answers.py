"""The fault of a stand-in database that sends answers a second time."""

from __future__ import annotations

import dataclasses
import datetime
import enum
import random

__all__ = ["AnswerKind", "RepeatedAnswers", "kind_of"]

_STATUS_COMMANDS = ("STATUS", "PAUSE", "RESUME", "DEMOTE")
_AT_ONCE = datetime.timedelta()


class AnswerKind(enum.Enum):
    """A kind of answer, by its content or else by its request."""

    ERROR = "an error, whatever the request was"
    STATUS = "the row with the state of the database"
    OPENING = "the start of a transaction"
    OTHER = "any other answer"


def kind_of(text: str, answer: bytes) -> AnswerKind:
    """Returns the kind of an answer.

    Args:
      text: statement text of the request, without a position that it needs;
        empty for the request that opens a session.
      answer: whole answer, encoded.
    """
    command = text.partition(" ")[0]
    if answer.startswith(b"ERROR "):
        return AnswerKind.ERROR
    if command in _STATUS_COMMANDS:
        return AnswerKind.STATUS
    return AnswerKind.OPENING if command == "BEGIN" else AnswerKind.OTHER


@dataclasses.dataclass(slots=True)
class RepeatedAnswers:
    """Which answers a database sends a second time, and how late.

    Attributes:
      kinds: kinds of the answers.
      share: fraction of these answers that are repeated, 0 to 1.
      count: number of answers that are still to be repeated; None for all.
      delays: times from an answer to its copy, of which each copy has one.
      rng: source of the random choices.
    """

    kinds: frozenset[AnswerKind] = frozenset(AnswerKind)
    share: float = 1.0
    count: int | None = None
    delays: tuple[datetime.timedelta, ...] = (_AT_ONCE,)
    rng: random.Random = dataclasses.field(
        default_factory=lambda: random.Random(1)
    )

    def draw_delay(self, kind: AnswerKind) -> datetime.timedelta | None:
        """Returns how late an answer is repeated; None if it isn't."""
        if kind not in self.kinds or self.count == 0:
            return None
        if self.rng.random() >= self.share:
            return None
        if self.count is not None:
            self.count -= 1
        return self.rng.choice(self.delays)
