"""Tests of a proxy process while its sheet changes."""

from __future__ import annotations

import asyncio
import datetime
import unittest

import asyncmy

from hickorygate.core import clock
from hickorygate.core import document
from hickorygate.testing import cluster

_TIMEOUT = datetime.timedelta(seconds=20)
_STOP_DELAY = datetime.timedelta(milliseconds=300)
_LAG = datetime.timedelta(milliseconds=400)


class DaemonTest(unittest.IsolatedAsyncioTestCase):
    """One proxy in front of a group of three databases."""

    async def asyncSetUp(self) -> None:
        self.stand_in_cluster = await cluster.start(proxies=1)
        self.addAsyncCleanup(self.stand_in_cluster.stop)
        await self.stand_in_cluster.wait_until_ready(_TIMEOUT)
        (self.daemon,) = self.stand_in_cluster.daemons
        self.text = cluster.sheet_text(self.stand_in_cluster.group)

    async def connect(self) -> asyncmy.Connection:
        connection = await cluster.connect(self.daemon)
        self.addAsyncCleanup(connection.ensure_closed)
        return connection

    async def load(self, text: str) -> None:
        """Puts a sheet in force under the next version."""
        sheet = self.daemon.sheet
        assert sheet is not None
        kind = document.DocumentKind.SHEET
        version = sheet.version + 1
        candidate = document.ReceivedDocument(version, text, "test")
        await self.daemon.manager.receive_document(kind, candidate)
        self.assertEqual(self.daemon.sheet.version, version)

    async def test_change_of_a_group_interrupts_no_write(self) -> None:
        cursor = (await self.connect()).cursor()
        await cursor.execute("CREATE TABLE reports (id INT)")
        before = self.daemon.group("alert-db-1")
        for database in self.stand_in_cluster.group.databases:
            database.lag = _LAG
        insert = "INSERT INTO reports VALUES (1)"
        write = asyncio.create_task(cursor.execute(insert))
        while not before.busy:
            await asyncio.sleep(0)
        await self.load(self.text.replace("connections: 20", "connections: 19"))
        self.assertIsNot(self.daemon.group("alert-db-1"), before)
        await asyncio.wait_for(write, _TIMEOUT.total_seconds())
        self.assertEqual(cursor.rowcount, 1)

    async def test_unchanged_group_keeps_its_connections(self) -> None:
        before = self.daemon.group("alert-db-1")
        await self.load(self.text + "# the same\n")
        self.assertIs(self.daemon.group("alert-db-1"), before)

    async def test_change_of_the_number_of_proxies_replaces_the_link(
        self,
    ) -> None:
        before = self.daemon.group("alert-db-1")
        await self.load(self.text.replace("proxies: 5", "proxies: 4"))
        self.assertIsNot(self.daemon.group("alert-db-1"), before)

    async def load_planned_stop(self, after: datetime.timedelta) -> None:
        """Loads a sheet with a planned stop of this proxy.

        Args:
          after: time from now to the stop.
        """
        at = clock.SystemClock().now() + after
        name = self.daemon.settings.name
        stop = f"  - {{instance: {name}, at: {at.isoformat()}}}\n"
        entries = f"entry_instances: [{name}]\n"
        await self.load(self.text + entries + "planned_stops:\n" + stop)

    async def test_planned_stop_is_a_graceful_shutdown(self) -> None:
        await self.load_planned_stop(_STOP_DELAY)
        self.assertFalse(self.daemon.draining)
        await asyncio.wait_for(
            self.daemon.wait_until_drained(), _TIMEOUT.total_seconds()
        )
        self.assertTrue(self.daemon.draining)

    async def test_planned_stop_before_the_start_is_ignored(self) -> None:
        await self.load_planned_stop(datetime.timedelta(minutes=-1))
        await asyncio.sleep(_STOP_DELAY.total_seconds())
        self.assertFalse(self.daemon.draining)
