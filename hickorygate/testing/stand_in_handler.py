"""The server-side handler of a stand-in database's connections."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
import dataclasses
import datetime
import re
from typing import TYPE_CHECKING

import expression

from hickorygate.callers import handler
from hickorygate.core import errors
from hickorygate.core import position
from hickorygate.core import statement as statements
from hickorygate.core import types
from hickorygate.testing import advisory_locks
from hickorygate.testing import load
from hickorygate.upstreams import answer as answers

if TYPE_CHECKING:
    from hickorygate.testing import database as databases

__all__ = ["StandInHandler"]

_LOCK_TIMEOUT = datetime.timedelta(seconds=5)
_VAR_STRING = 253
_UTF8MB4 = 45
_READ_ONLY = errors.UpstreamError(
    1290, "HY000", "running with --read-only", refused=True
)
_TOO_MANY_CONNECTIONS = errors.UpstreamError(
    1040, "08004", "Too many connections", refused=True
)
_LOCK_WAIT = errors.UpstreamError(1205, "HY000", "Lock wait timeout exceeded")
_TERM_REFUSED = 3_100
_NOTE_COLUMNS = tuple(
    answers.Column(name, _VAR_STRING, _UTF8MB4)
    for name in ("Level", "Code", "Message")
)
_PROCEDURE = re.compile(r"CALL\s+group_(\w+)\s*\((.*)\)\s*$", re.I | re.S)


def _status_table(status: position.DatabaseStatus) -> answers.ResultSet:
    silence = status.primary_silence / datetime.timedelta(milliseconds=1)
    cells = {
        "role": status.role.value,
        "term": status.term,
        "base": status.base,
        "log_term": status.log_term,
        "received": status.received,
        "applied": status.applied,
        "fenced": status.fenced,
        "primary_silence_ms": int(silence),
        "boot": status.boot,
    }
    columns = tuple(
        answers.Column(name, _VAR_STRING, _UTF8MB4) for name in cells
    )
    row = tuple(str(cell) for cell in cells.values())
    return answers.ResultSet(warnings=0, columns=columns, rows=[row])


class StandInHandler:
    """Handles one connection to a stand-in database.

    Attributes:
      autocommit: whether a statement outside a transaction commits at once.
      in_transaction: whether a transaction is open.
    """

    def __init__(self, database: databases.StandInDatabase) -> None:
        self._database = database
        self._pending_writes: list[str] = []
        self._notes: tuple[answers.Note, ...] = ()
        self._idle = load.IdleLimit()
        self._connected = False
        self._user = ""
        self._aborted = False
        self.autocommit = True
        self.in_transaction = False

    async def connect(
        self, connection_id: int
    ) -> expression.Result[None, errors.Failure]:
        """Accepts the connection unless the connection limit is reached."""
        self._connected = self._database.load.connect()
        if not self._connected:
            return expression.Error(_TOO_MANY_CONNECTIONS)
        await self._database.load.simulate_login()
        return expression.Ok(None)

    async def login(
        self, user: types.CallerName, attributes: Mapping[str, str]
    ) -> expression.Result[None, errors.Failure]:
        """Accepts the user; the server has verified the password."""
        self._user = user
        await self._database.wait_until_reachable(user)
        return expression.Ok(None)

    async def query(
        self, sql: str, attributes: Mapping[str, str]
    ) -> handler.AnswerResult:
        """Runs one statement and returns its answer."""
        with self._idle.busy():
            return await self._answer(sql)

    async def _answer(self, sql: str) -> handler.AnswerResult:
        await self._database.wait_until_reachable(self._user)
        result = await self._evaluate(sql)
        await self._database.wait_until_reachable(self._user)
        return result

    async def _evaluate(self, sql: str) -> handler.AnswerResult:
        columns = advisory_locks.parse_lock_select(sql)
        if columns is not None:
            row = await self._database.locks.evaluate(self, columns)
            return expression.Ok(advisory_locks.result_set(columns, row))
        procedure = _PROCEDURE.match(sql)
        if procedure:
            return await self._call(procedure.group(1), procedure.group(2))
        statement = statements.classify(sql)
        if statement.is_error():
            return expression.Error(statement.error)
        return await self._run(statement.ok)

    async def select_schema(
        self, schema: types.SchemaName
    ) -> handler.AnswerResult:
        """Accepts any schema; all schemas share one set of tables."""
        return expression.Ok(answers.EMPTY_ANSWER)

    async def reset(self) -> None:
        """Rolls back the open transaction and releases the session's locks."""
        self._roll_back()
        self._database.locks.release_all(self)

    async def close(self) -> None:
        """Ends the session with its transaction, locks and timer."""
        await self.reset()
        self._idle.stop()
        if self._connected:
            self._connected = False
            self._database.load.disconnect()

    def abort(self) -> None:
        """Rolls back the open transaction.

        The session's next statement fails, unless it is a ROLLBACK.
        """
        self._roll_back()
        self._aborted = True

    def _consume_abort(self) -> bool:
        aborted, self._aborted = self._aborted, False
        return aborted

    def _roll_back(self) -> None:
        if self.in_transaction:
            self._database.engine.rollback()
            self._release_transaction()

    async def _run(
        self, statement: statements.Statement
    ) -> handler.AnswerResult:
        if self._consume_abort() and not isinstance(
            statement, statements.Rollback
        ):
            return expression.Error(_READ_ONLY)
        match statement:
            case statements.Begin():
                return await self._begin()
            case statements.Commit():
                return await self._commit()
            case statements.Rollback():
                self._roll_back()
                return expression.Ok(answers.EMPTY_ANSWER)
            case statements.SetAutocommit(enabled=enabled):
                self.autocommit = enabled
                return expression.Ok(answers.EMPTY_ANSWER)
            case statements.ShowWarnings():
                return self._show_warnings()
            case statements.SetVariable() | statements.UseSchema():
                self._idle.read(statement.sql)
                return expression.Ok(answers.EMPTY_ANSWER)
        return await self._execute(statement)

    async def _begin(self) -> handler.AnswerResult:
        if self.in_transaction:
            await self._commit()
        if not await self._acquire_transaction():
            return expression.Error(_LOCK_WAIT)
        return expression.Ok(answers.EMPTY_ANSWER)

    async def _acquire_transaction(self) -> bool:
        try:
            async with asyncio.timeout(_LOCK_TIMEOUT.total_seconds()):
                await self._database.lock.acquire()
        except TimeoutError:
            return False
        self._database.engine.begin()
        self._database.open_transaction = self
        self.in_transaction = True
        return True

    def _release_transaction(self) -> None:
        self._pending_writes.clear()
        self.in_transaction = False
        self._database.open_transaction = None
        self._database.lock.release()

    async def _commit(self) -> handler.AnswerResult:
        if not self.in_transaction:
            return expression.Ok(answers.EMPTY_ANSWER)
        if self._pending_writes and not self._database.log.writable:
            self._roll_back()
            return expression.Error(_READ_ONLY)
        self._database.engine.commit()
        sqls = tuple(self._pending_writes)
        if sqls:
            self._database.log.append(sqls)
        self._release_transaction()
        await self._database.notify()
        return expression.Ok(answers.EMPTY_ANSWER)

    async def _execute(
        self, statement: statements.Statement
    ) -> handler.AnswerResult:
        writes = isinstance(statement, statements.Write)
        if writes and not self._database.log.writable:
            return expression.Error(_READ_ONLY)
        await self._database.load.run(statement.sql)
        if self._consume_abort():
            return expression.Error(_READ_ONLY)
        if self.in_transaction:
            return self._run_in_transaction(statement, writes)
        if not await self._acquire_transaction():
            return expression.Error(_LOCK_WAIT)
        result = self._run_in_transaction(statement, writes)
        if result.is_error() or not self.autocommit:
            if result.is_error():
                self._roll_back()
            return result
        committed = await self._commit()
        return result if committed.is_ok() else committed

    def _run_in_transaction(
        self, statement: statements.Statement, writes: bool
    ) -> handler.AnswerResult:
        engine = self._database.engine
        self._notes = engine.notes_of(statement.sql)
        result = engine.run(statement.sql)
        if writes and result.is_ok():
            self._pending_writes.append(statement.sql)
        return result.map(self._with_warnings)

    def _with_warnings(self, answer: answers.Answer) -> answers.Answer:
        return dataclasses.replace(answer, warnings=len(self._notes))

    def _show_warnings(self) -> handler.AnswerResult:
        rows = [(n.level, str(n.code), n.text) for n in self._notes]
        return expression.Ok(answers.ResultSet(0, _NOTE_COLUMNS, rows))

    async def _call(self, name: str, arguments: str) -> handler.AnswerResult:
        parameters = [part.strip().strip("'") for part in arguments.split(",")]
        log = self._database.log
        match name.lower():
            case "status":
                result = expression.Ok(None)
            case "fence":
                result = log.fence(int(parameters[0]), parameters[1])
            case "promote":
                await self._database.apply()
                result = log.promote(int(parameters[0]), parameters[1])
            case "follow":
                result = log.follow(int(parameters[0]), parameters[1])
            case "wait":
                await self._wait(
                    int(parameters[0]), int(parameters[1]), int(parameters[2])
                )
                result = expression.Ok(None)
            case _:
                result = expression.Error(
                    errors.UpstreamError(1305, "42000", f"no group_{name}")
                )
        if result.is_error():
            return expression.Error(
                errors.UpstreamError(
                    _TERM_REFUSED, "HY000", result.error.message
                )
            )
        await self._database.abort_if_read_only()
        return expression.Ok(_status_table(self._database.status()))

    async def _wait(
        self, term: types.Term, offset: types.Offset, milliseconds: int
    ) -> None:
        target = position.Position(term, offset)

        def reached_or_superseded() -> bool:
            status = self._database.status()
            newest = max(status.term, status.fenced)
            return position.has_received(status, target) or newest > term

        try:
            async with asyncio.timeout(milliseconds / 1_000):
                async with self._database.changed:
                    await self._database.changed.wait_for(reached_or_superseded)
        except TimeoutError:
            return
