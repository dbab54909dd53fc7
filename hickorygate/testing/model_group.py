"""A model of one database group, without a network, for tests of load.

A database accepts a limited number of connections, opens each of them within a
fixed time, and runs as many statements at once as it has slots. All waits are
timers, so a fleet of proxies runs on virtual time in a fraction of a second.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import dataclasses
import datetime
import random

import expression

from hickorygate.core import clock as clocks
from hickorygate.core import errors
from hickorygate.core import position as positions
from hickorygate.core import reply as replies
from hickorygate.core import types
from hickorygate.testing import model_connection
from hickorygate.upstreams import database_request
from hickorygate.upstreams import member as members

__all__ = ["ModelConnector", "ModelDatabase", "ModelGroup", "ModelSettings"]

_CONNECT_TIMEOUT = datetime.timedelta(seconds=0.5)
_GREETING_TIMEOUT = datetime.timedelta(seconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class ModelSettings:
    """Sizes and times of the databases of a group.

    Attributes:
      connections: number of connections that one database accepts.
      slots: number of statements that one database runs at once.
      round_trip: time for a message and its answer, without the work.
      opening: time that a new connection occupies a slot.
      work: time that a statement occupies a slot.
      promotion: time until an accepted promotion takes effect.
      queue: number of statements that wait at a database at most; it rejects
        further ones as busy. None if it rejects none.
    """

    connections: int = 117
    slots: int = 4
    round_trip: datetime.timedelta = datetime.timedelta(milliseconds=2)
    opening: datetime.timedelta = datetime.timedelta(milliseconds=12)
    work: datetime.timedelta = datetime.timedelta(milliseconds=24)
    promotion: datetime.timedelta = datetime.timedelta(milliseconds=300)
    queue: int | None = None


class ModelGroup:
    """One primary and two replicas that follow it at once.

    Attributes:
      settings: sizes and times.
      databases: the databases by name.
      promotions: names of the databases that were ordered to take over.
      pause_terms: terms for which replicas were asked to pause.
    """

    def __init__(self, settings: ModelSettings, clock: clocks.Clock) -> None:
        self.settings = settings
        self.databases = {
            name: ModelDatabase(name, self, clock) for name in ("a", "b", "c")
        }
        self.promotions: list[str] = []
        self.pause_terms: set[types.Term] = set()
        self._clock = clock
        self._leader = "a"
        self._end = positions.Position(1, 1)
        self._replicated = self._end
        self._paused: dict[str, types.Term] = {}
        self._changed = asyncio.Event()

    @property
    def leader(self) -> str:
        """The name of the primary."""
        return self._leader

    @property
    def end(self) -> positions.Position:
        """The position of the primary's newest commit."""
        return self._end

    @property
    def replicated(self) -> positions.Position:
        """The position of the newest commit that the replicas hold."""
        return self._replicated

    def __repr__(self) -> str:
        return f"ModelGroup(leader={self._leader!r}, end={self._end})"

    def members(self) -> tuple[members.Member, ...]:
        """Returns the entries of the databases in service discovery."""
        slots = self.settings.slots
        return tuple(
            members.Member(
                name,
                1,
                "s",
                name,
                1,
                name,
                slots,
                database.leaving,
                database.leads,
            )
            for name, database in self.databases.items()
        )

    def append(self) -> None:
        """Appends a commit to the primary's log."""
        self._end = positions.Position(self._end.term, self._end.offset + 1)

    def replicate(self) -> None:
        """Copies the primary's log to the replicas."""
        self._replicated = self._end

    def pause(self, name: str, term: types.Term) -> None:
        """Pauses a replica until there is a primary of at least a term."""
        self.pause_terms.add(term)
        if name != self._leader:
            self._paused[name] = max(term, self._paused.get(name, 0))

    def paused_for(self, name: str) -> types.Term:
        """Returns the term that a database waits for; 0 if it isn't paused."""
        return self._paused.get(name, 0)

    async def wait_for_replica(self) -> None:
        """Waits until a replica receives from the primary."""
        while len(self._paused) >= len(self.databases) - 1:
            await self._changed.wait()

    def promote(self, name: str) -> bool:
        """Accepts an order to promote a database."""
        self.promotions.append(name)
        delay = self.settings.promotion.total_seconds()
        asyncio.get_running_loop().call_later(delay, self._take_over, name)
        return True

    def connector(self, proxy: types.ProxyName) -> ModelConnector:
        """Returns the connector of one proxy."""
        return ModelConnector(self, proxy)

    def _take_over(self, name: str) -> None:
        self._leader = name
        end = self._replicated
        self._end = positions.Position(end.term + 1, end.offset)
        self._replicated = self._end
        self._paused = {
            paused: term
            for paused, term in self._paused.items()
            if term > self._end.term and paused != name
        }
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()


class ModelConnector:
    """Opens the connections of one proxy."""

    def __init__(self, group: ModelGroup, proxy: types.ProxyName) -> None:
        self._group = group
        self._proxy = proxy

    def __repr__(self) -> str:
        return f"ModelConnector({self._proxy!r})"

    async def open(
        self,
        member: members.Member,
        on_connect: Callable[[], None],
        workspace: types.WorkspaceName = "",
    ) -> expression.Result[database_request.Connection, errors.Failure]:
        """Opens a connection to a database."""
        return await self._group.databases[member.id].open(
            self._proxy, on_connect, workspace
        )


class ModelDatabase:
    """One database of a group.

    Attributes:
      name: name of the database.
      group: group of the database.
      opened: number of connections that were opened.
      begun: number of transactions that were begun, those of probes included.
      refused: number of connections that were refused at the limit.
      statements: number of statements that ran.
      runs: these statements.
      written: number of writes that ran, acknowledged or not.
      running: number of statements that run or wait for a slot.
      status_requests: number of status requests that were answered.
      most_open: greatest number of connections at the same time.
      slowdown: factor of the time that statements occupy a slot.
      failing_share: share of the statements that fail at once, 0 to 1.
      leaving: whether the database has announced its shutdown.
    """

    def __init__(
        self, name: str, group: ModelGroup, clock: clocks.Clock
    ) -> None:
        self.name = name
        self.group = group
        self.opened = 0
        self.begun = 0
        self.refused = 0
        self.statements = 0
        self.runs: list[model_connection.ModelRun] = []
        self.written = 0
        self.running = 0
        self.status_requests = 0
        self.most_open = 0
        self.slowdown = 1.0
        self.failing_share = 0.0
        self.leaving = False
        self._rng = random.Random(name)
        self._clock = clock
        self._open: set[model_connection.ModelConnection] = set()
        self._slots = asyncio.Semaphore(group.settings.slots)
        self._dead = 0
        self._dead_until: datetime.datetime | None = None
        self._cut_off: frozenset[types.ProxyName] = frozenset()
        self._silent = False
        self._reachable_again = asyncio.Event()
        self._replicating = asyncio.Event()
        self._replicating.set()

    @property
    def position(self) -> positions.Position:
        """The end of the database's log."""
        return self.group.end if self.leads else self.group.replicated

    @property
    def open_count(self) -> int:
        """Number of connections, including those of processes that are gone."""
        return len(self._open) + self._dead_count()

    @property
    def leads(self) -> bool:
        """Whether the database is the primary."""
        return self.group.leader == self.name

    def __repr__(self) -> str:
        return f"ModelDatabase({self.name!r}, open={self.open_count})"

    def keep_dead_connections(
        self, count: int, until: datetime.datetime
    ) -> None:
        """Occupies connections for callers that lost power.

        Args:
          count: number of connections.
          until: time at which the database drops them.
        """
        self._dead = count
        self._dead_until = until

    def cut_off(self, *proxies: types.ProxyName) -> None:
        """Lets some proxies get no answer, until the next call of this."""
        self._cut_off = frozenset(proxies)
        self._wake_waiting()

    def silence(self) -> None:
        """Lets no proxy get an answer until `end_silence`.

        The database runs on; its answers are sent when the silence ends.
        """
        self._silent = True

    def end_silence(self) -> None:
        """Ends the silence of the database."""
        self._silent = False
        self._wake_waiting()

    def silence_one_connection_each(self) -> None:
        """Lets nothing arrive any more on one connection of each proxy.

        Proxies that have only one connection are spared.
        """
        by_proxy: dict[
            types.ProxyName, list[model_connection.ModelConnection]
        ] = {}
        for connection in self._open:
            by_proxy.setdefault(connection.proxy, []).append(connection)
        for connections in by_proxy.values():
            if len(connections) > 1:
                connections[0].silent = True

    def set_replicating(self, replicating: bool) -> None:
        """Sets whether commits reach the replicas.

        Without that, no commit is acknowledged.
        """
        if replicating:
            self._replicating.set()
            self.group.replicate()
        else:
            self._replicating.clear()

    async def open(
        self,
        proxy: types.ProxyName,
        on_connect: Callable[[], None],
        workspace: types.WorkspaceName = "",
    ) -> expression.Result[database_request.Connection, errors.Failure]:
        """Opens a connection; closes it at once at the connection limit."""
        await self._clock.sleep(self.group.settings.round_trip)
        if self._silent or proxy in self._cut_off:
            await self._clock.sleep(_CONNECT_TIMEOUT)
            return expression.Error(
                errors.ConnectFailed(self.name, "TimeoutError")
            )
        on_connect()
        if self.open_count >= self.group.settings.connections:
            self.refused += 1
            return expression.Error(
                errors.SessionRefused(self.name, "closed by the database")
            )
        connection = model_connection.ModelConnection(self, proxy, workspace)
        self._open.add(connection)
        self.opened += 1
        self.most_open = max(self.most_open, self.open_count)
        try:
            async with asyncio.timeout(_GREETING_TIMEOUT.total_seconds()):
                await self.occupy_slot(self.group.settings.opening)
        except TimeoutError:
            connection.close()
            return expression.Error(
                errors.SessionRefused(self.name, "not opened in time")
            )
        except asyncio.CancelledError:
            connection.close()
            raise
        return expression.Ok(connection)

    def forget(self, connection: model_connection.ModelConnection) -> None:
        """Removes a closed connection."""
        self._open.discard(connection)

    async def answer(
        self,
        connection: model_connection.ModelConnection,
        batch: tuple[object, ...],
    ) -> list[database_request.ReplyResult]:
        """Answers a batch of requests in order."""
        await self._clock.sleep(self.group.settings.round_trip)
        await self._wait_until_reachable(connection)
        found = []
        for request in batch:
            reply = await model_connection.answer(request, self, connection)
            found.append(expression.Ok(reply))
        await self._wait_until_reachable(connection)
        return found

    async def run(self) -> None:
        """Runs one statement on a slot."""
        self.running += 1
        try:
            await self.occupy_slot(self.slowdown * self.group.settings.work)
        finally:
            self.running -= 1
        self.statements += 1

    def rejection(self) -> replies.Rejection | None:
        """Returns why a statement isn't run; None if it is."""
        settings = self.group.settings
        queue = settings.queue
        if queue is not None and self.running >= settings.slots + queue:
            reason = replies.RejectionReason.BUSY
            return replies.Rejection(reason, self.name)
        if self._rng.random() < self.failing_share:
            reason = replies.RejectionReason.FAILED
            return replies.Rejection(reason, self.name)
        return None

    async def occupy_slot(self, duration: datetime.timedelta) -> None:
        """Waits for a free slot and occupies it for some time."""
        async with self._slots:
            await self._clock.sleep(duration)

    async def commit(self) -> None:
        """Commits, and returns once a replica holds the commit."""
        self.written += 1
        self.group.append()
        await self._replicating.wait()
        await self.group.wait_for_replica()
        self.group.replicate()

    async def _wait_until_reachable(
        self, connection: model_connection.ModelConnection
    ) -> None:
        while (
            self._silent
            or connection.silent
            or connection.proxy in self._cut_off
        ):
            await self._reachable_again.wait()

    def _wake_waiting(self) -> None:
        """Wakes the requests that waited for the end of a cut or a silence."""
        ended, self._reachable_again = self._reachable_again, asyncio.Event()
        ended.set()

    def _dead_count(self) -> int:
        until = self._dead_until
        if until is None or self._clock.now() >= until:
            return 0
        return self._dead
