"""Idempotency keys: a repeated write with the same key runs once.

The key is a row of a table in the group, written in the same transaction as
the work, so it survives proxies and failovers exactly when the work does. A
repeat finds the row and answers from it.
"""

from __future__ import annotations

import dataclasses
import datetime
import hashlib
import re

import expression

from hickorygate.callers import failures
from hickorygate.callers import handler as handlers
from hickorygate.callers import work as works
from hickorygate.core import errors
from hickorygate.core import types
from hickorygate.upstreams import answer as answers
from hickorygate.upstreams import connection as connections

__all__ = [
    "CREATE_TABLE",
    "Key",
    "PURGE_SHARE",
    "RETENTION",
    "check",
    "key_of",
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
"""Makes the table of keys; run when a group has none yet."""

RETENTION = datetime.timedelta(days=7)
"""How long a key is kept; a repeat after that runs again."""

PURGE_SHARE = 0.002
"""Share of the writes with a key that also delete expired keys."""

_PURGED_AT_ONCE = 1_000
"""Keys deleted at the most by one write; twice what grows between two."""

_DUPLICATE_KEY = 1062
_NO_SUCH_TABLE = 1146
_KEYED_STATEMENT = re.compile(
    r"\s*(?:/\*.*?\*/\s*)*(INSERT|UPDATE|DELETE|REPLACE)\b", re.I | re.S
)


@dataclasses.dataclass(frozen=True, slots=True)
class Key:
    """A caller's key, bound to the statement that it was used with.

    Attributes:
      digest: of the caller and the key.
      statement: digest of the statement's text.
    """

    digest: str
    statement: str


def _digest(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()


def key_of(user: types.CallerName, key: str, sql: str) -> Key:
    """Makes the stored form of a caller's key."""
    return Key(_digest(f"{len(user)}:{user}{key}"), _digest(sql))


def check(
    work: works.Work, in_transaction: bool
) -> expression.Result[None, errors.BadHint]:
    """Refuses a key where it can't be kept in one transaction with the work."""
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
) -> handlers.AnswerResult:
    """Runs a write once, or answers from its first run.

    Unless it succeeds, the transaction is gone when this returns: rolled back
    here, or with the connection, which is then closed.
    """
    result = await _first_run(connection, sql, key)
    match result:
        case expression.Result(
            tag="error", error=errors.UpstreamError(code=code)
        ) if code == _NO_SUCH_TABLE:
            return await _with_new_table(connection, sql, key, result)
    return result


async def purge(
    connection: connections.Connection, now: datetime.datetime
) -> handlers.AnswerResult:
    """Deletes some keys that are past their retention."""
    oldest = (now - RETENTION).strftime("%Y-%m-%d %H:%M:%S")
    # MySQL can't delete from a table that it selects from, but for a
    # derived table in between.
    expired = (
        f"SELECT request_key FROM {_TABLE} WHERE created_at < '{oldest}' "
        f"LIMIT {_PURGED_AT_ONCE}"
    )
    return await _execute(
        connection,
        f"DELETE FROM {_TABLE} WHERE request_key IN "
        f"(SELECT request_key FROM ({expired}) AS expired)",
    )


async def _with_new_table(
    connection: connections.Connection,
    sql: str,
    key: Key,
    result: handlers.AnswerResult,
) -> handlers.AnswerResult:
    """Tries again if it was our own table that was missing."""
    probe = await _execute(connection, _select(key))
    if probe.is_ok():
        return result
    created = await _execute(connection, CREATE_TABLE)
    if created.is_error():
        return created
    return await _first_run(connection, sql, key)


async def _first_run(
    connection: connections.Connection, sql: str, key: Key
) -> handlers.AnswerResult:
    begun = await _execute(connection, "BEGIN")
    if begun.is_error():
        return begun
    inserted = await _execute(connection, _insert(key))
    match inserted:
        case expression.Result(
            tag="error", error=errors.UpstreamError(code=code)
        ) if code == _DUPLICATE_KEY:
            return await _repeat(connection, key)
        case expression.Result(tag="error"):
            return await _rolled_back(connection, inserted)
    result = await _execute(connection, sql)
    match result:
        case expression.Result(tag="ok", ok=answers.Done() as done):
            return await _commit(connection, key, done)
    return await _rolled_back(connection, result)


async def _commit(
    connection: connections.Connection, key: Key, done: answers.Done
) -> handlers.AnswerResult:
    updated = await _execute(connection, _update(key, done))
    if updated.is_error():
        return await _rolled_back(connection, updated)
    committed = await _execute(connection, "COMMIT")
    if committed.is_error():
        connection.close()
        return committed
    return expression.Ok(done)


async def _repeat(
    connection: connections.Connection, key: Key
) -> handlers.AnswerResult:
    rolled_back = await _execute(connection, "ROLLBACK")
    if rolled_back.is_error():
        connection.close()
        return rolled_back
    found = await _execute(connection, _select(key))
    match found:
        case expression.Result(
            tag="ok", ok=answers.Table(rows=[(statement, rows, insert_id)])
        ):
            if _text(statement) != key.statement:
                return expression.Error(failures.KeyReused())
            return expression.Ok(
                answers.Done(
                    warnings=0,
                    affected_rows=int(_text(rows)),
                    last_insert_id=int(_text(insert_id)),
                )
            )
        case expression.Result(tag="error"):
            return found
    name = connection.database.name
    return expression.Error(errors.AnswerLost(name, "the key's row is gone"))


async def _rolled_back(
    connection: connections.Connection, result: handlers.AnswerResult
) -> handlers.AnswerResult:
    """Drops the open transaction and passes the failure on."""
    if not connection.closed:
        rolled_back = await _execute(connection, "ROLLBACK")
        if rolled_back.is_error():
            connection.close()
    return result


async def _execute(
    connection: connections.Connection, sql: str
) -> handlers.AnswerResult:
    return await connection.execute(sql, works.STATEMENT_TIMEOUT)


def _insert(key: Key) -> str:
    return (
        f"INSERT INTO {_TABLE} (request_key, statement) "
        f"VALUES ('{key.digest}', '{key.statement}')"
    )


def _update(key: Key, done: answers.Done) -> str:
    return (
        f"UPDATE {_TABLE} SET affected_rows = {done.affected_rows}, "
        f"insert_id = {done.last_insert_id} "
        f"WHERE request_key = '{key.digest}'"
    )


def _select(key: Key) -> str:
    return (
        f"SELECT statement, affected_rows, insert_id FROM {_TABLE} "
        f"WHERE request_key = '{key.digest}'"
    )


def _text(cell: types.Cell) -> str:
    return cell.decode() if isinstance(cell, bytes) else str(cell)
