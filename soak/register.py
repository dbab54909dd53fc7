"""What callers were told, against what was promised: no I/O.

Each item has one writer, whose versions rise; so what a read returns tells
which commits it saw.
"""

from __future__ import annotations

import bisect
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import enum

from hickorygate.testing import line_log

__all__ = ["Promise", "ReadSeen", "Register", "Violation", "WriteSent"]

PROMISES = frozenset(
    {"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "CONNLIMIT"}
)
"""Codes that say that nothing of an attempt is kept."""


class Promise(enum.Enum):
    """What must hold."""

    FRESH = "no read misses a commit that it must see"
    KEPT = "no acknowledged commit is lost"
    ONCE = "no write takes effect twice"
    REFUSED = "what was refused as not run did not run"
    WHOLE = "a transaction takes effect whole or not at all"
    OWN = "each answer is that to its own request"
    ONE = "numbers of promoters never go back and have one holder each"
    FORWARD = "a configuration in force is never followed by an older one"
    LEAVING = "a database that is leaving gets no new work"
    GRACEFUL = "a process ends within its grace period"
    SERVING = "all serve again once the faults are over"


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A promise that was broken."""

    promise: Promise
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class WriteSent:
    """A write or a transaction that a caller sent.

    Attributes:
      request: the id under which it commits.
      versions: the version that it gives to each item.
    """

    request: str
    versions: Mapping[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadSeen:
    """A read that was answered.

    Attributes:
      request: its id.
      item: what was read.
      version: what came back; 0 for nothing.
      sent: the loop's time when it, or its transaction, was sent.
      staleness: seconds by which it may be behind.
      own: the newest version that its session had acknowledged.
    """

    request: str
    item: str
    version: int
    sent: float
    staleness: float
    own: int


class Register:
    """All that the callers of a run sent and were told."""

    def __init__(self) -> None:
        self._sent: dict[str, WriteSent] = {}
        self._acknowledged: dict[str, tuple[str, ...]] = {}
        self._refused: dict[str, str] = {}
        self._versions: dict[str, list[tuple[float, int]]] = {}
        self._violations: list[Violation] = []

    @property
    def violations(self) -> tuple[Violation, ...]:
        """What was broken so far."""
        return tuple(self._violations)

    @property
    def acknowledged(self) -> int:
        """Commits that callers were told of."""
        return len(self._acknowledged)

    def __repr__(self) -> str:
        return f"Register(acknowledged={self.acknowledged})"

    def break_(self, promise: Promise, detail: str) -> None:
        """Takes in that a promise was broken."""
        self._violations.append(Violation(promise, detail))

    def send(self, write: WriteSent) -> None:
        """Takes in a write before it is sent."""
        self._sent[write.request] = write

    def acknowledge(self, write: WriteSent, now: float) -> None:
        """Takes in that a caller was told that a write is kept."""
        self._acknowledged[write.request] = tuple(write.versions)
        for item, version in write.versions.items():
            self._versions.setdefault(item, []).append((now, version))

    def refuse(self, write: WriteSent, code: str) -> None:
        """Takes in that a caller was told that a write failed."""
        if code in PROMISES:
            self._refused[write.request] = code

    def read(self, seen: ReadSeen) -> None:
        """Compares what a read returned with what it must see."""
        newest = self.newest(seen.item, seen.sent - seen.staleness)
        needed = max(newest, seen.own)
        if seen.version < needed:
            self.break_(
                Promise.FRESH,
                f"{seen.request} read version {seen.version} of {seen.item}, "
                f"not {needed} or newer",
            )

    def newest(self, item: str, before: float) -> int:
        """Returns the newest version acknowledged before a time; 0 if none."""
        known = self._versions.get(item, [])
        count = bisect.bisect_left(known, (before, 0))
        return max((version for _, version in known[:count]), default=0)

    def audit(self, commits: Iterable[line_log.Commit]) -> None:
        """Compares a group's log with what its callers were told."""
        kept: dict[str, line_log.Commit] = {}
        seen: set[tuple[str, str]] = set()
        for commit in commits:
            if commit.request in kept:
                self.break_(Promise.ONCE, f"{commit.request} committed twice")
            kept[commit.request] = commit
            for write in commit.writes:
                if write in seen:
                    self.break_(Promise.ONCE, f"{write} was written twice")
                seen.add(write)
            self._audit_commit(commit)

    def audit_kept(self, requests: Iterable[str]) -> None:
        """Compares the commits of all groups' logs with the promises."""
        kept = set(requests)
        for request in self._acknowledged.keys() - kept:
            self.break_(Promise.KEPT, f"{request} is in no log")
        for request in self._refused.keys() & kept:
            code = self._refused[request]
            self.break_(Promise.REFUSED, f"{request} ran, refused as {code}")

    def audit_orders(self, orders: Iterable[tuple[str, int]]) -> None:
        """Compares promotions, as holder and number, in their order."""
        newest = 0
        holders: dict[int, str] = {}
        for holder, number in orders:
            if number < newest:
                self.break_(Promise.ONE, f"{holder} used {number} late")
            newest = max(newest, number)
            if holders.setdefault(number, holder) != holder:
                self.break_(
                    Promise.ONE, f"{holder} and {holders[number]}: {number}"
                )

    def _audit_commit(self, commit: line_log.Commit) -> None:
        sent = self._sent.get(commit.request)
        wanted = dict(sent.versions) if sent else {}
        found = {item: int(data) for item, data in commit.writes}
        if found != wanted:
            self.break_(
                Promise.WHOLE,
                f"{commit.request} committed {found}, asked for {wanted}",
            )
