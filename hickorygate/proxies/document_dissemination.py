"""Dissemination of new document versions: decisions without I/O.

Each message header carries the versions that its sender holds. A proxy that
receives a header with a higher version requests the document. A proxy that
puts a new version in force announces it to a few others at once. A version
therefore reaches the whole fleet in a number of steps that grows with the
logarithm of the fleet size.
"""

from __future__ import annotations

import dataclasses
import datetime

from hickorygate.core import document
from hickorygate.proxies import effects
from hickorygate.proxies import membership as memberships
from hickorygate.proxies import messages

__all__ = ["DocumentDissemination"]

_ANNOUNCE_FANOUT = 4
"""Number of proxies that get an announcement of a new version."""
_REQUEST_TIMEOUT = datetime.timedelta(seconds=1)
"""Time after which the version is requested from another sender."""
_REJECTION_BACKOFF = datetime.timedelta(seconds=30)
"""Time after which a rejected version is requested again."""


@dataclasses.dataclass(slots=True)
class _DocumentState:
    """Local state of one document.

    Attributes:
      version: version in force at this proxy; 0 for none.
      requested: version that was last requested or rejected.
      retry_at: time before which `requested` is not requested again.
    """

    version: int = 0
    requested: int = 0
    retry_at: datetime.datetime | None = None


class DocumentDissemination:
    """Versions that this proxy holds and versions that it has requested."""

    __slots__ = ("_membership", "_states")

    def __init__(self, membership: memberships.Membership) -> None:
        """Creates the state without any document.

        Args:
          membership: source of the receivers of announcements.
        """
        self._membership = membership
        self._states = {
            kind: _DocumentState() for kind in document.DocumentKind
        }

    @property
    def versions(self) -> messages.Versions:
        """Versions of the documents that this proxy holds."""
        return messages.Versions(
            self._states[document.DocumentKind.SHEET].version,
            self._states[document.DocumentKind.INSTANCES].version,
        )

    def __repr__(self) -> str:
        return f"DocumentDissemination({self.versions!r})"

    def request_newer(
        self, header: messages.Header, now: datetime.datetime
    ) -> tuple[effects.Effect, ...]:
        """Requests the documents of which a sender holds a higher version.

        Args:
          header: header of a received message.
          now: current time.
        """
        sender = header.sender
        return tuple(
            effects.Send(
                sender.address, messages.DocumentRequest(kind), sender.name
            )
            for kind, state in self._states.items()
            if self._should_request(
                state, header.versions.version_of(kind), now
            )
        )

    def announce_version(
        self, kind: document.DocumentKind, version: int
    ) -> tuple[effects.Effect, ...]:
        """Records a version that is now in force and announces it.

        A version that is not higher than the recorded one is ignored.
        """
        state = self._states[kind]
        if version <= state.version:
            return ()
        state.version = version
        return tuple(
            effects.Send(member.address, messages.Announce(), member.name)
            for member in self._membership.sample(_ANNOUNCE_FANOUT)
        )

    def record_rejection(
        self,
        kind: document.DocumentKind,
        version: int,
        now: datetime.datetime,
    ) -> None:
        """Records a version that was rejected.

        The version is not requested again for `_REJECTION_BACKOFF`.
        """
        state = self._states[kind]
        state.requested = max(state.requested, version)
        state.retry_at = now + _REJECTION_BACKOFF

    def _should_request(
        self, state: _DocumentState, offered: int, now: datetime.datetime
    ) -> bool:
        """Whether to request an offered version; if so, starts the timeout."""
        if offered <= state.version:
            return False
        waiting = state.retry_at is not None and now < state.retry_at
        if offered <= state.requested and waiting:
            return False
        state.requested = offered
        state.retry_at = now + _REQUEST_TIMEOUT
        return True
