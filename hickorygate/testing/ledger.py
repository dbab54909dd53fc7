"""What callers were told of their writes, against what the tables hold."""

from __future__ import annotations

from collections.abc import Mapping
import dataclasses

from hickorygate.core import errors

__all__ = ["Audit", "Ledger"]


@dataclasses.dataclass(frozen=True, slots=True)
class Audit:
    """Writes whose rows contradict what their callers were told.

    Attributes:
      acknowledged: writes that were acknowledged.
      unknown: writes whose callers were told that they may have run.
      lost: acknowledged, and no row is there.
      doubled: more than one row is there.
      ran_though_refused: refused as not run, and a row is there.
    """

    acknowledged: int
    unknown: int
    lost: frozenset[str]
    doubled: frozenset[str]
    ran_though_refused: frozenset[str]

    @property
    def clean(self) -> bool:
        """Whether every promise was kept."""
        return not (self.lost or self.doubled or self.ran_though_refused)


class Ledger:
    """The writes of all callers, each with a key of its own."""

    __slots__ = ("_acknowledged", "_refused", "_unknown")

    def __init__(self) -> None:
        self._acknowledged: set[str] = set()
        self._refused: set[str] = set()
        self._unknown: set[str] = set()

    def __repr__(self) -> str:
        return f"Ledger(acknowledged={len(self._acknowledged)})"

    def acknowledge(self, key: str) -> None:
        """The caller was told that the write is done."""
        self._acknowledged.add(key)

    def refuse(self, key: str, outcome: errors.Outcome) -> None:
        """The caller was told of a failure."""
        if outcome is errors.Outcome.NOT_RUN:
            self._refused.add(key)
        else:
            self._unknown.add(key)

    def audit(self, rows: Mapping[str, int]) -> Audit:
        """Compares with what the tables hold.

        Args:
          rows: how many rows there are of each key.
        """
        settled = self._acknowledged | self._unknown
        return Audit(
            acknowledged=len(self._acknowledged),
            unknown=len(self._unknown - self._acknowledged),
            lost=frozenset(self._acknowledged - rows.keys()),
            doubled=frozenset(k for k, count in rows.items() if count > 1),
            ran_though_refused=frozenset(
                (self._refused - settled) & rows.keys()
            ),
        )
