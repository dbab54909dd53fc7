"""A connection to a database, based on the asyncmy library.

A connection runs one statement at a time. Any event that leaves the state of
the connection uncertain (a timeout, a cancellation, a network failure) closes
it, and it is never used again.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
import dataclasses
import datetime
import re

import asyncmy
from asyncmy import connection as asyncmy_connection
from asyncmy import cursors
from asyncmy import errors as asyncmy_errors
import expression

from hickorygate.core import assignment
from hickorygate.core import errors
from hickorygate.core import pool_errors
from hickorygate.core import settings as settings_lib
from hickorygate.core import sheet
from hickorygate.core import tls
from hickorygate.core import types
from hickorygate.upstreams import answer as answers

__all__ = ["Connection", "open_connection"]

_BATCH_ROWS = 1_000
_CLIENT_ERRORS = range(2_000, 3_000)
_READ_ONLY_ERRORS = frozenset({1290, 1792, 1836})
_INTERRUPTION_ERRORS = frozenset({1053, 1077, 1079, 1152, 1184, 1317})
"""Error codes of a shutdown, a killed query or an aborted connection."""

_DEFAULT_SQLSTATE = "HY000"
_TOO_MANY_CONNECTIONS = 1040
_RESERVED_LOCKS = re.compile(
    r"\bRELEASE_ALL_LOCKS\s*\(|_LOCK\s*\(\s*['\"]hickorygate\.", re.I
)
_SESSION_STATE = re.compile(
    r"\bTEMPORARY\b|\bGET_LOCK\b|\bLOCK\s+TABLES?\b|\bPREPARE\b"
    r"|\bHANDLER\b|:=|\bINTO\s+@|\bSET\s+@(?!@)",
    re.I,
)


def _upstream_error(error: asyncmy_errors.MySQLError) -> errors.UpstreamError:
    code = error.args[0]
    return errors.UpstreamError(
        code=code,
        sqlstate=getattr(error, "sqlstate", None) or _DEFAULT_SQLSTATE,
        text=str(error.args[1]),
        refused=code in _READ_ONLY_ERRORS,
        interrupted=code in _INTERRUPTION_ERRORS,
    )


def _is_server_error(error: Exception) -> bool:
    """Returns whether an error came from the database as an error packet.

    Errors that the client library raises itself return False.
    """
    if not isinstance(error, asyncmy_errors.MySQLError):
        return False
    code = error.args[0] if error.args else None
    return isinstance(code, int) and code > 0 and code not in _CLIENT_ERRORS


def _text(cell: bytes | str) -> str:
    return cell.decode() if isinstance(cell, bytes) else cell


class Connection:
    """An authenticated connection to one database."""

    __slots__ = (
        "_busy",
        "_close_cause",
        "_closed",
        "_database",
        "_lock",
        "_raw",
        "_schema",
        "_statements",
        "_has_session_state",
        "_variables",
    )

    def __init__(
        self,
        raw: asyncmy_connection.Connection,
        database: sheet.Database,
    ) -> None:
        self._raw = raw
        self._database = database
        self._closed = False
        self._schema: types.SchemaName | None = None
        self._variables: assignment.Variables = ()
        self._lock = asyncio.Lock()
        self._busy = False
        self._close_cause: errors.Failure | None = None
        self._statements = 0
        self._has_session_state = False

    @property
    def busy(self) -> bool:
        """Whether a statement is running or its rows are still arriving."""
        return self._busy

    @property
    def statement_count(self) -> int:
        """Number of statements started since the connection was opened."""
        return self._statements

    @property
    def reusable(self) -> bool:
        """Whether another session may use the connection.

        The connection must be open, run no statement, and have neither
        session state, nor an open transaction, nor data that nobody asked for.
        """
        if self.closed or self._busy or self._has_session_state:
            return False
        if self._has_unasked_data():
            return False
        return not self._raw.get_transaction_status()

    @property
    def closed(self) -> bool:
        """Whether the connection can no longer be used."""
        return self._closed or not self._raw.connected

    @property
    def database(self) -> sheet.Database:
        """The database that the connection leads to."""
        return self._database

    @property
    def schema(self) -> types.SchemaName | None:
        """The selected schema, or None if none was selected."""
        return self._schema

    def __repr__(self) -> str:
        state = "closed" if self.closed else "open"
        return f"Connection({self._database.name!r}, {state})"

    async def execute(
        self, sql: str, timeout: datetime.timedelta
    ) -> expression.Result[answers.Answer, errors.Failure]:
        """Runs a caller's statement and reads the first batch of its answer.

        After a statement that creates session state (temporary tables, locks,
        user variables), the connection is not reused by other sessions.

        Args:
          sql: text of the statement.
          timeout: time after which the answer counts as lost.

        Returns:
          The answer, `ReservedLock` if the statement names a lock of the
          proxies, or another failure.
        """
        if _RESERVED_LOCKS.search(sql):
            return expression.Error(pool_errors.ReservedLock())
        if _SESSION_STATE.search(sql):
            self._has_session_state = True
        return await self.execute_internal(sql, timeout)

    async def execute_internal(
        self, sql: str, timeout: datetime.timedelta
    ) -> expression.Result[answers.Answer, errors.Failure]:
        """Runs an internal statement of the proxy.

        The checks for reserved locks and session state are skipped.

        Args:
          sql: text of the statement.
          timeout: time after which the answer counts as lost.
        """
        async with self._lock:
            self._close_if_unasked()
            if self.closed:
                return expression.Error(self._closed_failure())
            return await self._run(sql, timeout)

    async def ping(
        self, timeout: datetime.timedelta
    ) -> expression.Result[None, errors.Failure]:
        """Checks that the database answers; closes the connection if not."""
        async with self._lock:
            self._close_if_unasked()
            if self.closed:
                return expression.Error(self._closed_failure())
            try:
                async with asyncio.timeout(timeout.total_seconds()):
                    await self._raw.ping(reconnect=False)
            except asyncio.CancelledError:
                self.close()
                raise
            except Exception as error:  # noqa: BLE001 - see _run
                return expression.Error(self._failure(error))
        return expression.Ok(None)

    async def _run(
        self, sql: str, timeout: datetime.timedelta
    ) -> expression.Result[answers.Answer, errors.Failure]:
        cursor = self._raw.cursor(cursors.SSCursor)
        self._busy = True
        self._statements += 1
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                await cursor.execute(sql)
                answer = await self._read_answer(cursor)
                answer = await self._with_warning_texts(answer)
        except asyncio.CancelledError:
            self.close()
            raise
        except Exception as error:  # noqa: BLE001 - asyncmy raises many types
            self._busy = False
            return expression.Error(self._failure(error))
        return expression.Ok(answer)

    async def ensure_schema(
        self, schema: types.SchemaName | None, timeout: datetime.timedelta
    ) -> expression.Result[None, errors.Failure]:
        """Selects a schema, unless it is None or already selected."""
        if schema is None or schema == self._schema:
            return expression.Ok(None)
        quoted = schema.replace("`", "``")
        result = await self.execute(f"USE `{quoted}`", timeout)
        if result.is_ok():
            self._schema = schema
        return result.map(lambda _: None)

    async def set_variables(
        self, variables: assignment.Variables, timeout: datetime.timedelta
    ) -> expression.Result[None, errors.Failure]:
        """Makes the session variables equal to the given ones.

        Other variables that were set before are reset.
        """
        if variables == self._variables:
            return expression.Ok(None)
        for sql, left in assignment.replay(self._variables, variables):
            result = await self.execute(sql, timeout)
            if result.is_error():
                return expression.Error(result.error)
            self._variables = left
        return expression.Ok(None)

    def close(self, cause: errors.Failure | None = None) -> None:
        """Closes the socket immediately.

        Args:
          cause: failure that later statements on the connection return; its
            outcome must be NOT_RUN. The first cause given is kept.
        """
        self._closed = True
        self._close_cause = self._close_cause or cause
        self._raw.close()

    def _close_if_unasked(self) -> None:
        """Closes the connection if it has data that nobody asked for."""
        if not self.closed and self._has_unasked_data():
            name = self._database.name
            self.close(errors.ConnectFailed(name, "sent an unasked answer"))

    def _has_unasked_data(self) -> bool:
        """Returns whether the database has sent more than was asked for.

        The library would take it for the answer to the next statement.
        """
        result = self._raw._result  # noqa: SLF001 - no public API
        if result is not None and (result.unbuffered_active or result.has_next):
            return False  # The rest of the last answer.
        buffered = self._raw._proto  # noqa: SLF001 - no public API
        return buffered.length > buffered.pos

    def _closed_failure(self) -> errors.Failure:
        name = self._database.name
        return self._close_cause or errors.ConnectFailed(name, "closed")

    def _failure(self, error: Exception) -> errors.Failure:
        if _is_server_error(error):
            return _upstream_error(error)
        self.close()
        reason = str(error) or type(error).__name__
        return errors.AnswerLost(self._database.name, reason)

    async def _read_answer(self, cursor: cursors.SSCursor) -> answers.Answer:
        warnings = cursor._result.warning_count  # noqa: SLF001
        if cursor.description is None:
            self._busy = False
            return answers.OkAnswer(
                warnings=warnings,
                affected_rows=cursor.rowcount,
                last_insert_id=cursor.lastrowid,
            )
        columns = tuple(
            answers.Column(
                name=field.name,
                type_code=field.type_code,
                charset=field.charsetnr,
                flags=field.flags,
                decimals=field.scale,
                length=field.length,
            )
            for field in cursor._result.fields  # noqa: SLF001
        )
        rows = await cursor.fetchmany(_BATCH_ROWS)
        if len(rows) < _BATCH_ROWS:
            self._busy = False
            return answers.ResultSet(warnings, columns, rows)
        return answers.ResultSet(warnings, columns, self._stream(cursor, rows))

    async def _with_warning_texts(
        self, answer: answers.Answer
    ) -> answers.Answer:
        """Adds the texts of the warnings to an answer.

        The texts must be fetched before the next statement runs on the
        connection. An answer whose rows are still arriving is not changed.
        """
        streaming = isinstance(answer, answers.ResultSet) and isinstance(
            answer.rows, AsyncIterator
        )
        if not answer.warnings or streaming:
            return answer
        cursor = self._raw.cursor(cursors.SSCursor)
        await cursor.execute("SHOW WARNINGS")
        rows = await cursor.fetchall()
        notes = tuple(
            answers.Note(_text(level), int(code), _text(text))
            for level, code, text in rows
        )
        return dataclasses.replace(answer, notes=notes)

    def _pause_reading(self, paused: bool) -> None:
        transport = self._raw._transport  # noqa: SLF001
        if transport is None or transport.is_closing():
            return
        if paused:
            transport.pause_reading()
        else:
            transport.resume_reading()

    async def _stream(
        self, cursor: cursors.SSCursor, rows: list[types.Row]
    ) -> AsyncIterator[types.Row]:
        complete = False
        try:
            while rows:
                # asyncmy buffers everything that the database sends, so
                # reading is paused while the caller consumes the rows.
                self._pause_reading(True)
                for row in rows:
                    yield row
                self._pause_reading(False)
                rows = await cursor.fetchmany(_BATCH_ROWS)
            complete = True
            self._busy = False
        except asyncmy_errors.MySQLError as error:
            raise errors.FailureError(self._failure(error)) from error
        finally:
            if not complete:
                self.close()


def _connect_failure(
    database: sheet.Database, error: Exception
) -> errors.Failure:
    if error.args and error.args[0] == _TOO_MANY_CONNECTIONS:
        return pool_errors.ConnectionLimit(database.name)
    reason = str(error) or type(error).__name__
    return errors.ConnectFailed(database.name, reason)


async def open_connection(
    database: sheet.Database, settings: settings_lib.UpstreamSettings
) -> expression.Result[Connection, errors.Failure]:
    """Opens an authenticated connection to a database.

    Args:
      database: database to connect to.
      settings: credentials, TLS files and the connect timeout.

    Returns:
      The connection, `ConnectionLimit` if the database accepts no more
      connections, or `ConnectFailed`.
    """
    limit = settings.connect_timeout.total_seconds()
    context = tls.client_context(settings.tls)
    if context.is_error():
        reason = context.error.message
        return expression.Error(errors.ConnectFailed(database.name, reason))
    try:
        async with asyncio.timeout(limit):
            raw = await asyncmy.connect(
                host=database.host,
                port=database.port,
                user=settings.user,
                password=settings.password.get_secret_value(),
                autocommit=None,
                conv={},
                ssl=context.ok,
            )
    except (asyncmy_errors.MySQLError, OSError, TimeoutError) as error:
        return expression.Error(_connect_failure(database, error))
    return expression.Ok(Connection(raw, database))
