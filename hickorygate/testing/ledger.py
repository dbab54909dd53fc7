"""Compares the outcomes that callers were told with the stored rows."""

from __future__ import annotations

from collections.abc import Mapping
import dataclasses

from hickorygate.core import errors

__all__ = ["WriteAudit", "WriteLedger"]


@dataclasses.dataclass(frozen=True, slots=True)
class WriteAudit:
    """Writes whose rows contradict the outcomes that their callers were told.

    Attributes:
      acknowledged: number of acknowledged writes.
      unknown: number of writes that were only reported as possibly run.
      lost: keys of acknowledged writes without a row.
      doubled: keys with more than one row.
      ran_though_refused: keys of writes that were refused as not run but have
        a row.
    """

    acknowledged: int
    unknown: int
    lost: frozenset[str]
    doubled: frozenset[str]
    ran_though_refused: frozenset[str]

    @property
    def clean(self) -> bool:
        """Whether no row contradicts a reported outcome."""
        return not (self.lost or self.doubled or self.ran_though_refused)


class WriteLedger:
    """Records the outcomes of all callers' writes by their unique keys."""

    __slots__ = ("_acknowledged", "_refused", "_unknown")

    def __init__(self) -> None:
        self._acknowledged: set[str] = set()
        self._refused: set[str] = set()
        self._unknown: set[str] = set()

    def __repr__(self) -> str:
        return f"WriteLedger(acknowledged={len(self._acknowledged)})"

    def acknowledge(self, key: str) -> None:
        """Records that a write was acknowledged."""
        self._acknowledged.add(key)

    def refuse(self, key: str, outcome: errors.Outcome) -> None:
        """Records that a write failed with an outcome."""
        if outcome is errors.Outcome.NOT_RUN:
            self._refused.add(key)
        else:
            self._unknown.add(key)

    def audit(self, rows: Mapping[str, int]) -> WriteAudit:
        """Compares the recorded outcomes with the rows in the tables.

        Args:
          rows: number of rows of each key.
        """
        settled = self._acknowledged | self._unknown
        return WriteAudit(
            acknowledged=len(self._acknowledged),
            unknown=len(self._unknown - self._acknowledged),
            lost=frozenset(self._acknowledged - rows.keys()),
            doubled=frozenset(k for k, count in rows.items() if count > 1),
            ran_though_refused=frozenset(
                (self._refused - settled) & rows.keys()
            ),
        )
