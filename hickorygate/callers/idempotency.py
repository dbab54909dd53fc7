"""Idempotency keys: a write that is repeated with the same key runs once.

A key is stored as a row of a table in the group, in the same transaction as
the write. The key therefore survives the loss of a proxy or a failover exactly
when the write does. A repeat finds the row and is answered from it.
"""

from __future__ import annotations

import dataclasses
import datetime
import hashlib
import re

import expression

from hickorygate.callers import failures
from hickorygate.callers import handler
from hickorygate.callers import statement_execution
from hickorygate.core import errors
from hickorygate.core import types
from hickorygate.upstreams import answer
from hickorygate.upstreams import connection as connections

__all__ = [
    "CREATE_TABLE",
    "Key",
    "PURGE_PROBABILITY",
    "RETENTION",
    "check",
    "make_key",
    "purge",
    "run",
]

_TABLE = "hickorygate_idempotency"
CREATE_TABLE = (
    f"CREATE TABLE IF NOT EXISTS {_TABLE} ("
    "request_key CHAR(64) PRIMARY KEY, "
    "statement CHAR(64) NOT NULL, "
    "affected_rows BIGINT NOT NULL DEFAULT 0, "
    "insert_id BIGINT NOT NULL DEFAULT 0, "
    "created_at TIMESTAMP NOT NULL DEFAULT CURRENT_TIMESTAMP)"
)
"""Creates the table of keys; run when a group does not have it yet."""

RETENTION = datetime.timedelta(days=7)
"""Time for which a key is kept. A write that is repeated after this time runs
again."""

PURGE_PROBABILITY = 0.002
"""Share of the keyed writes that also delete expired keys."""

_MAX_PURGED_KEYS = 1_000
"""Maximum number of keys that one purge deletes.

One keyed write in 500 purges on average (`PURGE_PROBABILITY`), so about 500
keys are added between two purges. The limit is twice that number.
"""

_DUPLICATE_KEY = 1062
_NO_SUCH_TABLE = 1146
_KEYED_STATEMENT = re.compile(
    r"\s*(?:/\*.*?\*/\s*)*(INSERT|UPDATE|DELETE|REPLACE)\b", re.I | re.S
)


@dataclasses.dataclass(frozen=True, slots=True)
class Key:
    """An idempotency key in the form in which it is stored.

    Attributes:
      digest: digest of the user name and the caller's key.
      statement: digest of the text of the statement that uses the key.
    """

    digest: str
    statement: str


def _digest(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()


def make_key(user: types.CallerName, key: str, sql: str) -> Key:
    """Returns the stored form of a caller's key.

    Args:
      user: name of the user; keys of different users never coincide.
      key: key that the caller sent.
      sql: text of the statement.
    """
    return Key(_digest(f"{len(user)}:{user}{key}"), _digest(sql))


def check(
    work: statement_execution.StatementExecution, in_transaction: bool
) -> expression.Result[None, errors.BadHint]:
    """Rejects a key that cannot be stored in one transaction with the write.

    Args:
      work: statement and its terms, which may include a key.
      in_transaction: whether the statement runs in or opens a transaction of
        the caller.
    """
    key = work.request.idempotency_key
    if key is None:
        return expression.Ok(None)
    if in_transaction:
        reason = "a key covers one statement; send it outside a transaction"
        return expression.Error(errors.BadHint("idempotency_key", key, reason))
    if not _KEYED_STATEMENT.match(work.statement.sql):
        reason = "a key covers INSERT, UPDATE, DELETE and REPLACE only"
        return expression.Error(errors.BadHint("idempotency_key", key, reason))
    return expression.Ok(None)


async def run(
    connection: connections.Connection, sql: str, key: Key
) -> handler.AnswerResult:
    """Executes a write, or returns the answer of its first execution.

    Creates the table of keys if it is missing. If the write fails, no
    transaction is left open: it is rolled back, or the connection is closed.

    Args:
      connection: connection to the primary, outside a transaction.
      sql: text of the write.
      key: stored form of the key.
    """
    result = await _run_in_transaction(connection, sql, key)
    match result:
        case expression.Result(
            tag="error", error=errors.UpstreamError(code=code)
        ) if code == _NO_SUCH_TABLE:
            return await _retry_with_new_table(connection, sql, key, result)
    return result


async def purge(
    connection: connections.Connection, now: datetime.datetime
) -> handler.AnswerResult:
    """Deletes a limited number of keys that are older than the retention."""
    oldest = (now - RETENTION).strftime("%Y-%m-%d %H:%M:%S")
    # MySQL rejects a DELETE whose subquery reads the same table, unless a
    # derived table stands in between.
    expired = (
        f"SELECT request_key FROM {_TABLE} WHERE created_at < '{oldest}' "
        f"LIMIT {_MAX_PURGED_KEYS}"
    )
    return await _execute(
        connection,
        f"DELETE FROM {_TABLE} WHERE request_key IN "
        f"(SELECT request_key FROM ({expired}) AS expired)",
    )


async def _retry_with_new_table(
    connection: connections.Connection,
    sql: str,
    key: Key,
    result: handler.AnswerResult,
) -> handler.AnswerResult:
    """Creates the table of keys and tries again, if that table is missing.

    If the table exists, the write named a missing table itself, and the
    original answer is returned.
    """
    probe = await _execute(connection, _select_sql(key))
    if probe.is_ok():
        return result
    created = await _execute(connection, CREATE_TABLE)
    if created.is_error():
        return created
    return await _run_in_transaction(connection, sql, key)


async def _run_in_transaction(
    connection: connections.Connection, sql: str, key: Key
) -> handler.AnswerResult:
    """Inserts the key and executes the write in one transaction.

    A key that exists already is answered from its row.
    """
    begun = await _execute(connection, "BEGIN")
    if begun.is_error():
        return begun
    inserted = await _execute(connection, _insert_sql(key))
    match inserted:
        case expression.Result(
            tag="error", error=errors.UpstreamError(code=code)
        ) if code == _DUPLICATE_KEY:
            return await _answer_repeat(connection, key)
        case expression.Result(tag="error"):
            return await _roll_back(connection, inserted)
    result = await _execute(connection, sql)
    match result:
        case expression.Result(tag="ok", ok=answer.OkAnswer() as done):
            return await _commit(connection, key, done)
    return await _roll_back(connection, result)


async def _commit(
    connection: connections.Connection, key: Key, done: answer.OkAnswer
) -> handler.AnswerResult:
    """Stores the answer in the key's row and commits.

    A failed COMMIT closes the connection.
    """
    updated = await _execute(connection, _update_sql(key, done))
    if updated.is_error():
        return await _roll_back(connection, updated)
    committed = await _execute(connection, "COMMIT")
    if committed.is_error():
        connection.close()
        return committed
    return expression.Ok(done)


async def _answer_repeat(
    connection: connections.Connection, key: Key
) -> handler.AnswerResult:
    """Returns the answer stored in the key's row.

    A key that was used with another statement is a `KeyReused` failure.
    """
    rolled_back = await _execute(connection, "ROLLBACK")
    if rolled_back.is_error():
        connection.close()
        return rolled_back
    found = await _execute(connection, _select_sql(key))
    match found:
        case expression.Result(
            tag="ok",
            ok=answer.ResultSet(rows=[(statement, row_count, insert_id)]),
        ):
            if _cell_text(statement) != key.statement:
                return expression.Error(failures.KeyReused())
            return expression.Ok(
                answer.OkAnswer(
                    warnings=0,
                    affected_rows=int(_cell_text(row_count)),
                    last_insert_id=int(_cell_text(insert_id)),
                )
            )
        case expression.Result(tag="error"):
            return found
    name = connection.database.name
    return expression.Error(errors.AnswerLost(name, "the key's row is gone"))


async def _roll_back(
    connection: connections.Connection, result: handler.AnswerResult
) -> handler.AnswerResult:
    """Rolls back the open transaction and returns the given result."""
    if not connection.closed:
        rolled_back = await _execute(connection, "ROLLBACK")
        if rolled_back.is_error():
            connection.close()
    return result


async def _execute(
    connection: connections.Connection, sql: str
) -> handler.AnswerResult:
    return await connection.execute(sql, statement_execution.STATEMENT_TIMEOUT)


def _insert_sql(key: Key) -> str:
    return (
        f"INSERT INTO {_TABLE} (request_key, statement) "
        f"VALUES ('{key.digest}', '{key.statement}')"
    )


def _update_sql(key: Key, done: answer.OkAnswer) -> str:
    return (
        f"UPDATE {_TABLE} SET affected_rows = {done.affected_rows}, "
        f"insert_id = {done.last_insert_id} "
        f"WHERE request_key = '{key.digest}'"
    )


def _select_sql(key: Key) -> str:
    return (
        f"SELECT statement, affected_rows, insert_id FROM {_TABLE} "
        f"WHERE request_key = '{key.digest}'"
    )


def _cell_text(cell: types.Cell) -> str:
    return cell.decode() if isinstance(cell, bytes) else str(cell)
