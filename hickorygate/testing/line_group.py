"""A stand-in group that speaks the users' line protocol over TCP.

It keeps the rules of the protocol's page: synchronous replicas, pauses,
promotion that takes effect later, positions. It remembers what it has
acknowledged, for `assert_*` functions to check.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
import dataclasses
import datetime
import hashlib

from hickorygate.core import background
from hickorygate.core import position as positions
from hickorygate.testing import line_log
from hickorygate.testing import line_session
from hickorygate.upstreams import member as members

__all__ = ["Faults", "LineDatabase", "LineGroup", "Work", "signature"]

_LISTED_SLOTS = 2
"""Slots that an entry names at the most, also where nothing is limited."""


def signature(database: str, request: str) -> str:
    """Returns the proof that a database of this name ran a request."""
    text = f"{database} {request}".encode()
    return hashlib.blake2b(text, digest_size=8).hexdigest()


@dataclasses.dataclass(slots=True)
class Faults:
    """What is wrong with one database.

    Attributes:
      silent: it takes requests and doesn't answer.
      deaf: it receives nothing from its primary.
      lose_answers: it closes instead of answering, so many times.
      refuse: the code of a refusal that it gives to the next statements.
      refusals: how many statements it refuses so.
    """

    silent: bool = False
    deaf: bool = False
    lose_answers: int = 0
    refuse: str = ""
    refusals: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """What a database can do.

    Attributes:
      slots: statements that run at once.
      time: that each takes.
      queue: statements that may wait; more are refused as not run.
    """

    slots: int = 64
    time: datetime.timedelta = datetime.timedelta(milliseconds=1)
    queue: int = 64


class LineDatabase:
    """One database that listens.

    Attributes:
      log: its log, role and term.
      faults: what is wrong with it.
      ran: callers' requests that it ran: ids and texts.
      leaving: whether it is about to stop.
      last_ran: the loop's time of the newest of them; None before any.
      deposed: the loop's time since which it leads beside a newer primary
        that it can reach; None if it doesn't.
    """

    def __init__(
        self, name: str, group: LineGroup, role: line_log.Role
    ) -> None:
        self.log = line_log.LineLog(name, role)
        self.faults = Faults()
        self.group = group
        self.ran: list[tuple[str, str]] = []
        self.leaving = False
        self.last_ran: float | None = None
        self.deposed: float | None = None
        self._queued = 0
        self._slots = asyncio.Semaphore(group.work.slots)
        self._sessions: set[line_session.LineSession] = set()
        self._server: asyncio.Server | None = None
        self._port = 0

    @property
    def name(self) -> str:
        """Its identity."""
        return self.log.name

    @property
    def port(self) -> int:
        """Its TCP port, once it was started."""
        return self._port

    @property
    def running(self) -> bool:
        """Whether it listens."""
        return self._server is not None

    def __repr__(self) -> str:
        return f"LineDatabase({self.log!r})"

    def member(self) -> members.Member:
        """Returns its entry in the list of databases."""
        return members.Member(
            id=self.name,
            born=1,
            service=self.group.service,
            host="127.0.0.1",
            port=self._port,
            zone="a",
            slots=min(self.group.work.slots, _LISTED_SLOTS),
            leaving=self.leaving,
            leads=self.log.leads,
        )

    async def start(self) -> None:
        """Begins to listen, unless it does; on the former port if any."""
        if self.running:
            return
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._accept, "127.0.0.1", self._port
        )
        self._port = self._server.sockets[0].getsockname()[1]

    def crash(self) -> None:
        """Ends at once; the log stays for the next start."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for session in tuple(self._sessions):
            session.abort()

    async def work(self) -> bool:
        """Takes a slot for a statement; False if too many wait for one."""
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

    def note_run(self, request: str, text: str) -> None:
        """Takes in that it ran a caller's request."""
        self.ran.append((request, text))
        self.last_ran = asyncio.get_running_loop().time()

    def take_place(self, former: LineDatabase) -> None:
        """Becomes the one that follows another at its address."""
        self._port = former.port
        self.log.commits = list(former.log.commits)
        self.log.term = former.log.term
        self.log.apply()

    def signature(self, request: str) -> str:
        """Returns the proof that this database ran a request."""
        return signature(self.name, request)

    def _accept(self) -> line_session.LineSession:
        session = line_session.LineSession(self, self._sessions.discard)
        self._sessions.add(session)
        return session


class LineGroup:
    """Three databases and the platform's way to promote one.

    Attributes:
      service: the name of the service.
      databases: by name.
      acknowledged: commits that were acknowledged, in that order.
      promotions: the databases that were promoted.
      synchronous: replicas that must hold a commit; all are off if 0.
      notice: how long a primary goes on beside a newer one that it can reach.
      work: what each database can do.
    """

    def __init__(
        self,
        service: str = "ledger",
        names: Sequence[str] = "abc",
        lag: datetime.timedelta = datetime.timedelta(milliseconds=5),
        promotion_delay: datetime.timedelta = datetime.timedelta(
            milliseconds=50
        ),
        notice: datetime.timedelta = datetime.timedelta(),
        work: Work = Work(),
    ) -> None:
        self.service = service
        self.notice = notice
        self.work = work
        self.lag = lag
        self.promotion_delay = promotion_delay
        self.synchronous = 1
        self.acknowledged: list[line_log.Commit] = []
        self.promotions: list[str] = []
        self.lost: list[line_log.Commit] = []
        self._background = background.Background()
        roles = [line_log.Role.PRIMARY] + [line_log.Role.REPLICA] * 9
        self.databases = {
            name: LineDatabase(name, self, role)
            for name, role in zip(names, roles, strict=False)
        }

    def __repr__(self) -> str:
        return f"LineGroup({list(self.databases.values())})"

    @property
    def primary(self) -> LineDatabase:
        """The newest primary; without one, who has received the most."""
        databases = self.databases.values()
        leaders = [d for d in databases if d.log.leads]
        if leaders:
            return max(leaders, key=lambda d: d.log.term)
        return max(databases, key=lambda d: d.log.received)

    @property
    def replicas(self) -> list[LineDatabase]:
        """All databases but the newest primary."""
        primary = self.primary
        return [d for d in self.databases.values() if d is not primary]

    async def start(self) -> None:
        """Begins to listen."""
        for database in self.databases.values():
            await database.start()
        self._background.start(self._replicate())

    async def close(self) -> None:
        """Ends all databases."""
        await self._background.close()
        for database in self.databases.values():
            database.crash()

    def members(self) -> tuple[members.Member, ...]:
        """Returns the entries of all databases."""
        return tuple(d.member() for d in self.databases.values())

    async def commit(
        self,
        database: LineDatabase,
        request: str,
        writes: tuple[tuple[str, str], ...],
    ) -> positions.Position | None:
        """Commits at a primary; waits for synchronous replicas.

        Returns:
          The position, or None if the primary lost its lead meanwhile.
        """
        log = database.log
        commit = log.append(request, writes)
        while database.running and log.leads:
            if self._holders(log, commit) >= self.synchronous:
                self.acknowledged.append(commit)
                return commit.position
            await asyncio.sleep(0.001)
        return None

    async def replace(self, name: str, successor: str) -> None:
        """Ends a database; another one takes over its address and log."""
        former = self.databases.pop(name)
        former.crash()
        database = LineDatabase(successor, self, line_log.Role.REPLICA)
        database.take_place(former)
        self.databases[successor] = database
        await database.start()

    def promote(self, name: str) -> bool:
        """Takes the platform's order; it takes effect later."""
        database = self.databases.get(name)
        if database is None or not database.running:
            return False
        if not database.log.leads:
            self._background.start(self._promote_later(database))
        return True

    def _holders(
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
                self._receive(database)
            await asyncio.sleep(0.001)

    def _receive(self, database: LineDatabase) -> None:
        if not database.running or database.faults.deaf:
            database.deposed = None
            return
        leaders = [
            d.log
            for d in self.databases.values()
            if d.running and d.log.leads and d is not database
        ]
        newest = max(leaders, key=lambda log: log.term, default=None)
        if newest is None:
            return
        if database.log.leads and database.log.term >= newest.term:
            return
        if database.log.leads and not self._has_noticed(database):
            return
        database.deposed = None
        if database.log.received != newest.received or database.log.paused_for:
            database.log.receive(newest)
            loop = asyncio.get_running_loop()
            loop.call_later(self.lag.total_seconds(), database.log.apply)

    def _has_noticed(self, database: LineDatabase) -> bool:
        """Whether a former primary has seen the newer one for long enough."""
        now = asyncio.get_running_loop().time()
        if database.deposed is None:
            database.deposed = now
        return now - database.deposed >= self.notice.total_seconds()
