"""Tests of how a proxy yields slots to the other proxies of a database."""

from __future__ import annotations

import datetime
import random
import unittest

from hickorygate.testing import clock
from hickorygate.upstreams import slot_events
from hickorygate.upstreams import slot_settings
from hickorygate.upstreams import slots

_MILLISECOND = datetime.timedelta(milliseconds=1)


class SlotYieldTest(unittest.TestCase):
    """The slot allocator of one proxy whose requests arrive at a steady pace.

    Guards against such requests keeping a slot from the other proxies
    indefinitely, as they do if a slot is only yielded while a request waits.
    """

    def setUp(self) -> None:
        self.clock = clock.FakeClock()
        self.allocator = slots.SlotAllocator(
            slots=3,
            share=slots.SharedConnections(limit=10, proxies=5),
            settings=slot_settings.SlotSettings(),
            generator=random.Random(1),
        )
        self.handle(slot_events.Demand(waiting=1, urgent=False))
        self.handle(slot_events.Opened(0))
        self.handle(slot_events.SlotGranted(0, 0))

    def handle(
        self, event: slot_events.Event
    ) -> tuple[slot_events.Effect, ...]:
        return self.allocator.handle(event, self.clock.now())

    def run_statement(self) -> tuple[slot_events.Effect, ...]:
        """Runs one statement, after which no request waits in this proxy."""
        self.handle(slot_events.Demand(waiting=1, urgent=False))
        self.clock.advance(5 * _MILLISECOND)
        self.handle(slot_events.Demand(waiting=0, urgent=False))
        return self.handle(slot_events.ConnectionReturned(0))

    def test_slot_is_yielded_even_if_no_request_waits(self) -> None:
        self.clock.advance(25 * _MILLISECOND)
        effects = self.run_statement()
        self.assertIn(slot_events.YieldSlot(0, 0), effects)

    def test_slot_is_kept_within_its_hold_time(self) -> None:
        effects = self.run_statement()
        self.assertNotIn(slot_events.YieldSlot(0, 0), effects)
        self.assertEqual(self.allocator.held_slots, 1)

    def test_slot_without_other_waiters_is_kept(self) -> None:
        self.clock.advance(25 * _MILLISECOND)
        self.run_statement()
        self.handle(slot_events.SlotGranted(0, 0))
        self.assertEqual(self.allocator.held_slots, 1)

    def test_slot_that_another_proxy_acquired_is_given_up(self) -> None:
        self.clock.advance(25 * _MILLISECOND)
        self.run_statement()
        self.handle(slot_events.SlotUnavailable(0))
        self.assertEqual(self.allocator.held_slots, 0)
