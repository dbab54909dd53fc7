"""Decides whether to replace a healthy primary, without I/O."""

from __future__ import annotations

import datetime

from hickorygate.core import sheet
from hickorygate.core import types
from hickorygate.upstreams import failover_timing
from hickorygate.upstreams import primary_failure

__all__ = ["reason"]


def reason(
    suspicion: primary_failure.PrimaryFailureDetector,
    group: sheet.Group,
    leaving: frozenset[types.DatabaseName],
    timing: failover_timing.FailoverTiming,
    now: datetime.datetime,
) -> str | None:
    """Returns why a healthy primary should be replaced.

    Args:
      suspicion: state of the group according to its databases.
      group: the group according to the sheet.
      leaving: names of the databases that are about to stop.
      timing: delays and time limits of the failover.
      now: current time.

    Returns:
      The reason, None if the primary need not be replaced.
    """
    primary = suspicion.primary
    if primary is None or not primary.answers or primary.is_fenced_above_term:
        return None
    others = [
        watched
        for watched in suspicion.observed_databases
        if watched is not primary
    ]
    if primary.status.database in leaving:
        close_replicas = sum(
            _is_close_behind(other, primary, timing)
            and other.status.database not in leaving
            for other in others
        )
        return (
            "primary is leaving"
            if 1 + close_replicas >= group.majority
            else None
        )
    if any(_needs_new_term(other, primary, timing, now) for other in others):
        return "a database can rejoin only in a new term"
    return None


def _is_close_behind(
    watched: primary_failure.ObservedDatabase,
    primary: primary_failure.ObservedDatabase,
    timing: failover_timing.FailoverTiming,
) -> bool:
    """Returns whether a replica is close behind the primary.

    Such a replica answers, is in the primary's term with its log, and received
    a message from the primary within half of the detection time.
    """
    status = watched.status
    in_term = status.term == status.log_term == primary.status.term
    has_recent_message = status.primary_silence < timing.detection / 2
    return watched.answers and in_term and has_recent_message


def _needs_new_term(
    watched: primary_failure.ObservedDatabase,
    primary: primary_failure.ObservedDatabase,
    timing: failover_timing.FailoverTiming,
    now: datetime.datetime,
) -> bool:
    """Returns whether a database can rejoin the group only in a new term.

    Such a database answers, has been without a primary for
    `FailoverTiming.readmission`, and either is fenced above the primary's term
    or has lost its log.
    """
    if not watched.answers or watched.without_primary_since is None:
        return False
    fenced_above = watched.status.fenced > primary.status.term
    overdue = now - watched.without_primary_since >= timing.readmission
    return overdue and (fenced_above or watched.has_lost_log)
