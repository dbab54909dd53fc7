"""Which sheet is in force, when the store is asked, and the call budget."""

from __future__ import annotations

import datetime
import random
import unittest

from hickorygate.core import document
from hickorygate.core import errors
from hickorygate.store import failures
from hickorygate.store import sheet_state
from hickorygate.store import token_bucket
from hickorygate.store import watch
from hickorygate.testing import sheets

_NOW = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
_SECOND = datetime.timedelta(seconds=1)
_RELAY = watch.RelayRole(relay=True, store_recently_reached=True)
_LISTENER = watch.RelayRole(relay=False, store_recently_reached=True)


def _offer(
    configuration: sheet_state.SheetState, version: int, text: str = ""
) -> tuple[sheet_state.Effect, ...]:
    return configuration.offer(
        document.ReceivedDocument(version, text or sheets.text(), "test")
    )


class SheetStateTest(unittest.TestCase):
    """Only a newer and valid sheet replaces the one in force."""

    def setUp(self) -> None:
        self.configuration = sheet_state.SheetState()

    def test_newer_sheet_is_applied(self) -> None:
        (effect,) = _offer(self.configuration, 3)
        self.assertEqual(effect.sheet.version, 3)
        self.assertTrue(self.configuration.ready)

    def test_older_or_equal_version_is_ignored(self) -> None:
        _offer(self.configuration, 3)
        for version in (1, 2, 3):
            self.assertEqual(_offer(self.configuration, version), ())
        self.assertEqual(self.configuration.version, 3)

    def test_invalid_sheet_leaves_the_old_one_in_force(self) -> None:
        _offer(self.configuration, 3)
        (effect,) = _offer(self.configuration, 4, "format: 9")
        self.assertIsInstance(effect.failure, errors.FileInvalid)
        self.assertEqual(_offer(self.configuration, 4, "format: 9"), ())
        self.assertEqual(self.configuration.version, 3)
        self.assertEqual(self.configuration.examined_version, 4)

    def test_store_with_an_older_sheet_is_reported_once(self) -> None:
        _offer(self.configuration, 3)
        reset = sheet_state.ReportOutdatedStore(1, 3)
        self.assertEqual(self.configuration.compare_store_version(1), (reset,))
        self.assertEqual(self.configuration.compare_store_version(1), ())
        self.assertEqual(self.configuration.compare_store_version(3), ())


class WatchPlanTest(unittest.TestCase):
    """Relays watch the store; other proxies read at long intervals."""

    def setUp(self) -> None:
        self.configuration = sheet_state.SheetState()
        self.plan = watch.WatchPlan(self.configuration, random.Random(1))

    def test_relay_watches_from_the_version_in_force(self) -> None:
        _offer(self.configuration, 3)
        step = self.plan.step(_RELAY, _NOW)
        self.assertEqual(step.after, 3)
        self.assertIsInstance(step, watch.Watch)

    def test_rejected_version_is_not_fetched_again(self) -> None:
        _offer(self.configuration, 4, "format: 9")
        self.assertEqual(self.plan.step(_RELAY, _NOW).after, 4)

    def test_consecutive_failures_back_off_up_to_a_limit(self) -> None:
        waits = []
        now = _NOW
        for _ in range(20):
            failure = errors.StoreUnavailable("down", False)
            self.plan.handle(watch.Failed(failure), now)
            began = now
            while isinstance(self.plan.step(_RELAY, now), watch.Pause):
                now += _SECOND / 100
            waits.append(now - began)
        self.assertLess(waits[0], _SECOND)
        self.assertGreater(waits[-1], _SECOND)
        self.assertLess(max(waits), 4 * _SECOND)

    def test_next_call_waits_for_the_call_budget(self) -> None:
        failure = failures.StoreRateLimited(9 * _SECOND)
        self.plan.handle(watch.Failed(failure), _NOW)
        later = _NOW + 8 * _SECOND
        self.assertIsInstance(self.plan.step(_RELAY, later), watch.Pause)

    def test_store_without_a_sheet_is_asked_again_after_a_pause(self) -> None:
        self.plan.handle(watch.Answered(0), _NOW)
        self.assertIsInstance(self.plan.step(_RELAY, _NOW), watch.Pause)

    def test_listener_reads_more_often_without_a_relay(self) -> None:
        _offer(self.configuration, 3)
        self.assertIsInstance(self.plan.step(_LISTENER, _NOW), watch.Read)
        later = _NOW + 10 * _SECOND
        self.assertIsInstance(self.plan.step(_LISTENER, later), watch.Pause)
        lone = watch.RelayRole(relay=False, store_recently_reached=False)
        self.assertIsInstance(self.plan.step(lone, later), watch.Read)


class TokenBucketTest(unittest.TestCase):
    """A burst is allowed, then the sustained rate."""

    def test_rate_and_burst(self) -> None:
        calls = token_bucket.TokenBucket(rate=2, burst=3)
        for _ in range(3):
            self.assertFalse(calls.try_take(_NOW))
        self.assertEqual(calls.try_take(_NOW), _SECOND / 2)
        self.assertFalse(calls.try_take(_NOW + _SECOND / 2))
        self.assertTrue(calls.try_take(_NOW + _SECOND / 2))
