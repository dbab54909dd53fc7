"""Tests how a session applies the hints that a caller gave at its login."""

from __future__ import annotations

import datetime
import random
import unittest

from hickorygate.callers import environment
from hickorygate.callers import load_balancing
from hickorygate.callers import session_handler
from hickorygate.core import retry
from hickorygate.testing import cluster
from hickorygate.upstreams import answer

_START_TIMEOUT = datetime.timedelta(seconds=20)
_INSERT = "INSERT INTO reports VALUES (1)"
_COUNT = "SELECT COUNT(*) FROM reports"


class LoginHintsTest(unittest.IsolatedAsyncioTestCase):
    """Hints among the connection attributes of a login."""

    async def asyncSetUp(self) -> None:
        self.cluster = await cluster.start(proxies=1)
        self.addAsyncCleanup(self.cluster.stop)
        await self.cluster.wait_until_ready(_START_TIMEOUT)
        (daemon,) = self.cluster.daemons
        env = environment.Environment(
            fleet=daemon,
            clock=daemon.clock,
            rng=random.Random(1),
            zone="nl-west-a",
            retries=retry.RetryBudget(),
            policy=load_balancing.LeastBusy(),
            recorder=daemon.recorder,
        )
        self.handler = session_handler.SessionHandler(
            env, daemon.settings.callers
        )
        self.addAsyncCleanup(self.handler.close)

    async def run_sql(self, sql: str) -> answer.Answer:
        result = await self.handler.query(sql, {})
        self.assertTrue(result.is_ok(), result)
        return result.ok

    async def test_idempotency_key_applies_to_the_first_write_only(
        self,
    ) -> None:
        key = {"hickorygate_idempotency_key": "scan-1"}
        await self.handler.login(cluster.USER, {})
        await self.handler.select_schema(cluster.SCHEMA)
        await self.run_sql("CREATE TABLE reports (id INT)")
        for logins, rows in ((1, 2), (2, 3)):
            with self.subTest(logins=logins):
                await self.handler.login(cluster.USER, key)
                await self.handler.select_schema(cluster.SCHEMA)
                await self.run_sql(_INSERT)
                await self.run_sql(_INSERT)
                counted = await self.run_sql(_COUNT)
                assert isinstance(counted, answer.ResultSet), counted
                (row,) = counted.rows
                self.assertEqual(int(row[0]), rows)
