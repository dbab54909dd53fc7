"""Detects a peer that makes no progress; does no I/O."""

from __future__ import annotations

import datetime

__all__ = ["ProgressWatch"]

_LEAST_PROGRESS = 16_384
"""Number of bytes within the time limit that count as progress. With a single
byte, a peer could occupy a buffer at almost no cost."""


class ProgressWatch:
    """Detects that a transfer has made no progress for a time.

    Args:
      timeout: time without progress after which the transfer counts as stalled.
    """

    __slots__ = ("_moved", "_since", "_timeout", "_transfer")

    def __init__(self, timeout: datetime.timedelta) -> None:
        self._timeout = timeout
        self._since: datetime.datetime | None = None
        self._transfer = -1
        self._moved = 0

    def __repr__(self) -> str:
        return f"ProgressWatch({self._timeout})"

    def is_stalled(
        self, now: datetime.datetime, transfer: int, moved: int
    ) -> bool:
        """Records the state of a transfer; to be called regularly.

        Args:
          now: current time.
          transfer: number of the transfer in progress; -1 if there is none or
            if it waits for this process.
          moved: number of bytes moved since the connection was opened.
        """
        progressed = (
            transfer != self._transfer or moved - self._moved >= _LEAST_PROGRESS
        )
        if transfer < 0 or self._since is None or progressed:
            self._since, self._transfer, self._moved = now, transfer, moved
            return False
        return now - self._since >= self._timeout
