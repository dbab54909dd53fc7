"""Tests asyncio client libraries through a proxy.

PyMySQL is tested by tools/clients.sh.
"""

from __future__ import annotations

import datetime
import decimal
import unittest

import aiomysql
import asyncmy
from asyncmy import errors as asyncmy_errors
import pymysql

from hickorygate.testing import cluster

_TIMEOUT = datetime.timedelta(seconds=10)
_TEXT_TO_ESCAPE = 'it\'s \\ "quoted" ? é \n'


class _ClientCase(unittest.IsolatedAsyncioTestCase):
    """Starts a cluster with one proxy."""

    async def asyncSetUp(self) -> None:
        self.stand_in_cluster = await cluster.start(proxies=1)
        self.addAsyncCleanup(self.stand_in_cluster.stop)
        await self.stand_in_cluster.wait_until_ready(_TIMEOUT)

    @property
    def address(self) -> dict[str, object]:
        return {
            "host": "127.0.0.1",
            "port": self.stand_in_cluster.daemons[0].port,
            "user": cluster.USER,
            "password": cluster.PASSWORD,
            "db": "alerts_1",
        }


class AiomysqlTest(_ClientCase):
    """aiomysql, which uses the text protocol."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.connection = await aiomysql.connect(
            **self.address, autocommit=True
        )
        self.addCleanup(self.connection.close)
        self.cursor = await self.connection.cursor()
        await self.cursor.execute("CREATE TABLE t (id INT PRIMARY KEY, a TEXT)")

    async def test_text(self) -> None:
        sql = "INSERT INTO t VALUES (%s, %s)"
        self.assertEqual(
            await self.cursor.execute(sql, (1, _TEXT_TO_ESCAPE)), 1
        )
        await self.cursor.execute("SELECT id, a FROM t")
        self.assertEqual(await self.cursor.fetchall(), ((1, _TEXT_TO_ESCAPE),))

    async def test_transaction(self) -> None:
        for ending in (self.connection.rollback, self.connection.commit):
            await self.connection.begin()
            await self.cursor.execute("INSERT INTO t VALUES (7, 'a')")
            await ending()
        await self.cursor.execute("SELECT id FROM t")
        self.assertEqual(await self.cursor.fetchall(), ((7,),))

    async def test_error(self) -> None:
        await self.cursor.execute("INSERT INTO t VALUES (1, 'a')")
        with self.assertRaises(pymysql.err.IntegrityError) as caught:
            await self.cursor.execute("INSERT INTO t VALUES (1, 'b')")
        self.assertEqual(caught.exception.args[0], 1062)
        await self.cursor.execute("SHOW WARNINGS")
        ((level, code, _),) = await self.cursor.fetchall()
        self.assertEqual((level, code), ("Error", 1062))

    async def test_variables_and_ping(self) -> None:
        await self.cursor.execute("SELECT @@version_comment, DATABASE()")
        self.assertEqual(
            await self.cursor.fetchall(), (("hickorygate", "alerts_1"),)
        )
        await self.connection.ping()
        await self.cursor.execute("SET time_zone = '+00:00'")
        with self.assertRaises(pymysql.err.OperationalError) as caught:
            await self.cursor.execute("SET sql_log_bin = 0")
        self.assertEqual(caught.exception.args[0], 1193)


class AsyncmyTest(_ClientCase):
    """asyncmy, which uses the text and the binary protocol."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.connection = await asyncmy.connect(**self.address, autocommit=True)
        self.addAsyncCleanup(self.connection.ensure_closed)
        self.cursor = self.connection.cursor()
        await self.cursor.execute("CREATE TABLE t (id INT PRIMARY KEY, a TEXT)")

    async def test_text(self) -> None:
        sql = "INSERT INTO t VALUES (%s, %s)"
        self.assertEqual(
            await self.cursor.execute(sql, (1, _TEXT_TO_ESCAPE)), 1
        )
        await self.cursor.execute("SELECT id, a FROM t")
        self.assertEqual(await self.cursor.fetchall(), ((1, _TEXT_TO_ESCAPE),))

    async def test_prepared(self) -> None:
        insert = await self.connection.prepare("INSERT INTO t VALUES (?, ?)")
        for row in ((1, _TEXT_TO_ESCAPE), (-2, "x' OR '1'='1"), (3, None)):
            await insert.execute(row)
        select = await self.connection.prepare("SELECT id, a FROM t WHERE a=?")
        result = await select.execute((_TEXT_TO_ESCAPE,))
        self.assertEqual(result.rows, ((1, _TEXT_TO_ESCAPE),))
        await self.cursor.execute("SELECT COUNT(*) FROM t")
        self.assertEqual(await self.cursor.fetchall(), ((3,),))

    async def test_transaction(self) -> None:
        for ending in (self.connection.rollback, self.connection.commit):
            await self.connection.begin()
            await self.cursor.execute("INSERT INTO t VALUES (7, 'a')")
            await ending()
        await self.cursor.execute("SELECT id FROM t")
        self.assertEqual(await self.cursor.fetchall(), ((7,),))

    async def test_error(self) -> None:
        with self.assertRaises(asyncmy_errors.ProgrammingError) as caught:
            await self.cursor.execute("SELECT * FROM missing")
        self.assertEqual(caught.exception.args[0], 1146)

    async def test_hints(self) -> None:
        await self.cursor.execute("SELECT 1 /*hickorygate_rank='urgent'*/")
        with self.assertRaises(asyncmy_errors.MySQLError) as caught:
            await self.cursor.execute(
                "SELECT id FROM t /*hickorygate_rank='none'*/"
            )
        self.assertEqual(caught.exception.args[0], 1210)
        await self.cursor.execute("SET hickorygate_rank = 'background'")
        await self.cursor.execute("SELECT @@hickorygate_rank")
        self.assertEqual(await self.cursor.fetchall(), (("background",),))

    async def test_decimal_parameter(self) -> None:
        select = await self.connection.prepare("SELECT id FROM t WHERE id < ?")
        await self.cursor.execute("INSERT INTO t VALUES (1, 'a'), (2, 'b')")
        result = await select.execute((decimal.Decimal("1.5"),))
        self.assertEqual(result.rows, ((1,),))
