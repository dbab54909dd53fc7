"""Tests protocol commands that change a session, through a proxy."""

from __future__ import annotations

import datetime
import unittest

import asyncmy
from asyncmy import auth

from hickorygate.testing import cluster

_START_TIMEOUT = datetime.timedelta(seconds=20)
_CHANGE_USER = 0x11
_RESET_CONNECTION = 0x1F
_UTF8MB4 = 45
_NATIVE_PASSWORD = b"mysql_native_password\0"
_ACCESS_DENIED = 1045
_TABLE_EXISTS = 1050
_UNKNOWN_SCHEMA = 1049


class SessionCommandsTest(unittest.IsolatedAsyncioTestCase):
    """Sends commands on one connection to a proxy of a test cluster."""

    async def asyncSetUp(self) -> None:
        self.stand_in_cluster = await cluster.start(proxies=1)
        self.addAsyncCleanup(self.stand_in_cluster.stop)
        await self.stand_in_cluster.wait_until_ready(_START_TIMEOUT)
        self.connection = await asyncmy.connect(
            host="127.0.0.1",
            port=self.stand_in_cluster.daemons[0].port,
            user=cluster.USER,
            password=cluster.PASSWORD,
            autocommit=None,
        )
        self.addAsyncCleanup(self.connection.ensure_closed)
        self.cursor = self.connection.cursor()

    async def command(self, number: int, body: bytes = b"") -> None:
        """Sends a command and reads its OK packet."""
        await self.connection._execute_command(number, body)
        await self.connection._read_ok_packet()

    async def change_user(self, password: bytes) -> None:
        """Sends a change of user, with the nonce of the greeting."""
        scramble = auth.scramble_native_password(password, self.connection.salt)
        body = cluster.USER.encode() + b"\0"
        body += bytes((len(scramble),)) + scramble + b"alerts_1\0"
        body += _UTF8MB4.to_bytes(2, "little") + _NATIVE_PASSWORD
        await self.command(_CHANGE_USER, body)

    async def select_cell(self, sql: str) -> object:
        await self.cursor.execute(sql)
        ((cell,),) = await self.cursor.fetchall()
        return cell

    async def test_schema_is_selected_by_command(self) -> None:
        await self.connection.select_db("alerts_1")
        self.assertEqual(
            await self.select_cell("SELECT DATABASE()"), "alerts_1"
        )
        with self.assertRaises(asyncmy.errors.MySQLError) as caught:
            await self.connection.select_db("nowhere")
        self.assertEqual(caught.exception.args[0], _UNKNOWN_SCHEMA)
        self.assertEqual(
            await self.select_cell("SELECT DATABASE()"), "alerts_1"
        )

    async def test_ping_is_answered(self) -> None:
        await self.connection.ping(reconnect=False)

    async def test_warnings_are_shown_after_a_statement(self) -> None:
        await self.connection.select_db("alerts_1")
        create = "CREATE TABLE IF NOT EXISTS reports (id INT)"
        await self.cursor.execute(create)
        await self.cursor.execute("SHOW WARNINGS")
        self.assertEqual(await self.cursor.fetchall(), ())
        await self.cursor.execute(create)
        await self.cursor.execute("SHOW WARNINGS")
        ((level, code, text),) = await self.cursor.fetchall()
        self.assertEqual((level, int(code)), ("Note", _TABLE_EXISTS))
        self.assertIn("reports", text)

    async def test_named_lock_keeps_its_connection_until_reset(
        self,
    ) -> None:
        acquire = "SELECT GET_LOCK('refunds', 0)"
        await self.connection.select_db("alerts_1")
        self.assertEqual(int(await self.select_cell(acquire)), 1)
        other = await cluster.connect(self.stand_in_cluster.daemons[0])
        self.addAsyncCleanup(other.ensure_closed)
        cursor = other.cursor()
        await cursor.execute(acquire)
        self.assertEqual(int((await cursor.fetchall())[0][0]), 0)
        is_free = "SELECT IS_FREE_LOCK('refunds')"
        self.assertEqual(int(await self.select_cell(is_free)), 0)
        await self.command(_RESET_CONNECTION)
        await cursor.execute(acquire)
        self.assertEqual(int((await cursor.fetchall())[0][0]), 1)

    async def test_reset_rolls_back_and_keeps_the_schema(self) -> None:
        await self.connection.select_db("alerts_1")
        await self.cursor.execute("CREATE TABLE reports (id INT)")
        await self.connection.begin()
        await self.cursor.execute("INSERT INTO reports VALUES (1)")
        await self.command(_RESET_CONNECTION)
        self.assertEqual(
            await self.select_cell("SELECT DATABASE()"), "alerts_1"
        )
        self.assertEqual(
            await self.select_cell("SELECT COUNT(*) FROM reports"), 0
        )

    async def test_user_is_changed(self) -> None:
        await self.change_user(cluster.PASSWORD.encode())
        self.assertEqual(
            await self.select_cell("SELECT DATABASE()"), "alerts_1"
        )

    async def test_refused_change_of_user_ends_the_connection(self) -> None:
        with self.assertRaises(asyncmy.errors.MySQLError) as caught:
            await self.change_user(b"wrong")
        self.assertEqual(caught.exception.args[0], _ACCESS_DENIED)
        with self.assertRaises(asyncmy.errors.MySQLError):
            await self.select_cell("SELECT DATABASE()")

    async def test_disconnect_rolls_the_transaction_back(self) -> None:
        await self.connection.select_db("alerts_1")
        await self.cursor.execute("CREATE TABLE reports (id INT)")
        await self.connection.begin()
        await self.cursor.execute("INSERT INTO reports VALUES (1)")
        self.connection.close()
        other = await cluster.connect(self.stand_in_cluster.daemons[0])
        self.addAsyncCleanup(other.ensure_closed)
        cursor = other.cursor()
        await cursor.execute("SELECT COUNT(*) FROM reports")
        self.assertEqual(await cursor.fetchall(), ((0,),))
