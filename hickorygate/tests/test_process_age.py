"""Tests since when a database process is known to run."""

from __future__ import annotations

import datetime
import unittest
from unittest import mock

from hickorygate.testing import clock
from hickorygate.upstreams import pooled_connection as pooled_connections
from hickorygate.upstreams import process_age

_LONG_ENOUGH = clock.at(20)


def _opened(at: float) -> pooled_connections.PooledConnection:
    return pooled_connections.PooledConnection(
        mock.Mock(), mock.Mock(), clock.at(at)
    )


class ProcessAgeTest(unittest.TestCase):
    """Tests connections that were opened at several times."""

    def setUp(self) -> None:
        self.old, self.young = _opened(1), _opened(25)
        self.both = [self.young, self.old]

    def longest_running(self) -> pooled_connections.PooledConnection | None:
        return process_age.longest_running(self.both, _LONG_ENOUGH)

    def since(self) -> datetime.datetime:
        return self.young.running_since

    def test_an_old_connection_is_asked(self) -> None:
        self.assertIs(self.longest_running(), self.old)

    def test_the_first_is_asked_if_both_are_old_enough(self) -> None:
        self.both = [_opened(19), self.old]
        self.assertIs(self.longest_running(), self.both[0])

    def test_no_connection_proves_nothing(self) -> None:
        self.both = []
        self.assertIsNone(self.longest_running())

    def test_a_younger_connection_leads_to_the_same_process(self) -> None:
        process_age.note_answer(self.both, self.old, clock.at(26))
        self.assertEqual(self.since(), clock.at(1))

    def test_a_connection_opened_after_the_question_may_lead_elsewhere(
        self,
    ) -> None:
        # Guards against the loss of issue 46: the process that was asked may
        # have ended before the younger connection was opened.
        process_age.note_answer(self.both, self.old, clock.at(24))
        self.assertEqual(self.since(), clock.at(25))

    def test_an_answer_on_a_young_connection_proves_nothing_earlier(
        self,
    ) -> None:
        process_age.note_answer(self.both, self.young, clock.at(26))
        self.assertEqual(self.old.running_since, clock.at(1))
        self.assertEqual(self.since(), clock.at(25))
