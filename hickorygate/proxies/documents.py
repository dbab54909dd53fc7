"""How new versions of documents spread: decisions without I/O.

Each header tells which versions its sender holds. A proxy that hears of a
higher one asks for it; one that got it announces it to a few others at once,
so that a version reaches the fleet in about the logarithm of its size in
steps.
"""

from __future__ import annotations

import dataclasses
import datetime

from hickorygate.core import document as document_lib
from hickorygate.proxies import effects
from hickorygate.proxies import membership as memberships
from hickorygate.proxies import messages

__all__ = ["Documents"]

_ANNOUNCED_TO = 4
_ANSWER_TIME = datetime.timedelta(seconds=1)
"""After which another sender of the version is asked."""
_REJECTED_TIME = datetime.timedelta(seconds=30)
"""After which a version that was of no use is asked for again."""


@dataclasses.dataclass(slots=True)
class _State:
    """One document here.

    Attributes:
      version: held.
      asked: the version asked for last.
      until: no second request for it before then.
    """

    version: int = 0
    asked: int = 0
    until: datetime.datetime | None = None


class Documents:
    """The versions held, and what was asked for."""

    __slots__ = ("_membership", "_states")

    def __init__(self, membership: memberships.Membership) -> None:
        self._membership = membership
        self._states = {kind: _State() for kind in document_lib.DocumentKind}

    @property
    def versions(self) -> messages.Versions:
        """The versions held."""
        return messages.Versions(
            self._states[document_lib.DocumentKind.SHEET].version,
            self._states[document_lib.DocumentKind.INSTANCES].version,
        )

    def __repr__(self) -> str:
        return f"Documents({self.versions!r})"

    def hear(
        self, header: messages.Header, now: datetime.datetime
    ) -> tuple[effects.Effect, ...]:
        """Asks a sender for what it holds in a higher version."""
        sender = header.sender
        return tuple(
            effects.Send(
                sender.address, messages.DocumentWanted(kind), sender.name
            )
            for kind, state in self._states.items()
            if self._ask(state, header.versions.of(kind), now)
        )

    def hold(
        self, kind: document_lib.DocumentKind, version: int
    ) -> tuple[effects.Effect, ...]:
        """Notes a version that is now in force, and announces it."""
        state = self._states[kind]
        if version <= state.version:
            return ()
        state.version = version
        return tuple(
            effects.Send(member.address, messages.Announce(), member.name)
            for member in self._membership.sample(_ANNOUNCED_TO)
        )

    def reject(
        self,
        kind: document_lib.DocumentKind,
        version: int,
        now: datetime.datetime,
    ) -> None:
        """Puts off asking again for a version that was of no use."""
        state = self._states[kind]
        state.asked = max(state.asked, version)
        state.until = now + _REJECTED_TIME

    def _ask(self, state: _State, offered: int, now: datetime.datetime) -> bool:
        if offered <= state.version:
            return False
        waiting = state.until is not None and now < state.until
        if offered <= state.asked and waiting:
            return False
        state.asked = offered
        state.until = now + _ANSWER_TIME
        return True
