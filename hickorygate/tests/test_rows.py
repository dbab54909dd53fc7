"""Rows that arrive on a leased connection."""

from __future__ import annotations

from collections.abc import AsyncIterator
import gc
import unittest

from hickorygate.callers import rows
from hickorygate.core import errors
from hickorygate.core import types


class FakeConnection:
    """Remembers whether it was closed."""

    def __init__(self) -> None:
        self.closed = False

    def close(self) -> None:
        self.closed = True


class FakePool:
    """Remembers what came back."""

    def __init__(self) -> None:
        self.released: list[FakeConnection] = []

    def release(self, connection: FakeConnection) -> None:
        self.released.append(connection)


async def arriving(
    count: int, failure: errors.Failure | None = None
) -> AsyncIterator[types.Row]:
    """Gives rows, then perhaps a failure."""
    for number in range(count):
        yield (number,)
    if failure is not None:
        raise errors.FailureError(failure)


class LeasedRowsTest(unittest.IsolatedAsyncioTestCase):
    """The connection always goes back, and only once."""

    async def asyncSetUp(self) -> None:
        self.pool = FakePool()
        self.connection = FakeConnection()

    def leased(self, source: AsyncIterator[types.Row]) -> rows.LeasedRows:
        return rows.LeasedRows(source, self.pool, self.connection)

    def assert_given_up(self) -> None:
        self.assertTrue(self.connection.closed)
        self.assertEqual(self.pool.released, [self.connection])

    async def test_read_to_the_end_is_used_again(self) -> None:
        leased = self.leased(arriving(3))
        self.assertEqual([row async for row in leased], [(0,), (1,), (2,)])
        del leased
        gc.collect()
        self.assertFalse(self.connection.closed)
        self.assertEqual(self.pool.released, [self.connection])

    async def test_never_read_is_closed(self) -> None:
        leased = self.leased(arriving(3))
        del leased
        gc.collect()
        self.assert_given_up()

    async def test_read_in_part_is_closed(self) -> None:
        leased = self.leased(arriving(3))
        await anext(leased)
        await leased.aclose()
        self.assert_given_up()

    async def test_failure_in_the_middle_is_passed_on(self) -> None:
        lost = errors.AnswerLost("alert-db-1a", "cut")
        leased = self.leased(arriving(1, lost))
        await anext(leased)
        with self.assertRaises(errors.FailureError) as caught:
            await anext(leased)
        self.assertEqual(caught.exception.failure, lost)
        self.assert_given_up()
