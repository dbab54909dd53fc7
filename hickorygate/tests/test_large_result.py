"""Tests back-pressure on large results that the proxy reads from a database."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Mapping
import datetime
import unittest

import expression

from hickorygate.callers import handler
from hickorygate.callers import server
from hickorygate.core import clock as clocks
from hickorygate.core import settings as settings_lib
from hickorygate.core import sheet
from hickorygate.core import types
from hickorygate.testing import database as databases
from hickorygate.testing import stand_in_handler
from hickorygate.upstreams import answer
from hickorygate.upstreams import connection

_TIMEOUT = datetime.timedelta(seconds=10)
_CELL = "x" * 1_000
_ROWS = 40_000
_SOCKET_BYTES = 16 * 1_048_576
"""Upper bound of what the kernel buffers between two local sockets."""


class _Origin(stand_in_handler.StandInHandler):
    """Handler of a database that answers each SELECT with many rows."""

    produced = 0

    async def query(
        self, sql: str, attributes: Mapping[str, str]
    ) -> handler.AnswerResult:
        if not sql.startswith("SELECT"):
            return await super().query(sql, attributes)
        column = answer.Column("a", 253, 45)
        return expression.Ok(answer.ResultSet(0, (column,), self._rows()))

    async def _rows(self) -> AsyncIterator[types.Row]:
        for _ in range(_ROWS):
            _Origin.produced += 1
            yield (_CELL,)


class LargeResultTest(unittest.IsolatedAsyncioTestCase):
    """A database pauses while the proxy doesn't read its rows."""

    async def asyncSetUp(self) -> None:
        clock = clocks.SystemClock()
        database = databases.StandInDatabase(
            "origin", databases.StandInGroup(clock), clock
        )
        self.origin = server.Server(
            lambda: _Origin(database), {"hickorygate": ""}, 1_000
        )
        await self.origin.start("127.0.0.1", 0)
        self.addAsyncCleanup(self.origin.close)

    async def test_unread_rows_pause_the_database(self) -> None:
        database = sheet.Database(
            "origin", "127.0.0.1", self.origin.port, "nl-west-a", 20, 3
        )
        settings = settings_lib.UpstreamSettings()
        opened = await connection.open_connection(database, settings)
        self.addCleanup(opened.ok.close)
        result = await opened.ok.execute("SELECT", _TIMEOUT)
        rows = result.ok.rows
        received = len([await anext(rows)])
        produced = -1
        while produced != _Origin.produced:
            produced = _Origin.produced
            await asyncio.sleep(0.05)
        self.assertLess(produced * len(_CELL), _SOCKET_BYTES)
        async for _ in rows:
            received += 1
        self.assertEqual(received, _ROWS)
