"""Ends the wait for a database that doesn't answer any more.

A read without an answer is either slow or lost. A status query, which takes no
slot, tells the two apart: if the database doesn't answer that either, the wait
ends, and the read can run elsewhere.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import datetime
import types
from typing import Protocol

from hickorygate.upstreams import member as members

__all__ = ["DatabaseWatcher", "SilenceWatch"]

_FIRST_CHECK = datetime.timedelta(milliseconds=60)
"""Time of waiting after which the database is checked; most reads are answered
by then."""

_CHECK_INTERVAL = datetime.timedelta(milliseconds=40)


class DatabaseWatcher(Protocol):
    """What the watch needs of the monitor of a group."""

    def request_round(self) -> None:
        """Starts a round of status queries now, or after the running one."""

    def heard_recently(self, name: members.MemberId) -> bool:
        """Returns whether a database answered anything a moment ago."""

    def is_silent(self, name: members.MemberId) -> bool:
        """Returns whether a database answers no status query."""


class SilenceWatch:
    """Cancels the body of an `async with` block if a database falls silent.

    The block then raises TimeoutError.
    """

    __slots__ = ("_group", "_name", "_timeout", "_timer")

    def __init__(self, group: DatabaseWatcher, name: members.MemberId) -> None:
        self._group = group
        self._name = name
        self._timeout = asyncio.timeout(None)
        self._timer: asyncio.TimerHandle | None = None

    async def __aenter__(self) -> SilenceWatch:
        await self._timeout.__aenter__()
        self._schedule(_FIRST_CHECK, self._query_if_quiet)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> bool | None:
        if self._timer is not None:
            self._timer.cancel()
        return await self._timeout.__aexit__(kind, error, trace)

    def __repr__(self) -> str:
        return f"SilenceWatch({self._name!r})"

    def _schedule(
        self, delay: datetime.timedelta, step: Callable[[], None]
    ) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay.total_seconds(), step)

    def _query_if_quiet(self) -> None:
        if self._group.heard_recently(self._name):
            self._schedule(_CHECK_INTERVAL, self._query_if_quiet)
            return
        self._group.request_round()
        self._schedule(_CHECK_INTERVAL, self._check)

    def _check(self) -> None:
        if self._group.heard_recently(self._name):
            self._schedule(_CHECK_INTERVAL, self._query_if_quiet)
        elif self._group.is_silent(self._name):
            self._timeout.reschedule(asyncio.get_running_loop().time())
        else:
            self._schedule(_CHECK_INTERVAL, self._check)
