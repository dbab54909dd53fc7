"""Accumulates measurements; the module `metrics` exports the sums."""

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
from hickorygate.operators import gap

__all__ = ["RankStatistics", "Recorder", "Verdict", "replica_share"]

_BUCKETS = (0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10)
"""Upper bounds of the latency histogram, in seconds."""

_MIN_RECORDED_GAP = datetime.timedelta(milliseconds=250)
"""A write gap of at least this length is recorded on the timeline."""

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
class RankStatistics:
    """Sums of the statements of one rank since the start.

    Attributes:
      verdicts: number of statements by verdict.
      in_target: number of statements that a database answered within the
        rank's target latency, errors included.
      retries: number of retries after a failure.
      latency: histogram of the seconds from arrival to answer, of the
        statements that a database answered.
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
    """Accumulates the measurements of one process.

    Attributes:
      ranks: sums of each rank, by rank name.
      reads: number of answered reads by role of the database that served them.
      gaps: write gap of each group, by group name.
    """

    __slots__ = ("_timeline", "gaps", "ranks", "reads")

    def __init__(self, timeline: events.Timeline) -> None:
        self._timeline = timeline
        self.ranks: dict[types.RankName, RankStatistics] = (
            collections.defaultdict(RankStatistics)
        )
        self.reads: collections.Counter[measurements.ServedBy] = (
            collections.Counter()
        )
        self.gaps: dict[types.GroupName, gap.WriteGap] = (
            collections.defaultdict(gap.WriteGap)
        )

    @property
    def replica_share(self) -> float | None:
        """Share of answered reads that replicas served; None without reads."""
        return replica_share(self.reads)

    def __repr__(self) -> str:
        return f"Recorder(ranks={list(self.ranks)})"

    def record(self, measurement: measurements.Measurement) -> None:
        """Adds a measurement to the sums."""
        _add(measurement, self)

    def add_statement(self, served: measurements.StatementServed) -> None:
        """Adds a statement to the sums of its rank."""
        statistics = self.ranks[served.rank.name]
        statistics.verdicts[_verdict(served.failure)] += 1
        statistics.in_target += served.within_target
        if not served.answered:
            return
        statistics.latency.observe(served.latency.total_seconds())
        if served.work is measurements.WorkKind.READ:
            self.reads[served.served_by] += 1

    def add_write(self, served: measurements.StatementServed) -> None:
        """Adds a write to the write gap of its group; ignores other work."""
        if (
            served.work is not measurements.WorkKind.WRITE
            or served.group is None
        ):
            return
        ended = self.gaps[served.group].record_write(served)
        if ended is not None and ended >= _MIN_RECORDED_GAP:
            self._timeline.record(events.WritesResumed(served.group, ended))


def replica_share(
    reads: collections.Counter[measurements.ServedBy],
) -> float | None:
    """Returns the share of reads that replicas served; None without reads."""
    total = reads.total()
    return reads[measurements.ServedBy.REPLICA] / total if total else None


@functools.singledispatch
def _add(measurement: measurements.Measurement, recorder: Recorder) -> None:
    raise TypeError(f"cannot add {measurement!r}: no function is registered")


@_add.register
def _(served: measurements.StatementServed, recorder: Recorder) -> None:
    recorder.add_statement(served)
    recorder.add_write(served)


@_add.register
def _(retried: measurements.StatementRetried, recorder: Recorder) -> None:
    recorder.ranks[retried.rank.name].retries += 1
