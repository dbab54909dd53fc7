"""Adds measurements up; `metrics` shows the sums when they are asked for."""

from __future__ import annotations

import collections
import dataclasses
import datetime
import functools

from aioprometheus import histogram

from hickorygate.core import errors
from hickorygate.core import events
from hickorygate.core import measurement as measurements
from hickorygate.core import types
from hickorygate.operators import gap as gaps

__all__ = ["RankTally", "Recorder", "Verdict", "replica_share"]

_BUCKETS = (0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10)
"""Upper bounds of the latency histogram, in seconds."""

_NOTABLE_GAP = datetime.timedelta(milliseconds=250)
"""A write gap of at least this length gets a place on the time line."""

_VERDICTS = {
    errors.Outcome.NOT_RUN: "refused",
    errors.Outcome.RAN: "failed",
    errors.Outcome.UNKNOWN: "unknown",
}
_SERVED = "served"

Verdict = str


def _verdict(failure: errors.Failure | None) -> Verdict:
    return _SERVED if failure is None else _VERDICTS[failure.outcome]


@dataclasses.dataclass(slots=True)
class RankTally:
    """One rank's service since the start.

    Attributes:
      verdicts: statements by how they ended.
      in_target: statements settled within the rank's target.
      retries: further tries after a failure.
      latency: seconds from arrival to answer of what was settled.
    """

    verdicts: collections.Counter[Verdict] = dataclasses.field(
        default_factory=collections.Counter
    )
    in_target: int = 0
    retries: int = 0
    latency: histogram.Histogram = dataclasses.field(
        default_factory=lambda: histogram.Histogram(*_BUCKETS)
    )


class Recorder:
    """The sums of one process.

    Attributes:
      ranks: service by rank.
      reads: answered reads by who served them.
      gaps: write gaps by group.
    """

    __slots__ = ("_time_line", "gaps", "ranks", "reads")

    def __init__(self, time_line: events.TimeLine) -> None:
        self._time_line = time_line
        self.ranks: dict[types.RankName, RankTally] = collections.defaultdict(
            RankTally
        )
        self.reads: collections.Counter[measurements.ServedBy] = (
            collections.Counter()
        )
        self.gaps: dict[types.GroupName, gaps.WriteGap] = (
            collections.defaultdict(gaps.WriteGap)
        )

    @property
    def replica_share(self) -> float | None:
        """Share of answered reads that replicas served; None before any."""
        return replica_share(self.reads)

    def __repr__(self) -> str:
        return f"Recorder(ranks={list(self.ranks)})"

    def record(self, measurement: measurements.Measurement) -> None:
        """Takes in one measurement."""
        _take(measurement, self)

    def add_statement(self, served: measurements.StatementServed) -> None:
        """Adds one statement to its rank's sums."""
        tally = self.ranks[served.rank.name]
        tally.verdicts[_verdict(served.failure)] += 1
        tally.in_target += served.within_target
        if not served.answered:
            return
        tally.latency.observe(served.latency.total_seconds())
        if served.work is measurements.Work.READ:
            self.reads[served.served_by] += 1

    def add_write(self, served: measurements.StatementServed) -> None:
        """Takes a write into its group's gap."""
        if served.work is not measurements.Work.WRITE or served.group is None:
            return
        ended = self.gaps[served.group].take(served)
        if ended is not None and ended >= _NOTABLE_GAP:
            self._time_line.record(events.WritesResumed(served.group, ended))


def replica_share(
    reads: collections.Counter[measurements.ServedBy],
) -> float | None:
    """Returns the share of reads that replicas served; None of none."""
    total = reads.total()
    return reads[measurements.ServedBy.REPLICA] / total if total else None


@functools.singledispatch
def _take(measurement: measurements.Measurement, recorder: Recorder) -> None:
    raise TypeError(f"no way to take {measurement!r}; register one")


@_take.register
def _(served: measurements.StatementServed, recorder: Recorder) -> None:
    recorder.add_statement(served)
    recorder.add_write(served)


@_take.register
def _(retried: measurements.Retried, recorder: Recorder) -> None:
    recorder.ranks[retried.rank.name].retries += 1
