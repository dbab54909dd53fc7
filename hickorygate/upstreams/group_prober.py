"""Queries all databases of a group in rounds and evaluates the answers."""

from __future__ import annotations

import asyncio
import dataclasses
import datetime
from typing import TYPE_CHECKING

import expression

from hickorygate.core import background
from hickorygate.core import clock as clocks
from hickorygate.core import errors
from hickorygate.core import rank
from hickorygate.core import reply
from hickorygate.core import request_context
from hickorygate.upstreams import borrow_queue
from hickorygate.upstreams import commit_guard
from hickorygate.upstreams import database_request
from hickorygate.upstreams import group_state
from hickorygate.upstreams import health as vitals
from hickorygate.upstreams import member
from hickorygate.upstreams import process_age

if TYPE_CHECKING:
    from hickorygate.upstreams import connection_pool

__all__ = ["CONTROL_RANK", "GroupProber"]

CONTROL_RANK = rank.Rank(
    "control", -1, datetime.timedelta(milliseconds=100), 0.0
)
"""The rank of probes; it precedes the ranks of all callers in the queues for
connections."""

_PROBE_TIMEOUT = datetime.timedelta(milliseconds=1_200)
"""Timeout of a probe; the connection of a probe that timed out is closed."""

_ROUND_TIMEOUT = datetime.timedelta(milliseconds=120)
"""Maximum time a round waits for a database that answered the last probe."""

_DOUBTFUL_TIMEOUT = datetime.timedelta(milliseconds=15)
"""Maximum time a round waits for a database that did not answer the last
probe."""

_SHARING_TIMEOUT = datetime.timedelta(milliseconds=60)
"""Maximum time a query waits behind a caller's statement before it is sent on
a connection of its own."""

_STATUS_PAUSE = datetime.timedelta(milliseconds=250)
"""Time after which statuses are requested again if the same databases answered
as before."""

_SUSPENSION_THRESHOLD = datetime.timedelta(milliseconds=400)
"""If a round takes this much longer than twice `_ROUND_TIMEOUT`, this process
was presumably suspended, and the health of all databases is reset."""


@dataclasses.dataclass(frozen=True, slots=True)
class _UnclearRound:
    """A round that did not confirm a primary.

    Attributes:
      sent: time at which it was sent.
      leading: databases that answered as the primary.
      silent: databases that did not answer.
    """

    sent: datetime.datetime
    leading: frozenset[member.MemberId]
    silent: frozenset[member.MemberId]


class GroupProber:
    """Runs rounds of status queries over the databases of one group."""

    def __init__(
        self,
        known_state: group_state.GroupState,
        pools: dict[member.MemberId, connection_pool.ConnectionPool],
        clock: clocks.Clock,
    ) -> None:
        self._state = known_state
        self._pools = pools
        self._clock = clock
        self._health: dict[member.MemberId, vitals.DatabaseHealth] = {}
        self._probes: dict[member.MemberId, asyncio.Task[None]] = {}
        self._background = background.BackgroundTasks()
        self._last_unclear: _UnclearRound | None = None

    def __repr__(self) -> str:
        return f"GroupProber({sorted(self._pools)})"

    def health(self, name: member.MemberId) -> vitals.DatabaseHealth:
        """Returns the health state of a database."""
        return self._health.setdefault(name, vitals.DatabaseHealth())

    def record_answer(self, name: member.MemberId) -> None:
        """Records that a database answered a probe or a statement."""
        self.health(name).record_answer(self._clock.now())
        pool = self._pools.get(name)
        if pool is not None:
            pool.note_answer()

    def is_silent(self, name: member.MemberId) -> bool:
        """Returns whether a database has answered nothing for some time."""
        health = self.health(name)
        return health.silent(self._clock.now(), self._connecting_since(name))

    def is_lost(self, name: member.MemberId) -> bool:
        """Returns whether a database is unreachable."""
        health = self.health(name)
        return health.lost(self._clock.now(), self._connecting_since(name))

    def forget(self, name: member.MemberId) -> None:
        """Drops the health state of a database that left."""
        self._health.pop(name, None)

    async def close(self) -> None:
        """Cancels outstanding probes."""
        await self._background.close()

    async def run_round(self, with_status: bool) -> group_state.RoundResult:
        """Queries all databases; slow ones count as not having answered.

        If the answers do not confirm a primary, a second query requests the
        statuses as well.

        Args:
          with_status: whether the first query requests the statuses.

        Returns:
          The conclusions from the answers.
        """
        now = self._clock.now()
        probe_round = self._state.open_round(now, with_status)
        await self._probe_all(probe_round, with_status)
        if not with_status and self._needs_statuses(probe_round):
            # These answers do not confirm a primary; the log ends in the
            # statuses may.
            probe_round = self._state.open_round(self._clock.now(), True)
            await self._probe_all(probe_round, True)
        if self._clock.now() - now > 2 * _ROUND_TIMEOUT + _SUSPENSION_THRESHOLD:
            self._reset_health()
        return self._state.evaluate(probe_round)

    async def ask(
        self, name: member.MemberId, *batch: database_request.Request
    ) -> list[database_request.ReplyResult] | None:
        """Sends requests that originate in this proxy to one database.

        Args:
          name: database to send the requests to.
          *batch: requests to send together.

        Returns:
          The replies; None if the database could not be reached in time or
          the exchange failed.
        """
        pool = self._pools.get(name)
        if pool is None:
            return None
        try:
            return await self._ask(name, pool, batch)
        except Exception as error:
            # A database that makes this proxy fail is one that doesn't answer;
            # otherwise a round or a takeover would wait for it forever.
            background.report_error(
                background.FAILED, error, asyncio.current_task()
            )
            self.health(name).record_refusal(self._clock.now())
            return None

    async def ask_running(
        self, name: member.MemberId, long_enough: datetime.datetime
    ) -> commit_guard.Replica | None:
        """Requests the status of a database, and since when it runs.

        Args:
          name: database to ask.
          long_enough: latest start of its process that is of interest.

        Returns:
          The status; None if there was no answer in time.
        """
        pool = self._pools.get(name)
        if pool is None:
            return None
        proving = process_age.longest_running(
            pool.shareable_connections(), long_enough
        )
        if proving is None:
            # The connection that this opens proves something later.
            await self.ask(name, database_request.ReadStatus())
            return None
        asked = self._clock.now()
        try:
            async with asyncio.timeout(_PROBE_TIMEOUT.total_seconds()):
                results = await proving.connection.ask(
                    database_request.ReadStatus()
                )
        except TimeoutError:
            return None
        status = results[0].ok.group if _is_clean(results) else None
        if status is None:
            return None
        process_age.note_answer(pool.shareable_connections(), proving, asked)
        return commit_guard.Replica(status, asked, proving.running_since)

    async def _ask(
        self,
        name: member.MemberId,
        pool: connection_pool.ConnectionPool,
        batch: tuple[database_request.Request, ...],
    ) -> list[database_request.ReplyResult] | None:
        """Sends requests to one database, behind a statement if possible."""
        shared = await self._ask_behind_statement(pool, batch)
        if shared is not None:
            self.record_answer(name)
            return shared
        return await self._ask_alone(pool, batch)

    async def _ask_behind_statement(
        self,
        pool: connection_pool.ConnectionPool,
        batch: tuple[database_request.Request, ...],
    ) -> list[database_request.ReplyResult] | None:
        """Sends requests on a connection that a caller's statement uses.

        Returns:
          The replies; None if there is no such connection or its statement
          takes too long.
        """
        connection = pool.busy_connection()
        if connection is None:
            return None
        try:
            async with asyncio.timeout(_SHARING_TIMEOUT.total_seconds()):
                results = await self._exchange(
                    pool.member.id, connection, batch
                )
        except TimeoutError:
            return None
        return results if _is_clean(results) else None

    async def _ask_alone(
        self,
        pool: connection_pool.ConnectionPool,
        batch: tuple[database_request.Request, ...],
    ) -> list[database_request.ReplyResult] | None:
        """Sends requests on a connection of their own."""
        name = pool.member.id
        now = self._clock.now()
        request = request_context.RequestContext(
            CONTROL_RANK, now, now + _PROBE_TIMEOUT
        )
        borrowed = await pool.borrow(
            request, {}, borrow_queue.BorrowPurpose.STATUS
        )
        if borrowed.is_error():
            self._record_unreachable(name, borrowed.error)
            return None
        pooled_connection = borrowed.ok
        # A wait for a connection says nothing about the database.
        self.health(name).record_probe(self._clock.now())
        try:
            async with asyncio.timeout(_PROBE_TIMEOUT.total_seconds()):
                results = await self._exchange(name, pooled_connection, batch)
        except TimeoutError:
            return None
        finally:
            pooled_connection.give_back()
        if not _is_clean(results):
            self.health(name).record_refusal(self._clock.now())
            return None
        self.record_answer(name)
        return results

    async def _exchange(
        self,
        name: member.MemberId,
        connection: database_request.Connection,
        batch: tuple[database_request.Request, ...],
    ) -> list[database_request.ReplyResult]:
        """Sends requests at once, and records the first replies when they come.

        A status waits for a slot of the database, the requests before it don't.
        So a busy database isn't taken for a silent one.
        """
        count = sum(
            not isinstance(request, database_request.ReadStatus)
            for request in batch
        )
        rest = asyncio.create_task(connection.ask(*batch[count:]))
        try:
            # Sent by this turn of the loop: in the next one, the connection
            # may already run a caller's transaction.
            results = await connection.ask(*batch[:count])
            if results and _is_clean(results):
                self.record_answer(name)
            return results + await rest
        finally:
            rest.cancel()

    def _needs_statuses(self, probe_round: group_state.ProbeRound) -> bool:
        """Returns whether to request the statuses after an unclear round.

        While the same databases answer in the same way, the statuses rarely
        tell more than a moment ago, so they are requested less often.
        """
        leading = probe_round.leading
        unclear = bool(probe_round.silent and leading)
        if not (unclear or self._state.needs_statuses(probe_round)):
            self._last_unclear = None
            return False
        last = self._last_unclear
        if (
            last is not None
            and (last.leading, last.silent) == (leading, probe_round.silent)
            and probe_round.sent - last.sent < _STATUS_PAUSE
        ):
            return False
        self._last_unclear = _UnclearRound(
            probe_round.sent, leading, probe_round.silent
        )
        return True

    def _record_unreachable(
        self, name: member.MemberId, failure: errors.Failure
    ) -> None:
        """Records a failure to get a connection.

        Only a failed connection attempt counts against the database; other
        failures, such as a wait for a free connection that timed out, do not.
        A database that refuses a session runs.
        """
        match failure:
            case (
                errors.SessionRefused()
                | reply.Rejection(reason=reply.RejectionReason.CONNECTION_LIMIT)
            ):
                self.health(name).record_refused_session(self._clock.now())
            case errors.ConnectFailed():
                self.health(name).record_refusal(self._clock.now())

    async def _probe_all(
        self, probe_round: group_state.ProbeRound, statuses: bool
    ) -> None:
        responsive: list[asyncio.Task[None]] = []
        doubtful: list[asyncio.Task[None]] = []
        for name in probe_round.asked:
            running = self._probes.get(name)
            if running is None or running.done():
                running = self._background.start(
                    self._probe(name, probe_round, statuses)
                )
                self._probes[name] = running
                doubt = self.health(name).doubtful(probe_round.sent)
                (doubtful if doubt else responsive).append(running)
        if responsive:
            await asyncio.wait(
                responsive, timeout=_ROUND_TIMEOUT.total_seconds()
            )
        pending = [task for task in doubtful if not task.done()]
        if pending:
            await asyncio.wait(
                pending, timeout=_DOUBTFUL_TIMEOUT.total_seconds()
            )

    async def _probe(
        self,
        name: member.MemberId,
        probe_round: group_state.ProbeRound,
        statuses: bool,
    ) -> None:
        """Queries whether one database is the primary.

        The query opens and rolls back a transaction, which uses no slot of
        the database. Requesting the status as well does use one.
        """
        batch: list[database_request.Request] = [
            database_request.Begin(),
            database_request.Rollback(),
        ]
        if statuses:
            batch.append(database_request.ReadStatus())
        results = await self.ask(name, *batch)
        if results is None:
            return
        answer = self._decode(results, statuses)
        if answer is None:
            return
        probe_round.answers.setdefault(name, answer)

    def _decode(
        self, results: list[database_request.ReplyResult], statuses: bool
    ) -> group_state.ProbeAnswer | None:
        begun: reply.Reply = results[0].ok
        status = results[2].ok.group if statuses else None
        match begun.result:
            case expression.Result(tag="ok"):
                return group_state.ProbeAnswer(True, begun.position, status)
            case expression.Result(
                tag="error",
                error=reply.Rejection(reason=reply.RejectionReason.READ_ONLY),
            ):
                return group_state.ProbeAnswer(False, begun.position, status)
        return None

    def _connecting_since(
        self, name: member.MemberId
    ) -> datetime.datetime | None:
        pool = self._pools.get(name)
        return pool.connecting_since if pool is not None else None

    def _reset_health(self) -> None:
        for database_health in self._health.values():
            database_health.reset()


def _is_clean(results: list[database_request.ReplyResult]) -> bool:
    """Returns whether all requests were answered and no transaction is open."""
    if not all(result.is_ok() for result in results):
        return False
    return results[-1].ok.state is reply.TransactionState.IDLE
