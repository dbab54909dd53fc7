"""Notices changes of the settings file."""

from __future__ import annotations

from collections.abc import Callable
import datetime
import pathlib

from hickorygate.core import clock as clocks

__all__ = ["watch"]

_INTERVAL = datetime.timedelta(seconds=1)
"""Time between two checks whether the settings file has changed."""


async def watch(
    path: pathlib.Path, clock: clocks.Clock, on_change: Callable[[], None]
) -> None:
    """Reports changes of a file for ever, also those without a signal.

    Args:
      path: path of the file.
      clock: source of sleeps.
      on_change: called after each change.
    """
    known = _file_version(path)
    while True:
        await clock.sleep(_INTERVAL)
        found = _file_version(path)
        if found != known:
            known = found
            on_change()


def _file_version(path: pathlib.Path) -> tuple[int, int] | None:
    """Returns the modification time and size of a file; None if absent."""
    try:
        found = path.stat()
    except OSError:
        return None
    return (found.st_mtime_ns, found.st_size)
