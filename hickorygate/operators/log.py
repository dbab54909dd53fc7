"""Logs as JSON lines on standard error, over logbook."""

from __future__ import annotations

import datetime
import sys

import logbook
import orjson

from hickorygate.core import settings as settings_lib
from hickorygate.core import types

__all__ = ["JsonFormatter", "set_up", "set_up_quietly"]


class JsonFormatter:
    """Makes one JSON line of a log record."""

    __slots__ = ("_process",)

    def __init__(self, process: types.ProxyName) -> None:
        self._process = process

    def __repr__(self) -> str:
        return f"JsonFormatter({self._process!r})"

    def __call__(
        self, record: logbook.LogRecord, handler: logbook.Handler
    ) -> str:
        """Formats a record; logbook calls it for each."""
        line = {
            "time": record.time.replace(tzinfo=datetime.UTC).isoformat(),
            "level": record.level_name,
            "process": self._process,
            "module": record.channel,
            "message": record.message,
        }
        if record.exc_info:
            line["trace"] = record.formatted_exception
        return orjson.dumps(line).decode()


def set_up(
    process: types.ProxyName, settings: settings_lib.LogSettings
) -> None:
    """Sends this process's logs to standard error."""
    handler = logbook.StreamHandler(sys.stderr, level=settings.level)
    handler.formatter = JsonFormatter(process)
    handler.push_application()


def set_up_quietly(process: types.ProxyName) -> None:
    """Sends only what is severe to standard error, for the demo."""
    set_up(process, settings_lib.LogSettings(level="CRITICAL"))
