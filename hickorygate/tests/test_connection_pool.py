"""Tests the connection pool of one database."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import datetime
import unittest

import expression

from hickorygate.core import clock as clocks
from hickorygate.core import errors
from hickorygate.core import events
from hickorygate.core import platform_events
from hickorygate.core import rank as ranks
from hickorygate.core import reply
from hickorygate.core import request_context
from hickorygate.upstreams import borrow_queue
from hickorygate.upstreams import connection_pool
from hickorygate.upstreams import database_request
from hickorygate.upstreams import group_prober
from hickorygate.upstreams import group_state
from hickorygate.upstreams import member as members

_MEMBER = members.Member("a", 1, "s", "10.0.0.1", 1, "z", 2, False, True)


class _Connection:
    """A connection that answers each request, with success by default."""

    def __init__(self) -> None:
        self.closed = False
        self.silent = False
        self.refuses = False
        self.state = reply.TransactionState.IDLE
        self.sent: list[database_request.Request] = []

    async def ask(
        self, *batch: database_request.Request
    ) -> list[database_request.ReplyResult]:
        self.sent += batch
        while self.silent:
            await asyncio.sleep(0.001)
        done = reply.Reply(self._result(), self.state)
        return [expression.Ok(done) for _ in batch]

    def close(self) -> None:
        self.closed = True

    def _result(self) -> reply.Result:
        if self.refuses:
            reason = reply.RejectionReason.MALFORMED
            return expression.Error(reply.Rejection(reason))
        return expression.Ok(reply.Answer())


class _Connector:
    """A connector that opens a limited number of connections."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.resets = False
        self.refused = 0
        self.opened: list[_Connection] = []

    async def open(
        self,
        member: members.Member,
        on_connect: Callable[[], None],
        workspace: str = "",
    ) -> expression.Result[database_request.Connection, errors.Failure]:
        await asyncio.sleep(0)
        on_connect()
        if sum(not c.closed for c in self.opened) >= self.most:
            self.refused += 1
            if self.resets:
                failure = errors.SessionRefused(member.id, "closed")
                return expression.Error(failure)
            reason = reply.RejectionReason.CONNECTION_LIMIT
            return expression.Error(reply.Rejection(reason))
        self.opened.append(_Connection())
        return expression.Ok(self.opened[-1])


class ConnectionPoolTest(unittest.IsolatedAsyncioTestCase):
    """Tests how the pool uses a limited number of connections."""

    def build(
        self, most: int, allowed: int = 20
    ) -> connection_pool.ConnectionPool:
        self.connector = _Connector(most)
        clock = clocks.SystemClock()
        self.journal = events.Timeline("p", events.HybridLogicalClock(clock))
        return connection_pool.ConnectionPool(
            _MEMBER, allowed, self.connector, clock, self.journal
        )

    def make_request(self, order: int = 0, seconds: float = 0.2) -> object:
        now = clocks.SystemClock().now()
        rank = ranks.Rank(
            str(order), order, datetime.timedelta(seconds=1), 0.05
        )
        ends = now + datetime.timedelta(seconds=seconds)
        return request_context.RequestContext(rank, now, ends)

    async def test_an_idle_connection_is_reused(self) -> None:
        pool = self.build(5)
        for _ in range(3):
            (await pool.borrow(self.make_request(), {})).ok.give_back()
        self.assertEqual(len(self.connector.opened), 1)

    async def test_a_connection_with_a_matching_session_is_preferred(
        self,
    ) -> None:
        pool = self.build(5)
        borrowed = [
            (await pool.borrow(self.make_request(), {})).ok for _ in range(2)
        ]
        await borrowed[0].sync_session({"v": "1"}, None)
        for pooled_connection in borrowed:
            pooled_connection.give_back()
        again = (await pool.borrow(self.make_request(), {"v": "1"})).ok
        self.assertIs(again, borrowed[0])
        self.assertIsNone(await again.sync_session({"v": "1"}, None))
        self.assertEqual(len(again.connection.sent), 1)

    async def test_a_connection_that_is_returned_twice_is_lent_once(
        self,
    ) -> None:
        pool = self.build(5)
        pooled_connection = (await pool.borrow(self.make_request(), {})).ok
        pooled_connection.give_back()
        pooled_connection.give_back()
        borrowed = [
            (await pool.borrow(self.make_request(), {})).ok for _ in range(2)
        ]
        self.assertIsNot(borrowed[0], borrowed[1])

    async def test_a_refused_session_value_closes_the_connection(self) -> None:
        pool = self.build(5)
        pooled_connection = (await pool.borrow(self.make_request(), {})).ok
        (connection,) = self.connector.opened
        connection.refuses = True
        failure = await pooled_connection.sync_session({"v": "1"}, None)
        self.assertIsNotNone(failure)
        connection.refuses = False
        await pooled_connection.run(database_request.Rollback())
        pooled_connection.give_back()
        self.assertTrue(connection.closed)

    async def test_a_statement_given_up_closes_the_connection(self) -> None:
        pool = self.build(5)
        pooled_connection = (await pool.borrow(self.make_request(), {})).ok
        (connection,) = self.connector.opened
        connection.silent = True
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.01):
                await pooled_connection.run(database_request.Begin())
        connection.silent = False
        await pooled_connection.run(database_request.Rollback())
        pooled_connection.give_back()
        self.assertTrue(connection.closed)

    async def test_removed_session_values_are_reset(self) -> None:
        pool = self.build(5)
        pooled_connection = (await pool.borrow(self.make_request(), {})).ok
        await pooled_connection.sync_session({"v": "1", "w": "2"}, None)
        await pooled_connection.sync_session({"w": "2"}, None)
        self.assertEqual(
            pooled_connection.connection.sent[-2:],
            [database_request.Reset(), database_request.SetValue("w", "2")],
        )

    async def test_a_return_with_an_unknown_session_state_is_recorded(
        self,
    ) -> None:
        pool = self.build(5)
        pooled_connection = (await pool.borrow(self.make_request(), {})).ok
        self.connector.opened[0].state = reply.TransactionState.IN_TRANSACTION
        await pooled_connection.run(database_request.Begin())
        pooled_connection.give_back()
        (recorded,) = self.journal.events
        self.assertEqual(
            recorded.event,
            platform_events.ConnectionUnsettled(
                "a", "a transaction is open", unread=""
            ),
        )

    async def test_the_last_connection_is_not_lent_to_a_transaction(
        self,
    ) -> None:
        pool = self.build(1)
        (await pool.borrow(self.make_request(), {})).ok.give_back()
        refused = await pool.borrow(
            self.make_request(), {}, borrow_queue.BorrowPurpose.LONG
        )
        self.assertTrue(refused.is_error())
        self.assertTrue((await pool.borrow(self.make_request(), {})).is_ok())

    async def test_a_transaction_gets_the_only_allowed_connection(self) -> None:
        pool = self.build(1, allowed=1)
        taken = await pool.borrow(
            self.make_request(), {}, borrow_queue.BorrowPurpose.LONG
        )
        self.assertTrue(taken.is_ok())

    async def test_waiting_borrowers_are_served_by_rank(self) -> None:
        pool = self.build(1)
        held = (await pool.borrow(self.make_request(), {})).ok
        order: list[int] = []

        async def wait(rank: int) -> None:
            pooled_connection = (
                await pool.borrow(self.make_request(rank, 2), {})
            ).ok
            order.append(rank)
            pooled_connection.give_back()

        waiting = [asyncio.create_task(wait(rank)) for rank in (2, 0, 1)]
        await asyncio.sleep(0.02)
        held.give_back()
        await asyncio.gather(*waiting)
        self.assertEqual(order, [0, 1, 2])

    async def test_a_full_database_that_resets_connections_is_not_pressed(
        self,
    ) -> None:
        # A database at its limit may close a new connection instead of
        # answering CONNLIMIT. Each request opened another one and failed.
        pool = self.build(most=1)
        self.connector.resets = True
        first = (await pool.borrow(self.make_request(), {})).ok
        waiting = [
            asyncio.create_task(pool.borrow(self.make_request(1), {}))
            for _ in range(10)
        ]
        for _ in range(10):
            await asyncio.sleep(0)
        first.give_back()
        for task in waiting:
            borrowed = await task
            self.assertTrue(borrowed.is_ok(), borrowed)
            borrowed.ok.give_back()
        self.assertLessEqual(self.connector.refused, 5)

    async def test_a_waiting_borrower_fails_at_its_deadline(self) -> None:
        pool = self.build(1)
        held = (await pool.borrow(self.make_request(), {})).ok
        late = await pool.borrow(self.make_request(seconds=0.05), {})
        self.assertIsInstance(late.error, errors.DeadlinePassed)
        held.give_back()
        self.assertTrue((await pool.borrow(self.make_request(), {})).is_ok())

    async def test_a_probe_with_an_open_transaction_closes_the_connection(
        self,
    ) -> None:
        # The database can fail the rollback that ends a probe. A connection
        # with an open transaction must not be reused.
        pool = self.build(5)
        (await pool.borrow(self.make_request(), {})).ok.give_back()
        (connection,) = self.connector.opened
        connection.state = reply.TransactionState.IN_TRANSACTION
        known_state = group_state.GroupState(1)
        prober = group_prober.GroupProber(
            known_state, {"a": pool}, clocks.SystemClock()
        )
        await prober.ask(
            "a", database_request.Begin(), database_request.Rollback()
        )
        self.assertTrue(connection.closed)

    async def test_a_probe_is_not_sent_into_a_transaction(self) -> None:
        # A probe that chose a connection in use was sent one turn of the loop
        # later. If the connection had begun another caller's transaction by
        # then, the ROLLBACK of the probe ended it.
        pool = self.build(1, allowed=1)
        statement = (await pool.borrow(self.make_request(), {})).ok
        (connection,) = self.connector.opened
        prober = group_prober.GroupProber(
            group_state.GroupState(1), {"a": pool}, clocks.SystemClock()
        )

        async def begin() -> None:
            statement.give_back()
            use = borrow_queue.BorrowPurpose.LONG
            borrowed = (await pool.borrow(self.make_request(), {}, use)).ok
            await borrowed.run(database_request.Begin(read_only=True))

        probe = (database_request.Begin(), database_request.Rollback())
        await asyncio.gather(prober.ask("a", *probe), begin())
        self.assertEqual(
            connection.sent, [*probe, database_request.Begin(read_only=True)]
        )
