"""Tests of several proxies' pools against one stand-in database."""

from __future__ import annotations

import asyncio
import dataclasses
import datetime
import unittest

from hickorygate.core import assignment
from hickorygate.core import clock
from hickorygate.core import errors
from hickorygate.core import pool_errors
from hickorygate.core import rank
from hickorygate.core import request_context
from hickorygate.core import settings as settings_lib
from hickorygate.core import sheet
from hickorygate.testing import database
from hickorygate.testing import relay
from hickorygate.upstreams import connection as connections
from hickorygate.upstreams import slot_pool
from hickorygate.upstreams import slots

_SECOND = datetime.timedelta(seconds=1)
_RANK = rank.Rank("normal", 1, 30 * _SECOND, 0.2)
_SLOTS = 3
_SHARE = slots.SharedConnections(limit=10, proxies=5)


class SlotPoolTest(unittest.IsolatedAsyncioTestCase):
    """Limits, lost connections and session isolation on real connections."""

    async def asyncSetUp(self) -> None:
        self.clock = clock.SystemClock()
        group = database.StandInGroup(self.clock)
        (self.database,) = await group.start(("one",))
        self.addAsyncCleanup(group.stop)
        self.relay = relay.FaultRelay("127.0.0.1", self.database.port)
        await self.relay.start()
        self.addAsyncCleanup(self.relay.stop)

    def pool(self, **settings: int) -> slot_pool.SlotPool:
        row = sheet.Database(
            "one", "127.0.0.1", self.relay.port, "zone", 20, _SLOTS
        )
        upstream_settings = settings_lib.UpstreamSettings(**settings)
        pool = slot_pool.SlotPool(row, _SHARE, upstream_settings, self.clock)
        self.addCleanup(pool.close)
        return pool

    def slow_down(self, seconds: float) -> None:
        load = self.database.load
        load.settings = dataclasses.replace(
            load.settings,
            slots=_SLOTS,
            time=lambda sql: datetime.timedelta(seconds=seconds),
        )

    def request(
        self, allowed: datetime.timedelta
    ) -> request_context.RequestContext:
        now = self.clock.now()
        return request_context.RequestContext(_RANK, now, now + allowed)

    async def lease(self, pool: slot_pool.SlotPool) -> connections.Connection:
        result = await pool.acquire(self.request(20 * _SECOND))
        self.assertTrue(result.is_ok(), result)
        return result.ok

    async def run_one(
        self, pool: slot_pool.SlotPool, sql: str = "SELECT 1"
    ) -> object:
        connection = await self.lease(pool)
        result = await connection.execute(sql, 10 * _SECOND)
        pool.release(connection)
        return result

    async def test_limits_hold_over_all_proxies(self) -> None:
        self.slow_down(0.005)
        all_pools = [self.pool() for _ in range(5)]
        work = [self.run_one(pool) for pool in all_pools for _ in range(30)]
        results = await asyncio.gather(*work)
        self.assertTrue(all(result.is_ok() for result in results))
        self.assertEqual(self.database.load.most_running, _SLOTS)
        self.assertLessEqual(self.database.load.most_connections, _SHARE.limit)

    async def test_more_proxies_than_configured_stay_within_the_limit(
        self,
    ) -> None:
        all_pools = [self.pool() for _ in range(8)]
        work = [self.run_one(pool) for pool in all_pools[:5] for _ in range(5)]
        await asyncio.gather(*work)
        refused = await all_pools[7].acquire(self.request(20 * _SECOND))
        self.assertIsInstance(refused.error, pool_errors.ConnectionLimit)
        held = [n for n in self.database.locks.held if "connection" in n]
        self.assertLessEqual(len(held), _SHARE.limit)
        all_pools[0].close()
        self.assertTrue((await self.run_one(all_pools[7])).is_ok())

    async def test_requests_succeed_soon_after_connections_go_silent(
        self,
    ) -> None:
        pool = self.pool()
        await self.run_one(pool, "CREATE TABLE t (id INT)")
        await asyncio.gather(*(self.run_one(pool) for _ in range(4)))
        self.relay.blackhole()
        results = await asyncio.gather(
            *(
                self.run_one(pool, f"INSERT INTO t VALUES ({number})")
                for number in range(4)
            )
        )
        lost = [r.error for r in results if r.is_error()]
        for failure in lost:
            self.assertIs(failure.outcome, errors.Outcome.UNKNOWN)
        rows = (await self.run_one(pool, "SELECT id FROM t")).ok.rows
        self.assertEqual(len(rows), len(set(rows)))
        self.assertGreaterEqual(len(rows), 4 - len(lost))

    async def test_leaving_database_refuses_waiting_requests(self) -> None:
        pool = self.pool()
        leased = [await self.lease(pool) for _ in range(2)]
        waiting = asyncio.create_task(pool.acquire(self.request(20 * _SECOND)))
        await asyncio.sleep(0.02)
        pool.retire()
        result = await waiting
        self.assertIsInstance(result.error, pool_errors.DatabaseLeft)
        for connection in leased:
            done = await connection.execute("SELECT 1", _SECOND)
            self.assertTrue(done.is_ok())
            pool.release(connection)
            self.assertTrue(connection.closed)
        self.assertEqual(pool.idle, 0)

    async def test_connection_with_session_state_is_not_reused(self) -> None:
        pool = self.pool()
        for sql in ("BEGIN", "SELECT GET_LOCK('mine', 0)"):
            connection = await self.lease(pool)
            self.assertTrue((await connection.execute(sql, _SECOND)).is_ok())
            pool.release(connection)
            self.assertTrue(connection.closed, sql)
        clean = await self.lease(pool)
        pool.release(clean)
        self.assertFalse(clean.closed)

    async def test_callers_cannot_use_reserved_locks(self) -> None:
        connection = await self.lease(self.pool())
        for sql in (
            "SELECT RELEASE_ALL_LOCKS()",
            "SELECT RELEASE_LOCK('hickorygate.slot.0')",
        ):
            refused = await connection.execute(sql, _SECOND)
            self.assertIsInstance(refused.error, pool_errors.ReservedLock)
        mention = "SELECT 'see hickorygate.org'"
        self.assertTrue((await connection.execute(mention, _SECOND)).is_ok())

    async def test_cancelled_statement_closes_its_connection(self) -> None:
        self.slow_down(0.2)
        pool = self.pool()
        connection = await self.lease(pool)
        task = asyncio.create_task(connection.execute("SELECT 1", _SECOND))
        await asyncio.sleep(0.02)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        pool.release(connection)
        self.assertTrue(connection.closed)
        self.assertTrue((await self.run_one(pool)).is_ok())

    async def test_connection_whose_variables_are_unknown_is_not_reused(
        self,
    ) -> None:
        # A SET without an answer may still take effect. The connection must
        # not serve a session that has the variables from before.
        pool = self.pool()
        connection = await self.lease(pool)
        self.relay.cut(relay.Direction.BOTH)
        variables = (assignment.SessionVariable("sql_mode", "''"),)
        changed = await connection.set_variables(variables, _SECOND / 10)
        self.assertTrue(changed.is_error())
        pool.release(connection)
        self.assertTrue(connection.closed)
        self.relay.heal()
        self.assertIsNot(await self.lease(pool), connection)

    async def test_idle_transaction_is_ended_with_a_typed_error(self) -> None:
        pool = self.pool(transaction_idle_ms=200, keepalive_ms=50)
        connection = await self.lease(pool)
        await connection.execute("BEGIN", _SECOND)
        while not connection.closed:
            await asyncio.sleep(0.01)
        refused = await connection.execute("SELECT 1", _SECOND)
        self.assertIsInstance(refused.error, pool_errors.TransactionIdle)
        pool.release(connection)
        self.assertTrue((await self.run_one(pool)).is_ok())

    async def test_full_database_is_reported(self) -> None:
        load = self.database.load
        load.settings = dataclasses.replace(load.settings, connections=0)
        result = await self.pool().acquire(self.request(20 * _SECOND))
        self.assertIsInstance(result.error, pool_errors.ConnectionLimit)

    async def test_cancelled_waiter_leaves_no_request_behind(self) -> None:
        pool = self.pool()
        held = [await self.lease(pool) for _ in range(2)]
        task = asyncio.create_task(self.lease(pool))
        await asyncio.sleep(0.02)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        for connection in held:
            pool.release(connection)
        self.assertEqual(sum(pool.waiting.values()), 0)
        self.assertEqual(pool.leased, 0)
