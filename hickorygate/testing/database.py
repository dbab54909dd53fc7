"""A stand-in database: MySQL protocol over a log and an engine.

Faults are attributes that a test or the demo sets: `stopped`, `paused`,
`lag`, and links cut in the `Group` that it belongs to.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
import datetime
import re
import uuid

import expression

from hickorygate.callers import handler as handlers
from hickorygate.callers import server as servers
from hickorygate.core import clock as clocks
from hickorygate.core import errors
from hickorygate.core import position as positions
from hickorygate.core import statement as statements
from hickorygate.core import types
from hickorygate.testing import engine as engines
from hickorygate.testing import load as loads
from hickorygate.testing import locks as advisory
from hickorygate.testing import replication
from hickorygate.upstreams import answer as answers

__all__ = ["Group", "StandInDatabase"]

_STATEMENT_LIMIT = 64 * 1_048_576
_PULL_PERIOD = datetime.timedelta(milliseconds=2)
_LOCK_TIMEOUT = datetime.timedelta(seconds=5)
_VAR_STRING = 253
_UTF8MB4 = 45
_READ_ONLY = errors.UpstreamError(
    1290, "HY000", "running with --read-only", refused=True
)
_TOO_MANY = errors.UpstreamError(
    1040, "08004", "Too many connections", refused=True
)
_LOCK_WAIT = errors.UpstreamError(1205, "HY000", "Lock wait timeout exceeded")
_REFUSED_TERM = 3_100
_PROCEDURE = re.compile(r"CALL\s+group_(\w+)\s*\((.*)\)\s*$", re.I | re.S)
_NOTHING = answers.Done(warnings=0, affected_rows=0, last_insert_id=0)


def _status_table(status: positions.DatabaseStatus) -> answers.Table:
    silence = status.primary_silence / datetime.timedelta(milliseconds=1)
    cells = {
        "role": status.role.value,
        "term": status.term,
        "base": status.base,
        "log_term": status.log_term,
        "received": status.received,
        "applied": status.applied,
        "fenced": status.fenced,
        "primary_silence_ms": int(silence),
        "boot": status.boot,
    }
    columns = tuple(
        answers.Column(name, _VAR_STRING, _UTF8MB4) for name in cells
    )
    row = tuple(str(cell) for cell in cells.values())
    return answers.Table(warnings=0, columns=columns, rows=[row])


class StandInDatabase:
    """One database of a group."""

    def __init__(
        self,
        name: types.DatabaseName,
        group: Group,
        clock: clocks.Clock,
        password: str = "",
    ) -> None:
        self.log = replication.Log(name, uuid.uuid4().hex)
        self.engine = engines.Engine()
        self.load = loads.Load(clock)
        self.locks = advisory.Locks()
        self.lag = datetime.timedelta()
        self.paused = asyncio.Event()
        self.paused.set()
        self.lock = asyncio.Lock()
        self.changed = asyncio.Condition()
        self._group = group
        self._clock = clock
        self._server = servers.Server(
            lambda: _Handler(self), {"hickorygate": password}, _STATEMENT_LIMIT
        )
        self._puller: asyncio.Task[None] | None = None

    @property
    def name(self) -> types.DatabaseName:
        """Its name in the sheet."""
        return self.log.database

    @property
    def port(self) -> int:
        """The TCP port that it listens on."""
        return self._server.port

    def __repr__(self) -> str:
        return f"StandInDatabase({self.log!r})"

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Begins to listen and to replicate."""
        await self._server.start(host, port)
        self._puller = asyncio.create_task(self._replicate())

    async def stop(self) -> None:
        """Dies: all connections end, nothing listens."""
        if self._puller is not None:
            self._puller.cancel()
            await asyncio.gather(self._puller, return_exceptions=True)
        await self._server.close()

    def status(self) -> positions.DatabaseStatus:
        """Returns what the database says about itself."""
        return self.log.status(self._clock.now())

    async def commit(self, sqls: tuple[str, ...]) -> None:
        """Adds a committed transaction to the log and wakes who waits."""
        self.log.append(sqls)
        await self.notify()

    async def notify(self) -> None:
        """Wakes who waits for a position or a term."""
        async with self.changed:
            self.changed.notify_all()

    async def _replicate(self) -> None:
        while True:
            await self._clock.sleep(max(_PULL_PERIOD, self.lag))
            await self.paused.wait()
            primary = self._group.source_of(self)
            if primary is not None:
                await self._pull(primary)

    async def _pull(self, primary: StandInDatabase) -> None:
        before = self.log.position
        async with self.lock:
            if self.log.pull(primary.log, self._clock.now()):
                self.engine.clear()
            for entry in self.log.entries[self.log.applied :]:
                for sql in entry.statements:
                    self.engine.run(sql)
            self.log.applied = len(self.log.entries)
        if self.log.position != before:
            await self.notify()


class Group:
    """Databases that replicate to one another, and the cuts between them."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._databases: dict[types.DatabaseName, StandInDatabase] = {}
        self._cuts: set[frozenset[types.DatabaseName]] = set()

    @property
    def databases(self) -> tuple[StandInDatabase, ...]:
        """All databases of the group."""
        return tuple(self._databases.values())

    def __repr__(self) -> str:
        return f"Group({list(self._databases)})"

    async def start(
        self,
        names: tuple[types.DatabaseName, ...],
        ports: tuple[int, ...] = (),
    ) -> tuple[StandInDatabase, ...]:
        """Starts databases; the first is the primary of term 1.

        Args:
          names: of the databases.
          ports: one for each name; none for free ones.
        """
        for name, port in zip(names, ports or (0,) * len(names), strict=True):
            database = StandInDatabase(name, self, self._clock)
            self._databases[name] = database
            await database.start(port=port)
        first = self._databases[names[0]]
        first.log.fence(1, "setup")
        first.log.promote(1, "setup")
        for name in names[1:]:
            self._databases[name].log.follow(1, names[0])
        return self.databases

    async def stop(self) -> None:
        """Stops all databases."""
        for database in self._databases.values():
            await database.stop()

    def cut(self, one: types.DatabaseName, other: types.DatabaseName) -> None:
        """Stops replication between two databases."""
        self._cuts.add(frozenset((one, other)))

    def mend(self) -> None:
        """Undoes all cuts."""
        self._cuts.clear()

    def source_of(self, database: StandInDatabase) -> StandInDatabase | None:
        """Returns the database that this one can pull from."""
        name = database.log.following
        if name is None or frozenset((name, database.name)) in self._cuts:
            return None
        source = self._databases.get(name)
        if source is None or not source.paused.is_set():
            return None
        return source


class _Handler:
    """Answers one connection of the stand-in."""

    def __init__(self, database: StandInDatabase) -> None:
        self._database = database
        self._pending: list[str] = []
        self._idle = loads.IdleLimit()
        self._connected = False
        self.autocommit = True
        self.in_transaction = False

    async def connect(self) -> expression.Result[None, errors.Failure]:
        """Accepts connections while there is room."""
        self._connected = self._database.load.connect()
        if not self._connected:
            return expression.Error(_TOO_MANY)
        await self._database.load.log_in()
        return expression.Ok(None)

    async def login(
        self, user: types.CallerName, attributes: Mapping[str, str]
    ) -> expression.Result[None, errors.Failure]:
        """Accepts whoever knew the password."""
        return expression.Ok(None)

    async def query(
        self, sql: str, attributes: Mapping[str, str]
    ) -> handlers.AnswerResult:
        """Answers one statement."""
        with self._idle.busy():
            return await self._answer(sql)

    async def _answer(self, sql: str) -> handlers.AnswerResult:
        await self._database.paused.wait()
        columns = advisory.parse(sql)
        if columns is not None:
            row = await self._database.locks.evaluate(self, columns)
            return expression.Ok(advisory.table(columns, row))
        procedure = _PROCEDURE.match(sql)
        if procedure:
            return await self._call(procedure.group(1), procedure.group(2))
        statement = statements.classify(sql)
        if statement.is_error():
            return expression.Error(statement.error)
        result = await self._run(statement.ok)
        await self._database.paused.wait()
        return result

    async def use(self, schema: types.SchemaName) -> handlers.AnswerResult:
        """Accepts any schema; all share one set of tables."""
        return expression.Ok(_NOTHING)

    async def reset(self) -> None:
        """Rolls back and gives the session's locks back."""
        self._roll_back()
        self._database.locks.release_all(self)

    async def close(self) -> None:
        """Ends the session and what it left open."""
        await self.reset()
        self._idle.stop()
        if self._connected:
            self._connected = False
            self._database.load.disconnect()

    def _roll_back(self) -> None:
        if self.in_transaction:
            self._database.engine.rollback()
            self._leave()

    async def _run(
        self, statement: statements.Statement
    ) -> handlers.AnswerResult:
        match statement:
            case statements.Begin():
                return await self._begin()
            case statements.Commit():
                return await self._commit()
            case statements.Rollback():
                self._roll_back()
                return expression.Ok(_NOTHING)
            case statements.SetAutocommit(enabled=enabled):
                self.autocommit = enabled
                return expression.Ok(_NOTHING)
            case statements.SetVariable() | statements.Use():
                self._idle.read(statement.sql)
                return expression.Ok(_NOTHING)
        return await self._execute(statement)

    async def _begin(self) -> handlers.AnswerResult:
        if self.in_transaction:
            await self._commit()
        if not await self._enter():
            return expression.Error(_LOCK_WAIT)
        return expression.Ok(_NOTHING)

    async def _enter(self) -> bool:
        try:
            async with asyncio.timeout(_LOCK_TIMEOUT.total_seconds()):
                await self._database.lock.acquire()
        except TimeoutError:
            return False
        self._database.engine.begin()
        self.in_transaction = True
        return True

    def _leave(self) -> None:
        self._pending.clear()
        self.in_transaction = False
        self._database.lock.release()

    async def _commit(self) -> handlers.AnswerResult:
        if not self.in_transaction:
            return expression.Ok(_NOTHING)
        if self._pending and not self._database.log.writable:
            self._roll_back()
            return expression.Error(_READ_ONLY)
        self._database.engine.commit()
        sqls = tuple(self._pending)
        if sqls:
            self._database.log.append(sqls)
        self._leave()
        await self._database.notify()
        return expression.Ok(_NOTHING)

    async def _execute(
        self, statement: statements.Statement
    ) -> handlers.AnswerResult:
        writes = isinstance(statement, statements.Write)
        if writes and not self._database.log.writable:
            return expression.Error(_READ_ONLY)
        await self._database.load.run(statement.sql)
        if self.in_transaction:
            return self._in_transaction(statement, writes)
        if not await self._enter():
            return expression.Error(_LOCK_WAIT)
        result = self._in_transaction(statement, writes)
        if result.is_error() or not self.autocommit:
            if result.is_error():
                self._roll_back()
            return result
        committed = await self._commit()
        return result if committed.is_ok() else committed

    def _in_transaction(
        self, statement: statements.Statement, writes: bool
    ) -> handlers.AnswerResult:
        result = self._database.engine.run(statement.sql)
        if writes and result.is_ok():
            self._pending.append(statement.sql)
        return result

    async def _call(self, name: str, arguments: str) -> handlers.AnswerResult:
        parts = [part.strip().strip("'") for part in arguments.split(",")]
        log = self._database.log
        match name.lower():
            case "status":
                result = expression.Ok(None)
            case "fence":
                result = log.fence(int(parts[0]), parts[1])
            case "promote":
                result = log.promote(int(parts[0]), parts[1])
            case "follow":
                result = log.follow(int(parts[0]), parts[1])
            case "wait":
                await self._wait(int(parts[0]), int(parts[1]), int(parts[2]))
                result = expression.Ok(None)
            case _:
                result = expression.Error(
                    errors.UpstreamError(1305, "42000", f"no group_{name}")
                )
        if result.is_error():
            return expression.Error(
                errors.UpstreamError(
                    _REFUSED_TERM, "HY000", result.error.message
                )
            )
        await self._database.notify()
        return expression.Ok(_status_table(self._database.status()))

    async def _wait(
        self, term: types.Term, offset: types.Offset, milliseconds: int
    ) -> None:
        target = positions.Position(term, offset)

        def settled() -> bool:
            status = self._database.status()
            return positions.holds(status, target) or status.term > term

        try:
            async with asyncio.timeout(milliseconds / 1_000):
                async with self._database.changed:
                    await self._database.changed.wait_for(settled)
        except TimeoutError:
            return
