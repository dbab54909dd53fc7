"""Tests failures of a primary while a caller writes, over real sockets.

Time is virtual, so that the load of the machine delays no probe.
"""

from __future__ import annotations

import asyncio
import datetime

import asyncmy

from hickorygate.core import errors
from hickorygate.core import position
from hickorygate.testing import cluster
from hickorygate.testing import database as databases
from hickorygate.testing import ledger
from hickorygate.testing import virtual_time

_GUARD_SECONDS = 30
_WRITES = 25
_PAUSE_SECONDS = 0.005
_GROUP = "alert-db-1"


class _Writer:
    """A caller that writes numbered rows and records each result."""

    def __init__(self, port: int) -> None:
        self.ledger = ledger.WriteLedger()
        self.refused: list[str] = []
        self._port = port
        self._number = 0
        self._connection: asyncmy.Connection | None = None

    async def write(self, count: int) -> None:
        """Writes until `count` rows are acknowledged."""
        done = 0
        while done < count:
            self._number += 1
            done += await self._insert(str(self._number))
            await asyncio.sleep(_PAUSE_SECONDS)

    async def run(self, sql: str) -> tuple[tuple[object, ...], ...]:
        """Runs one statement and returns its rows."""
        if self._connection is None:
            self._connection = await asyncmy.connect(
                host="127.0.0.1",
                port=self._port,
                user="vindpoot",
                password="polder",
                database="alerts_1",
                autocommit=True,
            )
        cursor = self._connection.cursor()
        await cursor.execute(sql)
        return tuple(await cursor.fetchall())

    async def close(self) -> None:
        """Closes the connection."""
        if self._connection is not None:
            await self._connection.ensure_closed()

    async def _insert(self, key: str) -> bool:
        try:
            await self.run(f"INSERT INTO reports VALUES ('{key}')")
        except asyncmy.errors.MySQLError as error:
            self.refused.append(str(error))
            not_run = "[not run]" in str(error)
            outcome = (
                errors.Outcome.NOT_RUN if not_run else errors.Outcome.UNKNOWN
            )
            self.ledger.refuse(key, outcome)
            return False
        self.ledger.acknowledge(key)
        return True


class RunnerTest(virtual_time.VirtualTimeTestCase):
    """Writes resume after each kind of failure of a primary.

    No acknowledged write may be lost or stored twice.
    """

    async def asyncSetUp(self) -> None:
        clock = virtual_time.LoopClock(asyncio.get_running_loop())
        self.cluster = await cluster.start(proxies=2, clock=clock)
        self.addAsyncCleanup(self.cluster.stop)
        guard = datetime.timedelta(seconds=_GUARD_SECONDS)
        await self.cluster.wait_until_ready(guard)
        self.writer = _Writer(self.cluster.daemons[0].port)
        self.addAsyncCleanup(self.writer.close)
        await self.writer.run("CREATE TABLE reports (id VARCHAR(20))")

    def primary(self) -> databases.StandInDatabase:
        leaders = [
            database
            for database in self.cluster.group.databases
            if database.log.role is position.Role.PRIMARY
        ]
        return max(leaders, key=lambda database: database.log.term)

    async def write_rows(self) -> None:
        async with asyncio.timeout(_GUARD_SECONDS):
            await self.writer.write(_WRITES)

    async def check(self, old: databases.StandInDatabase) -> None:
        """Checks that the old primary was replaced, follows and lost no row.

        Waits until the old primary has the log position of the new one, then
        compares the rows of both with the ledger of the writer.
        """
        async with asyncio.timeout(_GUARD_SECONDS):
            while old.log.position != self.primary().log.position:
                await asyncio.sleep(_PAUSE_SECONDS)
        self.assertIsNot(self.primary(), old)
        for database in (old, self.primary()):
            with self.subTest(database.name):
                result = database.engine.run(
                    "SELECT id, COUNT(*) FROM reports GROUP BY id"
                )
                rows = {str(key): int(count) for key, count in result.ok.rows}
                audit = self.writer.ledger.audit(rows)
                self.assertTrue(audit.clean, audit)

    async def test_stopped_primary_is_replaced_and_rejoins(self) -> None:
        await self.write_rows()
        old = self.primary()
        await old.stop()
        await self.write_rows()
        await old.restart()
        await self.check(old)

    async def test_primary_that_lost_its_log_rejoins_empty(self) -> None:
        await self.write_rows()
        old = self.primary()
        await old.stop()
        await self.write_rows()
        await old.restart(blank=True)
        await self.write_rows()
        await self.check(old)

    async def test_unresponsive_primary_is_replaced(self) -> None:
        await self.write_rows()
        old = self.primary()
        old.paused.clear()
        await self.write_rows()
        old.paused.set()
        await self.check(old)

    async def test_primary_cut_off_from_its_replicas_is_replaced(
        self,
    ) -> None:
        await self.write_rows()
        old = self.primary()
        for other in self.cluster.group.databases:
            if other is not old:
                self.cluster.group.cut(old.name, other.name)
        await self.write_rows()
        self.cluster.group.restore_links()
        await self.check(old)

    async def test_a_leaving_primary_is_replaced_without_refusal(
        self,
    ) -> None:
        await self.write_rows()
        old = self.primary()
        for daemon in self.cluster.daemons:
            daemon.group(_GROUP).set_leaving(frozenset({old.name}))
        async with asyncio.timeout(_GUARD_SECONDS):
            while self.primary() is old:
                await self.writer.write(1)
        await self.write_rows()
        self.assertEqual(self.writer.refused, [])
        await self.check(old)
