"""Tests the decisions on what callers' connections may hold."""

from __future__ import annotations

import datetime
import unittest

from hickorygate.core import counted_notices
from hickorygate.core import memory_budget
from hickorygate.core import progress_watch
from hickorygate.core import session_limits

_START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
_SECOND = datetime.timedelta(seconds=1)
_LIMIT = 1_000_000
_SMALL = memory_budget.SMALL


class LimitsTest(unittest.TestCase):
    """The limits follow from the instance."""

    def test_limits_of_an_instance(self) -> None:
        limits = memory_budget.BufferLimits.of_instance(200, 4_300)
        self.assertEqual(limits.total, 26_000_000)
        self.assertEqual(limits.connections, 3_075)

    def test_a_small_instance_keeps_the_least_limits(self) -> None:
        for memory in (None, 64):
            with self.subTest(memory):
                limits = memory_budget.BufferLimits.of_instance(memory, 100)
                self.assertEqual(limits.total, 8_388_608)
                self.assertEqual(limits.connections, 16)


class BudgetTest(unittest.TestCase):
    """Measures against an excess, in their order."""

    def setUp(self) -> None:
        limits = memory_budget.BufferLimits(_LIMIT, 10)
        self.budget = memory_budget.MemoryBudget(limits)

    def incomplete(
        self, size: int
    ) -> tuple[memory_budget.Holding, list[memory_budget.Effect]]:
        """Opens a connection that has sent a part of a message."""
        holding = self.budget.open()
        return holding, self.budget.hold(holding, size, 0, False)

    def test_a_queued_message_pauses_its_connection(self) -> None:
        holding = self.budget.open()
        effects = self.budget.hold(holding, _SMALL, 0, True)
        self.assertEqual(effects, [memory_budget.PauseReading(holding)])
        effects = self.budget.hold(holding, 10, 0, True)
        self.assertEqual(effects, [memory_budget.ResumeReading(holding)])

    def test_an_incomplete_message_pauses_nothing(self) -> None:
        _, effects = self.incomplete(_LIMIT - 1)
        self.assertEqual(effects, [])

    def test_above_the_total_large_holders_are_paused(self) -> None:
        first, _ = self.incomplete(600_000)
        second, effects = self.incomplete(400_000)
        third, _ = self.incomplete(100)
        self.assertEqual(effects, [memory_budget.PauseReading(second)])
        self.assertEqual(
            [first.paused, second.paused, third.paused], [False, True, False]
        )

    def test_one_incomplete_message_is_always_read(self) -> None:
        """Guards against incomplete messages that wait for each other."""
        first, _ = self.incomplete(600_000)
        second, _ = self.incomplete(500_000)
        effects = self.budget.close(first)
        self.assertEqual(effects, [memory_budget.ResumeReading(second)])

    def test_a_message_is_read_although_answers_fill_the_total(self) -> None:
        """Guards against a message that waits until answers are read."""
        reader = self.budget.open()
        self.budget.hold(reader, 0, 1_100_000, False)
        sender, effects = self.incomplete(100_000)
        self.assertEqual(effects, [])
        self.assertFalse(sender.paused)

    def test_the_next_message_is_read_when_one_is_complete(self) -> None:
        first, _ = self.incomplete(600_000)
        second, _ = self.incomplete(500_000)
        self.budget.hold(first, 700_000, 0, True)
        self.assertTrue(first.paused)
        self.assertFalse(second.paused)

    def test_far_above_the_total_all_are_paused_and_new_rejected(self) -> None:
        small, _ = self.incomplete(100)
        self.assertIsNone(self.budget.rejection())
        first, _ = self.incomplete(600_000)
        second, _ = self.incomplete(650_000)
        self.assertTrue(small.paused)
        self.assertTrue(first.paused)
        self.assertFalse(second.paused)
        self.assertIs(self.budget.rejection(), memory_budget.Cause.MEMORY)

    def test_too_many_connections_are_rejected(self) -> None:
        opened = [self.budget.open() for _ in range(10)]
        self.assertIs(self.budget.rejection(), memory_budget.Cause.CONNECTIONS)
        self.budget.close(opened[0])
        self.assertIsNone(self.budget.rejection())

    def test_the_connection_that_holds_most_is_closed(self) -> None:
        largest, _ = self.incomplete(800_000)
        _, effects = self.incomplete(700_000)
        self.assertIn(memory_budget.CloseConnection(largest), effects)
        self.assertEqual(self.budget.total, 700_000)
        self.assertEqual(self.budget.connections, 1)

    def test_a_connection_that_holds_little_is_never_closed(self) -> None:
        limits = memory_budget.BufferLimits(_LIMIT, 1_000)
        self.budget = memory_budget.MemoryBudget(limits)
        for _ in range(100):
            _, effects = self.incomplete(_SMALL - 1)
            for effect in effects:
                self.assertNotIsInstance(effect, memory_budget.CloseConnection)
        self.assertEqual(self.budget.connections, 100)

    def test_a_closed_connection_has_no_effect(self) -> None:
        holding, _ = self.incomplete(600_000)
        self.budget.close(holding)
        self.assertEqual(self.budget.hold(holding, 5, 0, True), [])
        self.assertTrue(self.budget.start(holding, 900_000, 900_000))
        self.assertEqual(self.budget.finish(holding), [])
        self.assertEqual(self.budget.total, 0)

    def test_stalled_senders_are_closed_one_after_the_other(self) -> None:
        self.incomplete(600_000)
        self.incomplete(500_000)
        self.assertEqual(self.budget.tick(_START), [])
        self.assertEqual(self.budget.tick(_START + _SECOND), [])
        effects = self.budget.tick(_START + 3 * _SECOND)
        self.assertIsInstance(effects[0], memory_budget.CloseConnection)
        self.assertEqual(self.budget.connections, 1)
        self.assertEqual(self.budget.tick(_START + 9 * _SECOND), [])

    def test_a_stalled_sender_is_closed_although_others_are_served(
        self,
    ) -> None:
        """Guards against one sender that keeps all large messages waiting."""
        stalled, _ = self.incomplete(600_000)
        other, _ = self.incomplete(500_000)
        busy = self.budget.open()
        for second in range(3):
            self.budget.hold(busy, 0, 200_000, False)
            self.budget.hold(busy, 0, 0, False)
            effects = self.budget.tick(_START + second * _SECOND)
        self.assertEqual(
            effects,
            [
                memory_budget.CloseConnection(stalled),
                memory_budget.ResumeReading(other),
            ],
        )

    def test_released_memory_counts_as_progress(self) -> None:
        first, second = self.budget.open(), self.budget.open()
        self.budget.hold(first, 0, 600_000, False)
        self.budget.hold(second, 0, 600_000, False)
        self.budget.tick(_START)
        self.budget.hold(second, 0, 500_000, False)
        self.assertEqual(self.budget.tick(_START + 3 * _SECOND), [])


class LargeMessageTest(unittest.TestCase):
    """Large messages run together only within the total."""

    def setUp(self) -> None:
        limits = memory_budget.BufferLimits(_LIMIT, 10)
        self.budget = memory_budget.MemoryBudget(limits)

    def test_one_runs_whatever_it_costs(self) -> None:
        holding = self.budget.open()
        self.assertTrue(self.budget.start(holding, 900_000, 5_000_000))
        self.assertEqual(self.budget.connections, 1)

    def test_the_next_starts_when_the_first_ends(self) -> None:
        first, second = self.budget.open(), self.budget.open()
        self.assertTrue(self.budget.start(first, 400_000, 800_000))
        self.assertFalse(self.budget.start(second, 400_000, 800_000))
        effects = self.budget.finish(first)
        self.assertIn(memory_budget.StartMessage(second), effects)
        self.assertEqual(self.budget.total, 800_000)

    def test_the_next_starts_when_the_first_is_closed(self) -> None:
        first, second = self.budget.open(), self.budget.open()
        self.budget.start(first, 400_000, 800_000)
        self.budget.start(second, 400_000, 800_000)
        effects = self.budget.close(first)
        self.assertIn(memory_budget.StartMessage(second), effects)

    def test_small_messages_never_wait(self) -> None:
        first, second = self.budget.open(), self.budget.open()
        self.budget.start(first, 900_000, 1_800_000)
        self.assertTrue(self.budget.start(second, 1_000, 2_000))

    def test_an_idle_budget_is_empty_again(self) -> None:
        holding = self.budget.open()
        self.budget.hold(holding, 900_000, 0, True)
        self.budget.start(holding, 900_000, 1_800_000)
        self.budget.hold(holding, 0, 70_000, True)
        self.budget.finish(holding)
        self.budget.hold(holding, 0, 0, False)
        self.assertEqual(self.budget.total, 0)
        self.assertFalse(holding.paused)


class ProgressTest(unittest.TestCase):
    """A transfer without progress is detected."""

    def setUp(self) -> None:
        self.watch = progress_watch.ProgressWatch(10 * _SECOND)

    def stalled(self, second: int, transfer: int, moved: int) -> bool:
        """Records the state of the transfer at a time."""
        now = _START + second * _SECOND
        return self.watch.is_stalled(now, transfer, moved)

    def test_few_bytes_are_no_progress(self) -> None:
        self.assertFalse(self.stalled(0, 1, 100))
        self.assertFalse(self.stalled(9, 1, 109))
        self.assertTrue(self.stalled(10, 1, 110))

    def test_many_bytes_are_progress(self) -> None:
        self.assertFalse(self.stalled(0, 1, 0))
        self.assertFalse(self.stalled(9, 1, 16_384))
        self.assertFalse(self.stalled(18, 1, 16_385))

    def test_another_transfer_starts_anew(self) -> None:
        self.assertFalse(self.stalled(0, 1, 0))
        self.assertFalse(self.stalled(9, 2, 0))
        self.assertFalse(self.stalled(18, -1, 0))
        self.assertFalse(self.stalled(40, 2, 0))


class SessionStateTest(unittest.TestCase):
    """Sessions keep a limited number of values and statements."""

    def setUp(self) -> None:
        self.budget = session_limits.SessionStateBudget(1_500_000)
        self.state = session_limits.SessionStateSize(self.budget)

    def put(self, name: str, text: str) -> bool:
        """Keeps a value in the session."""
        return self.state.put(session_limits.StateKind.VALUE, name, text)

    def test_the_number_of_values_is_limited(self) -> None:
        kept = [self.put(f"n{i}", "x") for i in range(257)]
        self.assertEqual(kept, [True] * 256 + [False])
        self.assertTrue(self.put("n3", "y"))

    def test_a_removed_statement_makes_room(self) -> None:
        kind = session_limits.StateKind.PREPARED
        for number in range(1_024):
            self.assertTrue(self.state.put(kind, f"n{number}", "READ x"))
        self.assertFalse(self.state.put(kind, "one more", "READ x"))
        self.state.remove(kind, "n7")
        self.state.remove(kind, "never kept")
        self.assertTrue(self.state.put(kind, "one more", "READ x"))

    def test_the_memory_of_a_session_is_limited(self) -> None:
        self.assertTrue(self.put("a", "x" * 900_000))
        self.assertFalse(self.put("b", "x" * 200_000))
        self.assertTrue(self.put("a", "x"))
        self.assertTrue(self.put("b", "x" * 200_000))

    def test_the_memory_of_all_sessions_is_limited(self) -> None:
        self.put("a", "x" * 900_000)
        other = session_limits.SessionStateSize(self.budget)
        value = session_limits.StateKind.VALUE
        self.assertFalse(other.put(value, "a", "x" * 900_000))
        self.assertTrue(other.put(value, "a", "x" * 1_000))
        self.state.clear()
        self.assertTrue(other.put(value, "a", "x" * 900_000))

    def test_an_ended_session_uses_nothing(self) -> None:
        self.put("a", "x" * 900)
        self.state.clear()
        self.assertEqual((self.budget.used, self.state.size), (0, 0))


class NoticesTest(unittest.TestCase):
    """One report for each kind of incident in 10 s, with a count."""

    def test_the_next_report_counts_the_incidents_between(self) -> None:
        notices = counted_notices.CountedNotices()
        seconds = (0, 1, 2, 11)
        counts = [notices.add("a", _START + s * _SECOND) for s in seconds]
        self.assertEqual(counts, [1, 0, 0, 3])
        self.assertEqual(notices.add("b", _START), 1)
        self.assertEqual(notices.totals, {"a": 4, "b": 1})


if __name__ == "__main__":
    unittest.main()
