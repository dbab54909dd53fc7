"""Handles the statements of a caller, from their text to the answer."""

from __future__ import annotations

from collections.abc import Mapping
import dataclasses
import datetime

import expression

from hickorygate.callers import environment
from hickorygate.callers import error_replies
from hickorygate.callers import executor
from hickorygate.callers import handler
from hickorygate.callers import hints as hints_lib
from hickorygate.callers import local_answers
from hickorygate.callers import session as sessions
from hickorygate.callers import statement_dispatch
from hickorygate.core import assignment as assignments
from hickorygate.core import errors
from hickorygate.core import rank as ranks
from hickorygate.core import request_context
from hickorygate.core import settings as settings_lib
from hickorygate.core import sheet as sheets
from hickorygate.core import statement as statements
from hickorygate.core import token as tokens
from hickorygate.core import types
from hickorygate.upstreams import answer

__all__ = ["SessionHandler"]

_VAR_STRING = 253
_UTF8MB4 = 45
_LOCAL_RANK = ranks.Rank(
    name="local", order=0, target=datetime.timedelta(seconds=2), floor=0.0
)
"""Rank of statements that need no database."""

_LOCAL_STATEMENTS = (
    statements.Begin,
    statements.Commit,
    statements.Rollback,
    statements.SetAutocommit,
    statements.UseSchema,
)
_WARNING_COLUMNS = (local_answers.NOTE_COLUMNS, local_answers.COUNT_COLUMNS)


class SessionHandler:
    """Handles one caller's connection; implements `handler.Handler`."""

    __slots__ = (
        "_env",
        "_executor",
        "_connection_state",
        "_session",
        "_settings",
    )

    def __init__(
        self,
        env: environment.Environment,
        settings: settings_lib.CallerSettings,
    ) -> None:
        self._env = env
        self._settings = settings
        self._connection_state = local_answers.CallerConnectionState(
            0, settings.statement_limit
        )
        self._start_session("", hints_lib.Hints())

    @property
    def autocommit(self) -> bool:
        """Whether each statement is its own transaction."""
        return self._session.autocommit

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open."""
        return self._session.in_transaction

    def __repr__(self) -> str:
        return f"SessionHandler({self._session.user!r})"

    async def connect(
        self, connection_id: int
    ) -> expression.Result[None, errors.Failure]:
        """Accepts every connection."""
        self._connection_state.connection_id = connection_id
        return expression.Ok(None)

    async def login(
        self, user: types.CallerName, attributes: Mapping[str, str]
    ) -> expression.Result[None, errors.Failure]:
        """Starts a session, with the hints and token of its attributes."""
        await self._executor.close()
        hints = hints_lib.parse(attributes)
        if hints.is_error():
            return expression.Error(hints.error)
        self._start_session(user, hints.ok)
        return self._apply_token(hints.ok.token)

    async def query(
        self, sql: str, attributes: Mapping[str, str]
    ) -> handler.AnswerResult:
        """Answers one statement.

        Records the row count, the last insert ID and the warnings, which later
        statements may ask for.
        """
        result = await self._answer_query(sql, attributes)
        self._record_result(result)
        return result

    async def _answer_query(
        self, sql: str, attributes: Mapping[str, str]
    ) -> handler.AnswerResult:
        arrived = self._env.clock.now()
        commented = hints_lib.parse_comments(sql)
        if commented.is_error():
            return expression.Error(commented.error)
        hints, text = commented.ok
        attributed = hints_lib.parse(attributes)
        if attributed.is_error():
            return expression.Error(attributed.error)
        statement = statements.classify(text)
        if statement.is_error():
            return expression.Error(statement.error)
        hints = hints.with_fallback(attributed.ok)
        token_result = self._apply_token(hints.token)
        if token_result.is_error():
            return expression.Error(token_result.error)
        return await statement_dispatch.answer(
            statement.ok, self, hints, arrived
        )

    async def select_schema(
        self, schema: types.SchemaName
    ) -> handler.AnswerResult:
        """Selects a schema."""
        return self._executor.select_schema(schema)

    async def reset(self) -> None:
        """Discards the open transaction and the state of the session.

        The user, the connection attributes and the selected schema are kept.
        """
        await self._executor.close()
        schema = self._session.schema
        self._start_session(self._session.user, self._session.attribute_hints)
        self._session.schema = schema

    async def close(self) -> None:
        """Discards the open transaction and the pinned connection."""
        await self._executor.close()

    async def run(
        self,
        statement: statements.Statement,
        hints: hints_lib.Hints,
        arrived: datetime.datetime,
    ) -> handler.AnswerResult:
        """Executes a statement with the terms that the hints request.

        Args:
          statement: classified statement.
          hints: hints of the statement's comments and of the query attributes.
          arrived: time at which the proxy received the statement.
        """
        request = self._resolve_request(statement, hints, arrived)
        if request.is_error():
            return expression.Error(request.error)
        return await self._executor.run(statement, request.ok)

    async def set_variables(
        self,
        statement: statements.SetVariable,
        hints: hints_lib.Hints,
        arrived: datetime.datetime,
    ) -> handler.AnswerResult:
        """Executes a SET of session variables, hints or autocommit.

        Nothing is assigned if the statement or one of its hints is invalid.

        Args:
          statement: SET statement.
          hints: hints of the statement's comments and of the query attributes.
          arrived: time at which the proxy received the statement.
        """
        parsed = assignments.parse_set(statement.sql)
        if parsed.is_error():
            return expression.Error(parsed.error)
        changed = self._hints_after(parsed.ok)
        if changed.is_error():
            return expression.Error(changed.error)
        token_result = self._apply_token(changed.ok.token)
        if token_result.is_error():
            return expression.Error(token_result.error)
        for assignment in parsed.ok:
            result = await self._apply_assignment(assignment, hints, arrived)
            if result.is_error():
                return result
        self._session.hints = dataclasses.replace(changed.ok, token=None)
        return expression.Ok(answer.EMPTY_ANSWER)

    def answer_locally(
        self, statement: statements.Statement
    ) -> answer.ResultSet | None:
        """Returns the proxy's own answer; None if a database must answer."""
        return local_answers.answer_select(
            statement.sql, self._session, self._connection_state
        )

    def show_warnings(self, sql: str) -> answer.ResultSet:
        """Answers SHOW WARNINGS and similar; the warnings are kept."""
        return local_answers.answer_show_warnings(
            sql, self._connection_state.notes
        )

    def token_table(self) -> answer.ResultSet:
        """Returns the session token as a result with one cell."""
        key = self._settings.token_key.get_secret_value().encode()
        token = tokens.issue(self._session.floors, key)
        column = answer.Column("@@hickorygate_token", _VAR_STRING, _UTF8MB4)
        return answer.ResultSet(warnings=0, columns=(column,), rows=[(token,)])

    def _record_result(self, result: handler.AnswerResult) -> None:
        """Records the row count, last insert ID and warnings of an answer."""
        connection_state = self._connection_state
        match result:
            case expression.Result(tag="ok", ok=answer.OkAnswer() as done):
                connection_state.row_count = done.affected_rows
                connection_state.last_insert_id = (
                    done.last_insert_id or connection_state.last_insert_id
                )
                connection_state.notes = done.notes
            case expression.Result(tag="ok", ok=table):
                connection_state.row_count = -1
                if table.columns not in _WARNING_COLUMNS:
                    connection_state.notes = table.notes
            case expression.Result(tag="error", error=failure):
                reply = error_replies.error_reply(failure)
                note = answer.Note("Error", reply.code, reply.text)
                connection_state.notes = (note,)

    def _start_session(
        self, user: types.CallerName, attributes: hints_lib.Hints
    ) -> None:
        """Starts a session with the hints of its connection attributes.

        An idempotency key among them applies to the first write only, since
        all later writes would count as repeats of it.
        """
        self._session = sessions.Session(
            user,
            self._env.clock.now(),
            attribute_hints=dataclasses.replace(
                attributes, idempotency_key=None
            ),
        )
        self._session.hints = hints_lib.Hints(
            idempotency_key=attributes.idempotency_key
        )
        self._executor = executor.Executor(self._session, self._env)

    def _resolve_request(
        self,
        statement: statements.Statement,
        hints: hints_lib.Hints,
        arrived: datetime.datetime,
    ) -> expression.Result[request_context.RequestContext, errors.Failure]:
        """Returns the terms of a statement.

        An idempotency key that was set as a session variable applies to the
        next write only.
        """
        service = self._selected_service()
        if service.is_error():
            if not isinstance(statement, _LOCAL_STATEMENTS):
                return expression.Error(service.error)
            rank = _LOCAL_RANK
            request = request_context.RequestContext(
                rank, arrived, arrived + rank.target
            )
            return expression.Ok(request)
        session = self._session
        session_hints = session.hints
        if isinstance(statement, statements.Write):
            session.hints = dataclasses.replace(
                session_hints, idempotency_key=None
            )
        else:
            session_hints = dataclasses.replace(
                session_hints, idempotency_key=None
            )
        merged = hints.with_fallback(session_hints).with_fallback(
            session.attribute_hints
        )
        return hints_lib.resolve(merged, service.ok, session.user, arrived)

    def _selected_service(
        self,
    ) -> expression.Result[sheets.Service, errors.Failure]:
        sheet = self._env.fleet.sheet
        if sheet is None:
            return expression.Error(errors.NotReady())
        return sheet.locate_schema(self._session.schema).map(
            lambda placement: placement[0]
        )

    def _apply_token(
        self, token: str | None
    ) -> expression.Result[None, errors.Failure]:
        """Raises the session's floors to the positions in a token."""
        if token is None:
            return expression.Ok(None)
        key = self._settings.token_key.get_secret_value().encode()
        floors = tokens.read(token, key)
        if floors.is_error():
            return expression.Error(floors.error)
        for group, floor in floors.ok.items():
            self._session.raise_floor(group, floor)
        return expression.Ok(None)

    def _hints_after(
        self, assigned: tuple[assignments.Assignment, ...]
    ) -> expression.Result[hints_lib.Hints, errors.Failure]:
        """Returns the session's hints after a SET statement."""
        pairs = {
            a.name: a.value for a in assigned if isinstance(a, assignments.Hint)
        }
        return hints_lib.apply_changes(self._session.hints, pairs)

    async def _apply_assignment(
        self,
        assignment: assignments.Assignment,
        hints: hints_lib.Hints,
        arrived: datetime.datetime,
    ) -> handler.AnswerResult:
        match assignment:
            case assignments.SessionVariable():
                self._session.set_variable(assignment)
            case assignments.Autocommit(enabled=enabled):
                sql = f"SET autocommit = {int(enabled)}"
                switch = statements.SetAutocommit(sql, enabled)
                return await self.run(switch, hints, arrived)
        return expression.Ok(answer.EMPTY_ANSWER)
