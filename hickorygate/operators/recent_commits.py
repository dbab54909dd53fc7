"""Keeps the newest reported commits until a primary is replaced.

There are too many commits for a line each. But if a database is promoted that
lacks some, these are among the newest ones, so those are written then.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable
import dataclasses
import datetime
import functools
import itertools

from hickorygate.core import events
from hickorygate.core import platform_events
from hickorygate.core import position
from hickorygate.core import types

__all__ = ["CommitsReported", "RecentCommits", "ReportedCommit", "lines"]

_KEPT_COMMITS = 500
"""Number of commits that are kept for each service."""

_COMMITS_PER_LINE = 20
"""Number of commits in a line, few enough for a pipe to take it whole."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedCommit:
    """A commit that was reported.

    Attributes:
      time: time of the report.
      request: request id, chosen by the caller.
      position: position of the commit in the primary's log; None if unknown.
      provers: ids of the replicas that proved that it is kept.
    """

    time: datetime.datetime
    request: str
    position: position.Position | None
    provers: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CommitsReported(events.Event):
    """The newest commits of a primary that was replaced, oldest first.

    Attributes:
      service: name of the service.
      database: id of the primary that acknowledged them.
      term: term that the primary led.
      commits: the commits.
    """

    service: types.ServiceName
    database: str
    term: types.Term
    commits: tuple[ReportedCommit, ...]


class RecentCommits:
    """The newest commits of the present primary of each service."""

    __slots__ = ("_commits",)

    def __init__(self) -> None:
        self._commits: collections.defaultdict[
            tuple[types.ServiceName, str, types.Term],
            collections.deque[ReportedCommit],
        ] = collections.defaultdict(
            lambda: collections.deque(maxlen=_KEPT_COMMITS)
        )

    def __repr__(self) -> str:
        return f"RecentCommits({sorted(self._commits)})"

    def add(
        self, event: platform_events.CommitReported, now: datetime.datetime
    ) -> None:
        """Keeps a commit in place of the oldest one of its primary."""
        self._commits[event.service, event.database, event.term].append(
            ReportedCommit(now, event.request, event.position, event.provers)
        )

    def take(
        self, service: types.ServiceName, term: types.Term
    ) -> list[CommitsReported]:
        """Removes and returns the commits of a service from before a term."""
        ended = [
            key for key in self._commits if key[0] == service and key[2] < term
        ]
        return [
            CommitsReported(*key, batch)
            for key in ended
            for batch in _batched(self._commits.pop(key))
        ]


@functools.singledispatch
def lines(
    event: events.Event, recent: RecentCommits, now: datetime.datetime
) -> Iterable[events.Event]:
    """Returns the events to write for one that is recorded.

    Args:
      event: the event.
      recent: commits that are kept.
      now: current time.
    """
    return (event,)


@lines.register
def _(
    event: platform_events.CommitReported,
    recent: RecentCommits,
    now: datetime.datetime,
) -> Iterable[events.Event]:
    recent.add(event, now)
    return ()


@lines.register
def _(
    event: platform_events.LeaderChanged,
    recent: RecentCommits,
    now: datetime.datetime,
) -> Iterable[events.Event]:
    return (*recent.take(event.service, event.term), event)


def _batched(
    commits: Iterable[ReportedCommit],
) -> Iterable[tuple[ReportedCommit, ...]]:
    """Splits commits into parts that fit into a line."""
    rest = iter(commits)
    while batch := tuple(itertools.islice(rest, _COMMITS_PER_LINE)):
        yield batch
