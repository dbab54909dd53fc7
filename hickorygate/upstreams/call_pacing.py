"""Paces the repeated calls of a takeover, without I/O."""

from __future__ import annotations

import datetime

from hickorygate.upstreams import member as members

__all__ = ["CallPacing"]

_RETRY_INTERVAL = datetime.timedelta(milliseconds=150)
"""Minimum time between two calls to the same database."""


class CallPacing:
    """Tells when the calls of one kind are due."""

    __slots__ = ("_last_calls", "_outstanding")

    def __init__(self) -> None:
        self._outstanding: set[members.MemberId] = set()
        self._last_calls: dict[members.MemberId, datetime.datetime] = {}

    def __repr__(self) -> str:
        return f"CallPacing(outstanding={sorted(self._outstanding)})"

    def start_call(
        self, name: members.MemberId, now: datetime.datetime
    ) -> bool:
        """Returns whether to call a database now, and records the call.

        No call is made while one to the database is outstanding or shortly
        after the last one.
        """
        last_call = self._last_calls.get(name)
        if name in self._outstanding:
            return False
        if last_call is not None and now - last_call < _RETRY_INTERVAL:
            return False
        self._outstanding.add(name)
        self._last_calls[name] = now
        return True

    def end_call(self, name: members.MemberId) -> None:
        """Records that the call to a database was answered or failed."""
        self._outstanding.discard(name)

    def end_all_calls(self) -> None:
        """Records that no call is outstanding."""
        self._outstanding.clear()

    def reset(self) -> None:
        """Forgets all calls."""
        self._outstanding.clear()
        self._last_calls.clear()
