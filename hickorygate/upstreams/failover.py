"""Replacing a group's primary: decisions without I/O.

A run takes a fresh term, fences a majority of the group at it, promotes the
most advanced of them and points the others at it. Two runs may go on at
once: each database takes a term from one owner only and refuses what is
below its fence, so at most one of them can promote under a term, and what it
promotes holds everything that was acknowledged before.
"""

from __future__ import annotations

import datetime
import functools
import random

from hickorygate.core import events
from hickorygate.core import position as positions
from hickorygate.core import sheet as sheets
from hickorygate.core import types
from hickorygate.upstreams import planned
from hickorygate.upstreams import run as runs
from hickorygate.upstreams import steps
from hickorygate.upstreams import suspicion as suspicions
from hickorygate.upstreams import timing as timings

__all__ = ["Failover", "handle"]

_Effects = list[steps.Effect]

_BACK_OFF_DOUBLINGS = 4
_RUNNERS = 3
"""Proxies of the first ranks that may begin a run; no rank is known yet at
the start."""


class Failover:
    """Watches one group and replaces its primary when it must."""

    __slots__ = (
        "_attempts",
        "_calls",
        "_earliest",
        "_group",
        "_last_term",
        "_leaving",
        "_random",
        "_rank",
        "_reason_since",
        "_run",
        "_suspicion",
        "_timing",
    )

    def __init__(
        self,
        group: sheets.Group,
        timing: timings.Timing,
        generator: random.Random,
    ) -> None:
        self._group = group
        self._timing = timing
        self._random = generator
        self._suspicion = suspicions.Suspicion(group.majority, timing.detection)
        self._leaving: frozenset[types.DatabaseName] = frozenset()
        self._rank = _RUNNERS
        self._run: runs.Run | None = None
        self._calls: set[steps.Call] = set()
        self._reason_since: datetime.datetime | None = None
        self._earliest: datetime.datetime | None = None
        self._attempts = 0
        self._last_term: types.Term = 0

    @property
    def holds_writes(self) -> bool:
        """Whether new writes must wait for a change of primary."""
        return self._run is not None

    @property
    def rank(self) -> int:
        """This proxy's place among those that look after the group."""
        return self._rank

    @property
    def leaving(self) -> frozenset[types.DatabaseName]:
        """Databases that are about to stop."""
        return self._leaving

    def __repr__(self) -> str:
        return f"Failover({self._group.name!r}, {self._run!r})"

    def hurried(self, now: datetime.datetime) -> bool:
        """Tells whether statuses are wanted faster than usual."""
        begun = self._run is not None or self._reason_since is not None
        return begun or self._suspicion.suspects(now)

    def set_rank(self, rank: int) -> None:
        """Takes in this proxy's place."""
        self._rank = rank

    def set_leaving(self, names: frozenset[types.DatabaseName]) -> None:
        """Takes in the databases that are about to stop."""
        self._leaving = names

    def see(
        self, status: positions.DatabaseStatus, now: datetime.datetime
    ) -> None:
        """Takes in what a database says about itself."""
        self._suspicion.see(status, now)

    def lose(self, name: types.DatabaseName) -> None:
        """Takes in that a database didn't answer."""
        self._suspicion.lose(name)

    def finish(self, call: steps.Call) -> bool:
        """Marks a call as answered; tells whether it is the run's own."""
        self._calls.discard(call)
        return self._run is not None and call.term == self._run.term

    def tick(self, now: datetime.datetime) -> _Effects:
        """Begins, carries on or gives up a run."""
        if self._run is not None:
            return self._advance(self._run, now)
        effects = self._consider(now)
        return effects if effects else self._point_stragglers()

    def take_fence(
        self, status: positions.DatabaseStatus, now: datetime.datetime
    ) -> _Effects:
        """Takes in that a database promised itself to the run."""
        run = self._run
        assert run is not None, "finish() found the run"
        new = status.database not in run.fences
        run.fences.setdefault(status.database, status)
        if run.stage is runs.Stage.QUIESCING and new:
            run.since = now
        position = positions.Position(status.log_term, status.received)
        event = events.DatabaseFenced(
            self._group.name, status.database, run.term, position
        )
        record: _Effects = [steps.Record(event)] if new else []
        return record + self._advance(run, now)

    def take_promotion(
        self, status: positions.DatabaseStatus, now: datetime.datetime
    ) -> _Effects:
        """Takes in that the chosen database leads its term."""
        run = self._run
        assert run is not None, "finish() found the run"
        if run.stage is not runs.Stage.PROMOTING:
            return []
        run.enter(runs.Stage.POINTING, now)
        event = events.DatabasePromoted(
            self._group.name, status.database, run.term, status.base
        )
        return [steps.Record(event), *self._advance(run, now)]

    def take_follower(
        self, name: types.DatabaseName, now: datetime.datetime
    ) -> _Effects:
        """Takes in that a database follows the new primary."""
        run = self._run
        assert run is not None, "finish() found the run"
        run.followers.add(name)
        event = events.DatabaseFollows(self._group.name, name, run.term)
        return [steps.Record(event), *self._advance(run, now)]

    def take_refusal(
        self, name: types.DatabaseName, now: datetime.datetime
    ) -> _Effects:
        """Takes in that a database has promised itself to another run."""
        run = self._run
        assert run is not None, "finish() found the run"
        run.refusals.add(name)
        if run.stage is runs.Stage.QUIESCING or run.promoted == name:
            return self._give_up(run, f"{name} refused", now)
        able = len(self._group.databases) - len(run.refusals)
        if able < self._group.majority:
            return self._give_up(run, "another proxy's term is newer", now)
        return self._advance(run, now)

    # Beginning.

    def _consider(self, now: datetime.datetime) -> _Effects:
        reason = self._suspicion.reason(now)
        if reason is not None:
            return self._begin_when_due(reason, runs.Stage.FENCING, now)
        reason = planned.reason(
            self._suspicion, self._group, self._leaving, self._timing, now
        )
        if reason is not None:
            return self._begin_when_due(reason, runs.Stage.QUIESCING, now)
        self._reason_since = None
        return []

    def _begin_when_due(
        self, reason: str, stage: runs.Stage, now: datetime.datetime
    ) -> _Effects:
        record: _Effects = []
        if self._reason_since is None:
            self._reason_since = now
            event = events.PrimarySuspected(self._group.name, reason)
            record.append(steps.Record(event))
        wait = self._timing.rank_delay * self._rank
        early = self._earliest is not None and now < self._earliest
        if early or now - self._reason_since < wait or self._rank >= _RUNNERS:
            return record
        return record + self._begin(reason, stage, now)

    def _begin(
        self, reason: str, stage: runs.Stage, now: datetime.datetime
    ) -> _Effects:
        term = max(self._suspicion.highest_term, self._last_term) + 1
        self._last_term = term
        primary = self._suspicion.primary
        old = primary.status.database if primary else None
        avoided = self._leaving
        if old is not None and stage is runs.Stage.FENCING:
            avoided |= {old}
        run = runs.Run(term, reason, now, stage, now, old, avoided)
        self._run = run
        self._reason_since = None
        event = events.FailoverStarted(self._group.name, term, reason)
        return [steps.Record(event), *self._advance(run, now)]

    # Carrying on.

    def _advance(self, run: runs.Run, now: datetime.datetime) -> _Effects:
        if now - run.started >= self._timing.limit:
            return self._give_up(run, "took too long", now)
        if self._overtaken(run):
            return self._give_up(run, "another proxy was faster", now)
        if run.stage is runs.Stage.QUIESCING:
            self._quiesce(run, now)
        if run.stage is runs.Stage.FENCING:
            self._choose(run, now)
        if run.stage is runs.Stage.POINTING and self._pointed(run):
            return self._end(run)
        return self._issue(self._calls_of(run))

    def _overtaken(self, run: runs.Run) -> bool:
        """Whether another run's primary was seen; ours may be of our term."""
        chosen = run.promoted is not None
        newest = self._suspicion.newest_term
        return newest > run.term or (newest == run.term and not chosen)

    def _quiesce(self, run: runs.Run, now: datetime.datetime) -> None:
        """Goes on once a replica holds all that the old primary wrote."""
        ready = any(self._caught_up(w, run) for w in self._others())
        if now - run.since >= self._timing.quiet:
            run.enter(runs.Stage.FENCING, now)
        elif not ready:
            return
        elif now - run.since >= self._timing.settle:
            run.enter(runs.Stage.FENCING, now)

    def _caught_up(self, watched: suspicions.Watched, run: runs.Run) -> bool:
        """Whether a replica that may be promoted holds the last write."""
        status = watched.status
        if status.database in self._leaving or not run.fences:
            return False
        return any(
            positions.holds(
                status, positions.Position(old.log_term, old.received)
            )
            for old in run.fences.values()
        )

    def _choose(self, run: runs.Run, now: datetime.datetime) -> None:
        patient = now - run.since < self._timing.preference
        if patient and self._blanks_due(run):
            return
        run.promoted = runs.candidate(run, self._group.majority, patient)
        if run.promoted is not None:
            run.enter(runs.Stage.PROMOTING, now)

    def _blanks_due(self, run: runs.Run) -> bool:
        """Whether a database without a log may still be fenced in time."""
        return any(
            w.blank
            and w.answers
            and w.status.database not in run.fences.keys() | run.refusals
            for w in self._suspicion.watched
        )

    def _pointed(self, run: runs.Run) -> bool:
        return 1 + len(run.followers) >= self._group.majority

    def _calls_of(self, run: runs.Run) -> list[steps.Call]:
        names = [database.name for database in self._group.databases]
        match run.stage:
            case runs.Stage.QUIESCING:
                wanted = [run.old] if run.old not in run.fences else []
                return [steps.Fence(name, run.term) for name in wanted if name]
            case runs.Stage.FENCING:
                wanted = [
                    name
                    for name in names
                    if name not in run.fences and name not in run.refusals
                ]
                return [steps.Fence(name, run.term) for name in wanted]
            case runs.Stage.PROMOTING:
                assert run.promoted is not None, "chosen before promoting"
                return [steps.Promote(run.promoted, run.term)]
            case runs.Stage.POINTING:
                return self._follows(run, names)

    def _follows(
        self, run: runs.Run, names: list[types.DatabaseName]
    ) -> list[steps.Call]:
        assert run.promoted is not None, "chosen before pointing"
        done = run.followers | run.refusals | {run.promoted}
        return [
            steps.Follow(name, run.term, run.promoted)
            for name in names
            if name not in done and self._may_follow(name, run)
        ]

    def _may_follow(self, name: types.DatabaseName, run: runs.Run) -> bool:
        """A database without a log joins only a term it was fenced at."""
        watched = self._suspicion.get(name)
        if watched is None:
            return False
        fenced = run.fences.get(name)
        fenced_blank = fenced is not None and fenced.log_term == 0
        return fenced_blank or not watched.blank

    def _issue(self, calls: list[steps.Call]) -> _Effects:
        """Makes the calls whose databases have none outstanding."""
        busy = {call.database for call in self._calls}
        fresh = [call for call in calls if call.database not in busy]
        self._calls.update(fresh)
        return list(fresh)

    # Ending.

    def _end(self, run: runs.Run) -> _Effects:
        self._run = None
        self._attempts = 0
        self._earliest = None
        outcome = f"{run.promoted} leads"
        event = events.FailoverEnded(self._group.name, run.term, outcome)
        return [steps.Record(event), *self._point_stragglers()]

    def _give_up(
        self, run: runs.Run, outcome: str, now: datetime.datetime
    ) -> _Effects:
        """Leaves the field for a random time, longer after each attempt."""
        self._run = None
        doublings = min(self._attempts, _BACK_OFF_DOUBLINGS)
        self._attempts += 1
        factor = self._random.uniform(0.5, 1.5) * 2**doublings
        self._earliest = now + self._timing.back_off * factor
        event = events.FailoverEnded(
            self._group.name, run.term, f"given up: {outcome}"
        )
        return [steps.Record(event)]

    # Databases that return.

    def _others(self) -> list[suspicions.Watched]:
        primary = self._suspicion.primary
        return [w for w in self._suspicion.watched if w is not primary]

    def _point_stragglers(self) -> _Effects:
        """Points databases that follow an older term at the primary."""
        primary = self._suspicion.primary
        if primary is None or not primary.answers or primary.fenced_off:
            return []
        term = primary.status.term
        return self._issue(
            [
                steps.Follow(w.status.database, term, primary.status.database)
                for w in self._suspicion.watched
                if w.answers
                and not w.blank
                and w.status.term < term
                and w.status.fenced <= term
            ]
        )


@functools.singledispatch
def handle(
    event: steps.Event, failover: Failover, now: datetime.datetime
) -> _Effects:
    """Takes in an event and returns what to do."""
    raise TypeError(f"no way to handle {event!r}; register one")


@handle.register
def _(
    event: steps.StatusSeen, failover: Failover, now: datetime.datetime
) -> _Effects:
    failover.see(event.status, now)
    return failover.tick(now)


@handle.register
def _(
    event: steps.ProbeLost, failover: Failover, now: datetime.datetime
) -> _Effects:
    failover.lose(event.database)
    return failover.tick(now)


@handle.register
def _(
    event: steps.Tick, failover: Failover, now: datetime.datetime
) -> _Effects:
    return failover.tick(now)


@handle.register
def _(
    event: steps.LeavingChanged, failover: Failover, now: datetime.datetime
) -> _Effects:
    failover.set_leaving(event.databases)
    return failover.tick(now)


@handle.register
def _(
    event: steps.RankChanged, failover: Failover, now: datetime.datetime
) -> _Effects:
    failover.set_rank(event.rank)
    return []


@handle.register
def _(
    event: steps.Answered, failover: Failover, now: datetime.datetime
) -> _Effects:
    own = failover.finish(event.call)
    failover.see(event.status, now)
    return _answered(event.call, failover, event.status, now) if own else []


@handle.register
def _(
    event: steps.Refused, failover: Failover, now: datetime.datetime
) -> _Effects:
    if failover.finish(event.call):
        return failover.take_refusal(event.call.database, now)
    return []


@handle.register
def _(
    event: steps.Lost, failover: Failover, now: datetime.datetime
) -> _Effects:
    failover.finish(event.call)
    return []


@functools.singledispatch
def _answered(
    call: steps.Call,
    failover: Failover,
    status: positions.DatabaseStatus,
    now: datetime.datetime,
) -> _Effects:
    raise TypeError(f"no way to take the answer to {call!r}; register one")


@_answered.register
def _(
    call: steps.Fence,
    failover: Failover,
    status: positions.DatabaseStatus,
    now: datetime.datetime,
) -> _Effects:
    return failover.take_fence(status, now)


@_answered.register
def _(
    call: steps.Promote,
    failover: Failover,
    status: positions.DatabaseStatus,
    now: datetime.datetime,
) -> _Effects:
    return failover.take_promotion(status, now)


@_answered.register
def _(
    call: steps.Follow,
    failover: Failover,
    status: positions.DatabaseStatus,
    now: datetime.datetime,
) -> _Effects:
    return failover.take_follower(call.database, now)
