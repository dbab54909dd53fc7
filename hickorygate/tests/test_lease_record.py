"""Tests the promotion lease with two processes and one record."""

from __future__ import annotations

import unittest

from hickorygate.testing import clock
from hickorygate.upstreams import lease_record
from hickorygate.upstreams import takeover_timing


class LeaseStateTest(unittest.TestCase):
    """Tests that fencing tokens increase and expired leases permit no call."""

    def setUp(self) -> None:
        self.one = lease_record.LeaseState("one", "x")
        self.two = lease_record.LeaseState("two", "y")
        self.stored: lease_record.StoredLeaseRecord | None = None
        self.era = 0

    def reading(self) -> lease_record.LeaseReading:
        return lease_record.LeaseReading(self.stored, self.era)

    def claim(
        self, lease_state: lease_record.LeaseState, at: float
    ) -> lease_record.Action:
        lease_state.record_read(self.reading(), clock.at(at))
        action = lease_state.decide(clock.at(at))
        if isinstance(action, lease_record.Write):
            self.store(lease_state, action, at)
        return action

    def store(
        self,
        lease_state: lease_record.LeaseState,
        write: lease_record.Write,
        at: float,
    ) -> None:
        self.apply(write)
        lease_state.record_write(self.reading(), clock.at(at))

    def apply(self, write: lease_record.Write) -> bool:
        """Stores a record as the platform does.

        An update that does not change the content creates no new revision.
        """
        found = self.stored.revision if self.stored else None
        if write.revision != found:
            return False
        if self.stored is None or self.stored.record != write.record:
            self.stored = lease_record.StoredLeaseRecord(
                write.record, (found or 0) + 1
            )
        return True

    def test_the_first_one_creates_the_record(self) -> None:
        action = self.claim(self.one, 0)
        self.assertEqual(action.revision, None)
        self.assertEqual(action.record.number, 1)
        self.assertTrue(self.one.may_call(clock.at(1)))

    def test_no_call_starts_shortly_before_expiry(self) -> None:
        self.claim(self.one, 0)
        self.assertTrue(self.one.may_call(clock.at(2.4)))
        self.assertFalse(self.one.may_call(clock.at(2.6)))

    def test_another_process_waits_longer_than_the_lease(self) -> None:
        self.claim(self.one, 0)
        self.assertIsInstance(self.claim(self.two, 0.1), lease_record.Wait)
        self.assertIsInstance(self.claim(self.two, 4.5), lease_record.Wait)
        action = self.claim(self.two, 4.7)
        self.assertEqual(action.record.number, 2)
        self.assertFalse(self.one.may_call(clock.at(4.7)))

    def test_no_order_takes_effect_under_the_next_lease(self) -> None:
        self.claim(self.one, 0)
        last_order = max(
            at / 100
            for at in range(400)
            if self.one.may_order(clock.at(at / 100))
        )
        effect = last_order + takeover_timing.EFFECT_SPAN.total_seconds()
        self.claim(self.two, 0)
        self.assertIsInstance(self.claim(self.two, effect), lease_record.Wait)

    def test_a_renewed_lease_keeps_its_tenure(self) -> None:
        self.claim(self.one, 0)
        tenure = self.one.tenure
        self.claim(self.one, 5)
        self.assertEqual(self.one.tenure, tenure)

    def test_the_tenure_changes_after_another_holder(self) -> None:
        self.claim(self.one, 0)
        tenure = self.one.tenure
        self.claim(self.two, 0)
        self.claim(self.two, 5)
        self.store(self.two, self.two.release(), 5)
        self.claim(self.one, 5)
        self.assertTrue(self.one.may_order(clock.at(5)))
        self.assertNotEqual(self.one.tenure, tenure)

    def test_the_tenure_outlasts_a_restore_at_which_the_holder_goes_on(
        self,
    ) -> None:
        self.claim(self.one, 0)
        tenure = self.one.tenure
        self.era, self.stored = 1, None
        self.claim(self.one, 0.5)
        self.assertTrue(self.one.may_order(clock.at(0.5)))
        self.assertEqual(self.one.tenure, tenure)

    def test_a_restore_some_time_ago_begins_another_tenure(self) -> None:
        self.claim(self.one, 0)
        tenure = self.one.tenure
        self.era, self.stored = 1, None
        self.claim(self.one, 5)
        self.claim(self.one, 8)
        self.assertTrue(self.one.may_order(clock.at(8)))
        self.assertNotEqual(self.one.tenure, tenure)

    def test_a_renewal_restarts_the_wait(self) -> None:
        self.claim(self.one, 0)
        self.claim(self.two, 0.1)
        renewed = self.claim(self.one, 2)
        self.assertEqual(renewed.record.number, 1)
        self.assertIsInstance(self.claim(self.two, 4.7), lease_record.Wait)

    def test_a_late_release_does_not_end_a_renewed_lease(self) -> None:
        self.claim(self.one, 0)
        late = self.one.release()
        self.claim(self.one, 1)
        self.assertFalse(self.apply(late))
        self.assertIsInstance(self.claim(self.two, 1.1), lease_record.Wait)

    def test_a_released_lease_is_acquired_at_once_with_a_new_number(
        self,
    ) -> None:
        self.claim(self.one, 0)
        self.store(self.one, self.one.release(), 1)
        self.assertFalse(self.one.may_call(clock.at(1)))
        self.assertEqual(self.claim(self.two, 1.1).record.number, 2)

    def test_a_new_process_of_the_holder_gets_a_new_number(self) -> None:
        self.claim(self.one, 0)
        again = lease_record.LeaseState("one", "z")
        self.claim(again, 0.1)
        self.assertEqual(self.claim(again, 4.7).record.number, 2)

    def test_two_processes_of_one_name_never_hold_the_lease_together(
        self,
    ) -> None:
        # A replacement that starts under the name of an instance that still
        # runs, for example one that was thought to be lost.
        self.claim(self.one, 0)
        replacement = lease_record.LeaseState("one", "z")
        for tenths in range(1, 48):
            at = tenths / 10
            self.claim(replacement, at)
            both = (
                self.one.may_call(clock.at(at)),
                replacement.may_call(clock.at(at)),
            )
            self.assertNotEqual(both, (True, True), at)
        self.assertTrue(replacement.may_call(clock.at(4.7)))

    def test_a_record_of_another_process_grants_no_lease(self) -> None:
        self.claim(self.one, 0)
        self.two.record_write(self.reading(), clock.at(0))
        self.assertFalse(self.two.may_call(clock.at(0)))
        self.assertIsNone(self.two.release())
