"""Writes events as JSON lines to standard output, with a rate limit.

Each class of lines (`line_class`) has a limit of its own, so that many requests
never displace the changes, and successful requests never displace the failed
ones. The lines that explain a takeover have no limit: they are few.
Dropped events are counted, and the next line contains the counts. Writes don't
block: a reader that doesn't read never makes the process wait. Notices and
warnings are held until the reader accepts them, other lines are lost meanwhile.
"""

from __future__ import annotations

import collections
from collections.abc import Mapping
import dataclasses
import datetime
import functools
import os

import logbook
import orjson

from hickorygate.core import clock as clocks
from hickorygate.core import events
from hickorygate.core import position
from hickorygate.core import types
from hickorygate.operators import escapes
from hickorygate.operators import line_class
from hickorygate.operators import recent_commits
from hickorygate.operators import severity

__all__ = ["LineRateLimit", "EventLog", "NonBlockingHandler"]

_LINES_PER_SECOND: Mapping[line_class.LineClass, float] = {
    line_class.LineClass.SERVED: 5.0,
    line_class.LineClass.FAILED: 40.0,
    line_class.LineClass.CHANGE: 100.0,
}
"""Limit of each class; a class without a limit is missing."""
_CHANNEL = "hickorygate"
_LONGEST_TEXT = 512
"""Number of characters of a field that are written. Callers choose the request
ids, which may have the size of a message."""

_HELD_LINES = 1_000
"""Maximum number of lines that are held for a reader that doesn't read."""

_LOG_LEVELS: Mapping[severity.Severity, int] = {
    severity.Severity.INFO: logbook.INFO,
    severity.Severity.NOTICE: logbook.NOTICE,
    severity.Severity.WARNING: logbook.WARNING,
}


class LineRateLimit:
    """A token bucket that limits the lines per second.

    Bursts may be twice as large as the number of lines per second.
    """

    __slots__ = ("_rate", "_refilled_at", "_tokens")

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._tokens = 2 * rate
        self._refilled_at: datetime.datetime | None = None

    def __repr__(self) -> str:
        return f"LineRateLimit(rate={self._rate}, tokens={self._tokens:.1f})"

    def try_consume(self, now: datetime.datetime) -> bool:
        """Consumes a token; returns False if none is left."""
        if self._refilled_at is not None:
            earned = (now - self._refilled_at).total_seconds() * self._rate
            self._tokens = min(2 * self._rate, self._tokens + earned)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class NonBlockingHandler(logbook.Handler):
    """A log handler that writes lines to a file descriptor without blocking.

    Lines that the reader doesn't accept at once are lost, except notices and
    more severe ones: these are held, and written before the next line.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._lost = 0
        self._held: collections.deque[bytes] = collections.deque()
        os.set_blocking(descriptor, False)

    @property
    def lost(self) -> int:
        """Number of lines that were not written, or not written completely."""
        return self._lost

    def emit(self, record: logbook.LogRecord) -> None:
        """Writes one line; logbook calls this method for each record."""
        line = record.message.encode() + b"\n"
        rest = self._write(line) if self._write_held() else line
        if not rest:
            return
        if record.level >= logbook.NOTICE and len(self._held) < _HELD_LINES:
            self._held.append(rest)
            return
        self._lost += 1
        if len(rest) < len(line):
            self._held.append(b"\n")

    def _write_held(self) -> bool:
        """Writes what is held; returns whether nothing is left of it."""
        while self._held:
            rest = self._write(self._held[0])
            if rest:
                self._held[0] = rest
                return False
            self._held.popleft()
        return True

    def _write(self, data: bytes) -> bytes:
        """Writes what the reader accepts and returns the rest."""
        try:
            return data[os.write(self._descriptor, data) :]
        except OSError:
            return data


class EventLog:
    """Counts all events and writes as many as the rate limits allow."""

    def __init__(
        self,
        process: types.ProxyName,
        clock: clocks.Clock,
        handler: logbook.Handler,
        next_journal: events.Journal | None = None,
    ) -> None:
        """Creates the log; the first line is written by `record`.

        Args:
          process: name of this process, contained in each line.
          clock: clock for the timestamps and the rate limits.
          handler: logbook handler that writes the lines.
          next_journal: journal that also records each event; None for none.
        """
        self._process = process
        self._clock = clock
        self._next_journal = next_journal
        self._handler = handler
        self._lost = 0
        self._recent = recent_commits.RecentCommits()
        self._logger = logbook.Logger(_CHANNEL)
        self._logger.handlers.append(handler)
        self._counts: collections.Counter[str] = collections.Counter()
        self._dropped: collections.Counter[line_class.LineClass] = (
            collections.Counter()
        )
        self._limits = {
            kind: LineRateLimit(rate)
            for kind, rate in _LINES_PER_SECOND.items()
        }

    @property
    def counts(self) -> collections.Counter[str]:
        """Number of events by class name, including those not written."""
        return self._counts

    def __repr__(self) -> str:
        return f"EventLog({self._process!r}, dropped={self._dropped.total()})"

    def record(self, event: events.Event) -> None:
        """Counts an event, and writes it unless its rate limit is exceeded."""
        self._counts[type(event).__name__] += 1
        if self._next_journal is not None:
            self._next_journal.record(event)
        now = self._clock.now()
        for line in recent_commits.lines(event, self._recent, now):
            self._write_if_allowed(line, now)

    def _write_if_allowed(
        self, event: events.Event, now: datetime.datetime
    ) -> None:
        kind = line_class.line_class(event)
        limit = self._limits.get(kind)
        if limit is None or limit.try_consume(now):
            self._write(event, now)
        else:
            self._dropped[kind] += 1

    def _write(self, event: events.Event, now: datetime.datetime) -> None:
        level = severity.severity(event)
        line: dict[str, object] = {
            "time": _to_json(now),
            "process": self._process,
            "event": type(event).__name__,
            "level": level.value,
        }
        for field in dataclasses.fields(event):
            line[field.name] = _to_json(getattr(event, field.name))
        line.update(self._gaps())
        lost = _lost_lines(self._handler)
        self._logger.log(
            _LOG_LEVELS[level],
            "{}",
            orjson.dumps(line, option=orjson.OPT_NON_STR_KEYS).decode(),
        )
        if _lost_lines(self._handler) == lost:
            self._lost = lost
            self._dropped.clear()

    def _gaps(self) -> dict[str, object]:
        """Returns the fields that tell which lines are missing before one."""
        fields: dict[str, object] = {}
        if self._dropped:
            fields["dropped_before"] = self._dropped.total()
            fields["dropped_classes"] = {
                kind.value: count for kind, count in self._dropped.items()
            }
        lost = _lost_lines(self._handler) - self._lost
        if lost:
            fields["lost_before"] = lost
        return fields


@functools.singledispatch
def _lost_lines(handler: logbook.Handler) -> int:
    """Returns the number of lines that a handler could not write."""
    return 0


@_lost_lines.register
def _(handler: NonBlockingHandler) -> int:
    return handler.lost


@functools.singledispatch
def _to_json(value: object) -> object:
    """Returns the value of a field as a type that JSON can represent."""
    return value


@_to_json.register
def _(value: str) -> object:
    # Ids and names of callers may contain bytes that aren't UTF-8.
    if len(value) > _LONGEST_TEXT:
        value = value[:_LONGEST_TEXT] + "..."
    return escapes.encodable(value)


@_to_json.register
def _(value: bytes) -> object:
    return _to_json(value.decode(errors="backslashreplace"))


@_to_json.register
def _(value: tuple) -> object:
    return [_to_json(item) for item in value]


@_to_json.register
def _(value: recent_commits.ReportedCommit) -> object:
    return {
        field.name: _to_json(getattr(value, field.name))
        for field in dataclasses.fields(value)
    }


@_to_json.register
def _(value: datetime.datetime) -> object:
    return value.isoformat(timespec="milliseconds")


@_to_json.register
def _(value: datetime.timedelta) -> object:
    return f"{value.total_seconds() * 1_000:.1f} ms"


@_to_json.register
def _(value: position.Position) -> object:
    return f"{value.term}.{value.offset}"
