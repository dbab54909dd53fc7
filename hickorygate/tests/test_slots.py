"""Tests of how a proxy yields slots to the other proxies of a database."""

from __future__ import annotations

import datetime
import random
import unittest

from hickorygate.testing import clock as clocks
from hickorygate.upstreams import slot_events as events
from hickorygate.upstreams import slots

_MILLISECOND = datetime.timedelta(milliseconds=1)


class SlotYieldTest(unittest.TestCase):
    """The slot keeper of one proxy whose requests arrive at a steady pace.

    Guards against such requests keeping a slot from the other proxies
    indefinitely, as they do if a slot is only yielded while a request waits.
    """

    def setUp(self) -> None:
        self.clock = clocks.FakeClock()
        self.keeper = slots.SlotKeeper(
            slots=3,
            share=slots.Share(limit=10, proxies=5),
            settings=slots.SlotSettings(),
            generator=random.Random(1),
        )
        self.handle(events.Demand(waiting=1, pressing=False))
        self.handle(events.Opened(0))
        self.handle(events.Granted(0, 0))

    def handle(self, event: events.Event) -> tuple[events.Effect, ...]:
        return self.keeper.handle(event, self.clock.now())

    def run_statement(self) -> tuple[events.Effect, ...]:
        """Runs one statement, after which no request waits in this proxy."""
        self.handle(events.Demand(waiting=1, pressing=False))
        self.clock.advance(5 * _MILLISECOND)
        self.handle(events.Demand(waiting=0, pressing=False))
        return self.handle(events.Returned(0))

    def test_slot_is_yielded_even_if_no_request_waits(self) -> None:
        self.clock.advance(25 * _MILLISECOND)
        effects = self.run_statement()
        self.assertIn(events.Yield(0, 0), effects)

    def test_slot_is_kept_within_its_hold_time(self) -> None:
        effects = self.run_statement()
        self.assertNotIn(events.Yield(0, 0), effects)
        self.assertEqual(self.keeper.held, 1)

    def test_slot_without_other_waiters_is_kept(self) -> None:
        self.clock.advance(25 * _MILLISECOND)
        self.run_statement()
        self.handle(events.Granted(0, 0))
        self.assertEqual(self.keeper.held, 1)

    def test_slot_that_another_proxy_acquired_is_given_up(self) -> None:
        self.clock.advance(25 * _MILLISECOND)
        self.run_statement()
        self.handle(events.NotFree(0))
        self.assertEqual(self.keeper.held, 0)
