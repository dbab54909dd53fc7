"""Answers callers: from a statement's text to the executor and back."""

from __future__ import annotations

from collections.abc import Mapping
import datetime
import re

import expression

from hickorygate.callers import executor as executors
from hickorygate.callers import handler as handlers
from hickorygate.callers import session as sessions
from hickorygate.core import clock as clocks
from hickorygate.core import errors
from hickorygate.core import request as requests
from hickorygate.core import settings as settings_lib
from hickorygate.core import sheet as sheets
from hickorygate.core import statement as statements
from hickorygate.core import token as tokens
from hickorygate.core import types
from hickorygate.upstreams import answer as answers

__all__ = ["Frontend"]

_VAR_STRING = 253
_UTF8MB4 = 45
_UNRANKED = sheets.Rank(
    name="unranked", order=0, target=datetime.timedelta(seconds=2), floor=0.0
)
_GET_TOKEN = re.compile(r"SELECT\s+@@hickorygate_token\s*$", re.I)
_SET_TOKEN = re.compile(
    r"SET\s+(?:@@|SESSION\s+)?hickorygate_token\s*=\s*'([^']*)'\s*$", re.I
)


class Frontend:
    """One caller's handler."""

    __slots__ = ("_clock", "_executor", "_fleet", "_session", "_settings")

    def __init__(
        self,
        fleet: executors.Fleet,
        settings: settings_lib.CallerSettings,
        clock: clocks.Clock,
    ) -> None:
        self._fleet = fleet
        self._settings = settings
        self._clock = clock
        self._start_session("")

    @property
    def autocommit(self) -> bool:
        """Whether each statement is its own transaction."""
        return self._session.autocommit

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open."""
        return self._session.in_transaction

    def __repr__(self) -> str:
        return f"Frontend({self._session.user!r})"

    async def login(
        self, user: types.CallerName, attributes: Mapping[str, str]
    ) -> expression.Result[None, errors.Failure]:
        """Starts the session of a caller that logged in."""
        self._start_session(user)
        return expression.Ok(None)

    async def query(
        self, sql: str, attributes: Mapping[str, str]
    ) -> handlers.AnswerResult:
        """Answers one statement."""
        statement = statements.classify(sql)
        if statement.is_error():
            return expression.Error(statement.error)
        reads = isinstance(statement.ok, statements.Read)
        if reads and _GET_TOKEN.match(statement.ok.sql):
            return expression.Ok(self._token_table())
        if isinstance(statement.ok, statements.SetVariable):
            match = _SET_TOKEN.match(statement.ok.sql)
            if match:
                return self._take_token(match.group(1))
        return await self._executor.run(statement.ok, self._request())

    async def use(self, schema: types.SchemaName) -> handlers.AnswerResult:
        """Selects a schema."""
        return self._executor.select_schema(schema)

    async def reset(self) -> None:
        """Drops an open transaction and the session's state."""
        await self._executor.close()
        self._start_session(self._session.user)

    async def close(self) -> None:
        """Drops an open transaction."""
        await self._executor.close()

    def _start_session(self, user: types.CallerName) -> None:
        self._session = sessions.Session(user, self._clock.now())
        self._executor = executors.Executor(
            self._session, self._fleet, self._clock
        )

    def _request(self) -> requests.Request:
        arrived = self._clock.now()
        rank = _UNRANKED
        return requests.Request(rank, arrived, arrived + rank.target)

    def _token_table(self) -> answers.Table:
        key = self._settings.token_key.get_secret_value().encode()
        token = tokens.issue(self._session.floors, key)
        column = answers.Column("@@hickorygate_token", _VAR_STRING, _UTF8MB4)
        return answers.Table(warnings=0, columns=(column,), rows=[(token,)])

    def _take_token(self, token: str) -> handlers.AnswerResult:
        key = self._settings.token_key.get_secret_value().encode()
        floors = tokens.read(token, key)
        if floors.is_error():
            return expression.Error(floors.error)
        for group, floor in floors.ok.items():
            self._session.raise_floor(group, floor)
        return expression.Ok(
            answers.Done(warnings=0, affected_rows=0, last_insert_id=0)
        )
