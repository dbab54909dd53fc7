"""Callers that report, sight and look up lost pets, for the demo.

Three kinds of caller, one a rank. A caller that loses its proxy goes on at
the next one; callers also move now and then with their session token, and
check that they read their own writes there.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import datetime
import random
import re

import asyncmy
from asyncmy import errors as asyncmy_errors
import expression

from hickorygate.core import clock as clocks
from hickorygate.core import errors
from hickorygate.core import measurement as measurements
from hickorygate.core import rank as ranks
from hickorygate.core import types
from hickorygate.testing import ledger as ledgers

__all__ = ["CallFailed", "MixedLoad", "Plan", "read_back"]

_OUTCOME = re.compile(r"\[(not run|ran|unknown)\]")
_PAUSE = datetime.timedelta(milliseconds=20)
_MOVE_CHANCE = 0.05
_CONNECT_TIMEOUT_SECONDS = 2
_FAILURES = (asyncmy_errors.MySQLError, OSError, TimeoutError)


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Who calls, where and as whom.

    Attributes:
      ports: of the proxies, on this machine.
      user: who logs in.
      password: its password.
      schema: the schema that holds the tables.
      ranks: for reports, sightings and histories, in this order.
      callers: of each kind.
      group: the group that owns the schema.
    """

    ports: tuple[int, ...]
    user: types.CallerName
    password: str
    schema: types.SchemaName
    ranks: tuple[ranks.Rank, ranks.Rank, ranks.Rank]
    callers: int
    group: types.GroupName


@dataclasses.dataclass(frozen=True, slots=True)
class CallFailed(errors.Failure):
    """A call failed, as the caller saw it."""

    text: str
    said: errors.Outcome

    @property
    def outcome(self) -> errors.Outcome:
        """What the caller was told."""
        return self.said

    @property
    def message(self) -> str:
        """The text that the caller got."""
        return self.text


def _failure(error: Exception, sent: bool) -> CallFailed:
    """Reads what an error says; a cut without a word leaves it open."""
    text = str(error) or type(error).__name__
    match = _OUTCOME.search(text)
    if match:
        return CallFailed(text, errors.Outcome(match.group(1)))
    unsettled = errors.Outcome.UNKNOWN if sent else errors.Outcome.NOT_RUN
    return CallFailed(text, unsettled)


class _Caller:
    """One session, which may move between proxies."""

    __slots__ = ("_connection", "_load", "_proxy", "rank")

    def __init__(self, load: MixedLoad, rank: ranks.Rank, proxy: int) -> None:
        self._load = load
        self._proxy = proxy
        self._connection: asyncmy.Connection | None = None
        self.rank = rank

    def __repr__(self) -> str:
        return f"_Caller({self.rank.name!r}, proxy={self._proxy})"

    async def call(
        self, sql: str, work: measurements.Work
    ) -> Sequence[types.Row] | CallFailed:
        """Sends a statement and records how it went."""
        arrived = self._load.clock.now()
        answer = await self._send(sql)
        failed = isinstance(answer, CallFailed)
        self._load.recorder.record(
            measurements.StatementServed(
                rank=self.rank,
                work=work,
                served_by=measurements.ServedBy.NOBODY,
                group=self._load.plan.group,
                arrived=arrived,
                ended=self._load.clock.now(),
                failure=answer if failed else None,
            )
        )
        return answer

    async def move(self) -> bool:
        """Goes to the next proxy with the session's token."""
        answer = await self._send("SELECT @@hickorygate_token")
        if isinstance(answer, CallFailed):
            return False
        ((token,),) = answer
        self._leave()
        moved = await self._send(f"SET hickorygate_token = '{token}'")
        return not isinstance(moved, CallFailed)

    async def close(self) -> None:
        """Hangs up."""
        if self._connection is not None:
            await self._connection.ensure_closed()

    def _leave(self) -> None:
        if self._connection is not None:
            self._connection.close()
        self._connection = None
        self._proxy += 1

    async def _send(self, sql: str) -> Sequence[types.Row] | CallFailed:
        sent = False
        try:
            if self._connection is None:
                self._connection = await self._log_in()
            cursor = self._connection.cursor()
            sent = True
            await cursor.execute(sql)
            return await cursor.fetchall()
        except _FAILURES as error:
            failure = _failure(error, sent)
        if self._connection is None or not self._connection.connected:
            self._leave()
        return failure

    async def _log_in(self) -> asyncmy.Connection:
        connection = await _connect(self._load.plan, self._proxy)
        cursor = connection.cursor()
        await cursor.execute(f"SET hickorygate_rank = '{self.rank.name}'")
        return connection


class MixedLoad:
    """The callers, what they were told, and how they were served.

    Attributes:
      plan: who calls.
      clock: the time.
      recorder: takes each call's service, as the caller saw it.
      ledger: what callers were told of their writes.
      moves: sessions that went to another proxy with their token.
      stale: own writes that a session did not read; must stay empty.
    """

    __slots__ = (
        "_generator",
        "_stopping",
        "clock",
        "ledger",
        "moves",
        "plan",
        "recorder",
        "stale",
    )

    def __init__(
        self,
        plan: Plan,
        clock: clocks.Clock,
        recorder: measurements.Recorder,
        generator: random.Random,
    ) -> None:
        self.plan = plan
        self.clock = clock
        self.recorder = recorder
        self.ledger = ledgers.Ledger()
        self.moves = 0
        self.stale: list[str] = []
        self._generator = generator
        self._stopping = False

    def __repr__(self) -> str:
        return f"MixedLoad({self.ledger!r}, moves={self.moves})"

    async def prepare(self) -> None:
        """Makes the tables.

        Raises:
          FailureError: a table could not be made.
        """
        caller = _Caller(self, self.plan.ranks[0], 0)
        for table in ("reports", "sightings"):
            sql = f"CREATE TABLE {table} (id VARCHAR(40), pet VARCHAR(40))"
            answer = await caller.call(sql, measurements.Work.READ)
            if isinstance(answer, CallFailed):
                raise errors.FailureError(answer)
        await caller.close()

    def start(self) -> list[asyncio.Task[None]]:
        """Starts the callers."""
        reports, sightings, histories = self.plan.ranks
        return [
            asyncio.create_task(task)
            for number in range(self.plan.callers)
            for task in (
                self._write(reports, "reports", number),
                self._write(sightings, "sightings", number),
                self._look_up(histories, number),
            )
        ]

    def stop(self) -> None:
        """Lets each caller finish what it does."""
        self._stopping = True

    async def _write(self, rank: ranks.Rank, table: str, number: int) -> None:
        """Writes, reads what it wrote, and moves now and then."""
        caller = _Caller(self, rank, number)
        serial = 0
        while not self._stopping:
            serial += 1
            key = f"{table}-{number}-{serial}"
            if await self._insert(caller, table, key):
                if self._generator.random() < _MOVE_CHANCE:
                    self.moves += await caller.move()
                await self._check_own_write(caller, table, key)
            await self.clock.sleep(_PAUSE)
        await caller.close()

    async def _insert(self, caller: _Caller, table: str, key: str) -> bool:
        """Inserts a row until it is acknowledged or may not be repeated.

        A report has an idempotency key, so it is repeated also where its
        outcome is unknown; a sighting has none.
        """
        keyed = table == "reports"
        hint = f"/*hickorygate_idempotency_key='{key}'*/ " if keyed else ""
        sql = f"{hint}INSERT INTO {table} VALUES ('{key}', 'Bello')"
        while not self._stopping:
            answer = await caller.call(sql, measurements.Work.WRITE)
            if not isinstance(answer, CallFailed):
                self.ledger.acknowledge(key)
                return True
            self.ledger.refuse(key, answer.outcome)
            if answer.outcome is not errors.Outcome.NOT_RUN and not keyed:
                return False
            await self.clock.sleep(_PAUSE)
        return False

    async def _check_own_write(
        self, caller: _Caller, table: str, key: str
    ) -> None:
        sql = f"SELECT pet FROM {table} WHERE id = '{key}'"
        answer = await caller.call(sql, measurements.Work.READ)
        if not isinstance(answer, CallFailed) and not answer:
            self.stale.append(key)

    async def _look_up(self, rank: ranks.Rank, number: int) -> None:
        """Pulls histories that may be somewhat old."""
        caller = _Caller(self, rank, number)
        sql = "/*hickorygate_staleness='lookup'*/ SELECT COUNT(*) FROM reports"
        while not self._stopping:
            await caller.call(sql, measurements.Work.READ)
            await self.clock.sleep(_PAUSE)
        await caller.close()


async def read_back(
    plan: Plan,
) -> expression.Result[Mapping[str, int], CallFailed]:
    """Counts the rows of each key, through a proxy, on the primary."""
    try:
        return expression.Ok(await _row_counts(plan))
    except _FAILURES as error:
        return expression.Error(_failure(error, sent=False))


async def _row_counts(plan: Plan) -> Mapping[str, int]:
    connection = await _connect(plan, 0)
    cursor = connection.cursor()
    counts: dict[str, int] = {}
    await connection.begin()
    for table in ("reports", "sightings"):
        await cursor.execute(f"SELECT id, COUNT(*) FROM {table} GROUP BY id")
        counts.update(await cursor.fetchall())
    await connection.rollback()
    await connection.ensure_closed()
    return counts


async def _connect(plan: Plan, proxy: int) -> asyncmy.Connection:
    return await asyncmy.connect(
        host="127.0.0.1",
        port=plan.ports[proxy % len(plan.ports)],
        user=plan.user,
        password=plan.password,
        database=plan.schema,
        connect_timeout=_CONNECT_TIMEOUT_SECONDS,
        autocommit=None,
    )
