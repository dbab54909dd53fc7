"""A stand-in database: the MySQL protocol on top of a log and an engine.

Tests and the demo inject faults with `stop`, `restart`, `paused`, `lag` and
`unreachable_users`, and by cutting replication links in the database's
`StandInGroup`.
"""

from __future__ import annotations

import asyncio
import datetime
import uuid

from hickorygate.callers import server
from hickorygate.core import clock as clocks
from hickorygate.core import position
from hickorygate.core import types
from hickorygate.testing import advisory_locks
from hickorygate.testing import engine
from hickorygate.testing import load
from hickorygate.testing import replication
from hickorygate.testing import stand_in_handler

__all__ = ["StandInGroup", "StandInDatabase"]

_STATEMENT_LIMIT = 64 * 1_048_576
_USER = "hickorygate"
_PULL_PERIOD = datetime.timedelta(milliseconds=2)


class StandInDatabase:
    """A database of a group.

    Attributes:
      log: replication log, role and term.
      engine: SQL engine with the data.
      load: limits and counters of connections and statements.
      locks: advisory locks.
      lag: minimum time between two copies from the primary.
      paused: event that is cleared while the database is paused.
      lock: lock that the open transaction holds; transactions run one at a
        time.
      changed: condition that is notified when the log or its term changes.
      unreachable_users: users whose requests are not answered.
      open_transaction: connection handler with the open transaction, if any.
    """

    def __init__(
        self,
        name: types.DatabaseName,
        group: StandInGroup,
        clock: clocks.Clock,
        password: str = "",
        users: tuple[types.CallerName, ...] = (_USER,),
    ) -> None:
        self.log = replication.ReplicationLog(name, uuid.uuid4().hex)
        self.engine = engine.SqlEngine()
        self.load = load.LoadModel(clock)
        self.locks = advisory_locks.AdvisoryLocks()
        self.lag = datetime.timedelta()
        self.paused = asyncio.Event()
        self.paused.set()
        self.lock = asyncio.Lock()
        self.changed = asyncio.Condition()
        self.unreachable_users: set[types.CallerName] = set()
        self.open_transaction: stand_in_handler.StandInHandler | None = None
        self._must_rebuild = False
        self._group = group
        self._clock = clock
        self._server = server.Server(
            lambda: stand_in_handler.StandInHandler(self),
            dict.fromkeys(users, password),
            _STATEMENT_LIMIT,
        )
        self._last_port = 0
        self._replication_task: asyncio.Task[None] | None = None

    @property
    def name(self) -> types.DatabaseName:
        """The name of the database in the sheet."""
        return self.log.database

    @property
    def port(self) -> int:
        """The TCP port that the database listens on."""
        return self._server.port

    @property
    def stopped(self) -> bool:
        """Whether the database is stopped."""
        return self._replication_task is None

    def __repr__(self) -> str:
        return f"StandInDatabase({self.log!r})"

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Starts to listen and to replicate."""
        await self._server.start(host, port)
        self._last_port = self._server.port
        self._replication_task = asyncio.create_task(self._replicate())

    async def stop(self) -> None:
        """Stops the database: closes all connections and the listener."""
        if self._replication_task is not None:
            self._replication_task.cancel()
            await asyncio.gather(self._replication_task, return_exceptions=True)
            self._replication_task = None
        await self._server.close()

    async def restart(self, blank: bool = False) -> None:
        """Restarts the database on its previous port.

        Args:
          blank: whether the database has lost its log.
        """
        boot = uuid.uuid4().hex
        if blank:
            self.log.reset(boot)
            self._must_rebuild = True
        self.log.boot = boot
        await self.start(port=self._last_port)

    async def wait_until_reachable(self, user: types.CallerName) -> None:
        """Waits while the database is paused or the user is cut off."""
        while not self.paused.is_set() or user in self.unreachable_users:
            await self.paused.wait()
            await self._clock.sleep(_PULL_PERIOD)

    def status(self) -> position.DatabaseStatus:
        """Returns the replication status that the database reports."""
        return self.log.status(self._clock.now())

    async def commit(self, sqls: tuple[str, ...]) -> None:
        """Appends a committed transaction to the log and notifies waiters."""
        self.log.append(sqls)
        await self.notify()

    async def notify(self) -> None:
        """Notifies the tasks that wait for a position or a term."""
        async with self.changed:
            self.changed.notify_all()

    async def _replicate(self) -> None:
        last_copy = self._clock.now()
        while True:
            await self._clock.sleep(_PULL_PERIOD)
            await self.paused.wait()
            primary = self._group.source_of(self)
            if primary is None:
                continue
            now = self._clock.now()
            if now - last_copy < self.lag:
                self.log.receive_heartbeat(primary.log, now)
                continue
            last_copy = now
            await self._pull(primary)

    async def _pull(self, primary: StandInDatabase) -> None:
        before = self.log.position
        if self.log.pull(primary.log, self._clock.now()):
            self._must_rebuild = True
        if self.log.position != before:
            await self.apply()

    async def apply(self) -> None:
        """Runs the log entries that aren't applied yet.

        Rebuilds the data from the whole log if that is necessary.
        """
        async with self.lock:
            if self._must_rebuild:
                self.engine.clear()
                self._must_rebuild = False
            for entry in self.log.entries[self.log.applied :]:
                for sql in entry.statements:
                    self.engine.run(sql)
            self.log.applied = len(self.log.entries)
        await self.notify()

    async def abort_if_read_only(self) -> None:
        """Rolls back the open transaction if writes are no longer accepted."""
        if self.open_transaction is not None and not self.log.writable:
            self.open_transaction.abort()
        await self.notify()


class StandInGroup:
    """Databases that replicate from each other, and the cut links."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._databases: dict[types.DatabaseName, StandInDatabase] = {}
        self._cuts: set[frozenset[types.DatabaseName]] = set()

    @property
    def databases(self) -> tuple[StandInDatabase, ...]:
        """All databases of the group."""
        return tuple(self._databases.values())

    def __repr__(self) -> str:
        return f"StandInGroup({list(self._databases)})"

    async def start(
        self,
        names: tuple[types.DatabaseName, ...],
        users: tuple[types.CallerName, ...] = (_USER,),
        ports: tuple[int, ...] = (),
    ) -> tuple[StandInDatabase, ...]:
        """Starts databases; the first is the primary of term 1.

        Args:
          names: names of the databases.
          users: names of the users that may log in.
          ports: port of each database; empty for free ports.

        Returns:
          All databases of the group.
        """
        for name, port in zip(names, ports or (0,) * len(names), strict=True):
            database = StandInDatabase(name, self, self._clock, users=users)
            self._databases[name] = database
            await database.start(port=port)
        first = self._databases[names[0]]
        first.log.fence(1, "setup")
        first.log.promote(1, "setup")
        for name in names[1:]:
            self._databases[name].log.fence(1, "setup")
            self._databases[name].log.follow(1, names[0])
            self._databases[name].log.pull(first.log, self._clock.now())
        return self.databases

    async def stop(self) -> None:
        """Stops all databases."""
        for database in self._databases.values():
            await database.stop()

    def cut(self, one: types.DatabaseName, other: types.DatabaseName) -> None:
        """Stops replication between two databases."""
        self._cuts.add(frozenset((one, other)))

    def restore_links(self) -> None:
        """Restores replication between all databases."""
        self._cuts.clear()

    def source_of(self, database: StandInDatabase) -> StandInDatabase | None:
        """Returns the reachable database that this one follows, or None."""
        name = database.log.following
        if name is None or frozenset((name, database.name)) in self._cuts:
            return None
        source = self._databases.get(name)
        if source is None or source.stopped or not source.paused.is_set():
            return None
        return source
