"""The load of the demo: callers that report and look up lost pets.

There are three kinds of callers, one for each rank: they write reports, write
sightings, or query histories. A caller that loses its connection reconnects to
the next proxy. Writing callers also move at random to another proxy with their
session token. After each write they check that they read their own write.
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
from hickorygate.core import measurement
from hickorygate.core import rank as ranks
from hickorygate.core import types
from hickorygate.testing import ledger

__all__ = ["CallFailed", "MixedLoad", "LoadPlan", "read_back"]

_OUTCOME = re.compile(r"\[(not run|ran|unknown)\]")
_PAUSE = datetime.timedelta(milliseconds=20)
_MOVE_CHANCE = 0.05
_CONNECT_TIMEOUT_SECONDS = 2
_CLIENT_ERRORS = (asyncmy_errors.MySQLError, OSError, TimeoutError)


@dataclasses.dataclass(frozen=True, slots=True)
class LoadPlan:
    """The parameters of the load.

    Attributes:
      ports: ports of the proxies on this machine.
      user: user that logs in.
      password: password of the user.
      schema: schema that holds the tables.
      ranks: ranks of reports, sightings and histories, in this order.
      callers: number of callers of each kind.
      group: name of the group that owns the schema.
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
    """A call failed.

    Attributes:
      text: error text that the caller received.
      reported_outcome: outcome that the caller was told.
    """

    text: str
    reported_outcome: errors.Outcome

    @property
    def outcome(self) -> errors.Outcome:
        """The outcome that the caller was told."""
        return self.reported_outcome

    @property
    def message(self) -> str:
        """The error text that the caller received."""
        return self.text


def _failure(error: Exception, sent: bool) -> CallFailed:
    """Returns the failure that an error reports.

    Args:
      error: error that was raised by the client library.
      sent: whether the statement was sent. If the error doesn't name an
        outcome, the outcome of a sent statement is unknown.
    """
    text = str(error) or type(error).__name__
    match = _OUTCOME.search(text)
    if match:
        return CallFailed(text, errors.Outcome(match.group(1)))
    unsettled = errors.Outcome.UNKNOWN if sent else errors.Outcome.NOT_RUN
    return CallFailed(text, unsettled)


class _Caller:
    """A caller with one session, which may move between proxies.

    Attributes:
      rank: rank of all its statements.
    """

    __slots__ = ("_connection", "_load", "_proxy", "rank")

    def __init__(self, load: MixedLoad, rank: ranks.Rank, proxy: int) -> None:
        self._load = load
        self._proxy = proxy
        self._connection: asyncmy.Connection | None = None
        self.rank = rank

    def __repr__(self) -> str:
        return f"_Caller({self.rank.name!r}, proxy={self._proxy})"

    async def call(
        self, sql: str, work: measurement.WorkKind
    ) -> Sequence[types.Row] | CallFailed:
        """Sends a statement and records its outcome and times."""
        arrived = self._load.clock.now()
        answer = await self._send(sql)
        failed = isinstance(answer, CallFailed)
        self._load.recorder.record(
            measurement.StatementServed(
                rank=self.rank,
                work=work,
                served_by=measurement.ServedBy.NOBODY,
                group=self._load.plan.group,
                arrived=arrived,
                ended=self._load.clock.now(),
                failure=answer if failed else None,
            )
        )
        return answer

    async def move(self) -> bool:
        """Moves the session to the next proxy with the session token.

        Returns:
          Whether the next proxy accepted the token.
        """
        answer = await self._send("SELECT @@hickorygate_token")
        if isinstance(answer, CallFailed):
            return False
        ((token,),) = answer
        self._switch_proxy()
        moved = await self._send(f"SET hickorygate_token = '{token}'")
        return not isinstance(moved, CallFailed)

    async def close(self) -> None:
        """Closes the connection."""
        if self._connection is not None:
            await self._connection.ensure_closed()

    def _switch_proxy(self) -> None:
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
        except _CLIENT_ERRORS as error:
            failure = _failure(error, sent)
        if self._connection is None or not self._connection.connected:
            self._switch_proxy()
        return failure

    async def _log_in(self) -> asyncmy.Connection:
        connection = await _connect(self._load.plan, self._proxy)
        cursor = connection.cursor()
        await cursor.execute(f"SET hickorygate_rank = '{self.rank.name}'")
        return connection


class MixedLoad:
    """A running load: its callers and the recorded outcomes.

    Attributes:
      plan: parameters of the load.
      clock: clock of the load.
      recorder: recorder of each call, as the caller saw it.
      ledger: outcomes of the writes that callers were told.
      moves: number of sessions that moved to another proxy with their token.
      missing_own_writes: keys of own writes that a session didn't read back;
        must stay empty.
    """

    __slots__ = (
        "_generator",
        "_stopping",
        "clock",
        "ledger",
        "moves",
        "plan",
        "recorder",
        "missing_own_writes",
    )

    def __init__(
        self,
        plan: LoadPlan,
        clock: clocks.Clock,
        recorder: measurement.Recorder,
        generator: random.Random,
    ) -> None:
        self.plan = plan
        self.clock = clock
        self.recorder = recorder
        self.ledger = ledger.WriteLedger()
        self.moves = 0
        self.missing_own_writes: list[str] = []
        self._generator = generator
        self._stopping = False

    def __repr__(self) -> str:
        return f"MixedLoad({self.ledger!r}, moves={self.moves})"

    async def prepare(self) -> None:
        """Creates the tables.

        Raises:
          FailureError: a table couldn't be created.
        """
        caller = _Caller(self, self.plan.ranks[0], 0)
        for table in ("reports", "sightings"):
            sql = f"CREATE TABLE {table} (id VARCHAR(40), pet VARCHAR(40))"
            answer = await caller.call(sql, measurement.WorkKind.READ)
            if isinstance(answer, CallFailed):
                raise errors.FailureError(answer)
        await caller.close()

    def start(self) -> list[asyncio.Task[None]]:
        """Starts the callers and returns their tasks."""
        reports, sightings, histories = self.plan.ranks
        return [
            asyncio.create_task(task)
            for number in range(self.plan.callers)
            for task in (
                self._write(reports, "reports", number),
                self._write(sightings, "sightings", number),
                self._query_histories(histories, number),
            )
        ]

    def stop(self) -> None:
        """Makes each caller end after its present iteration."""
        self._stopping = True

    async def _write(self, rank: ranks.Rank, table: str, number: int) -> None:
        """Writes rows, reads them back, and sometimes moves the session."""
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
        """Retries an insert until it is acknowledged or a retry isn't safe.

        A report has an idempotency key, so its insert is also retried if its
        outcome is unknown. A sighting has no key.

        Returns:
          Whether the insert was acknowledged.
        """
        keyed = table == "reports"
        hint = f"/*hickorygate_idempotency_key='{key}'*/ " if keyed else ""
        sql = f"{hint}INSERT INTO {table} VALUES ('{key}', 'Bello')"
        while not self._stopping:
            answer = await caller.call(sql, measurement.WorkKind.WRITE)
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
        answer = await caller.call(sql, measurement.WorkKind.READ)
        if not isinstance(answer, CallFailed) and not answer:
            self.missing_own_writes.append(key)

    async def _query_histories(self, rank: ranks.Rank, number: int) -> None:
        """Queries histories with bounded staleness."""
        caller = _Caller(self, rank, number)
        sql = "/*hickorygate_staleness='lookup'*/ SELECT COUNT(*) FROM reports"
        while not self._stopping:
            await caller.call(sql, measurement.WorkKind.READ)
            await self.clock.sleep(_PAUSE)
        await caller.close()


async def read_back(
    plan: LoadPlan,
) -> expression.Result[Mapping[str, int], CallFailed]:
    """Counts the rows of each key on the primary, through a proxy."""
    try:
        return expression.Ok(await _row_counts(plan))
    except _CLIENT_ERRORS as error:
        return expression.Error(_failure(error, sent=False))


async def _row_counts(plan: LoadPlan) -> Mapping[str, int]:
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


async def _connect(plan: LoadPlan, proxy: int) -> asyncmy.Connection:
    return await asyncmy.connect(
        host="127.0.0.1",
        port=plan.ports[proxy % len(plan.ports)],
        user=plan.user,
        password=plan.password,
        database=plan.schema,
        connect_timeout=_CONNECT_TIMEOUT_SECONDS,
        autocommit=None,
    )
