"""End-to-end tests: two proxies, a group of three databases, a platform."""

from __future__ import annotations

import datetime
import unittest

import asyncmy

from hickorygate.testing import cluster

_TIMEOUT = datetime.timedelta(seconds=10)


class PathTest(unittest.IsolatedAsyncioTestCase):
    """Statements of clients through one or two proxies."""

    async def asyncSetUp(self) -> None:
        self.stand_in_cluster = await cluster.start(proxies=2)
        self.addAsyncCleanup(self.stand_in_cluster.stop)

    async def connect(self, proxy: int) -> asyncmy.Connection:
        connection = await asyncmy.connect(
            host="127.0.0.1",
            port=self.stand_in_cluster.daemons[proxy].port,
            user="vindpoot",
            password="polder",
            database="alerts_1",
            autocommit=True,
        )
        self.addAsyncCleanup(connection.ensure_closed)
        return connection

    async def test_write_is_read_through_another_proxy(self) -> None:
        await self.stand_in_cluster.wait_until_ready(_TIMEOUT)
        writer = (await self.connect(0)).cursor()
        await writer.execute("CREATE TABLE reports (id INT, pet TEXT)")
        await writer.execute("INSERT INTO reports VALUES (1, 'Bello')")
        self.assertEqual(writer.rowcount, 1)
        await writer.execute("SELECT @@hickorygate_token")
        ((token,),) = await writer.fetchall()
        reader = (await self.connect(1)).cursor()
        await reader.execute(f"SET hickorygate_token = '{token}'")
        await reader.execute("SELECT pet FROM reports WHERE id = 1")
        self.assertEqual(await reader.fetchall(), (("Bello",),))

    async def test_transaction_is_atomic(self) -> None:
        await self.stand_in_cluster.wait_until_ready(_TIMEOUT)
        connection = await self.connect(0)
        cursor = connection.cursor()
        await cursor.execute("CREATE TABLE sightings (id INT)")
        await connection.begin()
        await cursor.execute("INSERT INTO sightings VALUES (1)")
        await connection.rollback()
        await connection.begin()
        await cursor.execute("INSERT INTO sightings VALUES (2)")
        await connection.commit()
        await cursor.execute("SELECT id FROM sightings")
        self.assertEqual(await cursor.fetchall(), ((2,),))

    async def test_table_definition_commits_the_open_transaction(self) -> None:
        await self.stand_in_cluster.wait_until_ready(_TIMEOUT)
        connection = await self.connect(0)
        cursor = connection.cursor()
        await cursor.execute("CREATE TABLE sightings (id INT)")
        await connection.begin()
        await cursor.execute("INSERT INTO sightings VALUES (1)")
        await cursor.execute("CREATE TABLE reports (id INT)")
        await connection.rollback()
        await cursor.execute("SELECT id FROM sightings")
        self.assertEqual(await cursor.fetchall(), ((1,),))
        await cursor.execute("SELECT id FROM reports")
        self.assertEqual(await cursor.fetchall(), ())

    async def test_wrong_password_is_refused(self) -> None:
        with self.assertRaises(asyncmy.errors.OperationalError) as caught:
            await asyncmy.connect(
                host="127.0.0.1",
                port=self.stand_in_cluster.daemons[0].port,
                user="vindpoot",
                password="wrong",
            )
        self.assertEqual(caught.exception.args[0], 1045)
