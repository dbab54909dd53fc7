"""Tests failures that occur before a statement is sent.

They must say that the statement did not run.
"""

from __future__ import annotations

import datetime
import unittest

import expression

from hickorygate.callers import connection_lease
from hickorygate.callers import failures
from hickorygate.callers import session as sessions
from hickorygate.core import errors
from hickorygate.core import rank
from hickorygate.core import request_context
from hickorygate.core import sheet
from hickorygate.testing import clock

_DATABASE = sheet.Database("a", "127.0.0.1", 3306, "zone", 20, 3)
_RANK = rank.Rank("urgent", 0, datetime.timedelta(seconds=1), 0.5)


class FailingConnection:
    """A connection whose preparation for a session fails."""

    def __init__(self, failure: errors.Failure) -> None:
        self._failure = failure
        self.database = _DATABASE

    async def ensure_schema(
        self, *_: object
    ) -> expression.Result[None, errors.Failure]:
        return expression.Error(self._failure)


class FakeLink:
    """A database link that is also its own pool, of one connection."""

    def __init__(self, failure: errors.Failure) -> None:
        self.connection = FailingConnection(failure)
        self.released: list[FailingConnection] = []

    @property
    def pool(self) -> FakeLink:
        return self

    async def acquire(
        self, request: request_context.RequestContext
    ) -> expression.Result[FailingConnection, errors.Failure]:
        return expression.Ok(self.connection)

    def release(self, connection: FailingConnection) -> None:
        self.released.append(connection)


class AcquireTest(unittest.IsolatedAsyncioTestCase):
    """Checks the outcome NOT_RUN and that the connection is released."""

    async def acquire(self, failure: errors.Failure) -> errors.Failure:
        link = FakeLink(failure)
        now = clock.FakeClock().now()
        request = request_context.RequestContext(_RANK, now, now + _RANK.target)
        session = sessions.Session("vindpoot", now)
        leased = await connection_lease.acquire(link, session, request)
        self.assertEqual(link.released, [link.connection])
        self.assertEqual(leased.error.outcome, errors.Outcome.NOT_RUN)
        return leased.error

    async def test_rejected_variable(self) -> None:
        refused = errors.UpstreamError(1231, "42000", "bad value")
        self.assertEqual(
            await self.acquire(refused),
            failures.PreparationFailed("a", "bad value"),
        )

    async def test_database_shutdown(self) -> None:
        ended = errors.UpstreamError(1053, "08S01", "bye", interrupted=True)
        self.assertEqual(
            await self.acquire(ended), errors.ConnectFailed("a", "bye")
        )

    async def test_lost_answer(self) -> None:
        lost = errors.AnswerLost("a", "cut")
        self.assertEqual(
            await self.acquire(lost), errors.ConnectFailed("a", "cut")
        )
