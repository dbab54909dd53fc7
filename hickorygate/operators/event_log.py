"""Writes events as JSON lines to standard output, within a bound.

What a process comes to believe is always written, up to a generous bound; of
the requests, those that did not end well go first. What is dropped is
counted, and the count is written with the next line. A reader that doesn't
read never makes the process wait.
"""

from __future__ import annotations

import collections
import dataclasses
import datetime
import functools
import os

import logbook
import orjson

from hickorygate.core import clock as clocks
from hickorygate.core import decisions
from hickorygate.core import events
from hickorygate.core import position as positions
from hickorygate.core import types

__all__ = ["Budget", "EventLog", "StdoutHandler"]

_BELIEFS_PER_SECOND = 100.0
_FAILED_REQUESTS_PER_SECOND = 40.0
_SERVED_REQUESTS_PER_SECOND = 5.0
_CHANNEL = "hickorygate"


class Budget:
    """Allows so many lines a second, with bursts of twice that."""

    __slots__ = ("_balance", "_rate", "_seen")

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._balance = 2 * rate
        self._seen: datetime.datetime | None = None

    def __repr__(self) -> str:
        return f"Budget(rate={self._rate}, balance={self._balance:.1f})"

    def take(self, now: datetime.datetime) -> bool:
        """Takes one line, if there is one."""
        if self._seen is not None:
            earned = (now - self._seen).total_seconds() * self._rate
            self._balance = min(2 * self._rate, self._balance + earned)
        self._seen = now
        if self._balance < 1:
            return False
        self._balance -= 1
        return True


class StdoutHandler(logbook.Handler):
    """Writes lines without waiting for the reader."""

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._lost = 0
        os.set_blocking(descriptor, False)

    @property
    def lost(self) -> int:
        """Lines that the reader didn't take in time."""
        return self._lost

    def emit(self, record: logbook.LogRecord) -> None:
        """Writes one line; logbook calls it for each."""
        data = record.message.encode() + b"\n"
        try:
            written = os.write(self._descriptor, data)
        except (BlockingIOError, BrokenPipeError):
            written = 0
        self._lost += written < len(data)


class EventLog:
    """Counts all events and writes as many as the bound allows."""

    def __init__(
        self,
        process: types.ProxyName,
        clock: clocks.Clock,
        handler: logbook.Handler,
        next_journal: events.Journal | None = None,
    ) -> None:
        """Writes nothing yet.

        Args:
          process: names this process in each line.
          clock: for stamps and bounds.
          handler: where lines go.
          next_journal: takes each event as well.
        """
        self._process = process
        self._clock = clock
        self._next = next_journal
        self._logger = logbook.Logger(_CHANNEL)
        self._logger.handlers.append(handler)
        self._counts: collections.Counter[str] = collections.Counter()
        self._dropped = 0
        self._beliefs = Budget(_BELIEFS_PER_SECOND)
        self._failed = Budget(_FAILED_REQUESTS_PER_SECOND)
        self._served = Budget(_SERVED_REQUESTS_PER_SECOND)

    @property
    def counts(self) -> collections.Counter[str]:
        """Events by kind."""
        return self._counts

    def __repr__(self) -> str:
        return f"EventLog({self._process!r}, dropped={self._dropped})"

    def record(self, event: events.Event) -> None:
        """Takes in an event."""
        self._counts[type(event).__name__] += 1
        if self._next is not None:
            self._next.record(event)
        now = self._clock.now()
        if self.budget_of(event).take(now):
            self._write(event, now)
        else:
            self._dropped += 1

    def budget_of(self, event: events.Event) -> Budget:
        """Returns the bound that holds for an event."""
        match event:
            case decisions.RequestEnded(outcome="ok"):
                return self._served
            case decisions.RequestEnded() | decisions.RequestRetried():
                return self._failed
        return self._beliefs

    def _write(self, event: events.Event, now: datetime.datetime) -> None:
        line: dict[str, object] = {
            "time": now.isoformat(timespec="milliseconds"),
            "process": self._process,
            "event": type(event).__name__,
        }
        for field in dataclasses.fields(event):
            line[field.name] = _plain(getattr(event, field.name))
        if self._dropped:
            line["dropped_before"] = self._dropped
            self._dropped = 0
        self._logger.info(
            "{}", orjson.dumps(line, option=orjson.OPT_NON_STR_KEYS).decode()
        )


@functools.singledispatch
def _plain(value: object) -> object:
    """Returns a value that JSON has."""
    return value


@_plain.register
def _(value: datetime.timedelta) -> object:
    return f"{value.total_seconds() * 1_000:.1f} ms"


@_plain.register
def _(value: positions.Position) -> object:
    return f"{value.term}.{value.offset}"
