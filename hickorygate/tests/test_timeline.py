"""Tests of merging events into one timeline, and of encoding events."""

from __future__ import annotations

import datetime
import unittest

from hickorygate.core import events
from hickorygate.operators import event_codec
from hickorygate.operators import timeline

_START = datetime.datetime(2026, 3, 1, 6, tzinfo=datetime.UTC)
_EVENTS = (
    events.ProcessStarted("0.1.0"),
    events.ConfigApplied(3, "platform"),
    events.PrimaryChanged("alert-db-1", "alert-db-1b", 2),
    events.WritesResumed("alert-db-1", datetime.timedelta(seconds=1.25)),
)


class _Clock:
    """A wall clock with a fixed offset."""

    def __init__(self, offset: float) -> None:
        self.time = _START + datetime.timedelta(seconds=offset)

    def now(self) -> datetime.datetime:
        return self.time

    async def sleep(self, duration: datetime.timedelta) -> None:
        self.time += duration


class MergeTest(unittest.TestCase):
    """Merging keeps the causal order when wall clocks differ."""

    def test_effect_on_a_slow_clock_follows_its_cause(self) -> None:
        fast = events.HybridLogicalClock(_Clock(5))
        slow = events.HybridLogicalClock(_Clock(0))
        cause = events.Timeline("fast", fast)
        effect = events.Timeline("slow", slow)
        cause.record(events.FailoverStarted("g", 2, "silent"))
        slow.observe(fast.next())
        effect.record(events.PrimaryChanged("g", "b", 2))
        fast.observe(slow.next())
        cause.record(events.FailoverEnded("g", 2, "done"))
        merged = timeline.merge([effect.events, cause.events])
        self.assertEqual(
            [type(recorded.event) for recorded in merged],
            [
                events.FailoverStarted,
                events.PrimaryChanged,
                events.FailoverEnded,
            ],
        )


class CodecTest(unittest.TestCase):
    """Encoding and decoding of events."""

    def test_events_round_trip_through_json(self) -> None:
        line = events.Timeline("proxy-0", events.HybridLogicalClock(_Clock(0)))
        for event in _EVENTS:
            line.record(event)
        for recorded in line.events:
            text = event_codec.encode_json(recorded)
            read = event_codec.decode_json(text, "here")
            self.assertEqual(read.ok, recorded)

    def test_text_formats_durations(self) -> None:
        line = events.Timeline("proxy-0", events.HybridLogicalClock(_Clock(0)))
        line.record(events.WritesResumed("g", datetime.timedelta(seconds=1.5)))
        text = event_codec.format_text(line.events[0])
        self.assertEqual(
            text,
            "06:00:00.000000+1   proxy-0      WritesResumed    "
            "group=g gap=1.500s",
        )

    def test_event_of_unknown_kind_is_kept(self) -> None:
        text = (
            '{"wall":"2026-03-01T06:00:00Z","count":0,"process":"p",'
            '"kind":"MoonRose","fields":{"phase":"full"}}'
        )
        read = event_codec.decode_json(text, "here").ok
        self.assertIn("MoonRose", event_codec.format_text(read))
        self.assertIn("phase=full", event_codec.format_text(read))
        self.assertIn('"kind":"MoonRose"', event_codec.encode_json(read))

    def test_error_of_a_malformed_line_names_its_source(self) -> None:
        failure = event_codec.decode_json("{}", "127.0.0.1:9").error
        self.assertIn("127.0.0.1:9", failure.message)
