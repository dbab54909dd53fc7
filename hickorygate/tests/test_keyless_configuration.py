"""Tests whom a process admits when its configuration holds no usable keys.

Guards against a list of workspaces that is empty, missing or unreadable and
therefore admits everyone. The process is complete; the store and the databases
are stand-ins.
"""

from __future__ import annotations

import asyncio
import os
import pathlib
import tempfile
import unittest

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

_KEYED, _UNKEYED = "contracts=base,tenants,quota", "contracts=base,quota"
"""Settings of a deployment with workspaces, and of one without."""

_OMITTED = object()
"""Stands for a configuration without the field `tenants`."""

_ACME = {"name": "acme", "api_keys": ["k1"]}
_REFUSED, _ADMITTED = "AUTHFAIL", "READY"


class KeylessConfigurationTest(unittest.IsolatedAsyncioTestCase):
    """One process inside the test process, with a public and a closed route."""

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
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "boot.conf"
        self.version = 0

    def configure(self, tenants: object) -> None:
        """Puts the next version of the configuration into the store."""
        self.version += 1
        value = platform_objects.configuration(
            self.version,
            platform_objects.route_entry("closed"),
            platform_objects.route_entry("open", public=True),
        )
        if tenants is not _OMITTED:
            value["tenants"] = tenants
        self.store.put("config", "main", value)

    async def start(self, *settings: str) -> process.Process:
        """Starts a process that is in the place of the former one, if any."""
        self.port = platform_objects.free_port()
        lines = (
            "node_name=proxy-1",
            "zone=a",
            f"listen.front=127.0.0.1:{self.port}",
            f"listen.ready=127.0.0.1:{platform_objects.free_port()}",
            f"platform.address=127.0.0.1:{self.store.port}",
            f"cloud_api.address=127.0.0.1:{self.store.port}",
            *settings,
        )
        self.path.write_text("\n".join(lines))
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        started = process.Process(
            settings_lib.load(self.path).ok,
            self.path,
            None,
            clock.SystemClock(),
            event_log.NonBlockingHandler(writer),
        )
        self.addAsyncCleanup(started.close)
        running = asyncio.create_task(started.run())
        self.addCleanup(running.cancel)
        async with asyncio.timeout(_LIMIT):
            while not started.ready():
                await asyncio.sleep(0.01)
        return started

    async def connect(
        self, name: str, key: str
    ) -> tuple[line_cluster.LineClient, str]:
        """Asks for a session; returns the answer's code or its first word."""
        streams = await asyncio.open_connection("127.0.0.1", self.port)
        client = line_cluster.LineClient(*streams)
        self.addCleanup(client.close)
        (line,) = await client.send(f"CONNECT {name} {key}")
        return client, line.removeprefix("ERROR ").split(" ")[0]

    async def answer(self, name: str, key: str) -> str:
        return (await self.connect(name, key))[1]

    async def until_applied(self) -> None:
        """Waits until the newest configuration is in force."""
        async with asyncio.timeout(_LIMIT):
            while self.process.configuration_version < self.version:
                await asyncio.sleep(0.01)

    async def assert_closed(self, client: line_cluster.LineClient) -> None:
        async with asyncio.timeout(_LIMIT):
            self.assertEqual(await client.receive(), [])

    async def assert_nobody_has_a_key(self) -> None:
        for key in ("k1", "unknown"):
            self.assertEqual(await self.answer("closed", key), _REFUSED)
            self.assertEqual(await self.answer("open", key), _ADMITTED)

    async def test_the_last_workspace_takes_its_keys_along(self) -> None:
        # Guards against review/14: once the last workspace was removed, the
        # work of any key was run.
        for settings in ((_KEYED,), (_UNKEYED,), ()):
            with self.subTest(settings=settings):
                self.configure([_ACME])
                self.process = await self.start(*settings)
                client, admitted = await self.connect("closed", "k1")
                self.assertEqual(admitted, _ADMITTED)
                self.assertEqual(
                    await self.answer("closed", "unknown"), _REFUSED
                )
                self.configure([])
                await self.until_applied()
                await self.assert_closed(client)
                await self.assert_nobody_has_a_key()

    async def test_a_list_without_usable_keys_admits_nobody(self) -> None:
        # Guards against keys that come back, or that are no longer needed, with
        # a process that starts after the change.
        for tenants in (
            [],
            None,
            [None],
            ["acme"],
            [{"name": "acme"}],
            [{"name": "acme", "api_keys": []}],
            [{"name": "acme", "api_keys": None}],
            [{"name": "a b", "api_keys": ["k1"]}],
        ):
            with self.subTest(tenants=tenants):
                self.configure(tenants)
                await self.start()
                await self.assert_nobody_has_a_key()

    async def test_settings_with_workspaces_need_no_list(self) -> None:
        # Guards against a configuration that lost its list, at the start and
        # as a change.
        self.configure(_OMITTED)
        self.process = await self.start(_KEYED)
        await self.assert_nobody_has_a_key()
        self.configure([_ACME])
        await self.until_applied()
        client, admitted = await self.connect("closed", "k1")
        self.assertEqual(admitted, _ADMITTED)
        self.configure(_OMITTED)
        await self.until_applied()
        await self.assert_closed(client)
        await self.assert_nobody_has_a_key()

    async def test_an_unreadable_list_changes_nothing(self) -> None:
        # Guards against a malformed configuration that opens a closed route.
        self.configure([_ACME])
        self.process = await self.start(_KEYED)
        for tenants in ("acme", {}, {"acme": _ACME}, 0, False):
            with self.subTest(tenants=tenants):
                self.configure(tenants)
                self.assertEqual(
                    await self.answer("closed", "unknown"), _REFUSED
                )
        self.configure([_ACME, {"name": "beta", "api_keys": ["k2"]}])
        await self.until_applied()
        self.assertEqual(await self.answer("closed", "k2"), _ADMITTED)
        self.assertEqual(await self.answer("closed", "unknown"), _REFUSED)

    async def test_a_deployment_without_workspaces_admits_everyone(
        self,
    ) -> None:
        for settings in ((_UNKEYED,), ()):
            with self.subTest(settings=settings):
                self.configure(_OMITTED)
                await self.start(*settings)
                for name in ("closed", "open"):
                    self.assertEqual(await self.answer(name, "any"), _ADMITTED)
                self.assertEqual(await self.answer("unrouted", "any"), "UNKNDB")


if __name__ == "__main__":
    unittest.main()
