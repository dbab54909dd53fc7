"""Tests a complete proxy with a stand-in store and stand-in databases."""

from __future__ import annotations

import asyncio
import os
import pathlib
import tempfile
import unittest

import aiohttp

from hickorygate.core import clock
from hickorygate.operators import event_log
from hickorygate.platform import process
from hickorygate.platform import settings as settings_lib
from hickorygate.testing import line_cluster
from hickorygate.testing import line_group
from hickorygate.testing import object_store
from hickorygate.testing import platform_objects

_LIMIT = 8
"""Seconds that a test waits for an expected event."""

_FIRST_NUMBER = "1000001"
"""The fencing token of the first holder in the stand-in store's first era."""


def _configuration(version: int, *names: str) -> dict[str, object]:
    routes = [platform_objects.route_entry(name) for name in names]
    return platform_objects.configuration(version, *routes)


class PlatformProcessTest(unittest.IsolatedAsyncioTestCase):
    """The proxy is started as on the platform, but inside the test process."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        self.group = line_group.LineGroup()
        await self.group.start()
        self.addAsyncCleanup(self.group.close)
        self.store = object_store.ObjectStore()
        await self.store.start()
        self.addAsyncCleanup(self.store.close)
        for member in self.group.members():
            self.store.put("servers", member.id, self.entry(member.id))
        self.store.put("servers", "broken", {"service": 7})
        self.ports = {
            n: platform_objects.free_port()
            for n in ("front", "ready", "metrics")
        }
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "boot.conf"
        self.path.write_text(self.settings_text(grace=2))
        await self.start()

    async def start(self) -> None:
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        settings = settings_lib.load(self.path).ok
        self.process = process.Process(
            settings,
            self.path,
            self.ports["metrics"],
            clock.SystemClock(),
            event_log.NonBlockingHandler(writer),
        )
        self.addAsyncCleanup(self.process.close)
        self.running = asyncio.create_task(self.process.run())
        self.addCleanup(self.running.cancel)
        async with asyncio.timeout(_LIMIT):
            while not await self.listens():
                await asyncio.sleep(0.01)

    async def listens(self) -> bool:
        try:
            _, writer = await asyncio.open_connection(
                "127.0.0.1", self.ports["front"]
            )
        except ConnectionRefusedError:
            return False
        writer.close()
        return True

    def entry(self, name: str, state: str = "ready") -> dict[str, object]:
        member = self.group.databases[name].member()
        return platform_objects.database_entry(member, state)

    def settings_text(self, grace: int) -> str:
        return "\n".join(
            (
                "node_name=proxy-1",
                "zone=a",
                f"listen.front=127.0.0.1:{self.ports['front']}",
                f"listen.ready=127.0.0.1:{self.ports['ready']}",
                f"platform.address=127.0.0.1:{self.store.port}",
                f"cloud_api.address=127.0.0.1:{self.store.port}",
                f"bounds.grace_s={grace}",
            )
        )

    async def start_beside(self, taken: str) -> str:
        """Starts another process while one of its ports is in use.

        Returns:
          The message of the failure.
        """
        former = self.ports
        self.ports = {name: platform_objects.free_port() for name in former}
        self.ports[taken] = former[taken]
        self.path.write_text(self.settings_text(grace=2))
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        second = process.Process(
            settings_lib.load(self.path).ok,
            self.path,
            self.ports["metrics"],
            clock.SystemClock(),
            event_log.NonBlockingHandler(writer),
        )
        self.addAsyncCleanup(second.close)
        self.ports = former
        async with asyncio.timeout(_LIMIT):
            return (await second.run()).error.message

    async def get(self, what: str, path: str) -> tuple[int, str]:
        url = f"http://127.0.0.1:{self.ports[what]}{path}"
        async with aiohttp.ClientSession() as http, http.get(url) as answer:
            return answer.status, await answer.text()

    async def until_ready(self) -> None:
        async with asyncio.timeout(_LIMIT):
            while (await self.get("ready", "/-/readiness"))[0] != 200:
                await asyncio.sleep(0.02)

    async def connect(
        self, name: str
    ) -> tuple[line_cluster.LineClient, list[str]]:
        streams = await asyncio.open_connection(
            "127.0.0.1", self.ports["front"]
        )
        client = line_cluster.LineClient(*streams)
        self.addCleanup(client.close)
        return client, await client.send(f"CONNECT {name} someone")

    async def test_a_proxy_is_ready_once_it_is_configured(self) -> None:
        await asyncio.sleep(0.2)
        self.assertEqual((await self.get("ready", "/-/readiness"))[0], 503)
        self.store.put("config", "main", _configuration(3, "db"))
        await self.until_ready()
        client, greeted = await self.connect("db")
        self.assertEqual(greeted, ["READY I -"])
        self.assertIn("READY I", (await client.query("WRITE x 1"))[-1])
        self.assertEqual((await client.query("READ x"))[0], "ROW 1")
        _, metrics = await self.get("metrics", "/metrics")
        self.assertIn("hickorygate_configuration_version 3", metrics)

    async def test_an_older_configuration_is_ignored(self) -> None:
        self.store.put("config", "main", _configuration(7, "db"))
        await self.until_ready()
        self.store.put("config", "main", _configuration(5, "old"))
        self.store.put("config", "main", {"version": "unreadable"})
        self.store.put("config", "main", _configuration(9, "db", "new"))
        async with asyncio.timeout(_LIMIT):
            while (await self.connect("new"))[1] != ["READY I -"]:
                await asyncio.sleep(0.02)
        self.assertIn("UNKNDB", (await self.connect("old"))[1][0])

    async def test_a_leaving_primary_is_replaced_through_the_store(
        self,
    ) -> None:
        self.store.put("config", "main", _configuration(3, "db"))
        await self.until_ready()
        client, _ = await self.connect("db")
        await client.query("WRITE x 1")
        self.store.put("servers", "a", self.entry("a", "draining"))
        async with asyncio.timeout(_LIMIT):
            while not self.store.promotions:
                await asyncio.sleep(0.01)
        order = self.store.promotions[0]
        self.assertEqual(
            (order["service"], order["holder"], order["number"]),
            ("ledger", "proxy-1", _FIRST_NUMBER),
        )
        self.assertIn(order["id"], ("b", "c"))

    async def test_an_open_transaction_can_commit_during_a_shutdown(
        self,
    ) -> None:
        self.store.put("config", "main", _configuration(3, "db"))
        await self.until_ready()
        client, _ = await self.connect("db")
        await client.query("BEGIN")
        await client.query("WRITE x 1")
        self.process.stop()
        self.assertEqual((await self.get("ready", "/-/readiness"))[0], 503)
        self.assertIn("READY I", (await client.query("COMMIT"))[-1])
        async with asyncio.timeout(_LIMIT):
            self.assertTrue((await self.running).is_ok())
        self.assertEqual(len(self.group.acknowledged), 1)
        self.assertEqual(await client.receive(), [])

    async def test_a_reload_keeps_the_proxy_ready(self) -> None:
        self.path.write_text("node_name=")
        self.process.reload()
        self.store.put("config", "main", _configuration(3, "db"))
        await self.until_ready()
        self.path.write_text(self.settings_text(grace=9))
        self.process.reload()
        self.assertEqual((await self.get("ready", "/-/readiness"))[0], 200)

    async def test_settings_are_reloaded_without_a_signal(self) -> None:
        self.store.put("config", "main", _configuration(3, "db"))
        await self.until_ready()
        other_store = object_store.ObjectStore()
        await other_store.start()
        self.addAsyncCleanup(other_store.close)
        text = self.settings_text(grace=2)
        former = f"platform.address=127.0.0.1:{self.store.port}"
        newer = f"platform.address=127.0.0.1:{other_store.port}"
        self.path.write_text(text.replace(former, newer))
        async with asyncio.timeout(_LIMIT):
            while not other_store.calls:
                await asyncio.sleep(0.05)

    async def test_a_port_in_use_is_named(self) -> None:
        for taken, name in (
            ("ready", "listen.ready"),
            ("metrics", "--metrics_port"),
            ("front", "listen.front"),
        ):
            with self.subTest(taken):
                self.assertIn(f"{name}:", await self.start_beside(taken))


if __name__ == "__main__":
    unittest.main()
