"""Describes unexpected errors that reach the event loop as events."""

from __future__ import annotations

import pathlib
import traceback
from typing import Any

from hickorygate.core import events

__all__ = ["describe"]


def describe(context: dict[str, Any]) -> events.TaskFailed:
    """Returns the event for the context of an exception handler."""
    error = context.get("exception")
    return events.TaskFailed(
        problem=str(context.get("message", "")),
        error="" if error is None else f"{type(error).__name__}: {error}",
        place="" if error is None else _place(error),
    )


def _place(error: BaseException) -> str:
    """Returns where an error was raised."""
    frames = traceback.extract_tb(error.__traceback__)
    if not frames:
        return ""
    last = frames[-1]
    return f"{pathlib.Path(last.filename).name}:{last.lineno} {last.name}"
