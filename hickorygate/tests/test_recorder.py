"""Tests of the write gap and of the sums that metrics are built from."""

from __future__ import annotations

import datetime
import unittest

from hickorygate.core import errors
from hickorygate.core import events
from hickorygate.core import measurement
from hickorygate.core import rank
from hickorygate.operators import gap as gaps
from hickorygate.operators import recorder

_START = datetime.datetime(2026, 3, 1, tzinfo=datetime.UTC)
_RANK = rank.Rank(
    name="report", order=0, target=datetime.timedelta(seconds=0.25), floor=0.5
)
_NO_PRIMARY = errors.NoPrimary("alert-db-1")


def _at(seconds: float) -> datetime.datetime:
    return _START + datetime.timedelta(seconds=seconds)


def _write(
    arrived: float, ended: float, failure: errors.Failure | None = None
) -> measurement.StatementServed:
    return measurement.StatementServed(
        rank=_RANK,
        work=measurement.WorkKind.WRITE,
        served_by=measurement.ServedBy.PRIMARY,
        group="alert-db-1",
        arrived=_at(arrived),
        ended=_at(ended),
        failure=failure,
    )


def _read(
    served_by: measurement.ServedBy,
) -> measurement.StatementServed:
    return measurement.StatementServed(
        rank=_RANK,
        work=measurement.WorkKind.READ,
        served_by=served_by,
        group="alert-db-1",
        arrived=_at(0),
        ended=_at(0.1),
    )


class _Clock:
    def now(self) -> datetime.datetime:
        return _START

    async def sleep(self, duration: datetime.timedelta) -> None:
        raise AssertionError("code under test must not sleep")


class WriteGapTest(unittest.TestCase):
    """The gap counts refused writes and held writes alike."""

    def setUp(self) -> None:
        self.gap = gaps.WriteGap()
        self.gap.record_write(_write(0, 0.01))

    def test_refused_writes_open_a_gap_that_the_next_answer_ends(self) -> None:
        self.gap.record_write(_write(1, 1.1, _NO_PRIMARY))
        self.gap.record_write(_write(2, 2.1, _NO_PRIMARY))
        self.assertEqual(self.gap.open_duration(_at(2.5)).total_seconds(), 1.5)
        self.gap.record_write(_write(3, 3.2))
        self.assertEqual(self.gap.longest.total_seconds(), 2.2)
        self.assertEqual(self.gap.open_duration(_at(4)).total_seconds(), 0)

    def test_held_write_counts_from_its_arrival(self) -> None:
        self.gap.record_write(_write(1, 2.5))
        self.assertEqual(self.gap.longest.total_seconds(), 1.5)

    def test_time_without_writes_is_not_a_gap(self) -> None:
        self.gap.record_write(_write(100, 100.01))
        self.assertLess(self.gap.longest.total_seconds(), 0.02)

    def test_gap_starts_after_the_last_answered_write(self) -> None:
        self.gap.record_write(_write(1, 2.0))
        self.gap.record_write(_write(1, 2.1))
        self.assertAlmostEqual(self.gap.last.total_seconds(), 0.1)


class RecorderTest(unittest.TestCase):
    """Sums by rank, and timeline events for long write gaps."""

    def setUp(self) -> None:
        stamps = events.HybridLogicalClock(_Clock())
        self.timeline = events.Timeline("proxy-0", stamps)
        self.recorder = recorder.Recorder(self.timeline)

    def test_statements_add_up_by_verdict_and_target(self) -> None:
        for served in (
            _write(0, 0.1),
            _write(0, 0.3),
            _write(0, 0.1, errors.UpstreamError(1062, "23000", "Duplicate")),
            _write(0, 0.1, _NO_PRIMARY),
            _write(0, 0.1, errors.AnswerLost("db-a", "cut")),
        ):
            self.recorder.record(served)
        statistics = self.recorder.ranks["report"]
        self.assertEqual(
            statistics.verdicts,
            {"served": 2, "failed": 1, "refused": 1, "unknown": 1},
        )
        self.assertEqual(statistics.in_target, 2)
        self.assertEqual(statistics.latency.observations, 3)

    def test_replica_share_counts_answered_reads(self) -> None:
        self.assertIsNone(self.recorder.replica_share)
        for served_by in (
            measurement.ServedBy.REPLICA,
            measurement.ServedBy.REPLICA,
            measurement.ServedBy.REPLICA,
            measurement.ServedBy.PRIMARY,
        ):
            self.recorder.record(_read(served_by))
        self.assertEqual(self.recorder.replica_share, 0.75)

    def test_long_gap_is_recorded_on_the_timeline(self) -> None:
        self.recorder.record(_write(0, 0.1))
        self.assertEqual(self.timeline.events, ())
        self.recorder.record(_write(1, 1.1, _NO_PRIMARY))
        self.recorder.record(_write(2, 2.5))
        (recorded,) = self.timeline.events
        gap = datetime.timedelta(seconds=1.5)
        self.assertEqual(
            recorded.event, events.WritesResumed("alert-db-1", gap)
        )

    def test_retries_are_counted_by_rank(self) -> None:
        self.recorder.record(measurement.StatementRetried(_RANK, _NO_PRIMARY))
        self.assertEqual(self.recorder.ranks["report"].retries, 1)
