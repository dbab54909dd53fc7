"""Databases of one service, as PROTOCOL.md describes them.

One group of databases listens on loopback ports. The databases keep a log,
replicate it, promote, pause and demote, and record what they ran, so that a
script can check what a caller and a database saw.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import dataclasses
import hashlib
import re

_WAIT = re.compile(r"WAITPOS (\d+)\.(\d+) (.*)\Z", re.DOTALL)
_END = b"\r\n"


@dataclasses.dataclass(frozen=True)
class Commit:
    """A committed write; `number` counts the entries of the log."""

    term: int
    number: int
    request: str
    writes: tuple[str, ...]

    @property
    def position(self) -> tuple[int, int]:
        """Position in the log."""
        return (self.term, self.number)


@dataclasses.dataclass
class Run:
    """A caller's statement that a database ran.

    Attributes:
      request: id of the request.
      text: text as received, without WAITPOS.
      database: id of the database.
      session: number of the database's connection.
      values: session values of the connection.
      transaction: number of the transaction that it ran in; 0 for none.
    """

    request: str
    text: str
    database: str
    session: int
    values: dict[str, str]
    transaction: int


class Database:
    """One database of a group.

    Attributes:
      id: identity.
      leads: whether it is the primary.
      term: term that it leads or follows.
      log: received commits, in order.
      applied: number of commits that reads see.
      paused_for: term whose primary it waits for; 0 if it receives.
      deaf: whether it receives nothing.
      born: time of its start, in Unix milliseconds.
      leaving: whether it reports that it is draining.
      held: whether its link to the proxies holds back all bytes.
    """

    def __init__(self, name: str, group: Group, leads: bool) -> None:
        self.id = name
        self.group = group
        self.leads = leads
        self.term = 1
        self.log: list[Commit] = []
        self.applied = 0
        self.paused_for = 0
        self.deaf = False
        self.born = 1_790_000_000_000
        self.leaving = False
        self.held = False
        self.port = 0
        self.sessions: set[Session] = set()
        self.slots = asyncio.Semaphore(group.slots)
        self._server: asyncio.Server | None = None

    @property
    def end(self) -> tuple[int, int]:
        """Position of the end of the log."""
        return self.log[-1].position if self.log else (1, 0)

    @property
    def visible(self) -> tuple[int, int]:
        """Position that reads see."""
        return self.log[self.applied - 1].position if self.applied else (1, 0)

    @property
    def running(self) -> bool:
        """Whether the database listens."""
        return self._server is not None

    async def start(self) -> None:
        """Listens, on the former port after a restart."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: Session(self), "127.0.0.1", self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def crash(self) -> None:
        """Stops at once; the log is kept."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for session in tuple(self.sessions):
            session.abort()

    def hold(self, held: bool) -> None:
        """Holds back all bytes to and from the proxies, or delivers them."""
        self.held = held
        for session in tuple(self.sessions):
            session.on_hold_changed()

    def entry(self) -> dict[str, object]:
        """Returns the entry that the database writes into the store."""
        return {
            "service": self.group.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": "hobart",
            "version": "v1",
            "slots": self.group.slots,
            "state": "draining" if self.leaving else "ready",
            "cold_left_ms": 0,
            "db_role": "primary" if self.leads else "replica",
            "born": self.born,
            "seq_no": self.group.next_sequence(),
        }


class Group:
    """The databases of one service.

    Attributes:
      acknowledged: commits whose success was sent, in order.
      lost: acknowledged commits that a database lacked when it was promoted.
      promotions: ids of the databases that were promoted.
      runs: callers' statements that were run.
    """

    def __init__(
        self,
        service: str,
        names: list[str],
        record: Callable[[str], None],
        slots: int = 2,
        work_s: float = 0.004,
        lag_s: float = 0.06,
        promote_s: float = 0.6,
        sync_replicas: int = 1,
    ) -> None:
        self.service = service
        self.slots = slots
        self.work_s = work_s
        self.lag_s = lag_s
        self.promote_s = promote_s
        self.sync_replicas = sync_replicas
        self.record = record
        self.runs: list[Run] = []
        self.acknowledged: list[Commit] = []
        self.lost: list[Commit] = []
        self.promotions: list[str] = []
        self._sequence = 0
        self._sessions = 0
        self._transactions = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self.databases = {
            name: Database(name, self, number == 0)
            for number, name in enumerate(names)
        }

    async def start(self) -> None:
        """Starts all databases and the replication."""
        for database in self.databases.values():
            await database.start()
        self.keep(self._replicate())

    def keep(self, coroutine) -> None:  # noqa: ANN001
        """Runs a coroutine in the background."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def next_sequence(self) -> int:
        """Returns the count of the next entry."""
        self._sequence += 1
        return self._sequence

    def next_session(self) -> int:
        """Returns the number of the next connection."""
        self._sessions += 1
        return self._sessions

    def next_transaction(self) -> int:
        """Returns the number of the next transaction."""
        self._transactions += 1
        return self._transactions

    def mac(self, database: str, request: str) -> str:
        """Returns the MAC of a run."""
        text = f"{database} {request}".encode()
        return "7." + hashlib.blake2b(text, digest_size=8).hexdigest()

    async def commit(
        self, database: Database, request: str, writes: tuple[str, ...]
    ) -> bool:
        """Commits and waits for the synchronous replicas.

        Returns:
          False if the database lost the lead or stopped meanwhile.
        """
        commit = Commit(database.term, len(database.log) + 1, request, writes)
        database.log.append(commit)
        database.applied = len(database.log)
        while database.running and database.leads:
            holders = sum(
                other is not database and other.running and commit in other.log
                for other in self.databases.values()
            )
            if holders >= self.sync_replicas:
                self.acknowledged.append(commit)
                self.record(f"acknowledged {request} at {database.id}")
                return True
            await asyncio.sleep(0.001)
        return False

    def promote(self, service: str, name: str) -> bool:
        """Accepts a promotion, which takes effect later."""
        database = self.databases.get(name)
        if service != self.service or database is None or not database.running:
            return False
        if not database.leads:
            self.keep(self._promote_later(database))
        return True

    async def _promote_later(self, database: Database) -> None:
        await asyncio.sleep(self.promote_s)
        held = set(database.log)
        lost = [c for c in self.acknowledged if c not in held]
        self.lost += lost
        self.promotions.append(database.id)
        database.term = max(d.term for d in self.databases.values()) + 1
        database.leads, database.paused_for = True, 0
        database.applied = len(database.log)
        self.record(
            f"promoted {database.id}: term {database.term}, "
            f"{len(lost)} acknowledged commits lacking"
        )

    async def _replicate(self) -> None:
        while True:
            await asyncio.sleep(0.001)
            leaders = [d for d in self.databases.values() if d.leads]
            leaders = [d for d in leaders if d.running]
            if not leaders:
                continue
            leader = max(leaders, key=lambda d: d.term)
            for database in self.databases.values():
                self._copy(leader, database)

    def _copy(self, leader: Database, database: Database) -> None:
        blocked = database.deaf or leader.term < database.paused_for
        if database is leader or not database.running or blocked:
            return
        if database.leads:
            database.leads = False
            self.record(f"{database.id} is a replica again")
        database.term, database.paused_for = leader.term, 0
        if database.log != leader.log:
            database.log = list(leader.log)
            database.applied = min(database.applied, len(database.log))
            loop = asyncio.get_running_loop()
            loop.call_later(self.lag_s, self._apply, database, database.end)

    def _apply(self, database: Database, end: tuple[int, int]) -> None:
        count = sum(c.position <= end for c in database.log)
        database.applied = max(database.applied, count)


class Session(asyncio.Protocol):
    """A connection to a database; requests are answered in order."""

    def __init__(self, database: Database) -> None:
        self._database = database
        self._group = database.group
        self._number = self._group.next_session()
        self._transport: asyncio.Transport | None = None
        self._inbox = b""
        self._held_in = b""
        self._held_out = b""
        self._queue: asyncio.Queue[bytes] = asyncio.Queue()
        self._task: asyncio.Task[None] | None = None
        self._state = "I"
        self._read_only = False
        self._transaction = 0
        self._writes: list[str] = []
        self._values: dict[str, str] = {}
        self._names: dict[str, tuple[str, str]] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts to serve."""
        self._transport = transport  # type: ignore[assignment]
        self._database.sessions.add(self)
        self._task = asyncio.get_running_loop().create_task(self._serve())

    def connection_lost(self, exc: Exception | None) -> None:
        """Rolls back."""
        self._database.sessions.discard(self)
        if self._task is not None:
            self._task.cancel()

    def abort(self) -> None:
        """Closes the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def on_hold_changed(self) -> None:
        """Delivers the bytes that were held back, if the link is back."""
        if self._database.held:
            return
        held, self._held_in = self._held_in, b""
        self.data_received(held)
        held, self._held_out = self._held_out, b""
        self._write(held)

    def data_received(self, data: bytes) -> None:
        """Queues the complete messages, which end in CR LF."""
        if self._database.held:
            self._held_in += data
            return
        *lines, self._inbox = (self._inbox + data).split(_END)
        for line in lines:
            self._queue.put_nowait(line)

    async def _serve(self) -> None:
        while True:
            line = (await self._queue.get()).decode("utf-8", "surrogateescape")
            word, _, rest = line.partition(" ")
            if word == "CONNECT":
                await self._connect(rest.split(" "))
            elif word == "QUERY":
                request, _, text = rest.partition(" ")
                await self._query(request, text)
            else:
                self.abort()

    async def _connect(self, fields: list[str]) -> None:
        asked = fields[2] if len(fields) > 2 else self._database.id
        if (fields[0], asked) != (self._group.service, self._database.id):
            self._send(f"ERROR MISROUTED {self._database.id}")
            self._close()
            return
        async with self._database.slots:
            await asyncio.sleep(0.012)
        self._ready()

    async def _query(self, request: str, text: str) -> None:
        found = _WAIT.match(text)
        if found is not None:
            if self._database.visible < (int(found[1]), int(found[2])):
                self._error("LAGGING")
                return
            text = found[3]
        word, _, rest = text.partition(" ")
        if self._state == "E" and word != "ROLLBACK":
            self._error("MALFORMED")
            return
        match word:
            case "BEGIN":
                self._begin(rest == "READ")
            case "COMMIT" | "ROLLBACK":
                await self._end(request, word)
            case "READ" | "WRITE" | "EXECUTE":
                await self._statement(request, text)
            case "SET":
                name, _, value = rest.partition(" ")
                self._values[name] = value
                self._complete()
            case "PREPARE":
                name, kind, shape = rest.split(" ", 2)
                self._names[name] = (kind, shape)
                self._complete()
            case "DEALLOC":
                self._names.pop(rest, None)
                self._complete()
            case "RESET":
                self._values.clear()
                self._names.clear()
                self._complete()
            case "STATUS" | "PAUSE" | "DEMOTE" | "RESUME":
                await self._control(word, rest)
            case _:
                self._error("MALFORMED")

    def _begin(self, read_only: bool) -> None:
        if self._state != "I":
            self._error("MALFORMED")
            return
        if not read_only and not self._database.leads:
            self._error("READONLY")
            return
        self._state, self._read_only = "T", read_only
        self._transaction = self._group.next_transaction()
        self._complete()

    async def _end(self, request: str, word: str) -> None:
        writes, self._writes = tuple(self._writes), []
        transaction, self._transaction = self._transaction, 0
        was_open = self._state == "T"
        self._state = "I"
        if word == "ROLLBACK":
            self._complete()
            return
        if not was_open:
            self._error("MALFORMED")
            return
        if writes and not self._database.leads:
            self._error("READONLY")
            return
        async with self._database.slots:
            await asyncio.sleep(self._group.work_s)
        self._note(request, word, transaction)
        if writes and not await self._group.commit(
            self._database, request, writes
        ):
            self.abort()
            return
        self._complete(request)

    async def _statement(self, request: str, text: str) -> None:
        words = text.split(" ", 2)
        kind, shape = words[0], ""
        if kind == "EXECUTE":
            if words[1] not in self._names:
                self._error("UNKNSTMT")
                return
            kind, shape = self._names[words[1]]
        plain = self._state == "T" and not self._read_only
        if (kind == "WRITE" or plain) and not self._database.leads:
            self._error("READONLY")
            return
        async with self._database.slots:
            await asyncio.sleep(self._group.work_s)
        self._note(request, f"{shape} {text}".strip(), self._transaction)
        if kind == "WRITE" and self._state == "T":
            self._writes.append(text)
        elif kind == "WRITE" and not await self._group.commit(
            self._database, request, (text,)
        ):
            self.abort()
            return
        if kind == "READ":
            self._send(f"ROW row-{request}")
        self._complete(request)

    def _note(self, request: str, text: str, transaction: int) -> None:
        run = Run(
            request,
            text,
            self._database.id,
            self._number,
            dict(self._values),
            transaction,
        )
        self._group.runs.append(run)
        self._group.record(
            f"{run.database} ran {request} {text!r} on connection "
            f"{self._number}, transaction {transaction}, values {run.values}"
        )

    async def _control(self, word: str, rest: str) -> None:
        database = self._database
        if word == "PAUSE" and int(rest) > database.term and not database.leads:
            database.paused_for = max(database.paused_for, int(rest))
        if word == "RESUME":
            database.paused_for = 0
        if word == "DEMOTE" and database.leads and database.term < int(rest):
            database.leads = False
        if word != "STATUS":
            self._group.record(f"{database.id} got {word} {rest}")
        async with database.slots:
            role = "primary" if database.leads else "replica"
            term, number = database.end
            status = f"{term}.{number} {database.paused_for} 0 0 1"
            self._send(f"ROW {role} {database.term} {status}")
        self._complete()

    def _complete(self, request: str = "-") -> None:
        known = request != "-"
        mac = self._group.mac(self._database.id, request) if known else "-"
        self._send(f"COMPLETE {mac}")
        self._ready()

    def _error(self, code: str) -> None:
        if self._state == "T":
            self._state = "E"
        self._send(f"ERROR {code} {self._database.id}")
        self._ready()

    def _ready(self) -> None:
        term, number = self._database.visible
        self._send(f"READY {self._state} {term}.{number}")

    def _send(self, line: str) -> None:
        self._write(line.encode("utf-8", "surrogateescape") + _END)

    def _write(self, data: bytes) -> None:
        if self._database.held:
            self._held_out += data
        elif data and self._transport and not self._transport.is_closing():
            self._transport.write(data)

    def _close(self) -> None:
        if self._transport is not None:
            self._transport.close()
