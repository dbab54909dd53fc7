"""A model of one group whose primary two proxies replace, without a network.

Databases, proxies, the store and the platform's promotion call are plain
objects. Every action is a method, so a test decides in which order they happen:
when a proxy hears of something, which answers are lost, when an order takes
effect, which database restarts. The proxies decide with the production code,
that of the promotion lease included.

An order takes effect within `_EFFECT`, whatever its proxy knows of it. Nobody
is told that a replica restarted. Each proxy that reaches the store knows within
`_LIST_DELAY` that a database joined, and that an entry is missing.
"""

from __future__ import annotations

import dataclasses
import datetime

from hickorygate.core import reply
from hickorygate.testing import line_log
from hickorygate.upstreams import member as members
from hickorygate.upstreams import takeover_events
from properties import takeover_decider
from properties import takeover_lease

__all__ = ["Database", "TakeoverModel"]

_START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
_STEP = datetime.timedelta(milliseconds=20)
_SETTLING_STEP = datetime.timedelta(milliseconds=200)
_SETTLING_STEPS = 120
"""Number of steps within which a takeover must have ended, 24 s in all."""

_LIST_DELAY = datetime.timedelta(seconds=1)
"""Time within which all proxies have read a change of the list."""

_CLOCK_DIFFERENCE = datetime.timedelta(hours=1)
"""Difference between the clocks of two proxies; clocks don't step."""

_EFFECT = datetime.timedelta(seconds=3)
"""Longest time until an accepted order takes effect."""

_LONG = datetime.timedelta(minutes=1)
"""Time for which the first databases have run at the beginning."""


@dataclasses.dataclass(slots=True)
class Database:
    """A database of the group.

    Attributes:
      log: log, role and term.
      running_since: start of its process.
      born: number of its process.
      leaving: whether it has announced its shutdown.
      listed: whether it has an entry.
    """

    log: line_log.LineLog
    running_since: datetime.datetime
    born: int = 1
    leaving: bool = False
    listed: bool = True

    def member(self) -> members.Member:
        """Returns its entry in service discovery."""
        return members.Member(
            self.log.name,
            self.born,
            "s",
            "h",
            1,
            "a",
            2,
            self.leaving,
            self.log.leads,
        )

    def status(self) -> reply.ReplicationStatus:
        """Returns its replication status."""
        log = self.log
        return reply.ReplicationStatus(
            log.leads, log.term, log.received, log.paused_for
        )


class TakeoverModel:
    """The group, its proxies, the lease and the orders under way.

    Attributes:
      now: simulated time.
      databases: running databases by name.
      lease: the store's record of the promotion lease.
      deciders: the proxies.
      acknowledged: commits that were acknowledged to callers.
      orders: databases whose promotion was accepted and hasn't taken effect.
      promoted: databases that were promoted, in their order.
    """

    def __init__(self) -> None:
        self.now = _START
        roles = [line_log.Role.PRIMARY] + [line_log.Role.REPLICA] * 2
        self.databases = {
            name: Database(line_log.LineLog(name, role), _START - _LONG)
            for name, role in zip("abc", roles, strict=True)
        }
        self.acknowledged: list[line_log.Commit] = []
        self.orders: list[str] = []
        self.promoted: list[str] = []
        self.lease = takeover_lease.LeaseTable()
        self._joined = 0
        self._started = 0
        self._ordered_at: list[datetime.datetime] = []
        self._unacknowledged: dict[line_log.Commit, datetime.datetime] = {}
        self._gone: list[line_log.LineLog] = []
        self.deciders = [self._start_decider(index) for index in range(2)]
        for decider in self.deciders:
            decider.connect_early(decider.now - _LONG)

    @property
    def leaders(self) -> list[Database]:
        """The databases that take commits, the newest term last."""
        found = [d for d in self.databases.values() if d.log.leads]
        return sorted(found, key=lambda database: database.log.term)

    def tick(self, duration: datetime.timedelta = _STEP) -> None:
        """Lets time pass."""
        self.now += duration
        while self._ordered_at and self.now >= self._ordered_at[0] + _EFFECT:
            self.take_effect()
        for decider in self.deciders:
            decider.advance_clock()

    def listed(self) -> tuple[members.Member, ...]:
        """Returns the entries of the databases."""
        return tuple(d.member() for d in self.databases.values() if d.listed)

    def _start_decider(self, index: int) -> takeover_decider.Decider:
        self._started += 1
        return takeover_decider.Decider(
            "pq"[index], self._started, self, index * _CLOCK_DIFFERENCE
        )

    def _change_list(self) -> None:
        for decider in self.deciders:
            decider.expect_list(_LIST_DELAY)

    def commit(self, name: str) -> None:
        """Appends a commit at a primary; nobody has acknowledged it yet."""
        database = self.databases.get(name)
        if database is not None and database.log.leads:
            commit = database.log.append("w", (("x", "1"),))
            self._unacknowledged[commit] = self.now

    def replicate(
        self,
        leader: str,
        replica: str,
        reporter: int = 0,
        answering: frozenset[str] | None = None,
    ) -> None:
        """Sends a primary's log to a replica.

        Commits of the primary's term that the replica holds then are
        acknowledged to a proxy, which may report them to the caller.

        Args:
          leader: name of the primary.
          replica: name of the replica.
          reporter: index of the proxy.
          answering: databases that answer the proxy; None if all do.
        """
        source, target = self.databases.get(leader), self.databases.get(replica)
        if source is None or target is None or source is target:
            return
        if not source.log.leads or target.log.term > source.log.term:
            return
        if target.log.leads and target.log.term >= source.log.term:
            return
        target.log.receive(source.log)
        if target.log.paused_for or target.log.term != source.log.term:
            return
        decider = self.deciders[reporter]
        for commit in source.log.commits:
            if self._unacknowledged.pop(commit, None) is not None:
                decider.acknowledge(commit, leader)
        if answering is None:
            answering = frozenset(self.databases)
        decider.report(answering)

    def report(self, commit: line_log.Commit) -> None:
        """Tells a caller that a commit is kept, and checks that it is."""
        self.acknowledged.append(commit)
        newest = max(self.databases.values(), key=lambda d: d.log.term).log
        if newest.leads and newest.term > commit.position.term:
            assert newest.contains(commit), (
                f"LOST: {commit} was reported, {newest} leads without it"
            )

    def apply(self, name: str) -> None:
        """Makes what a database has received visible to reads."""
        if name in self.databases:
            self.databases[name].log.apply()

    def join(self) -> None:
        """Starts a new replica with the log of the newest primary."""
        if not self.leaders:
            return
        source = self.leaders[-1].log
        self._joined += 1
        name = f"n{self._joined}"
        log = line_log.LineLog(name, line_log.Role.REPLICA, source.term)
        log.commits = list(source.commits)
        log.apply()
        self.databases[name] = Database(log, self.now)
        self._change_list()

    def restart(self, name: str) -> None:
        """Restarts a replica, which keeps its log and ends its pause.

        All may restart at once. The start isn't in the list: a listed one
        counts as a database that left, see `exit_replaced`.
        """
        database = self.databases.get(name)
        if database is None or database.log.leads:
            return
        database.log.paused_for = 0
        database.running_since = self.now

    def restart_empty(self, name: str) -> None:
        """Restarts a replica without its log, under the same id.

        A database whose promotion is under way keeps its log: the order can't
        be taken back.
        """
        database = self.databases.get(name)
        if database is None or database.log.leads or name in self.orders:
            return
        database.log = line_log.LineLog(name, line_log.Role.REPLICA)
        database.born += 1
        database.running_since = self.now
        self._change_list()

    def restart_decider(self, index: int) -> None:
        """Replaces the process of a proxy that reaches the store."""
        if not self.deciders[index].lease.cut:
            self.deciders[index].close()
            self.deciders[index] = self._start_decider(index)

    def lapse(self, name: str) -> None:
        """Removes the entry of a database that goes on serving."""
        if name in self.databases:
            self.databases[name].listed = False
            self._change_list()

    def renew_entry(self, name: str) -> None:
        """Lists a database again whose entry lapsed."""
        if name in self.databases and not self.databases[name].listed:
            self.databases[name].listed = True
            self._change_list()

    def cut(self, index: int) -> None:
        """Cuts a proxy from the store."""
        self.deciders[index].cut()

    def reach(self, index: int) -> None:
        """Ends the cut of a proxy from the store."""
        self.deciders[index].reach(_LIST_DELAY)

    def leave(self, name: str) -> None:
        """Lets a database announce its shutdown if others can replace it."""
        staying = [n for n, d in self.databases.items() if not d.leaving]
        if name in staying and len(staying) > 2:
            self.databases[name].leaving = True

    def exit_replaced(self, name: str) -> None:
        """Ends a database that announced its shutdown and leads no more.

        It stays while replicas are paused: a group whose replicas an unfinished
        takeover paused, and that then loses one of them, can't be taken over.
        """
        database = self.databases.get(name)
        if database is None or not database.leaving or database.log.leads:
            return
        if any(d.log.paused_for for d in self.databases.values()):
            return
        if name not in self.orders:
            self._gone.append(self.databases.pop(name).log)

    def take_effect(self) -> None:
        """Lets the oldest order take effect, and checks LOST and ONE."""
        if not self.orders:
            return
        name = self.orders.pop(0)
        self._ordered_at.pop(0)
        database = self.databases.get(name)
        if database is None or database.log.leads:
            return
        newest = max(d.log.term for d in self.databases.values())
        newest = max([newest, *(log.term for log in self._gone)])
        database.log.promote(newest + 1)
        self.promoted.append(name)
        held = set(database.log.commits)
        lost = [commit for commit in self.acknowledged if commit not in held]
        assert not lost, f"LOST: {name} was promoted without {lost}"

    def demote(self, name: str, term: int) -> None:
        """Makes a primary of a lower term a replica."""
        if name in self.databases:
            self.databases[name].log.demote(term)

    def perform(self, effect: takeover_events.Effect) -> takeover_events.Event:
        """Makes a call that a takeover requested, and returns its result."""
        match effect:
            case takeover_events.PauseReplica(name, term):
                database = self.databases.get(name)
                if database is None:
                    return takeover_events.ReplicaPaused(name, None)
                newest = max(d.log.term for d in self.databases.values())
                if term > newest:
                    database.log.pause(term)
                return takeover_events.ReplicaPaused(name, database.status())
            case takeover_events.InspectReplica(name, number):
                database = self.databases.get(name)
                status = database.status() if database else None
                return takeover_events.ReplicaInspected(name, status, number)
            case takeover_events.CompareCandidate(leader, candidate):
                return self._compare(leader, candidate)
        raise TypeError(f"no call for {effect!r}")

    def settle(self) -> None:
        """Plays on without disturbances, and checks that takeovers end.

        Raises:
          AssertionError: there is no primary that acknowledges commits, or it
            is still a database that announced its shutdown.
        """
        assert self.play_on(), f"no takeover ends: {self.databases}"

    def play_on(self) -> bool:
        """Plays on without disturbances until takeovers end.

        Returns:
          Whether they ended in time.
        """
        for _ in range(_SETTLING_STEPS):
            self._settle_once()
            if self._is_settled():
                return True
        return False

    def _settle_once(self) -> None:
        self.tick(_SETTLING_STEP)
        self.take_effect()
        for database in list(self.databases.values()):
            self.apply(database.log.name)
            self.exit_replaced(database.log.name)
        self._step_down()
        names = frozenset(self.databases)
        for leader in self.leaders:
            self.commit(leader.log.name)
            for name in names:
                self.replicate(leader.log.name, name)
        for decider in self.deciders:
            decider.end_order()
            decider.reach(_LIST_DELAY)
            decider.learn_members()
            decider.run_round(names)
            decider.note_stall(not self._acknowledges())
            decider.think()
            for _ in range(2 * len(names)):
                decider.call(0, lost=False)
                if decider.takeover is not None:
                    decider.think()

    def _step_down(self) -> None:
        """Demotes former primaries, which reach the newer one now."""
        for former in self.leaders[:-1]:
            former.log.demote(self.leaders[-1].log.term)

    def _acknowledges(self) -> bool:
        """Returns whether the newest primary acknowledges commits."""
        if not self.leaders:
            return False
        log = self.leaders[-1].log
        return any(
            database.log.received == log.received
            for database in self.databases.values()
            if database.log is not log
        )

    def _is_settled(self) -> bool:
        return (
            not self.orders
            and all(d.takeover is None for d in self.deciders)
            and not any(d.waits_for_order for d in self.deciders)
            and self._acknowledges()
            and not self.leaders[-1].leaving
        )

    def _compare(self, leader: str, candidate: str) -> takeover_events.Event:
        first, second = (
            self.databases.get(leader),
            self.databases.get(candidate),
        )
        if first is None or second is None:
            return takeover_events.ComparisonFailed()
        return takeover_events.CandidateSeen(
            first.log.visible, second.log.received
        )

    def accept_order(self, name: str) -> bool:
        """Returns whether the platform accepts to promote a database."""
        if name not in self.databases:
            return False
        self.orders.append(name)
        self._ordered_at.append(self.now)
        return True
