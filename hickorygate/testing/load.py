"""What a stand-in database bears: connections, and statements at once."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import datetime
import re

from hickorygate.core import clock as clocks

__all__ = ["IdleLimit", "Load", "LoadSettings"]

_WAIT_TIMEOUT = re.compile(r"\bwait_timeout\s*=\s*(\d+)", re.I)


def _no_time(sql: str) -> datetime.timedelta:
    return datetime.timedelta()


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSettings:
    """The limits of a stand-in database.

    Attributes:
      connections: beyond this many, a login is refused; None for no limit.
      slots: statements that run well at once; more slow each other down.
      exponent: how steeply: a statement takes its time multiplied by
        (running / slots) ** exponent.
      time: how long a statement takes when it runs alone.
      connect: how long a login takes.
    """

    connections: int | None = None
    slots: int = 3
    exponent: float = 1.5
    time: Callable[[str], datetime.timedelta] = _no_time
    connect: datetime.timedelta = datetime.timedelta()


class Load:
    """Counts what a stand-in database does, and takes the time for it."""

    __slots__ = (
        "_clock",
        "connections",
        "most_connections",
        "most_running",
        "running",
        "settings",
        "statements",
    )

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self.settings = LoadSettings()
        self.connections = 0
        self.most_connections = 0
        self.running = 0
        self.most_running = 0
        self.statements = 0

    def __repr__(self) -> str:
        return (
            f"Load(connections={self.connections}, running={self.running}, "
            f"statements={self.statements})"
        )

    async def log_in(self) -> None:
        """Takes the time of a login."""
        if self.settings.connect:
            await self._clock.sleep(self.settings.connect)

    def connect(self) -> bool:
        """Counts a connection; tells whether there was room for it."""
        limit = self.settings.connections
        if limit is not None and self.connections >= limit:
            return False
        self.connections += 1
        self.most_connections = max(self.most_connections, self.connections)
        return True

    def disconnect(self) -> None:
        """Counts the end of a connection."""
        self.connections -= 1

    async def run(self, sql: str) -> None:
        """Takes the time that a statement takes."""
        self.running += 1
        self.statements += 1
        self.most_running = max(self.most_running, self.running)
        try:
            crowd = max(1.0, self.running / self.settings.slots)
            time = self.settings.time(sql) * crowd**self.settings.exponent
            if time:
                await self._clock.sleep(time)
        finally:
            self.running -= 1


class IdleLimit:
    """Ends a session that sends nothing for MySQL's `wait_timeout`."""

    __slots__ = ("_limit", "_timer")

    def __init__(self) -> None:
        self._limit: datetime.timedelta | None = None
        self._timer: asyncio.TimerHandle | None = None

    def __repr__(self) -> str:
        return f"IdleLimit({self._limit})"

    def read(self, sql: str) -> None:
        """Takes the limit from a SET statement that names it."""
        match = _WAIT_TIMEOUT.search(sql)
        if match:
            self._limit = datetime.timedelta(seconds=int(match.group(1)))

    def stop(self) -> None:
        """The session has ended."""
        if self._timer is not None:
            self._timer.cancel()

    @contextlib.contextmanager
    def busy(self) -> Iterator[None]:
        """Covers one statement; the session's task ends if none follows."""
        self.stop()
        try:
            yield
        finally:
            task = asyncio.current_task()
            if self._limit is not None and task is not None:
                loop = asyncio.get_running_loop()
                seconds = self._limit.total_seconds()
                self._timer = loop.call_later(seconds, task.cancel)
