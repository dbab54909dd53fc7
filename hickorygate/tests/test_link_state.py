"""Tests the judgement of links to serving proxies.

Guards against statements that wait for a proxy that is gone or hangs, and
against links that are given up because this process itself was suspended.
"""

from __future__ import annotations

import datetime
import unittest

from hickorygate.proxies import link_state

_START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
_ON_TIME = datetime.timedelta()
_GOOD = link_state.LinkQuality.GOOD
_SLOW = link_state.LinkQuality.SLOW
_UNUSABLE = link_state.LinkQuality.UNUSABLE


def _at(milliseconds: int) -> datetime.datetime:
    return _START + datetime.timedelta(milliseconds=milliseconds)


class LinkStateTest(unittest.TestCase):
    """A link that was opened at time 0."""

    def setUp(self) -> None:
        self.state = link_state.LinkState()
        self.state.opened(_at(0))

    def test_an_idle_link_is_pinged_each_second(self) -> None:
        self.assertFalse(self.state.ping_due(_at(990), None))
        self.assertTrue(self.state.ping_due(_at(1_000), None))
        self.state.ping_sent(1, _at(1_000))
        self.assertFalse(self.state.ping_due(_at(1_200), _at(0)))
        self.state.pong_received(1, _at(1_002))
        self.assertFalse(self.state.ping_due(_at(1_900), None))

    def test_a_late_reply_brings_the_ping_forward(self) -> None:
        self.assertFalse(self.state.ping_due(_at(140), _at(0)))
        self.assertTrue(self.state.ping_due(_at(150), _at(0)))
        self.state.heard(_at(120))
        self.assertFalse(self.state.ping_due(_at(200), _at(0)))
        self.assertTrue(self.state.ping_due(_at(270), _at(0)))

    def test_an_unanswered_ping_is_silence(self) -> None:
        self.state.ping_sent(1, _at(1_000))
        self.assertFalse(self.state.check(_at(1_350), _ON_TIME))
        self.assertTrue(self.state.check(_at(1_400), _ON_TIME))
        self.assertIs(self.state.quality(_at(1_400)), _UNUSABLE)
        self.assertFalse(self.state.check(_at(1_450), _ON_TIME))
        self.state.heard(_at(1_500))
        self.assertIs(self.state.quality(_at(1_500)), _SLOW)
        self.assertIs(self.state.quality(_at(3_400)), _GOOD)

    def test_replies_are_no_silence(self) -> None:
        self.state.ping_sent(1, _at(1_000))
        self.state.heard(_at(1_300))
        self.assertFalse(self.state.check(_at(1_600), _ON_TIME))
        self.assertTrue(self.state.check(_at(1_700), _ON_TIME))

    def test_own_suspension_is_no_silence(self) -> None:
        self.state.ping_sent(1, _at(1_000))
        late = datetime.timedelta(seconds=5)
        self.assertFalse(self.state.check(_at(6_050), late))
        self.assertFalse(self.state.check(_at(6_350), _ON_TIME))
        self.assertTrue(self.state.check(_at(6_400), _ON_TIME))

    def test_a_slow_ping_makes_other_candidates_better(self) -> None:
        self.state.ping_sent(1, _at(1_000))
        self.state.pong_received(1, _at(1_151))
        self.assertIs(self.state.quality(_at(1_151)), _SLOW)
        self.assertIs(self.state.quality(_at(3_151)), _GOOD)
        self.assertEqual(
            self.state.round_trip, datetime.timedelta(milliseconds=151)
        )

    def test_attempts_to_open_become_rarer(self) -> None:
        state = link_state.LinkState()
        self.assertTrue(state.may_open(_at(0)))
        now, pauses = 0, []
        for _ in range(7):
            state.opening_failed(_at(now))
            self.assertIs(state.quality(_at(now)), _UNUSABLE)
            pause = next(
                p for p in range(0, 5_000, 50) if state.may_open(_at(now + p))
            )
            pauses.append(pause)
            now += pause
        self.assertEqual(pauses, [100, 200, 400, 800, 1_600, 2_000, 2_000])
        state.opened(_at(now))
        self.assertIs(state.quality(_at(now)), _GOOD)

    def test_a_leaving_proxy_gets_nothing_until_it_is_back(self) -> None:
        self.state.announce_leaving()
        self.assertIs(self.state.quality(_at(10)), _UNUSABLE)
        self.state.closed(_at(1_000))
        self.assertIs(self.state.quality(_at(1_000)), _UNUSABLE)
        self.assertTrue(self.state.may_open(_at(1_100)))
        self.state.opened(_at(1_100))
        self.assertIs(self.state.quality(_at(1_100)), _GOOD)


if __name__ == "__main__":
    unittest.main()
