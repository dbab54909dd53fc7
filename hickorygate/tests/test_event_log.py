"""Tests of the event log: its lines, its rate limits and its counts."""

from __future__ import annotations

import collections
import dataclasses
import datetime
import os
import unittest

import logbook
import orjson

from hickorygate.core import events
from hickorygate.core import platform_events
from hickorygate.core import position
from hickorygate.core import takeover_steps
from hickorygate.operators import event_log
from hickorygate.operators import proxy_metrics
from hickorygate.testing import clock


class _LineCollector(logbook.Handler):
    """A handler that collects the decoded lines."""

    def __init__(self) -> None:
        super().__init__()
        self.lines: list[dict[str, object]] = []

    def emit(self, record: logbook.LogRecord) -> None:
        self.lines.append(orjson.loads(record.message))


def _ended(outcome: str) -> platform_events.RequestEnded:
    return platform_events.RequestEnded(
        request="1f",
        database="db",
        kind="Read",
        served_by="i-1",
        outcome=outcome,
        detail="",
        version=3,
        floor=None,
        floor_age=None,
        tries=1,
        took=datetime.timedelta(milliseconds=12),
    )


_SECOND = datetime.timedelta(seconds=1)
_PIPE_BYTES = 1_000_000
_ATOMIC_BYTES = 4_096
"""Length up to which a pipe takes a line whole or not at all."""

_MILLISECOND = datetime.timedelta(milliseconds=1)
_DISCARDED = platform_events.ReadDiscarded("1f", "i-1", "")
_WITHHELD = platform_events.CommitWithheld("1f", "i-1", None)
_END = position.Position(7, 120)
_TAKEOVER: tuple[events.Event, ...] = (
    platform_events.MemberListed("s", "i-1"),
    platform_events.MemberLeaving("s", "i-1"),
    platform_events.MemberUnlisted("s", "i-1"),
    platform_events.LeaderLost("s", "i-1", "it doesn't answer"),
    platform_events.DutyLost("the store doesn't answer"),
    platform_events.DutyWon(3),
    takeover_steps.TakeoverStarted(
        service="s",
        term=8,
        reason="the primary is unreachable",
        number=3,
        leader="i-1",
        leader_term=7,
        view_age=None,
        listed=("i-1", "i-2", "i-3"),
        leaving=(),
        unreachable=("i-1",),
        departed=(),
        asked=("i-2", "i-3"),
        max_silent=1,
    ),
    takeover_steps.ReplicaAnswered(
        service="s",
        term=8,
        number=3,
        stage="pausing",
        member="i-2",
        is_primary=False,
        member_term=7,
        received=_END,
        paused_for=8,
        took=_MILLISECOND,
    ),
    takeover_steps.ReplicaSilent("s", 8, 3, "pausing", "i-3", 1, _MILLISECOND),
    takeover_steps.CandidateCompared("s", 8, 3, "i-1", _END, "i-2", _END),
    takeover_steps.PauseLost("s", "i-2", 8, 3, False),
    takeover_steps.PromotionSent("s", 8, 3, "i-2", _END),
    platform_events.PromotionOrdered("s", "i-2", 3, None, "accepted"),
    platform_events.LeaderChanged("s", "i-2", 8, None),
    takeover_steps.TakeoverEnded("s", 8, 3, "i-2 is the primary"),
)


class EventLogTest(unittest.TestCase):
    """Which events are written, and that all events are counted."""

    def setUp(self) -> None:
        self.clock = clock.FakeClock()
        self.handler = _LineCollector()
        self.statistics = proxy_metrics.EventStatistics()
        self.log = event_log.EventLog(
            "proxy-1", self.clock, self.handler, self.statistics
        )

    def test_a_request_id_that_is_not_utf_8_is_written(self) -> None:
        name = b"1f\xff".decode(errors="surrogateescape")
        self.log.record(dataclasses.replace(_ended("busy"), request=name))
        (line,) = self.handler.lines
        self.assertEqual(line["request"], "1f\\udcff")

    def test_a_request_id_of_any_length_is_written_in_part(self) -> None:
        event = dataclasses.replace(_ended("busy"), request="i" * 1_000_000)
        self.log.record(event)
        (line,) = self.handler.lines
        self.assertEqual(line["request"], "i" * 512 + "...")

    def test_a_line_names_time_process_and_fields(self) -> None:
        self.log.record(_ended("busy"))
        (line,) = self.handler.lines
        self.assertEqual(line["process"], "proxy-1")
        self.assertEqual(line["event"], "RequestEnded")
        self.assertEqual(line["took"], "12.0 ms")

    def test_next_line_contains_the_number_of_dropped_events(self) -> None:
        for _ in range(1_000):
            self.log.record(_ended("ok"))
        written = len(self.handler.lines)
        self.assertLess(written, 20)
        self.clock.advance(datetime.timedelta(seconds=1))
        self.log.record(_ended("ok"))
        self.assertEqual(
            self.handler.lines[-1]["dropped_before"], 1_000 - written
        )

    def test_successful_requests_do_not_displace_other_events(self) -> None:
        for _ in range(1_000):
            self.log.record(_ended("ok"))
        self.log.record(_ended("unknown"))
        self.log.record(events.ProcessDraining())
        kinds = [line["event"] for line in self.handler.lines[-2:]]
        self.assertEqual(kinds, ["RequestEnded", "ProcessDraining"])

    def test_a_line_says_which_classes_of_lines_were_dropped(self) -> None:
        for outcome, burst in (("ok", 10), ("busy", 80)):
            for _ in range(burst):
                self.log.record(_ended(outcome))
        for outcome in ("ok", "busy", "ok", "busy", "ok"):
            self.log.record(_ended(outcome))
        self.log.record(events.ProcessDraining())
        line = self.handler.lines[-1]
        self.assertEqual(line["dropped_before"], 5)
        self.assertEqual(line["dropped_classes"], {"served": 3, "failed": 2})
        self.log.record(events.ProcessDraining())
        self.assertNotIn("dropped_classes", self.handler.lines[-1])

    def test_a_flood_of_requests_costs_no_line_of_a_takeover(self) -> None:
        # Guards against a takeover without a trace: discarded reads took the
        # limit that the lines of the takeover shared with them.
        for _ in range(5_000):
            self.clock.advance(_MILLISECOND)
            self.log.record(_DISCARDED)
            self.log.record(_WITHHELD)
            self.log.record(_ended("busy"))
            self.log.record(_ended("ok"))
            for event in _TAKEOVER:
                self.log.record(event)
        counts = collections.Counter(
            line["event"] for line in self.handler.lines
        )
        for event in _TAKEOVER:
            self.assertEqual(counts[type(event).__name__], 5_000, event)
        self.assertLess(counts["ReadDiscarded"], 5_000)

    def test_a_flood_of_changes_costs_no_line_of_a_takeover(self) -> None:
        for _ in range(5_000):
            self.clock.advance(_MILLISECOND)
            self.log.record(platform_events.StoreRegained("leases"))
            self.log.record(_TAKEOVER[0])
        counts = collections.Counter(
            line["event"] for line in self.handler.lines
        )
        self.assertEqual(counts[type(_TAKEOVER[0]).__name__], 5_000)

    def test_ids_that_are_not_utf_8_are_written(self) -> None:
        name = b"i\xff".decode(errors="surrogateescape")
        (started,) = (
            event
            for event in _TAKEOVER
            if isinstance(event, takeover_steps.TakeoverStarted)
        )
        self.log.record(dataclasses.replace(started, listed=(name, "i-2")))
        (line,) = self.handler.lines
        self.assertEqual(line["listed"], ["i\\udcff", "i-2"])

    def test_lines_of_a_takeover_are_notices_or_warnings(self) -> None:
        for event in _TAKEOVER:
            self.log.record(event)
        levels = {line["event"]: line["level"] for line in self.handler.lines}
        warnings = {name for name, level in levels.items() if level != "notice"}
        self.assertEqual(
            warnings, {"DutyLost", "LeaderLost", "PauseLost", "ReplicaSilent"}
        )

    def test_requests_are_warnings_if_their_outcome_is_unknown(self) -> None:
        for outcome in ("ok", "busy", "unknown"):
            self.log.record(_ended(outcome))
        self.assertEqual(
            [line["level"] for line in self.handler.lines],
            ["info", "info", "warning"],
        )

    def test_metrics_count_events_that_are_not_written(self) -> None:
        for _ in range(1_000):
            self.log.record(_ended("ok"))
        self.assertEqual(self.statistics.outcomes["Read", "ok"], 1_000)

    def test_handler_does_not_block_on_a_stalled_reader(self) -> None:
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        handler = event_log.NonBlockingHandler(writer)
        record = logbook.LogRecord("c", logbook.INFO, "x" * 4_000)
        for _ in range(100):
            handler.emit(record)
        self.assertGreater(handler.lost, 0)

    def test_a_line_after_an_incomplete_one_starts_on_its_own(self) -> None:
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        handler = event_log.NonBlockingHandler(writer)
        long_record = logbook.LogRecord("c", logbook.INFO, "x" * 1_000_000)
        handler.emit(long_record)
        written = os.read(reader, 1_000_000)
        self.assertEqual(set(written), {ord("x")})
        handler.emit(logbook.LogRecord("c", logbook.INFO, "next"))
        self.assertEqual(os.read(reader, 100), b"\nnext\n")


class RecentCommitsTest(unittest.TestCase):
    """Which commits are written when a primary is replaced."""

    def setUp(self) -> None:
        self.clock = clock.FakeClock()
        self.handler = _LineCollector()
        self.log = event_log.EventLog("proxy-1", self.clock, self.handler)

    def commit(self, offset: int, service: str = "s") -> None:
        self.clock.advance(_MILLISECOND)
        self.log.record(
            platform_events.CommitReported(
                request=f"r{offset}",
                service=service,
                database="i-1",
                term=7,
                position=position.Position(7, offset),
                provers=("i-3",),
            )
        )

    def change_leader(self, term: int) -> list[dict[str, object]]:
        """Returns the lines of commits when a primary is found."""
        before = len(self.handler.lines)
        self.log.record(platform_events.LeaderChanged("s", "i-2", term, None))
        *commits, changed = self.handler.lines[before:]
        self.assertEqual(changed["event"], "LeaderChanged")
        return commits

    def test_commits_are_written_when_their_primary_is_replaced(self) -> None:
        for offset in (11, 12):
            self.commit(offset)
        self.commit(13, service="other")
        self.assertEqual(self.handler.lines, [])
        (line,) = self.change_leader(term=8)
        self.assertEqual(line["event"], "CommitsReported")
        self.assertEqual((line["database"], line["term"]), ("i-1", 7))
        self.assertEqual(
            [(c["request"], c["position"]) for c in line["commits"]],
            [("r11", "7.11"), ("r12", "7.12")],
        )
        self.assertEqual(line["commits"][0]["provers"], ["i-3"])
        self.assertEqual(self.change_leader(term=9), [])

    def test_commits_are_kept_while_their_primary_leads(self) -> None:
        self.commit(11)
        self.assertEqual(self.change_leader(term=7), [])
        self.assertEqual(len(self.change_leader(term=8)), 1)

    def test_the_newest_commits_are_kept(self) -> None:
        for offset in range(5_000):
            self.commit(offset)
        lines = self.change_leader(term=8)
        offsets = [c["request"] for line in lines for c in line["commits"]]
        self.assertEqual(offsets, [f"r{n}" for n in range(4_500, 5_000)])
        for line in lines:
            self.assertLess(len(orjson.dumps(line)), _ATOMIC_BYTES)


class StalledReaderTest(unittest.TestCase):
    """What a reader finds that didn't read for a while."""

    def setUp(self) -> None:
        self.reader, writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        self.clock = clock.FakeClock()
        self.handler = event_log.NonBlockingHandler(writer)
        self.log = event_log.EventLog("proxy-1", self.clock, self.handler)

    def flood(self) -> None:
        """Records requests until lines are lost."""
        lost = self.handler.lost
        while self.handler.lost < lost + 5:
            self.clock.advance(_SECOND)
            for _ in range(40):
                self.log.record(_ended("busy"))

    def read(self) -> list[dict[str, object]]:
        data = os.read(self.reader, _PIPE_BYTES)
        return [orjson.loads(line) for line in data.splitlines()]

    def test_the_lines_of_a_takeover_are_read_later(self) -> None:
        # Guards against a takeover without a trace: its lines were lost while
        # the pipe was full.
        self.flood()
        for event in _TAKEOVER:
            self.log.record(event)
        self.flood()
        lines = self.read()
        self.log.record(_ended("busy"))
        lines += self.read()
        names = [line["event"] for line in lines]
        self.assertEqual(
            [name for name in names if name != "RequestEnded"],
            [type(event).__name__ for event in _TAKEOVER],
        )

    def test_the_next_line_has_the_number_of_lost_ones(self) -> None:
        self.flood()
        self.read()
        self.log.record(_ended("busy"))
        (line,) = self.read()
        self.assertEqual(line["lost_before"], self.handler.lost)
        self.log.record(_ended("busy"))
        (line,) = self.read()
        self.assertNotIn("lost_before", line)

    def test_lines_are_held_up_to_a_limit(self) -> None:
        self.flood()
        for _ in range(10_000):
            self.log.record(_TAKEOVER[0])
        self.assertGreaterEqual(self.handler.lost, 9_000)

    def test_a_held_line_that_was_written_in_part_is_completed(self) -> None:
        text = "x" * 1_000_000
        self.handler.emit(logbook.LogRecord("c", logbook.NOTICE, text))
        self.handler.emit(logbook.LogRecord("c", logbook.NOTICE, "next"))
        expected = text.encode() + b"\nnext\n"
        data = b""
        while len(data) < len(expected):
            data += os.read(self.reader, _PIPE_BYTES)
            self.handler.emit(logbook.LogRecord("c", logbook.INFO, "lost"))
        self.assertEqual(data[: len(expected)], expected)
