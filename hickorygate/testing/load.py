"""Load model of a stand-in database: connection limit and slowdown."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import datetime
import re

from hickorygate.core import clock as clocks

__all__ = ["IdleLimit", "LoadModel", "LoadSettings"]

_WAIT_TIMEOUT = re.compile(r"\bwait_timeout\s*=\s*(\d+)", re.I)


def _zero_time(sql: str) -> datetime.timedelta:
    return datetime.timedelta()


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSettings:
    """The limits of a stand-in database.

    Attributes:
      connections: maximum number of connections, above which a login is
        refused; None for no limit.
      slots: number of concurrent statements that run without a slowdown.
      exponent: exponent of the slowdown; above `slots` statements, the
        execution time is multiplied by (running / slots) ** exponent.
      time: function that returns the execution time of a statement that runs
        alone.
      connect: duration of a login.
    """

    connections: int | None = None
    slots: int = 3
    exponent: float = 1.5
    time: Callable[[str], datetime.timedelta] = _zero_time
    connect: datetime.timedelta = datetime.timedelta()


class LoadModel:
    """Counts connections and statements, and simulates their durations.

    Attributes:
      settings: limits of the database.
      connections: number of open connections.
      most_connections: highest value of `connections` so far.
      running: number of running statements.
      most_running: highest value of `running` so far.
      statements: number of statements that were started.
    """

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
            f"LoadModel(connections={self.connections}, "
            f"running={self.running}, "
            f"statements={self.statements})"
        )

    async def simulate_login(self) -> None:
        """Waits for the duration of a login."""
        if self.settings.connect:
            await self._clock.sleep(self.settings.connect)

    def connect(self) -> bool:
        """Counts a connection; returns False if the limit is reached."""
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
        """Counts a statement and waits for its execution time."""
        self.running += 1
        self.statements += 1
        self.most_running = max(self.most_running, self.running)
        try:
            overload = max(1.0, self.running / self.settings.slots)
            time = self.settings.time(sql) * overload**self.settings.exponent
            if time:
                await self._clock.sleep(time)
        finally:
            self.running -= 1


class IdleLimit:
    """Ends a session that is idle for longer than MySQL's `wait_timeout`."""

    __slots__ = ("_limit", "_timer")

    def __init__(self) -> None:
        self._limit: datetime.timedelta | None = None
        self._timer: asyncio.TimerHandle | None = None

    def __repr__(self) -> str:
        return f"IdleLimit({self._limit})"

    def read(self, sql: str) -> None:
        """Sets the limit if a SET statement assigns `wait_timeout`."""
        match = _WAIT_TIMEOUT.search(sql)
        if match:
            self._limit = datetime.timedelta(seconds=int(match.group(1)))

    def stop(self) -> None:
        """Cancels the idle timer."""
        if self._timer is not None:
            self._timer.cancel()

    @contextlib.contextmanager
    def busy(self) -> Iterator[None]:
        """Stops the idle timer while a statement runs.

        Afterwards the timer starts again; it cancels the session's task
        unless another statement follows in time.
        """
        self.stop()
        try:
            yield
        finally:
            task = asyncio.current_task()
            if self._limit is not None and task is not None:
                loop = asyncio.get_running_loop()
                seconds = self._limit.total_seconds()
                self._timer = loop.call_later(seconds, task.cancel)
