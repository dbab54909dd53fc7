"""Properties of what operators read: no text of others breaks out of its place.

Callers choose request ids, names and statements, and databases the texts of
their errors. Both may hold line feeds, control characters, quotes and bytes
that aren't UTF-8.
"""

from __future__ import annotations

import dataclasses
import datetime
import re
import types
import typing
import unittest

import hypothesis
from hypothesis import strategies
import logbook
import orjson

from hickorygate.core import events
from hickorygate.core import platform_events
from hickorygate.core import reply as replies
from hickorygate.core import takeover_steps
from hickorygate.operators import event_codec
from hickorygate.operators import event_log
from hickorygate.operators import proxy_metrics
from hickorygate.platform import line_protocol
from hickorygate.testing import clock

_ODD = strategies.binary(max_size=12).map(
    lambda data: data.decode("utf-8", "surrogateescape")
) | strategies.text(
    alphabet='a"\\{}=,\r\n\x00\x1b\x85\u2028\ud800\udcff', max_size=8
)
_SAMPLE = re.compile(
    r"\w+(?:\{\w+=\"(?:[^\"\\\n]|\\[\\\"n])*\""
    r"(?:,\w+=\"(?:[^\"\\\n]|\\[\\\"n])*\")*\})? [-+.\w]+"
)
"""A line of a sample in the Prometheus text format."""


def _event_types() -> list[type[events.Event]]:
    """Returns all event classes that reach the event log."""
    found = [
        kind
        for module in (platform_events, takeover_steps)
        for name in module.__all__
        if dataclasses.is_dataclass(kind := getattr(module, name))
        and issubclass(kind, events.Event)
    ]
    return [*found, *events.event_types()]


def _values(annotation: object) -> strategies.SearchStrategy[object]:
    """Returns values of a field, with odd texts wherever it has texts."""
    if annotation is str:
        return _ODD
    origin = typing.get_origin(annotation)
    arguments = typing.get_args(annotation)
    if origin is tuple:
        return strategies.lists(_values(arguments[0]), max_size=2).map(tuple)
    if origin in (types.UnionType, typing.Union):
        return strategies.one_of(*map(_values, arguments))
    if annotation is datetime.timedelta:
        return strategies.timedeltas(
            datetime.timedelta(), datetime.timedelta(days=1)
        )
    if annotation is bytes:
        return strategies.binary(max_size=12)
    if annotation is int:
        return strategies.integers(0, 2**53)
    if annotation is float:
        return strategies.floats(0, 1e9)
    return strategies.from_type(annotation)


def _events(kind: type[events.Event]) -> strategies.SearchStrategy:
    hints = typing.get_type_hints(kind)
    fields = [field.name for field in dataclasses.fields(kind)]
    return strategies.builds(
        kind, **{name: _values(hints[name]) for name in fields}
    )


_ANY_EVENT = strategies.sampled_from(_event_types()).flatmap(_events)


class _Lines(logbook.Handler):
    """A handler that keeps the lines."""

    def __init__(self) -> None:
        super().__init__()
        self.lines: list[str] = []

    def emit(self, record: logbook.LogRecord) -> None:
        self.lines.append(record.message)


class OddTextProperty(unittest.TestCase):
    """Lines of the log, of the timeline and of the metrics."""

    @hypothesis.seed(49)
    @hypothesis.given(_ANY_EVENT)
    def test_an_event_is_one_line_of_json(self, event: events.Event) -> None:
        handler = _Lines()
        log = event_log.EventLog("p", clock.FakeClock(), handler)
        log.record(event)
        for line in handler.lines:
            self.assertEqual(line.encode().decode(), line)
            self.assertIsNone(re.search(r"[\x00-\x1f]", line))
            self.assertIsInstance(orjson.loads(line), dict)

    # Guards against a byte that isn't UTF-8 in an event, which made the admin
    # port answer its whole timeline with an error.
    @hypothesis.seed(49)
    @hypothesis.given(
        strategies.sampled_from(events.event_types()).flatmap(_events)
    )
    def test_an_event_is_one_line_of_the_timeline(
        self, event: events.Event
    ) -> None:
        now = clock.FakeClock().now()
        recorded = events.RecordedEvent(events.Timestamp(now, 0), "p", event)
        encoded = event_codec.encode_json(recorded)
        self.assertIsNone(re.search(r"[\x00-\x1f]", encoded))
        decoded = event_codec.decode_json(encoded, "a")
        self.assertTrue(decoded.is_ok(), encoded)
        for shown in (recorded, decoded.ok):
            self.assertTrue(event_codec.format_text(shown).isprintable())

    # Guards against a quote or a backslash in the id of a database, which made
    # all metrics unreadable.
    @hypothesis.seed(49)
    @hypothesis.given(_ODD, _ODD)
    @hypothesis.example('i-"1', "\\")
    @hypothesis.example("i\udcff", "\n")
    def test_a_name_is_one_label_of_the_metrics(
        self, database: str, workspace: str
    ) -> None:
        statistics = proxy_metrics.EventStatistics()
        statistics.served[database] = 1
        usage = types.SimpleNamespace(share=1.0, admitted=1, refused=0)
        text = proxy_metrics.render(
            statistics,
            types.SimpleNamespace(groups={}, version=1),
            0,
            0,
            types.SimpleNamespace(links={}, lost=0),
            types.SimpleNamespace(served={}, links=()),
            types.SimpleNamespace(largest_usage=lambda: {workspace: usage}),
        ).decode()
        for line in text.removesuffix("\n").split("\n"):
            if line and not line.startswith("#"):
                self.assertRegex(line, rf"\A{_SAMPLE.pattern}\Z")
        self.assertEqual(text.count("hickorygate_served_total{"), 1)

    @hypothesis.seed(49)
    @hypothesis.given(strategies.binary(max_size=30))
    @hypothesis.example(b"\r\nREADY I -\r\n")
    def test_the_detail_of_an_error_is_one_line(self, data: bytes) -> None:
        detail = data.decode("utf-8", "surrogateescape")
        rejection = replies.Rejection(replies.RejectionReason.FAILED, detail)
        line = line_protocol.encode_error(rejection)
        self.assertTrue(line.endswith(b"\r\n"))
        self.assertIsNone(re.search(rb"[\r\n]", line[:-2]))
