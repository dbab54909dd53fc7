"""Calls to the databases of a group that a failover has to make."""

from __future__ import annotations

from hickorygate.core import sheet
from hickorygate.core import types
from hickorygate.upstreams import failover_events
from hickorygate.upstreams import failover_run
from hickorygate.upstreams import primary_failure

__all__ = ["calls_for_stage", "redirects"]


def calls_for_stage(
    run: failover_run.FailoverRun,
    group: sheet.Group,
    detector: primary_failure.PrimaryFailureDetector,
) -> list[failover_events.Call]:
    """Returns the calls that the stage of a run still needs."""
    names = [database.name for database in group.databases]
    match run.stage:
        case failover_run.FailoverStage.QUIESCING:
            wanted = (
                [run.old_primary] if run.old_primary not in run.fences else []
            )
            return [
                failover_events.Fence(name, run.term) for name in wanted if name
            ]
        case failover_run.FailoverStage.FENCING:
            wanted = [
                name
                for name in names
                if name not in run.fences and name not in run.refusals
            ]
            return [failover_events.Fence(name, run.term) for name in wanted]
        case failover_run.FailoverStage.PROMOTING:
            assert run.promoted is not None, "no database was chosen"
            return [failover_events.Promote(run.promoted, run.term)]
        case failover_run.FailoverStage.POINTING:
            return _follow_calls(run, names, detector)


def redirects(
    detector: primary_failure.PrimaryFailureDetector,
) -> list[failover_events.Call]:
    """Returns the calls that make databases of an older term follow."""
    primary = detector.primary
    if primary is None or not primary.answers or primary.is_fenced_above_term:
        return []
    term = primary.status.term
    return [
        failover_events.Follow(
            watched.status.database, term, primary.status.database
        )
        for watched in detector.observed_databases
        if watched.answers
        and not watched.has_lost_log
        and watched.status.term < term
        and watched.status.fenced <= term
    ]


def _follow_calls(
    run: failover_run.FailoverRun,
    names: list[types.DatabaseName],
    detector: primary_failure.PrimaryFailureDetector,
) -> list[failover_events.Call]:
    assert run.promoted is not None, "no database was chosen"
    done = run.followers | run.refusals | {run.promoted}
    return [
        failover_events.Follow(name, run.term, run.promoted)
        for name in names
        if name not in done and _may_follow(name, run, detector)
    ]


def _may_follow(
    name: types.DatabaseName,
    run: failover_run.FailoverRun,
    detector: primary_failure.PrimaryFailureDetector,
) -> bool:
    """Returns whether a database may follow the new primary.

    A database without a log may join only a term at which it was fenced.
    """
    watched = detector.get(name)
    if watched is None:
        return False
    fenced = run.fences.get(name)
    fenced_blank = fenced is not None and fenced.log_term == 0
    return fenced_blank or not watched.has_lost_log
