"""Tests of the admin port and of the commands that query running proxies."""

from __future__ import annotations

import asyncio
import contextlib
import datetime
import io
import unittest

import aiohttp
import asyncmy

from hickorygate.core import events
from hickorygate.operators import command as commands
from hickorygate.operators import metrics
from hickorygate.operators import proxy_commands
from hickorygate.operators import sheet
from hickorygate.operators import timeline
from hickorygate.testing import cluster

_TIMEOUT = datetime.timedelta(seconds=10)


class AdminTest(unittest.IsolatedAsyncioTestCase):
    """Two running proxies, queried over HTTP and by commands."""

    async def asyncSetUp(self) -> None:
        self.stand_in_cluster = await cluster.start(proxies=2)
        self.addAsyncCleanup(self.stand_in_cluster.stop)
        self.http = aiohttp.ClientSession()
        self.addAsyncCleanup(self.http.close)
        await self.stand_in_cluster.wait_until_ready(_TIMEOUT)
        await self.stand_in_cluster.wait_until_peers_known(_TIMEOUT)
        self.first = self.stand_in_cluster.daemons[0]
        self.first_port = self.first.port

    async def get(self, path: str) -> tuple[int, str]:
        url = f"http://{self.first.admin}{path}"
        async with self.http.get(url) as response:
            return response.status, await response.text()

    async def run_command(
        self, command: commands.Command
    ) -> tuple[commands.Result, str]:
        out = io.StringIO()
        with contextlib.redirect_stdout(out):
            result = await commands.execute(command)
        return result, out.getvalue()

    async def connect(self) -> asyncmy.Connection:
        connection = await asyncmy.connect(
            host="127.0.0.1",
            port=self.first_port,
            user=cluster.USER,
            password=cluster.PASSWORD,
            database="alerts_1",
            autocommit=None,
        )
        self.addAsyncCleanup(connection.ensure_closed)
        return connection

    async def test_ready_until_the_proxy_drains(self) -> None:
        self.assertEqual(await self.get("/ready"), (200, "ready\n"))
        self.first.drain()
        self.assertEqual(await self.get("/ready"), (503, "shutting down\n"))
        self.assertEqual((await self.get("/live"))[0], 200)

    async def test_not_live_after_a_background_task_failed(self) -> None:
        self.first.record_crash()
        self.assertEqual((await self.get("/live"))[0], 503)

    async def test_metrics_show_the_whole_catalogue(self) -> None:
        status, text = await self.get("/metrics")
        self.assertEqual(status, 200)
        for metric in metrics.CATALOGUE:
            self.assertIn(f"# TYPE {metric.full_name} ", text)
        self.assertIn("hickorygate_ready 1", text)
        self.assertIn('hickorygate_group_primary{group="alert-db-1"} 1', text)

    async def test_statements_are_measured_by_rank_and_server(self) -> None:
        cursor = (await self.connect()).cursor()
        await cursor.execute("CREATE TABLE pets (id INT)")
        await cursor.execute("SELECT id FROM pets")
        with self.assertRaises(asyncmy.errors.MySQLError):
            await cursor.execute("SELECT nothing FROM pets")
        recorder = self.first.recorder
        self.assertEqual(
            recorder.ranks["normal"].verdicts, {"served": 2, "failed": 1}
        )
        self.assertEqual(recorder.reads.total(), 2)
        self.assertEqual(list(recorder.gaps), ["alert-db-1"])
        _, text = await self.get("/metrics")
        self.assertIn(
            'hickorygate_statements_total{rank="normal",verdict="served"} 2',
            text,
        )

    async def test_status_includes_the_members_of_the_queried_proxy(
        self,
    ) -> None:
        command = proxy_commands.ShowStatus((self.first.admin,), json=False)
        result, out = await self.run_command(command)
        self.assertTrue(result.is_ok(), result)
        self.assertIn("proxy-0", out)
        self.assertIn("proxy-1", out)
        self.assertIn("alert-db-1a: primary", out)

    async def test_sheet_status_compares_versions(self) -> None:
        result, out = await self.run_command(
            sheet.CompareSheets((self.first.admin,))
        )
        self.assertTrue(result.is_ok(), result)
        version = self.first.sheet.version
        self.assertEqual(out.count(f"version {version}"), 2)

    async def test_timeline_merges_events_and_names_unreachable_proxies(
        self,
    ) -> None:
        addresses = (self.first.admin, "127.0.0.1:1")
        command = timeline.ShowTimeline(addresses, json=False)
        result, out = await self.run_command(command)
        self.assertIn("127.0.0.1:1", result.error.message)
        self.assertEqual(out.count("ConfigApplied"), 2)

    # An event with a character that Unicode counts as a line break was cut.
    async def test_timeline_keeps_odd_line_breaks_in_an_event(self) -> None:
        for text in ("a\u2028b", "a\x85b", "a\nb"):
            self.first.timeline.record(events.DatabaseLost("a", text))
        command = timeline.ShowTimeline((self.first.admin,), json=False)
        result, out = await self.run_command(command)
        self.assertTrue(result.is_ok(), result)
        self.assertEqual(out.count("DatabaseLost"), 3)

    async def test_drain_refuses_new_callers_and_cuts_no_transaction(
        self,
    ) -> None:
        connection = await self.connect()
        cursor = connection.cursor()
        await cursor.execute("CREATE TABLE pets (id INT)")
        await connection.begin()
        await cursor.execute("INSERT INTO pets VALUES (1)")
        self.first.drain()
        async with asyncio.timeout(_TIMEOUT.total_seconds()):
            while True:
                try:
                    await (await self.connect()).ensure_closed()
                except (OSError, asyncmy.errors.OperationalError):
                    break
            await connection.commit()
            await self.first.wait_until_drained()
        self.assertEqual(self.first.callers, 0)

    async def test_drain_command_begins_a_shutdown(self) -> None:
        result, _ = await self.run_command(
            proxy_commands.Drain(self.first.admin)
        )
        self.assertTrue(result.is_ok(), result)
        self.assertTrue(self.first.draining)
