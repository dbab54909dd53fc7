"""Decides whether an acknowledged commit may be reported, without I/O.

A primary acknowledges a commit once any replica holds it. That may be one that
no takeover asks, since it has just joined, or one that ended a pause by a
restart. So the acknowledgment isn't enough. A commit is reported only once
enough replicas are proved to hold it that every takeover takes into account.
Such a replica is established:

- It was listed before any takeover began that could have replaced the primary,
  or still can. So every such takeover knew of it from the beginning.
- It has run without a break since then, as one connection to it shows. So a
  pause by such a takeover is still in force, and what the replica holds now it
  held when the takeover compared the log ends.

Such a takeover has not ended before all databases last answered, with no newer
primary among them. It takes no longer than takeovers do, and it began after the
term of the primary, which it replaces by the next one. Whatever it promotes has
the commit as well, also if this proxy has never heard of the takeover.

While too few replicas are established (they are new, or this process is), the
replicas are asked after the acknowledgment. If all of them answer and none is
paused for a newer term, no takeover relies on a pause.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import datetime

from hickorygate.core import position as positions
from hickorygate.core import reply
from hickorygate.core import types
from hickorygate.upstreams import member as members
from hickorygate.upstreams import takeover_timing

__all__ = ["LIST_DELAY", "CommitGuard", "Replica", "View"]

LIST_DELAY = datetime.timedelta(seconds=1)
"""Time after which all proxies know that a replica has joined."""


@dataclasses.dataclass(frozen=True, slots=True)
class Replica:
    """What one replica answered.

    Attributes:
      status: its status.
      asked: time at which it was asked.
      running_since: earliest time since when it is known to have run without a
        break; None if unknown.
    """

    status: reply.ReplicationStatus
    asked: datetime.datetime
    running_since: datetime.datetime | None = None

    def holds(self, position: positions.Position, term: types.Term) -> bool:
        """Returns whether it has a position in the log of a term's primary."""
        received = self.status.received
        return self.status.term == term and received >= position


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """What the replicas of a primary answered.

    Attributes:
      asked: time after which they were asked, but for those that are silent.
      term: term of the primary.
      replicas: the latest answers.
      silent: whether a replica hasn't answered since.
    """

    asked: datetime.datetime
    term: types.Term
    replicas: Mapping[members.MemberId, Replica]
    silent: bool

    @property
    def held_back(self) -> bool:
        """Whether a replica waits for, or follows, a newer primary."""
        return len(self.following()) < len(self.replicas)

    def following(self) -> frozenset[members.MemberId]:
        """Returns the replicas that receive from the primary."""
        return frozenset(
            name
            for name, replica in self.replicas.items()
            if max(replica.status.term, replica.status.paused_for) <= self.term
        )

    def holders(
        self, position: positions.Position
    ) -> frozenset[members.MemberId]:
        """Returns the replicas that hold a position of the primary's log."""
        return frozenset(
            name
            for name, replica in self.replicas.items()
            if replica.holds(position, self.term)
        )


class CommitGuard:
    """Decides for the commits of one group."""

    __slots__ = (
        "_before_term",
        "_complete_round",
        "_joined",
        "_running",
        "_synchronous_replicas",
        "_under_way",
    )

    def __init__(self, synchronous_replicas: int) -> None:
        self._synchronous_replicas = synchronous_replicas
        self._joined: dict[members.MemberId, datetime.datetime] = {}
        self._running: dict[members.MemberId, datetime.datetime] = {}
        self._before_term: datetime.datetime | None = None
        self._complete_round: datetime.datetime | None = None
        self._under_way = False

    @property
    def under_way(self) -> bool:
        """Whether a takeover seems to rely on pauses, by the last view."""
        return self._under_way

    @property
    def needs_proof(self) -> bool:
        """Whether a commit may be reported only after `is_safe` says so."""
        return self._synchronous_replicas > 0

    @property
    def synchronous_replicas(self) -> int:
        """The number of replicas that must hold a commit."""
        return self._synchronous_replicas

    def __repr__(self) -> str:
        return f"CommitGuard(joined={self._joined}, {self._under_way})"

    def set_synchronous_replicas(self, synchronous_replicas: int) -> None:
        """Sets the number of replicas that must hold a commit."""
        self._synchronous_replicas = synchronous_replicas

    def record_join(
        self, name: members.MemberId, now: datetime.datetime
    ) -> None:
        """Records that a replica was listed that wasn't before."""
        self._joined[name] = now
        self._running.pop(name, None)

    def record_leader(self, followed: datetime.datetime | None) -> None:
        """Records that a primary was found, a new one or the known one.

        Args:
          followed: latest time at which it was asked and answered as a replica;
            None if that is unknown. Its term began later.
        """
        self._before_term = followed
        self._under_way = False

    def record_complete_round(self, sent: datetime.datetime) -> None:
        """Records that one database led, and all others answered as replicas.

        Args:
          sent: time at which they were asked.
        """
        self._complete_round = sent

    def takeovers_since(self, now: datetime.datetime) -> datetime.datetime:
        """Returns a time before all takeovers that may replace the primary.

        Those that have replaced it unseen by this proxy are among them.
        """
        last_seen = min(self._complete_round or now, now)
        earliest = last_seen - takeover_timing.TAKEOVER_SPAN
        if self._before_term is None:
            return earliest
        return max(earliest, self._before_term)

    def forget(self, name: members.MemberId) -> None:
        """Forgets a replica that left."""
        self._joined.pop(name, None)
        self._running.pop(name, None)

    def record_running(
        self, name: members.MemberId, since: datetime.datetime
    ) -> None:
        """Records since when the process of a replica is known to run."""
        self._running[name] = since

    def can_prove(
        self,
        answering: frozenset[members.MemberId],
        silent: bool,
        now: datetime.datetime,
    ) -> bool:
        """Returns whether a commit that is sent now may be proved.

        Args:
          answering: replicas that answered lately.
          silent: whether other replicas didn't.
          now: current time.
        """
        if not silent or not answering or answering - self._running.keys():
            # All may prove it, or it isn't known who can.
            return True
        began = self.takeovers_since(now)
        return self._enough(
            frozenset(
                name
                for name in answering
                if self._joined.get(name, began) <= began
                and _has_run(self._running[name], began)
            )
        )

    def observe(self, view: View, now: datetime.datetime) -> None:
        """Records the present state of the replicas."""
        steady = [
            name
            for name in view.following()
            if name not in self._running
            or _has_run(self._running[name], self.takeovers_since(now))
        ]
        self._under_way = view.held_back and not self._enough(
            self._listed(steady, view.asked)
        )

    def is_safe(
        self,
        position: positions.Position,
        view: View,
        now: datetime.datetime,
    ) -> bool:
        """Returns whether a commit survives every takeover that may run.

        Args:
          position: position of the commit in the primary's log, or a later one.
          view: latest answers; `silent` tells if one is older than the
            acknowledgment.
          now: current time.
        """
        if self._enough(self.provers(position, view, now)):
            return True
        if view.silent or view.held_back:
            return False
        if self._enough(self._established(view.replicas, view, now)):
            return False
        holders = view.holders(position)
        return self._enough(self._listed(holders, view.asked))

    def provers(
        self,
        position: positions.Position,
        view: View,
        now: datetime.datetime,
    ) -> frozenset[members.MemberId]:
        """Returns the replicas that prove by themselves that a commit is kept.

        Arguments are as for `is_safe`, but for the answers: older ones will do.
        """
        return self._established(view.holders(position), view, now)

    def _established(
        self,
        names: Iterable[members.MemberId],
        view: View,
        now: datetime.datetime,
    ) -> frozenset[members.MemberId]:
        """Returns the replicas that every takeover takes into account."""
        return frozenset(
            name
            for name in names
            if self._is_established(name, view.replicas[name], now)
        )

    def _is_established(
        self,
        name: members.MemberId,
        replica: Replica,
        now: datetime.datetime,
    ) -> bool:
        # The answer may be old, or have waited to be read.
        began = self.takeovers_since(min(replica.asked, now))
        # A takeover reads the list anew when it begins.
        listed = self._joined.get(name, began) <= began
        return listed and _has_run(replica.running_since, began)

    def _listed(
        self, names: Iterable[members.MemberId], at: datetime.datetime
    ) -> frozenset[members.MemberId]:
        """Returns the replicas that all proxies knew at a time."""
        return frozenset(
            name
            for name in names
            if name not in self._joined or self._joined[name] + LIST_DELAY <= at
        )

    def _enough(self, names: frozenset[members.MemberId]) -> bool:
        return len(names) >= max(self._synchronous_replicas, 1)


def _has_run(since: datetime.datetime | None, start: datetime.datetime) -> bool:
    """Returns whether a process is known to run since a time or longer."""
    return since is not None and since <= start
