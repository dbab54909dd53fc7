"""Tests that a write with an idempotency key runs only once."""

from __future__ import annotations

import datetime
import unittest

import expression

from hickorygate.callers import failures
from hickorygate.callers import handler
from hickorygate.callers import idempotency
from hickorygate.callers import statement_execution
from hickorygate.core import clock
from hickorygate.core import errors
from hickorygate.core import rank
from hickorygate.core import request_context
from hickorygate.core import settings
from hickorygate.core import sheet
from hickorygate.core import statement
from hickorygate.testing import database as databases
from hickorygate.upstreams import answer
from hickorygate.upstreams import connection

_TIMEOUT = datetime.timedelta(seconds=10)
_REFUND = "INSERT INTO refunds (cup) VALUES (7)"
_RANK = rank.Rank("urgent", 0, _TIMEOUT, 0.5)


def work(sql: str, key: str | None) -> statement_execution.StatementExecution:
    """Returns a statement and its terms; no idempotency key if None."""
    now = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
    request = request_context.RequestContext(
        _RANK, now, now, idempotency_key=key
    )
    return statement_execution.StatementExecution(
        statement.classify(sql).ok, request
    )


class LostAnswerConnection:
    """A connection that loses the answer to one statement.

    It closes after the statement took effect, like a connection that is cut.
    """

    def __init__(self, inner: connection.Connection, lost: str) -> None:
        self._inner = inner
        self._lost = lost

    @property
    def closed(self) -> bool:
        return self._inner.closed

    @property
    def database(self) -> sheet.Database:
        return self._inner.database

    def close(self) -> None:
        self._inner.close()

    async def execute(
        self, sql: str, timeout: datetime.timedelta
    ) -> handler.AnswerResult:
        result = await self._inner.execute(sql, timeout)
        if not sql.startswith(self._lost):
            return result
        self._inner.close()
        name = self._inner.database.name
        return expression.Error(errors.AnswerLost(name, "cut"))


class IdempotencyTest(unittest.IsolatedAsyncioTestCase):
    """Runs keyed writes on a stand-in database."""

    async def asyncSetUp(self) -> None:
        self.group = databases.StandInGroup(clock.SystemClock())
        (self.database,) = await self.group.start(("cup-ledger-1a",))
        self.addAsyncCleanup(self.group.stop)
        self.connection = await self.connect()
        await self.execute("CREATE TABLE refunds (cup INT UNIQUE)")

    async def connect(self) -> connection.Connection:
        target = sheet.Database(
            self.database.name,
            "127.0.0.1",
            self.database.port,
            "hobart",
            connections=30,
            slots=2,
        )
        opened = await connection.open_connection(
            target, settings.UpstreamSettings()
        )
        self.addCleanup(opened.ok.close)
        return opened.ok

    async def execute(self, sql: str) -> answer.Answer:
        result = await self.connection.execute(sql, _TIMEOUT)
        self.assertTrue(result.is_ok(), result)
        return result.ok

    async def refunds(self) -> int:
        table = await self.execute("SELECT COUNT(*) FROM refunds")
        return int(table.rows[0][0])

    async def run_with_key(
        self, key: str, sql: str = _REFUND
    ) -> handler.AnswerResult:
        stored_key = idempotency.make_key("keepcup", key, sql)
        return await idempotency.run(self.connection, sql, stored_key)

    async def test_repeat_is_answered_from_the_first_run(self) -> None:
        first = await self.run_with_key("scan-1")
        repeat = await self.run_with_key("scan-1")
        self.assertTrue(first.is_ok(), first)
        self.assertEqual(repeat.ok.affected_rows, first.ok.affected_rows)
        self.assertEqual(repeat.ok.last_insert_id, first.ok.last_insert_id)
        self.assertEqual(await self.refunds(), 1)

    async def test_repeat_after_a_lost_commit_does_not_run_again(self) -> None:
        await self.run_with_key("other", "INSERT INTO refunds (cup) VALUES (1)")
        stored_key = idempotency.make_key("keepcup", "scan-1", _REFUND)
        cut = LostAnswerConnection(self.connection, "COMMIT")
        lost = await idempotency.run(cut, _REFUND, stored_key)
        self.assertEqual(lost.error.outcome, errors.Outcome.UNKNOWN)
        self.connection = await self.connect()
        self.assertTrue((await self.run_with_key("scan-1")).is_ok())
        self.assertEqual(await self.refunds(), 2)

    async def test_repeat_after_a_connection_lost_before_the_commit_runs(
        self,
    ) -> None:
        await self.run_with_key("other", "INSERT INTO refunds (cup) VALUES (1)")
        stored_key = idempotency.make_key("keepcup", "scan-1", _REFUND)
        cut = LostAnswerConnection(self.connection, "UPDATE")
        await idempotency.run(cut, _REFUND, stored_key)
        self.connection = await self.connect()
        self.assertTrue((await self.run_with_key("scan-1")).is_ok())
        self.assertEqual(await self.refunds(), 2)

    async def test_failed_statement_does_not_use_up_the_key(self) -> None:
        await self.execute(_REFUND)
        refused = await self.run_with_key("scan-1")
        self.assertEqual(refused.error.code, 1062)
        await self.execute("DELETE FROM refunds")
        self.assertTrue((await self.run_with_key("scan-1")).is_ok())
        self.assertEqual(await self.refunds(), 1)

    async def test_key_with_another_statement_is_rejected(self) -> None:
        await self.run_with_key("scan-1")
        other = await self.run_with_key(
            "scan-1", "INSERT INTO refunds (cup) VALUES (8)"
        )
        self.assertEqual(other.error, failures.KeyReused())
        self.assertEqual(await self.refunds(), 1)

    async def test_purge_deletes_expired_keys_only(self) -> None:
        await self.run_with_key("old")
        await self.execute(
            "UPDATE hickorygate_idempotency "
            "SET created_at = '2026-01-01 00:00:00'"
        )
        await self.run_with_key("new", "INSERT INTO refunds (cup) VALUES (8)")
        await self.execute(
            "UPDATE hickorygate_idempotency "
            "SET created_at = '2026-01-08 00:00:00' "
            "WHERE created_at > '2026-01-02'"
        )
        now = datetime.datetime(2026, 1, 9, tzinfo=datetime.UTC)
        purged = await idempotency.purge(self.connection, now)
        self.assertEqual(purged.ok.affected_rows, 1)
        repeat = await self.run_with_key(
            "new", "INSERT INTO refunds (cup) VALUES (8)"
        )
        self.assertTrue(repeat.is_ok())
        self.assertEqual(await self.refunds(), 2)

    async def test_missing_table_of_the_write_is_reported(self) -> None:
        result = await self.run_with_key(
            "scan-1", "INSERT INTO nowhere VALUES (1)"
        )
        self.assertEqual(result.error.code, 1146)

    async def test_keys_of_two_callers_do_not_collide(self) -> None:
        first = idempotency.make_key("a", "bc", _REFUND)
        second = idempotency.make_key("ab", "c", _REFUND)
        self.assertNotEqual(first.digest, second.digest)


class CheckTest(unittest.TestCase):
    """Rejects keys that can't be stored in one transaction with the write."""

    def test_statement_without_a_key_passes(self) -> None:
        checked = idempotency.check(work("DROP TABLE refunds", None), True)
        self.assertTrue(checked.is_ok())

    def test_key_on_ddl_is_rejected(self) -> None:
        checked = idempotency.check(work("DROP TABLE refunds", "k"), False)
        self.assertIsInstance(checked.error, errors.BadHint)

    def test_key_inside_a_transaction_is_rejected(self) -> None:
        checked = idempotency.check(work(_REFUND, "k"), True)
        self.assertIsInstance(checked.error, errors.BadHint)

    def test_key_on_an_insert_after_a_comment_passes(self) -> None:
        checked = idempotency.check(work(f"/* a */ {_REFUND}", "k"), False)
        self.assertTrue(checked.is_ok())
