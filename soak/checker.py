"""Records what callers sent and received, and checks it. No I/O.

Each item has one writer, which writes increasing versions. The version that a
read returns therefore shows which commits the read saw.
"""

from __future__ import annotations

import bisect
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import enum
import re

from hickorygate.testing import line_log
from soak import odd_text

__all__ = [
    "Guarantee",
    "ObservedRead",
    "ConsistencyChecker",
    "Violation",
    "SentWrite",
    "version_of",
]

NOT_RUN_CODES = frozenset(
    {"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "CONNLIMIT"}
)
"""Error codes that guarantee that an attempt had no effect."""


_NO_VERSION = -1
_OWN_NAMES = re.compile(r"EXECUTE [^ ]+ ")
"""The part of a statement that a proxy may change."""


def version_of(data: str) -> int:
    """Returns the version in an item's data; -1 if no caller wrote it."""
    version = odd_text.plain(data)
    return int(version) if version.isdecimal() else _NO_VERSION


class Guarantee(enum.Enum):
    """A guarantee that each run must meet."""

    FRESH = "no read misses a commit that it must see"
    DURABLE = "no acknowledged commit is lost"
    AT_MOST_ONCE = "no write takes effect twice"
    NOT_RUN = "what was refused as not run did not run"
    UNCHANGED = "databases run what callers sent, and nothing else"
    ATOMIC = "a transaction takes effect whole or not at all"
    MATCHED_ANSWER = "each answer is that to its own request"
    OWN_SESSION = "a statement runs with the values of its own session"
    FENCED = "numbers of promoters never go back and have one holder each"
    MONOTONIC_CONFIGURATION = (
        "a configuration in force is never followed by an older one"
    )
    KEYED = "a key that no configuration held opens no session"
    LEAVING = "a database that is leaving gets no new work"
    GRACEFUL = "a process ends within its grace period"
    RECOVERED = "all serve again once the faults are over"


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A broken guarantee.

    Attributes:
      promise: guarantee that was broken.
      detail: what was observed.
    """

    promise: Guarantee
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class SentWrite:
    """A write or a transaction that a caller sent.

    Attributes:
      request: request id of the commit.
      versions: new version of each item.
    """

    request: str
    versions: Mapping[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class ObservedRead:
    """A read that was answered.

    Attributes:
      request: request id of the read.
      item: item that was read.
      version: version that the read returned; 0 if the item had none.
      sent: event loop time when the read, or its transaction, was sent.
      staleness: tolerated staleness in seconds.
      own_version: newest version of the item that the same session had written
        and that was acknowledged.
    """

    request: str
    item: str
    version: int
    sent: float
    staleness: float
    own_version: int


class ConsistencyChecker:
    """All requests that the callers of a run sent, and their outcomes."""

    def __init__(self) -> None:
        self._sent: dict[str, SentWrite] = {}
        self._texts: dict[str, str] = {}
        self._acknowledged: dict[str, tuple[str, ...]] = {}
        self._refused: dict[str, str] = {}
        self._versions: dict[str, list[tuple[float, int]]] = {}
        self._violations: list[Violation] = []

    @property
    def violations(self) -> tuple[Violation, ...]:
        """Broken guarantees so far, oldest first."""
        return tuple(self._violations)

    @property
    def acknowledged(self) -> int:
        """Number of commits that were acknowledged to callers."""
        return len(self._acknowledged)

    def __repr__(self) -> str:
        return f"ConsistencyChecker(acknowledged={self.acknowledged})"

    def record_violation(self, promise: Guarantee, detail: str) -> None:
        """Records a broken guarantee; the detail may hold odd bytes."""
        readable = detail.encode("ascii", "backslashreplace").decode()
        self._violations.append(Violation(promise, readable))

    def check_values(
        self,
        request: str,
        values: Mapping[str, str],
        ran_with: Mapping[str, str],
    ) -> None:
        """Checks the session values that a database used for a statement.

        Args:
          request: request id of the statement.
          values: values that were acknowledged to the session.
          ran_with: values on the connection that ran the statement.
        """
        if ran_with != values:
            self.record_violation(
                Guarantee.OWN_SESSION,
                f"{request} ran with {ran_with} instead of {values}",
            )

    def record_text(self, request: str, text: str) -> None:
        """Records the text of a statement before it is sent."""
        self._texts[request] = _OWN_NAMES.sub("EXECUTE ", text)

    def audit_runs(self, runs: Iterable[tuple[str, str]]) -> None:
        """Checks the ids and texts of the statements that a database ran."""
        for request, text in runs:
            sent = self._texts.get(request)
            if _OWN_NAMES.sub("EXECUTE ", text) != sent:
                self.record_violation(
                    Guarantee.UNCHANGED,
                    f"{request!r} ran as {text!r}, sent as {sent!r}",
                )

    def record_sent(self, write: SentWrite) -> None:
        """Records a write before it is sent."""
        self._sent[write.request] = write

    def record_acknowledged(self, write: SentWrite, now: float) -> None:
        """Records that a write was acknowledged to its caller."""
        self._acknowledged[write.request] = tuple(write.versions)
        for item, version in write.versions.items():
            self._versions.setdefault(item, []).append((now, version))

    def record_refused(self, write: SentWrite, code: str) -> None:
        """Records that a caller received an error for a write.

        Only codes that guarantee that the write had no effect count.
        """
        if code in NOT_RUN_CODES:
            self._refused[write.request] = code

    def read(self, seen: ObservedRead) -> None:
        """Checks that a read returned a sufficiently new version."""
        newest = self.newest(seen.item, seen.sent - seen.staleness)
        needed = max(newest, seen.own_version)
        if seen.version < needed:
            self.record_violation(
                Guarantee.FRESH,
                f"{seen.request} read version {seen.version} of {seen.item}, "
                f"not {needed} or newer",
            )

    def newest(self, item: str, before: float) -> int:
        """Returns the newest version acknowledged before a time; 0 if none."""
        known = self._versions.get(item, [])
        count = bisect.bisect_left(known, (before, 0))
        return max((version for _, version in known[:count]), default=0)

    def audit(self, commits: Iterable[line_log.Commit]) -> None:
        """Checks a group's log against what its callers sent.

        Each request and each write must take effect at most once, and each
        commit must contain all writes of its transaction.
        """
        kept: dict[str, line_log.Commit] = {}
        seen: set[tuple[str, str]] = set()
        for commit in commits:
            if commit.request in kept:
                self.record_violation(
                    Guarantee.AT_MOST_ONCE, f"{commit.request} committed twice"
                )
            kept[commit.request] = commit
            for write in commit.writes:
                if write in seen:
                    self.record_violation(
                        Guarantee.AT_MOST_ONCE, f"{write} was written twice"
                    )
                seen.add(write)
            self._audit_commit(commit)

    def audit_durability(self, requests: Iterable[str]) -> None:
        """Checks the request ids of the commits in all groups' logs.

        Each acknowledged write must be there, and no refused write.
        """
        kept = set(requests)
        for request in self._acknowledged.keys() - kept:
            self.record_violation(Guarantee.DURABLE, f"{request} is in no log")
        for request in self._refused.keys() & kept:
            code = self._refused[request]
            self.record_violation(
                Guarantee.NOT_RUN, f"{request} ran, refused as {code}"
            )

    def audit_promoted(self, lacked: Iterable[line_log.Commit]) -> None:
        """Checks the commits that promoted databases lacked.

        None of them may have been reported to its caller. A proxy withholds
        what a primary acknowledged while it was being replaced, so the
        databases' own acknowledgments don't count.
        """
        for commit in lacked:
            if commit.request in self._acknowledged:
                self.record_violation(
                    Guarantee.DURABLE, f"promoted without {commit}"
                )

    def audit_promotions(self, orders: Iterable[tuple[str, int]]) -> None:
        """Checks that fencing tokens of promotions never decrease.

        Each token must also have one holder only.

        Args:
          orders: holder and fencing token of each promotion, in order.
        """
        newest = 0
        holders: dict[int, str] = {}
        for holder, number in orders:
            if number < newest:
                self.record_violation(
                    Guarantee.FENCED, f"{holder} used {number} late"
                )
            newest = max(newest, number)
            if holders.setdefault(number, holder) != holder:
                self.record_violation(
                    Guarantee.FENCED,
                    f"{holder} and {holders[number]}: {number}",
                )

    def _audit_commit(self, commit: line_log.Commit) -> None:
        sent = self._sent.get(commit.request)
        expected = dict(sent.versions) if sent else {}
        found = {item: version_of(data) for item, data in commit.writes}
        if found != expected:
            self.record_violation(
                Guarantee.ATOMIC,
                f"{commit.request} committed {found}, asked for {expected}",
            )
