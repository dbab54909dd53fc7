"""Writes logs as JSON lines to standard error, with logbook."""

from __future__ import annotations

import datetime
import sys

import logbook
import orjson

from hickorygate.core import settings as settings_lib
from hickorygate.core import types

__all__ = ["JsonFormatter", "configure_logging", "configure_critical_logging"]


class JsonFormatter:
    """Formats a log record as one JSON line."""

    __slots__ = ("_process",)

    def __init__(self, process: types.ProxyName) -> None:
        self._process = process

    def __repr__(self) -> str:
        return f"JsonFormatter({self._process!r})"

    def __call__(
        self, record: logbook.LogRecord, handler: logbook.Handler
    ) -> str:
        """Formats a record; logbook calls this method for each record."""
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


def configure_logging(
    process: types.ProxyName, settings: settings_lib.LogSettings
) -> None:
    """Writes the logs of this process to standard error.

    Args:
      process: name of this process, contained in each line.
      settings: lowest level that is logged.
    """
    handler = logbook.StreamHandler(sys.stderr, level=settings.level)
    handler.formatter = JsonFormatter(process)
    handler.push_application()


def configure_critical_logging(process: types.ProxyName) -> None:
    """Writes only critical log records to standard error, for the demo."""
    configure_logging(process, settings_lib.LogSettings(level="CRITICAL"))
