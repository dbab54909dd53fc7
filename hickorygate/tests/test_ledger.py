"""Tests that the audit finds each kind of contradicted outcome."""

from __future__ import annotations

import unittest

from hickorygate.core import errors
from hickorygate.testing import ledger


class LedgerTest(unittest.TestCase):
    """Comparison of reported outcomes with stored rows."""

    def setUp(self) -> None:
        self.ledger = ledger.WriteLedger()

    def test_consistent_outcomes_are_clean(self) -> None:
        self.ledger.acknowledge("a")
        self.ledger.refuse("b", errors.Outcome.NOT_RUN)
        self.ledger.refuse("c", errors.Outcome.UNKNOWN)
        self.ledger.refuse("d", errors.Outcome.UNKNOWN)
        self.assertTrue(self.ledger.audit({"a": 1, "c": 1}).clean)

    def test_refused_write_that_was_repeated_may_have_run(self) -> None:
        self.ledger.refuse("a", errors.Outcome.NOT_RUN)
        self.ledger.acknowledge("a")
        self.assertTrue(self.ledger.audit({"a": 1}).clean)

    def test_lost_doubled_and_ran_though_refused_are_found(self) -> None:
        self.ledger.acknowledge("lost")
        self.ledger.acknowledge("twice")
        self.ledger.refuse("ran", errors.Outcome.NOT_RUN)
        audit = self.ledger.audit({"twice": 2, "ran": 1})
        self.assertEqual(audit.lost, {"lost"})
        self.assertEqual(audit.doubled, {"twice"})
        self.assertEqual(audit.ran_though_refused, {"ran"})
        self.assertFalse(audit.clean)
