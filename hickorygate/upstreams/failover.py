"""Decides how the primary of a group is replaced, without I/O.

A run is one attempt to replace the primary, under a new term. It fences a
majority of the group at that term, promotes the most advanced of the fenced
databases and makes the others follow that database. Two proxies may have runs
at the same time. Each database accepts a term from one owner only and refuses
every term below its fence. At most one run can therefore promote a database
under a term, and that database holds every write acknowledged before.
"""

from __future__ import annotations

import datetime
import random

from hickorygate.core import events
from hickorygate.core import position as positions
from hickorygate.core import sheet
from hickorygate.core import types
from hickorygate.upstreams import failover_calls
from hickorygate.upstreams import failover_events
from hickorygate.upstreams import failover_run
from hickorygate.upstreams import failover_timing
from hickorygate.upstreams import primary_failure
from hickorygate.upstreams import switchover

__all__ = ["Failover"]

_Effects = list[failover_events.Effect]

_MAX_BACKOFF_DOUBLINGS = 4
"""Maximum number of doublings of the mean backoff, one for each failed run."""

_ELIGIBLE_RANKS = 3
"""Number of proxies that may start a run: those with the ranks 0 to 2. Such a
rank is a position among the proxies that watch the group, not a rank of
requests. A proxy that doesn't know its rank yet has this number as its rank
and therefore starts no run."""


class Failover:
    """State machine that replaces the primary of one group if necessary."""

    __slots__ = (
        "_backoff_until",
        "_failed_runs",
        "_group",
        "_last_term",
        "_leaving",
        "_pending_calls",
        "_random",
        "_rank",
        "_reason_since",
        "_run",
        "_detector",
        "_timing",
    )

    def __init__(
        self,
        group: sheet.Group,
        timing: failover_timing.FailoverTiming,
        generator: random.Random,
    ) -> None:
        """Starts without any known status; `generator` varies the backoff."""
        self._group = group
        self._timing = timing
        self._random = generator
        self._detector = primary_failure.PrimaryFailureDetector(
            group.majority, timing.detection
        )
        self._leaving: frozenset[types.DatabaseName] = frozenset()
        self._rank = _ELIGIBLE_RANKS
        self._run: failover_run.FailoverRun | None = None
        self._pending_calls: set[failover_events.Call] = set()
        self._reason_since: datetime.datetime | None = None
        self._backoff_until: datetime.datetime | None = None
        self._failed_runs = 0
        self._last_term: types.Term = 0

    @property
    def holds_writes(self) -> bool:
        """Whether new writes must wait because a run is under way."""
        return self._run is not None

    @property
    def rank(self) -> int:
        """Rank of this proxy among those that watch the group; 0 is first."""
        return self._rank

    @property
    def leaving(self) -> frozenset[types.DatabaseName]:
        """Names of the databases that are about to stop."""
        return self._leaving

    def __repr__(self) -> str:
        return f"Failover({self._group.name!r}, {self._run!r})"

    def needs_fast_probing(self, now: datetime.datetime) -> bool:
        """Returns whether the databases should be probed more often."""
        active = self._run is not None or self._reason_since is not None
        return active or self._detector.needs_fast_probing(now)

    def set_rank(self, rank: int) -> None:
        """Sets the rank of this proxy; 0 is first."""
        self._rank = rank

    def set_leaving(self, names: frozenset[types.DatabaseName]) -> None:
        """Sets the names of the databases that are about to stop."""
        self._leaving = names

    def record_status(
        self, status: positions.DatabaseStatus, now: datetime.datetime
    ) -> None:
        """Records the status that a database reported."""
        self._detector.record_status(status, now)

    def record_probe_failure(self, name: types.DatabaseName) -> None:
        """Records that a database didn't answer a probe."""
        self._detector.record_probe_failure(name)

    def complete_call(self, call: failover_events.Call) -> bool:
        """Ends a pending call; returns whether it is of the current run."""
        self._pending_calls.discard(call)
        return self._run is not None and call.term == self._run.term

    def tick(self, now: datetime.datetime) -> _Effects:
        """Starts, advances or aborts a run, and returns the effects."""
        if self._run is not None:
            return self._advance(self._run, now)
        effects = self._start_if_needed(now)
        return effects if effects else self._redirect_outdated()

    def handle_fenced(
        self, status: positions.DatabaseStatus, now: datetime.datetime
    ) -> _Effects:
        """Records the status with which a database accepted the run's fence."""
        run = self._run
        assert run is not None, "answer to a call without a run"
        new = status.database not in run.fences
        run.fences.setdefault(status.database, status)
        if run.stage is failover_run.FailoverStage.QUIESCING and new:
            run.stage_started = now
        position = positions.Position(status.log_term, status.received)
        event = events.DatabaseFenced(
            self._group.name, status.database, run.term, position
        )
        record: _Effects = [failover_events.RecordEvent(event)] if new else []
        return record + self._advance(run, now)

    def handle_promoted(
        self, status: positions.DatabaseStatus, now: datetime.datetime
    ) -> _Effects:
        """Records that the chosen database is the primary of the term."""
        run = self._run
        assert run is not None, "answer to a call without a run"
        if run.stage is not failover_run.FailoverStage.PROMOTING:
            return []
        run.enter(failover_run.FailoverStage.POINTING, now)
        event = events.DatabasePromoted(
            self._group.name, status.database, run.term, status.base
        )
        return [failover_events.RecordEvent(event), *self._advance(run, now)]

    def handle_following(
        self, name: types.DatabaseName, now: datetime.datetime
    ) -> _Effects:
        """Records that a database follows the new primary."""
        run = self._run
        assert run is not None, "answer to a call without a run"
        run.followers.add(name)
        event = events.DatabaseFollows(self._group.name, name, run.term)
        return [failover_events.RecordEvent(event), *self._advance(run, now)]

    def handle_refusal(
        self, name: types.DatabaseName, now: datetime.datetime
    ) -> _Effects:
        """Records a refusal: the database accepted the term of another run."""
        run = self._run
        assert run is not None, "answer to a call without a run"
        run.refusals.add(name)
        if (
            run.stage is failover_run.FailoverStage.QUIESCING
            or run.promoted == name
        ):
            return self._abort_run(run, f"{name} refused the term", now)
        remaining = len(self._group.databases) - len(run.refusals)
        if remaining < self._group.majority:
            return self._abort_run(
                run, "too many refusals, another proxy's term is newer", now
            )
        return self._advance(run, now)

    # Starting a run.

    def _start_if_needed(self, now: datetime.datetime) -> _Effects:
        reason = self._detector.reason(now)
        if reason is not None:
            return self._start_when_due(
                reason, failover_run.FailoverStage.FENCING, now
            )
        reason = switchover.reason(
            self._detector, self._group, self._leaving, self._timing, now
        )
        if reason is not None:
            return self._start_when_due(
                reason, failover_run.FailoverStage.QUIESCING, now
            )
        self._reason_since = None
        return []

    def _start_when_due(
        self,
        reason: str,
        stage: failover_run.FailoverStage,
        now: datetime.datetime,
    ) -> _Effects:
        record: _Effects = []
        if self._reason_since is None:
            self._reason_since = now
            event = events.PrimarySuspected(self._group.name, reason)
            record.append(failover_events.RecordEvent(event))
        wait = self._timing.rank_delay * self._rank
        backing_off = (
            self._backoff_until is not None and now < self._backoff_until
        )
        if (
            backing_off
            or now - self._reason_since < wait
            or self._rank >= _ELIGIBLE_RANKS
        ):
            return record
        return record + self._start_run(reason, stage, now)

    def _start_run(
        self,
        reason: str,
        stage: failover_run.FailoverStage,
        now: datetime.datetime,
    ) -> _Effects:
        term = max(self._detector.highest_term, self._last_term) + 1
        self._last_term = term
        primary = self._detector.primary
        old = primary.status.database if primary else None
        avoided = self._leaving
        if old is not None and stage is failover_run.FailoverStage.FENCING:
            avoided |= {old}
        run = failover_run.FailoverRun(
            term, reason, now, stage, now, old, avoided
        )
        self._run = run
        self._reason_since = None
        event = events.FailoverStarted(self._group.name, term, reason)
        return [failover_events.RecordEvent(event), *self._advance(run, now)]

    # Advancing a run.

    def _advance(
        self, run: failover_run.FailoverRun, now: datetime.datetime
    ) -> _Effects:
        if now - run.started >= self._timing.limit:
            return self._abort_run(run, "time limit exceeded", now)
        if self._superseded(run):
            return self._abort_run(
                run, "another proxy promoted a primary first", now
            )
        if run.stage is failover_run.FailoverStage.QUIESCING:
            self._advance_quiescing(run, now)
        if run.stage is failover_run.FailoverStage.FENCING:
            self._choose_candidate(run, now)
        if (
            run.stage is failover_run.FailoverStage.POINTING
            and self._majority_follows(run)
        ):
            return self._complete_run(run)
        return self._issue_calls(
            failover_calls.calls_for_stage(run, self._group, self._detector)
        )

    def _superseded(self, run: failover_run.FailoverRun) -> bool:
        """Returns whether another run has promoted a primary.

        Until this run has chosen a database, a primary of its term counts too;
        from then on, a primary of that term is the chosen database.
        """
        chosen = run.promoted is not None
        newest = self._detector.newest_term
        return newest > run.term or (newest == run.term and not chosen)

    def _advance_quiescing(
        self, run: failover_run.FailoverRun, now: datetime.datetime
    ) -> None:
        """Starts fencing once a replica holds every write of the old primary.

        Fencing starts no earlier than `min_quiesce_time` after the old primary
        accepted its fence, and in any case `max_quiesce_time` after that, or
        after the start of the stage if the old primary hasn't accepted it.
        """
        ready = any(
            self._caught_up(watched, run) for watched in self._non_primaries()
        )
        if now - run.stage_started >= self._timing.max_quiesce_time:
            run.enter(failover_run.FailoverStage.FENCING, now)
        elif not ready:
            return
        elif now - run.stage_started >= self._timing.min_quiesce_time:
            run.enter(failover_run.FailoverStage.FENCING, now)

    def _caught_up(
        self,
        watched: primary_failure.ObservedDatabase,
        run: failover_run.FailoverRun,
    ) -> bool:
        """Returns whether a replica that isn't leaving holds the last write."""
        status = watched.status
        if status.database in self._leaving or not run.fences:
            return False
        return any(
            positions.has_received(
                status, positions.Position(old.log_term, old.received)
            )
            for old in run.fences.values()
        )

    def _choose_candidate(
        self, run: failover_run.FailoverRun, now: datetime.datetime
    ) -> None:
        may_wait = (
            now - run.stage_started < self._timing.preferred_majority_wait
        )
        if may_wait and self._awaits_logless_databases(run):
            return
        run.promoted = failover_run.choose_candidate(
            run, self._group.majority, may_wait
        )
        if run.promoted is not None:
            run.enter(failover_run.FailoverStage.PROMOTING, now)

    def _awaits_logless_databases(self, run: failover_run.FailoverRun) -> bool:
        """Returns whether a database without a log may still be fenced."""
        return any(
            watched.has_lost_log
            and watched.answers
            and watched.status.database not in run.fences.keys() | run.refusals
            for watched in self._detector.observed_databases
        )

    def _majority_follows(self, run: failover_run.FailoverRun) -> bool:
        return 1 + len(run.followers) >= self._group.majority

    def _issue_calls(self, calls: list[failover_events.Call]) -> _Effects:
        """Marks and returns the calls whose databases have no pending call."""
        busy = {call.database for call in self._pending_calls}
        issued = [call for call in calls if call.database not in busy]
        self._pending_calls.update(issued)
        return list(issued)

    # Ending a run.

    def _complete_run(self, run: failover_run.FailoverRun) -> _Effects:
        self._run = None
        self._failed_runs = 0
        self._backoff_until = None
        outcome = f"{run.promoted} is the primary"
        event = events.FailoverEnded(self._group.name, run.term, outcome)
        return [
            failover_events.RecordEvent(event),
            *self._redirect_outdated(),
        ]

    def _abort_run(
        self,
        run: failover_run.FailoverRun,
        outcome: str,
        now: datetime.datetime,
    ) -> _Effects:
        """Aborts the run and backs off for a random time."""
        self._run = None
        doublings = min(self._failed_runs, _MAX_BACKOFF_DOUBLINGS)
        self._failed_runs += 1
        factor = self._random.uniform(0.5, 1.5) * 2**doublings
        self._backoff_until = now + self._timing.back_off * factor
        event = events.FailoverEnded(
            self._group.name, run.term, f"aborted: {outcome}"
        )
        return [failover_events.RecordEvent(event)]

    # Databases that rejoin the group.

    def _non_primaries(self) -> list[primary_failure.ObservedDatabase]:
        primary = self._detector.primary
        return [
            watched
            for watched in self._detector.observed_databases
            if watched is not primary
        ]

    def _redirect_outdated(self) -> _Effects:
        return self._issue_calls(failover_calls.redirects(self._detector))
