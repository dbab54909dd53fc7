"""Tests when a write counts as durable, without sockets."""

from __future__ import annotations

import datetime
import unittest

from hickorygate.core import position
from hickorygate.upstreams import write_confirmation

_REPLICAS = ("b", "c")


def _status(name: str, **changes: object) -> position.DatabaseStatus:
    values = {
        "database": name,
        "role": position.Role.REPLICA,
        "term": 1,
        "base": 0,
        "log_term": 1,
        "received": 7,
        "applied": 7,
        "fenced": 1,
        "primary_silence": datetime.timedelta(),
        "boot": "x",
    }
    return position.DatabaseStatus(**(values | changes))


def _primary(**changes: object) -> position.DatabaseStatus:
    return _status("a", role=position.Role.PRIMARY, **changes)


class WriteConfirmationTest(unittest.TestCase):
    """Group commit, and which answers confirm a write."""

    def setUp(self) -> None:
        self.confirmation = write_confirmation.WriteConfirmation(
            1, _REPLICAS, majority=2
        )

    def handle(
        self, event: write_confirmation.Event
    ) -> list[write_confirmation.Effect]:
        return write_confirmation.handle(event, self.confirmation)

    def read(self, tickets: int) -> list[write_confirmation.Effect]:
        for ticket in range(tickets):
            self.handle(write_confirmation.WriteRan(ticket))
        return self.handle(write_confirmation.PositionRead(_primary()))

    def test_running_reading_does_not_cover_later_writes(self) -> None:
        self.assertEqual(
            self.handle(write_confirmation.WriteRan(0)),
            [write_confirmation.ReadPosition()],
        )
        self.assertEqual(self.handle(write_confirmation.WriteRan(1)), [])
        effects = self.handle(write_confirmation.PositionRead(_primary()))
        self.assertIn(write_confirmation.ReadPosition(), effects)
        replica_answer = write_confirmation.ReplicaWaitEnded("b", _status("b"))
        self.assertEqual(
            self.handle(replica_answer),
            [write_confirmation.Confirmed(0, position.Position(1, 7))],
        )

    def test_one_wait_per_replica_covers_all_queued_writes(self) -> None:
        self.read(1)
        for ticket in range(1, 9):
            self.handle(write_confirmation.WriteRan(ticket))
        self.handle(write_confirmation.PositionRead(_primary(received=9)))
        self.handle(write_confirmation.PositionRead(_primary(received=15)))
        answer = write_confirmation.ReplicaWaitEnded(
            "b", _status("b", received=15)
        )
        settled = [
            effect.ticket
            for effect in self.handle(answer)
            if isinstance(effect, write_confirmation.Confirmed)
        ]
        self.assertEqual(settled, list(range(9)))
        self.assertTrue(self.confirmation.idle)

    def test_replicas_of_another_term_confirm_nothing(self) -> None:
        self.read(1)
        newer = _status("b", term=2, log_term=2, fenced=2, received=99)
        self.assertEqual(
            self.handle(write_confirmation.ReplicaWaitEnded("b", newer)),
            [],
        )
        self.assertEqual(
            self.handle(write_confirmation.ReplicaWaitEnded("c", newer)),
            [write_confirmation.Unconfirmed(0)],
        )

    def test_primary_of_another_term_leaves_write_unconfirmed(self) -> None:
        self.handle(write_confirmation.WriteRan(0))
        status = _primary(term=2, log_term=2)
        self.assertEqual(
            self.handle(write_confirmation.PositionRead(status)),
            [write_confirmation.Unconfirmed(0)],
        )

    def test_replica_fenced_after_holding_the_write_still_counts(self) -> None:
        self.read(1)
        fenced = _status("b", fenced=2)
        self.assertEqual(
            self.handle(write_confirmation.ReplicaWaitEnded("b", fenced)),
            [write_confirmation.Confirmed(0, position.Position(1, 7))],
        )

    def test_lost_answer_is_requested_again(self) -> None:
        self.handle(write_confirmation.WriteRan(0))
        self.assertEqual(
            self.handle(write_confirmation.PositionRead(None)),
            [write_confirmation.ReadPosition()],
        )
        self.handle(write_confirmation.PositionRead(_primary()))
        self.assertEqual(
            self.handle(write_confirmation.ReplicaWaitEnded("b", None)),
            [write_confirmation.WaitForReplica("b", position.Position(1, 7))],
        )
