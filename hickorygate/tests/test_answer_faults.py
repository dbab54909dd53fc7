"""Tests that discarded answers are counted under a small set of reasons."""

from __future__ import annotations

import types
import unittest

from hickorygate.core import clock as clocks
from hickorygate.core import events
from hickorygate.core import platform_events
from hickorygate.operators import answer_faults
from hickorygate.operators import proxy_metrics
from hickorygate.platform import database
from hickorygate.platform import line_protocol
from hickorygate.upstreams import member as members

_MEMBER = members.Member("a", 1, "s", "127.0.0.1", 1, "a", 2, False, True)
_NAME = "hickorygate_answers_discarded_total"


class _Transport:
    """Accepts what a connection does with its transport."""

    def abort(self) -> None:
        """Accepts the end of the connection."""

    def get_extra_info(self, name: str) -> object:
        """Returns a socket without options."""
        return self

    def setsockopt(self, *option: object) -> None:
        """Accepts an option."""


class AnswerFaultsTest(unittest.TestCase):
    """What a database sends, and the reason that the metrics show."""

    def discard(self, data: bytes) -> str:
        """Returns the metrics after a database has sent something."""
        journal = events.Timeline(
            "p", events.HybridLogicalClock(clocks.SystemClock())
        )
        connection = database.DatabaseConnection(_MEMBER, journal)
        connection.connection_made(_Transport())
        connection.data_received(data)
        statistics = proxy_metrics.EventStatistics()
        for recorded in journal.events:
            statistics.record(recorded.event)
        return proxy_metrics.render(
            statistics,
            types.SimpleNamespace(groups={}, version=1),
            0,
            0,
            types.SimpleNamespace(links={}, lost=0),
            types.SimpleNamespace(served={}, links=()),
            types.SimpleNamespace(largest_usage=dict),
        ).decode()

    def test_reasons_of_a_connection_have_labels(self) -> None:
        # Guards against a reworded reason that is counted as "other".
        cases = {
            b"COMPLETE 1.2\r\nREADY I 3.1\r\n": "order",
            b"HTTP/1.1 400 \xff\x00\r\n": "malformed",
            b"READY X 3.1\r\n": "malformed",
            b"x" * (line_protocol.MESSAGE_LIMIT + 1): "length",
        }
        for data, reason in cases.items():
            with self.subTest(data[:20]):
                self.assertIn(
                    f'{_NAME}{{reason="{reason}"}} 1', self.discard(data)
                )

    def test_no_text_of_a_database_becomes_a_label(self) -> None:
        # Guards against one series for each text that a database sends.
        statistics = proxy_metrics.EventStatistics()
        for text in ("x", "an answer to nothing", "a in answer to Begin"):
            statistics.record(
                platform_events.AnswerDiscarded(
                    "a", f"broken answer: unknown word {text.encode()!r}", ""
                )
            )
            statistics.record(
                platform_events.AnswerDiscarded("a", f"{text!r} came", "")
            )
        self.assertEqual(
            statistics.discarded,
            {
                answer_faults.AnswerFault.MALFORMED: 3,
                answer_faults.AnswerFault.OTHER: 3,
            },
        )
