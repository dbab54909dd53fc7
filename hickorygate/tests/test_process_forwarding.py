"""Tests two complete proxies that run statements for each other.

Guards against a listener that other proxies don't learn of, and against a
shutdown that interrupts statements or transactions of other proxies.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import os
import pathlib
import tempfile
import unittest

from hickorygate.core import clock
from hickorygate.operators import event_log
from hickorygate.platform import process
from hickorygate.platform import settings as settings_lib
from hickorygate.platform import store
from hickorygate.testing import line_cluster
from hickorygate.testing import line_group
from hickorygate.testing import object_store
from hickorygate.testing import platform_objects

_LIMIT = 15
"""Seconds that a test waits for an expected event."""

_NAMES = ("proxy-1", "proxy-2")


def _configuration() -> dict[str, object]:
    route = {
        "host": "db",
        "type": "primary",
        "timeout_ms": 3_000,
        "latency_goal_ms": 500,
        "priority": 0,
        "service": "ledger",
    }
    return {
        "version": 3,
        "routes": [route],
        "services": [{"name": "ledger", "max_conns": 20, "sync_replicas": 1}],
        "tenants": [{"name": "w1", "api_keys": ["someone"]}],
    }


class ProcessForwardingTest(unittest.IsolatedAsyncioTestCase):
    """Two proxies in the test process, of which one serves the workspace.

    Attributes:
      gateway: name of the proxy that doesn't serve it.
      server: name of the one that does.
    """

    async def asyncSetUp(self) -> None:  # noqa: N802
        self.group = line_group.LineGroup()
        await self.group.start()
        self.addAsyncCleanup(self.group.close)
        self.store = object_store.ObjectStore()
        await self.store.start()
        self.addAsyncCleanup(self.store.close)
        for member in self.group.members():
            entry = platform_objects.database_entry(member)
            self.store.put("servers", member.id, entry)
        self.store.put("config", "main", _configuration())
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.ports: dict[tuple[str, str], int] = {}
        self.processes: dict[str, process.Process] = {}
        self.runs: dict[str, asyncio.Task[object]] = {}
        self.range = platform_objects.free_port()
        for name in _NAMES:
            self.start(name)
        await self.until(self.serves)
        plan = self.processes["proxy-1"].plan
        self.server, self.gateway = plan.candidates("ledger", "w1")

    def start(self, name: str) -> None:
        for what in ("front", "ready"):
            self.ports[name, what] = platform_objects.free_port()
        path = self.folder / f"{name}.conf"
        # Both use the same range, so the second one takes the next port.
        path.write_text(
            "\n".join(
                (
                    f"node_name={name}",
                    "zone=a",
                    f"listen.front=127.0.0.1:{self.ports[name, 'front']}",
                    f"listen.ready=127.0.0.1:{self.ports[name, 'ready']}",
                    f"platform.address=127.0.0.1:{self.store.port}",
                    f"cloud_api.address=127.0.0.1:{self.store.port}",
                    "bounds.grace_s=4",
                    "ip=127.0.0.1",
                    f"port_range={self.range},{self.range + 9}",
                    "limits.cpu_cores=2.15",
                    "limits.cpu_share=0.5",
                    "limits.link_mbps=200",
                )
            )
        )
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        self.processes[name] = process.Process(
            settings_lib.load(path).ok,
            path,
            None,
            clock.SystemClock(),
            event_log.NonBlockingHandler(writer),
        )
        self.addAsyncCleanup(self.processes[name].close)
        self.runs[name] = asyncio.create_task(self.processes[name].run())
        self.addCleanup(self.runs[name].cancel)

    async def until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(_LIMIT):
            while not condition():
                await asyncio.sleep(0.02)

    def serves(self) -> bool:
        return all(
            len(p.plan.server_names("ledger")) == 2
            and all(p.plan.address(name) for name in _NAMES)
            and p.ready()
            for p in self.processes.values()
        )

    async def connect(self, name: str) -> line_cluster.LineClient:
        streams = await asyncio.open_connection(
            "127.0.0.1", self.ports[name, "front"]
        )
        client = line_cluster.LineClient(*streams)
        self.addCleanup(client.close)
        greeted = await client.send("CONNECT db someone")
        self.assertEqual(greeted, ["READY I -"])
        return client

    async def test_addresses_are_registered_and_used(self) -> None:
        path = self.folder / "proxy-1.conf"
        stored = store.PlatformStore(settings_lib.load(path).ok)
        self.addAsyncCleanup(stored.close)
        listed = (await stored.proxies(may_be_outdated=False)).ok
        ports = {int(p.address.rpartition(":")[2]) for p in listed.values()}
        self.assertEqual(len(ports), 2)
        self.assertTrue(ports <= set(range(self.range, self.range + 10)))
        for found in listed.values():
            self.assertEqual((found.zone, found.capacity), ("a", 1.075))
        client = await self.connect(self.gateway)
        self.assertIn("READY I", (await client.query("WRITE x 1"))[-1])
        self.assertEqual((await client.query("READ x"))[0], "ROW 1")
        served = self.processes[self.server].statements.served
        self.assertEqual(served["ok"], 2)

    async def test_a_shutdown_lets_served_transactions_end(self) -> None:
        client = await self.connect(self.gateway)
        other = await self.connect(self.gateway)
        await client.query("BEGIN")
        await client.query("WRITE x 1")
        self.processes[self.server].stop()
        for number in range(10):
            received = await other.query(f"WRITE y{number} 1")
            self.assertIn("READY I", received[-1])
            self.assertNotIn("ERROR", received[0])
        self.assertFalse(self.runs[self.server].done())
        self.assertIn("READY I", (await client.query("COMMIT"))[-1])
        self.assertEqual(len(self.group.acknowledged), 11)
        async with asyncio.timeout(_LIMIT):
            await self.runs[self.server]

    async def test_a_killed_server_is_replaced_by_its_gateway(self) -> None:
        client = await self.connect(self.gateway)
        await client.query("WRITE x 1")
        self.runs[self.server].cancel()
        await self.processes[self.server].close()
        self.assertEqual((await client.query("READ x"))[0], "ROW 1")
        self.assertNotIn("ERROR", (await client.query("WRITE x 2"))[0])

    async def test_server_gets_the_whole_rate_limit(self) -> None:
        # Guards against shares that are not lent over the links: the server
        # would use half of the limit.
        configuration = _configuration() | {"version": 4}
        limited = {"rate_per_s": 50, "burst": 100}
        configuration["tenants"] = [
            {"name": "w1", "api_keys": ["someone"]} | limited
        ]
        self.store.put("config", "main", configuration)
        limits = {n: p.limits for n, p in self.processes.items()}
        client = await self.connect(self.gateway)
        shares: dict[str, float] = {}

        async def shares_settle() -> None:
            while shares != {self.server: 1.0}:
                await client.query("READ x")
                await asyncio.sleep(0.1)
                shares.update(
                    {
                        name: limit.usage["w1"].share
                        for name, limit in limits.items()
                        if "w1" in limit.usage
                    }
                )

        async with asyncio.timeout(_LIMIT):
            await shares_settle()
        received = await client.query("READ x")
        self.assertTrue(received[-1].startswith("READY I"))
        self.assertEqual(limits[self.gateway].usage, {})


if __name__ == "__main__":
    unittest.main()
