"""Opens the connections of one pool, and pauses after a failed attempt."""

from __future__ import annotations

import asyncio
import datetime

from hickorygate.core import clock as clocks
from hickorygate.core import errors
from hickorygate.core import reply
from hickorygate.core import types
from hickorygate.upstreams import database_request
from hickorygate.upstreams import member as members

__all__ = ["ConnectionOpener", "is_connection_limit"]

_RECONNECT_DELAY = datetime.timedelta(milliseconds=100)
"""Minimum delay before the next connection attempt after a failed one."""

_MAX_RECONNECT_DELAY = datetime.timedelta(milliseconds=400)
"""Longest such delay; it doubles while the database refuses sessions."""


class ConnectionOpener:
    """Opens the connections of one pool, and pauses after a failed attempt."""

    __slots__ = (
        "_clock",
        "_connecting_since",
        "_connector",
        "_delay",
        "_last_failure",
        "_open_again",
        "_opened",
        "_opening",
        "_opening_long",
        "_refused_since",
        "_replace_again",
    )

    def __init__(
        self, connector: database_request.Connector, clock: clocks.Clock
    ) -> None:
        self._connector = connector
        self._clock = clock
        self._connecting_since: datetime.datetime | None = None
        self._delay = _RECONNECT_DELAY
        self._last_failure: errors.Failure | None = None
        self._open_again: datetime.datetime | None = None
        self._opened = 0
        self._opening = 0
        self._opening_long = 0
        self._refused_since: datetime.datetime | None = None
        self._replace_again: datetime.datetime | None = None

    @property
    def connecting_since(self) -> datetime.datetime | None:
        """Time of the first attempt to connect since the last answer."""
        return self._connecting_since

    @property
    def last_failure(self) -> errors.Failure | None:
        """The failure of the last failed attempt; None if there is none."""
        return self._last_failure

    @property
    def opened(self) -> int:
        """The number of connections opened since the start."""
        return self._opened

    @property
    def opening(self) -> int:
        """The number of connections that are being opened."""
        return self._opening

    @property
    def opening_long(self) -> int:
        """The number of these that are opened for transactions."""
        return self._opening_long

    @property
    def refused_since(self) -> datetime.datetime | None:
        """Time since which the database refuses connections; None if never."""
        return self._refused_since

    def __repr__(self) -> str:
        return f"ConnectionOpener(opening={self._opening})"

    def note_answer(self) -> None:
        """Records that the database, or its host, answered."""
        self._connecting_since = None

    def may_open(self) -> bool:
        """Returns whether a further connection may be opened now."""
        return not self._is_ahead(self._open_again)

    def may_replace(self) -> bool:
        """Returns whether a connection may be opened in place of another one.

        A database at its connection limit accepts such a connection.
        """
        return not self._is_ahead(self._replace_again)

    def pause(self) -> datetime.timedelta | None:
        """Returns the time until a pause ends; None if there is none."""
        now = self._clock.now()
        ends = (self._open_again, self._replace_again)
        return min(
            (end - now for end in ends if end is not None and end > now),
            default=None,
        )

    def reserve(self, for_transaction: bool) -> None:
        """Counts a connection that `open` is going to open."""
        self._opening += 1
        self._opening_long += for_transaction

    async def open(
        self,
        member: members.Member,
        workspace: types.WorkspaceName,
        for_transaction: bool,
        replaces: bool,
    ) -> database_request.ConnectResult:
        """Opens a connection that `reserve` has counted.

        Args:
          member: database to connect to.
          workspace: workspace that the connection serves; empty for none.
          for_transaction: as for `reserve`.
          replaces: whether another connection was closed for it just now.
        """
        if self._connecting_since is None:
            self._connecting_since = self._clock.now()
        try:
            if replaces:
                # A closed socket is released in the loop's next turn. The
                # database must see that before the new connection.
                await asyncio.sleep(0)
            opened = await self._connector.open(
                member, self.note_answer, workspace
            )
        finally:
            self._opening -= 1
            self._opening_long -= for_transaction
        if opened.is_error():
            self._record_failure(opened.error, replaces)
            return opened
        self._opened += 1
        self._delay = _RECONNECT_DELAY
        self._open_again = self._replace_again = None
        self._refused_since = None
        return opened

    def _is_ahead(self, time: datetime.datetime | None) -> bool:
        return time is not None and self._clock.now() < time

    def _record_failure(self, failure: errors.Failure, replaces: bool) -> None:
        self._last_failure = failure
        now = self._clock.now()
        self._open_again = now + self._delay
        at_limit = is_connection_limit(failure)
        if replaces or not at_limit:
            self._replace_again = self._open_again
        if at_limit:
            self._delay = min(2 * self._delay, _MAX_RECONNECT_DELAY)
            if self._refused_since is None:
                self._refused_since = now


def is_connection_limit(failure: errors.Failure) -> bool:
    """Returns whether the database's connection limit was reached.

    A database at its limit says so, or closes the connection at once.
    """
    match failure:
        case errors.SessionRefused():
            return True
        case reply.Rejection(reason=reply.RejectionReason.CONNECTION_LIMIT):
            return True
    return False
