"""A stand-in replication group that speaks the line protocol over TCP.

The group follows the specification of the users' line protocol: synchronous
replicas, paused replication, promotion that takes effect after a delay, and
log positions. The group records the commits that it has acknowledged, so that
`assert_*` functions can check them.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
import dataclasses
import datetime
import hashlib

from hickorygate.core import background
from hickorygate.core import position
from hickorygate.testing import line_log
from hickorygate.testing import line_session
from hickorygate.testing import repeated_answers
from hickorygate.upstreams import member as members

__all__ = [
    "DatabaseFaults",
    "LineDatabase",
    "LineGroup",
    "Capacity",
    "execution_digest",
]

_MAX_LISTED_SLOTS = 2
"""Upper limit of the slots in a list entry; a database may have more."""


def execution_digest(database: str, request: str) -> str:
    """Returns a digest which shows that the named database ran a request."""
    text = f"{database} {request}".encode(errors="surrogateescape")
    return hashlib.blake2b(text, digest_size=8).hexdigest()


@dataclasses.dataclass(slots=True)
class DatabaseFaults:
    """The faults that are injected into one database.

    Attributes:
      unresponsive: whether the database accepts requests without answering.
      replication_blocked: whether the database receives nothing from its
        primary.
      lose_answers: number of answers that are replaced by a closed connection.
      refuse: error code with which the next statements are refused.
      refusals: number of statements that are refused with this code.
      repeated_answers: answers that are sent twice; None for no answer.
    """

    unresponsive: bool = False
    replication_blocked: bool = False
    lose_answers: int = 0
    refuse: str = ""
    refusals: int = 0
    repeated_answers: repeated_answers.RepeatedAnswers | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """The capacity of a database.

    Attributes:
      slots: number of statements that run concurrently.
      time: execution time of a statement.
      queue: number of statements that may wait for a slot; further ones are
        refused as not run.
    """

    slots: int = 64
    time: datetime.timedelta = datetime.timedelta(milliseconds=1)
    queue: int = 64


class LineDatabase:
    """A stand-in database that listens on a TCP port.

    Attributes:
      log: log, role and term of the database.
      faults: injected faults.
      group: group that the database belongs to.
      ran: ids and texts of the callers' requests that the database ran.
      values_of_runs: session values with which each of these requests ran, by
        its id.
      workspaces_of_runs: workspace of the connection on which each of these
        requests ran, by its id.
      prepared_of_runs: kind and shape of the prepared statement that each
        `EXECUTE` of these requests ran, by its id.
      rows_of_runs: row with which each of these requests was answered, by its
        id, if there was one.
      leaving: whether the database is announced as about to stop.
      last_ran: event loop time, in seconds, of the newest request in `ran`;
        None if there is none.
      overlap_started: event loop time, in seconds, since which the database has
        led although it can reach a newer primary; None if this isn't the case.
    """

    def __init__(
        self, name: str, group: LineGroup, role: line_log.Role
    ) -> None:
        self.log = line_log.LineLog(name, role)
        self.faults = DatabaseFaults()
        self.group = group
        self.ran: list[tuple[str, str]] = []
        self.values_of_runs: dict[str, dict[str, str]] = {}
        self.workspaces_of_runs: dict[str, str] = {}
        self.prepared_of_runs: dict[str, tuple[str, str]] = {}
        self.rows_of_runs: dict[str, str] = {}
        self.leaving = False
        self.last_ran: float | None = None
        self.overlap_started: float | None = None
        self._queued = 0
        self._slots = asyncio.Semaphore(group.work.slots)
        self._sessions: set[line_session.LineSession] = set()
        self._server: asyncio.Server | None = None
        self._port = 0

    @property
    def name(self) -> str:
        """The identity of the database."""
        return self.log.name

    @property
    def port(self) -> int:
        """The TCP port; 0 before the first start."""
        return self._port

    @property
    def running(self) -> bool:
        """Whether the database listens."""
        return self._server is not None

    def __repr__(self) -> str:
        return f"LineDatabase({self.log!r})"

    def member(self) -> members.Member:
        """Returns the database's entry in the list of databases."""
        return members.Member(
            id=self.name,
            born=1,
            service=self.group.service,
            host="127.0.0.1",
            port=self._port,
            zone="a",
            slots=min(self.group.work.slots, _MAX_LISTED_SLOTS),
            leaving=self.leaving,
            leads=self.log.leads,
        )

    async def start(self) -> None:
        """Starts to listen, on the previous port if there is one.

        Does nothing if the database already listens.
        """
        if self.running:
            return
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._accept, "127.0.0.1", self._port
        )
        self._port = self._server.sockets[0].getsockname()[1]

    def crash(self) -> None:
        """Stops at once; the log is kept for the next start, a pause isn't."""
        self.log.paused_for = 0
        if self._server is not None:
            self._server.close()
            self._server = None
        for session in tuple(self._sessions):
            session.abort()

    async def run_in_slot(self) -> bool:
        """Waits for a slot and runs a statement in it.

        Returns:
          False if the queue is full, so that the statement wasn't run.
        """
        if self._queued >= self.group.work.queue:
            return False
        self._queued += 1
        await self._slots.acquire()
        self._queued -= 1
        try:
            await asyncio.sleep(self.group.work.time.total_seconds())
        finally:
            self._slots.release()
        return True

    def record_run(
        self, request: str, text: str, values: dict[str, str]
    ) -> None:
        """Records that the database ran a caller's request.

        Args:
          request: request id that the caller assigned.
          text: text of the request.
          values: session values of the connection.
        """
        self.ran.append((request, text))
        self.values_of_runs[request] = dict(values)
        self.last_ran = asyncio.get_running_loop().time()

    def forget_names(self) -> None:
        """Forgets the prepared statements of all connections."""
        for session in self._sessions:
            session.names.clear()

    def open_orphaned_transactions(self) -> None:
        """Opens a transaction on each connection, unasked.

        A probe leaves one behind if the database fails its ROLLBACK.
        """
        for session in self._sessions:
            session.open_transaction()

    def inherit(self, former: LineDatabase) -> None:
        """Takes over the address and the log of another database."""
        self._port = former.port
        self.log.commits = list(former.log.commits)
        self.log.term = former.log.term
        self.log.apply()

    def execution_digest(self, request: str) -> str:
        """Returns a digest which shows that this database ran a request."""
        return execution_digest(self.name, request)

    def _accept(self) -> line_session.LineSession:
        session = line_session.LineSession(self, self._sessions.discard)
        self._sessions.add(session)
        return session


class LineGroup:
    """A group of databases, three by default, that can be promoted.

    Attributes:
      service: name of the service.
      demotion_delay: how long a former primary keeps leading after it can reach
        a newer one.
      work: capacity of each database.
      lag: delay between receiving an entry and applying it.
      promotion_delay: delay before a promotion takes effect.
      sync_replica_count: number of replicas that must hold a commit before it
        is acknowledged; 0 turns synchronous replication off.
      acknowledged: acknowledged commits, in the order of acknowledgment.
      promotions: names of the databases that were promoted, in order.
      lost: acknowledged commits that a database lacked when it was promoted.
      databases: databases by name.
    """

    def __init__(
        self,
        service: str = "ledger",
        names: Sequence[str] = "abc",
        lag: datetime.timedelta = datetime.timedelta(milliseconds=5),
        promotion_delay: datetime.timedelta = datetime.timedelta(
            milliseconds=50
        ),
        demotion_delay: datetime.timedelta = datetime.timedelta(),
        work: Capacity = Capacity(),
    ) -> None:
        self.service = service
        self.demotion_delay = demotion_delay
        self.work = work
        self.lag = lag
        self.promotion_delay = promotion_delay
        self.sync_replica_count = 1
        self.acknowledged: list[line_log.Commit] = []
        self.promotions: list[str] = []
        self.lost: list[line_log.Commit] = []
        self._background = background.BackgroundTasks()
        roles = [line_log.Role.PRIMARY] + [line_log.Role.REPLICA] * 9
        self.databases = {
            name: LineDatabase(name, self, role)
            for name, role in zip(names, roles, strict=False)
        }

    def __repr__(self) -> str:
        return f"LineGroup({list(self.databases.values())})"

    @property
    def primary(self) -> LineDatabase:
        """The primary of the highest term.

        Without a primary, the database that has received the most.
        """
        databases = self.databases.values()
        leaders = [d for d in databases if d.log.leads]
        if leaders:
            return max(leaders, key=lambda d: d.log.term)
        return max(databases, key=lambda d: d.log.received)

    @property
    def replicas(self) -> list[LineDatabase]:
        """All databases except `primary`."""
        primary = self.primary
        return [d for d in self.databases.values() if d is not primary]

    async def start(self) -> None:
        """Starts all databases and replication between them."""
        for database in self.databases.values():
            await database.start()
        self._background.start(self._replicate())

    async def close(self) -> None:
        """Stops all databases."""
        await self._background.close()
        for database in self.databases.values():
            database.crash()

    def members(self) -> tuple[members.Member, ...]:
        """Returns the list entries of all databases."""
        return tuple(d.member() for d in self.databases.values())

    async def commit(
        self,
        database: LineDatabase,
        request: str,
        writes: tuple[tuple[str, str], ...],
    ) -> position.Position | None:
        """Commits on a primary and waits for the synchronous replicas.

        Returns:
          The position of the commit, or None if the database stopped or was
          demoted before enough replicas held the commit.
        """
        log = database.log
        commit = log.append(request, writes)
        while database.running and log.leads:
            if self._count_holders(log, commit) >= self.sync_replica_count:
                self.acknowledged.append(commit)
                return commit.position
            await asyncio.sleep(0.001)
        return None

    async def replace(self, name: str, successor: str) -> None:
        """Replaces a database by a new one with the same address and log."""
        former = self.databases.pop(name)
        former.crash()
        database = LineDatabase(successor, self, line_log.Role.REPLICA)
        database.inherit(former)
        self.databases[successor] = database
        await database.start()

    async def join(self, name: str) -> LineDatabase:
        """Adds a replica with the log of the primary; it is running."""
        database = LineDatabase(name, self, line_log.Role.REPLICA)
        database.log.receive(self.primary.log)
        database.log.apply()
        self.databases[name] = database
        await database.start()
        return database

    def promote(self, name: str) -> bool:
        """Accepts a promotion, which takes effect after `promotion_delay`.

        Returns:
          False if the database is unknown or doesn't run.
        """
        database = self.databases.get(name)
        if database is None or not database.running:
            return False
        if not database.log.leads:
            self._background.start(self._promote_later(database))
        return True

    def _count_holders(
        self, leader: line_log.LineLog, commit: line_log.Commit
    ) -> int:
        return sum(
            database.log.contains(commit)
            for database in self.databases.values()
            if database.running and database.log is not leader
        )

    async def _promote_later(self, database: LineDatabase) -> None:
        await asyncio.sleep(self.promotion_delay.total_seconds())
        self.promotions.append(database.name)
        held = set(database.log.commits)
        self.lost += [c for c in self.acknowledged if c not in held]
        database.log.promote(self._newest_term() + 1)

    def _newest_term(self) -> int:
        return max(d.log.term for d in self.databases.values())

    async def _replicate(self) -> None:
        while True:
            for database in tuple(self.databases.values()):
                self._replicate_to(database)
            await asyncio.sleep(0.001)

    def _replicate_to(self, database: LineDatabase) -> None:
        newer = self._newer_leader(database)
        if newer is None or not database.log.leads:
            database.overlap_started = None
        if newer is None:
            return
        if database.log.leads and not self._must_step_down(database):
            return
        if database.log.received != newer.received or database.log.paused_for:
            database.log.receive(newer)
            loop = asyncio.get_running_loop()
            loop.call_later(self.lag.total_seconds(), database.log.apply)

    def _newer_leader(self, database: LineDatabase) -> line_log.LineLog | None:
        """Returns the log of the primary that a database receives from.

        Returns:
          The log; None if the database reaches no primary, or is itself the
          newest one.
        """
        if not database.running or database.faults.replication_blocked:
            return None
        leaders = [
            d.log
            for d in self.databases.values()
            if d.running and d.log.leads and d is not database
        ]
        newest = max(leaders, key=lambda log: log.term, default=None)
        if newest is None or not database.log.leads:
            return newest
        return newest if newest.term > database.log.term else None

    def _must_step_down(self, database: LineDatabase) -> bool:
        """Returns whether a former primary has to stop leading.

        That is the case once `demotion_delay` has passed since the first call
        after the former primary could reach the newer one.
        """
        now = asyncio.get_running_loop().time()
        if database.overlap_started is None:
            database.overlap_started = now
        return (
            now - database.overlap_started
            >= self.demotion_delay.total_seconds()
        )
