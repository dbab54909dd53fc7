"""Decides how much state callers' sessions may keep; does no I/O."""

from __future__ import annotations

import collections
import enum
import sys

__all__ = ["SessionStateBudget", "SessionStateSize", "StateKind"]


class StateKind(enum.Enum):
    """A kind of session state; the value is its largest number of entries."""

    VALUE = 256
    PREPARED = 1_024


_MOST_BYTES = 1_048_576
"""Memory of the state of one session, in bytes."""

_SMALL = 4_096
"""Memory that a session may use, in bytes, whatever other sessions use."""

_DEFAULT_TOTAL = 16 * _MOST_BYTES


class SessionStateBudget:
    """The memory of the state of all sessions of a process.

    Args:
      total: number of bytes of all sessions together.
    """

    __slots__ = ("_total", "_used")

    def __init__(self, total: int = _DEFAULT_TOTAL) -> None:
        self._total = total
        self._used = 0

    @property
    def used(self) -> int:
        """Number of bytes that the sessions use."""
        return self._used

    def __repr__(self) -> str:
        return f"SessionStateBudget({self._used} of {self._total} bytes)"

    def allows(self, size: int) -> bool:
        """Returns whether that many more bytes may be used."""
        return self._used + size <= self._total

    def add(self, size: int) -> None:
        """Records used bytes; a negative number is freed."""
        self._used += size


class SessionStateSize:
    """The memory of the state of one session.

    Args:
      budget: memory of all sessions.
    """

    __slots__ = ("_budget", "_counts", "_size", "_sizes")

    def __init__(self, budget: SessionStateBudget) -> None:
        self._budget = budget
        self._size = 0
        self._sizes: dict[tuple[StateKind, str], int] = {}
        self._counts: collections.Counter[StateKind] = collections.Counter()

    @property
    def size(self) -> int:
        """Number of bytes that the state uses."""
        return self._size

    def __repr__(self) -> str:
        return f"SessionStateSize({self._size} bytes)"

    def put(self, kind: StateKind, name: str, text: str) -> bool:
        """Records a new or replaced entry.

        Args:
          kind: kind of the entry; names are unique within a kind.
          name: name of the entry.
          text: content of the entry.

        Returns:
          Whether the entry may be kept; otherwise nothing is recorded.
        """
        former = self._sizes.get((kind, name), 0)
        if not former and self._counts[kind] >= kind.value:
            return False
        size = sys.getsizeof(name) + sys.getsizeof(text)
        if size > former and not self._may_grow(size - former):
            return False
        self._counts[kind] += not former
        self._sizes[kind, name] = size
        self._add(size - former)
        return True

    def remove(self, kind: StateKind, name: str) -> None:
        """Records that an entry was removed, if there was one."""
        former = self._sizes.pop((kind, name), 0)
        self._counts[kind] -= bool(former)
        self._add(-former)

    def clear(self) -> None:
        """Records that the session has ended."""
        self._sizes.clear()
        self._counts.clear()
        self._add(-self._size)

    def _may_grow(self, growth: int) -> bool:
        size = self._size + growth
        return size <= _SMALL or (
            size <= _MOST_BYTES and self._budget.allows(growth)
        )

    def _add(self, size: int) -> None:
        self._size += size
        self._budget.add(size)
