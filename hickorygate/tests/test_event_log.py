"""Tests of the event log: its lines, its rate limits and its counts."""

from __future__ import annotations

import dataclasses
import datetime
import os
import unittest

import logbook
import orjson

from hickorygate.core import events
from hickorygate.core import platform_events
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
