"""Tests the release of a connection whose rows are read or discarded."""

from __future__ import annotations

from collections.abc import AsyncIterator
import gc
import unittest

from hickorygate.callers import leased_rows
from hickorygate.core import errors
from hickorygate.core import types


class FakeConnection:
    """Connection that records whether it was closed."""

    def __init__(self) -> None:
        self.closed = False

    def close(self) -> None:
        self.closed = True


class FakePool:
    """Pool that records the released connections."""

    def __init__(self) -> None:
        self.released: list[FakeConnection] = []

    def release(self, connection: FakeConnection) -> None:
        self.released.append(connection)


async def stream_rows(
    count: int, failure: errors.Failure | None = None
) -> AsyncIterator[types.Row]:
    """Yields rows, then raises the failure if there is one."""
    for number in range(count):
        yield (number,)
    if failure is not None:
        raise errors.FailureError(failure)


class LeasedRowsTest(unittest.IsolatedAsyncioTestCase):
    """The connection is released exactly once in every case."""

    async def asyncSetUp(self) -> None:
        self.pool = FakePool()
        self.connection = FakeConnection()

    def leased(
        self, source: AsyncIterator[types.Row]
    ) -> leased_rows.LeasedRows:
        return leased_rows.LeasedRows(source, self.pool, self.connection)

    def assert_closed_and_released(self) -> None:
        self.assertTrue(self.connection.closed)
        self.assertEqual(self.pool.released, [self.connection])

    async def test_fully_read_connection_stays_open(self) -> None:
        leased = self.leased(stream_rows(3))
        self.assertEqual([row async for row in leased], [(0,), (1,), (2,)])
        del leased
        gc.collect()
        self.assertFalse(self.connection.closed)
        self.assertEqual(self.pool.released, [self.connection])

    async def test_unread_connection_is_closed(self) -> None:
        leased = self.leased(stream_rows(3))
        del leased
        gc.collect()
        self.assert_closed_and_released()

    async def test_partly_read_connection_is_closed(self) -> None:
        leased = self.leased(stream_rows(3))
        await anext(leased)
        await leased.aclose()
        self.assert_closed_and_released()

    async def test_failure_while_reading_is_raised(self) -> None:
        lost = errors.AnswerLost("alert-db-1a", "cut")
        leased = self.leased(stream_rows(1, lost))
        await anext(leased)
        with self.assertRaises(errors.FailureError) as caught:
            await anext(leased)
        self.assertEqual(caught.exception.failure, lost)
        self.assert_closed_and_released()
