"""Tests of the stand-in database's advisory locks over the MySQL protocol."""

from __future__ import annotations

import asyncio
import dataclasses
import unittest

import asyncmy
from asyncmy import errors as asyncmy_errors

from hickorygate.core import clock
from hickorygate.testing import database

_TAKE_ANY = (
    "SELECT CASE WHEN GET_LOCK('a', 0) = 1 THEN 0 "
    "WHEN GET_LOCK('b', 0) = 1 THEN 1 END"
)


class LocksTest(unittest.IsolatedAsyncioTestCase):
    """Locks that last no longer than the connection that holds them."""

    async def asyncSetUp(self) -> None:
        group = database.StandInGroup(clock.SystemClock())
        (self.database,) = await group.start(("one",))
        self.addAsyncCleanup(group.stop)

    async def connect(self) -> asyncmy.Connection:
        connection = await asyncmy.connect(
            host="127.0.0.1", port=self.database.port, user="hickorygate"
        )
        self.addAsyncCleanup(connection.ensure_closed)
        return connection

    async def ask(self, connection: asyncmy.Connection, sql: str) -> tuple:
        cursor = connection.cursor()
        await cursor.execute(sql)
        ((*row,),) = await cursor.fetchall()
        return tuple(row)

    async def test_first_free_lock_of_several_is_taken(self) -> None:
        found = [
            await self.ask(await self.connect(), _TAKE_ANY) for _ in range(3)
        ]
        self.assertEqual(found, [(0,), (1,), (None,)])

    async def test_released_lock_goes_to_the_first_waiter(self) -> None:
        one, two, three = [await self.connect() for _ in range(3)]
        await self.ask(one, "SELECT GET_LOCK('a', 0)")
        second = asyncio.create_task(self.ask(two, "SELECT GET_LOCK('a', 5)"))
        await asyncio.sleep(0.02)
        third = asyncio.create_task(self.ask(three, "SELECT GET_LOCK('a', 5)"))
        await asyncio.sleep(0.02)
        swap = "SELECT RELEASE_LOCK('a'), GET_LOCK('a', 0)"
        self.assertEqual(await self.ask(one, swap), (1, 0))
        self.assertEqual(await second, (1,))
        self.assertFalse(third.done())
        two.close()
        self.assertEqual(await third, (1,))

    async def test_wait_ends_with_its_timeout(self) -> None:
        one, two = await self.connect(), await self.connect()
        await self.ask(one, "SELECT GET_LOCK('a', 0)")
        self.assertEqual(
            await self.ask(two, "SELECT GET_LOCK('a', 0.01)"), (0,)
        )
        self.assertEqual(await self.ask(two, "SELECT RELEASE_LOCK('a')"), (0,))
        self.assertEqual(
            await self.ask(two, "SELECT RELEASE_LOCK('x')"), (None,)
        )

    async def test_lock_taken_twice_is_released_twice(self) -> None:
        one, two = await self.connect(), await self.connect()
        for _ in range(2):
            await self.ask(one, "SELECT GET_LOCK('a', 0)")
        await self.ask(one, "SELECT RELEASE_LOCK('a')")
        self.assertEqual(await self.ask(two, "SELECT GET_LOCK('a', 0)"), (0,))
        await self.ask(one, "SELECT RELEASE_ALL_LOCKS()")
        self.assertEqual(await self.ask(two, "SELECT IS_FREE_LOCK('a')"), (1,))

    async def test_idle_session_is_ended_with_its_locks(self) -> None:
        one, two = await self.connect(), await self.connect()
        await self.ask(one, "SELECT GET_LOCK('a', 0)")
        await one.cursor().execute("SET SESSION wait_timeout = 1")
        self.assertEqual(await self.ask(two, "SELECT GET_LOCK('a', 9)"), (1,))
        with self.assertRaises(asyncmy_errors.OperationalError):
            await self.ask(one, "SELECT GET_LOCK('b', 0)")

    async def test_login_beyond_the_limit_is_refused(self) -> None:
        self.database.load.settings = dataclasses.replace(
            self.database.load.settings, connections=1
        )
        await self.connect()
        with self.assertRaises(asyncmy_errors.OperationalError) as caught:
            await self.connect()
        self.assertEqual(caught.exception.args[0], 1040)
        self.assertEqual(self.database.load.most_connections, 1)
