"""Proves since when a database process runs, by the age of connections to it.

A connection ends with the process. So an answer on one proves that the process
has run since the connection was opened, also if the end of an earlier process
was never noticed. Connections that were opened in between lead to the same
process.
"""

from __future__ import annotations

from collections.abc import Iterable
import datetime

from hickorygate.upstreams import pooled_connection as pooled_connections

__all__ = ["longest_running", "note_answer"]


def longest_running(
    connections: Iterable[pooled_connections.PooledConnection],
    long_enough: datetime.datetime,
) -> pooled_connections.PooledConnection | None:
    """Returns a connection whose process is known to run for long.

    Args:
      connections: open connections to one database, in order of preference
        among those whose process is known to run since `long_enough`.
      long_enough: latest start of the process that is of interest.

    Returns:
      The connection; None if there is none.
    """
    return min(
        connections,
        key=lambda c: max(c.running_since, long_enough),
        default=None,
    )


def note_answer(
    connections: Iterable[pooled_connections.PooledConnection],
    answering: pooled_connections.PooledConnection,
    asked: datetime.datetime,
) -> None:
    """Notes that a process answered on a connection.

    Args:
      connections: open connections to the database.
      answering: the one on which it answered.
      asked: time at which it was asked.
    """
    for other in connections:
        if answering.opened <= other.opened <= asked:
            other.share_process(answering)
