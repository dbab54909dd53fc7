"""What the MySQL front end needs from whoever answers statements."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

import expression

from hickorygate.core import errors
from hickorygate.core import types
from hickorygate.upstreams import answer as answers

__all__ = ["AnswerResult", "Handler"]

AnswerResult = expression.Result[answers.Answer, errors.Failure]


class Handler(Protocol):
    """Answers one connection's statements, one at a time."""

    @property
    def autocommit(self) -> bool:
        """Whether each statement is its own transaction."""

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open."""

    async def connect(
        self, connection_id: int
    ) -> expression.Result[None, errors.Failure]:
        """Takes in a connection; a refusal goes out in place of a greeting."""

    async def login(
        self, user: types.CallerName, attributes: Mapping[str, str]
    ) -> expression.Result[None, errors.Failure]:
        """Takes in who connected; attributes are the connection's."""

    async def query(
        self, sql: str, attributes: Mapping[str, str]
    ) -> AnswerResult:
        """Answers one statement; attributes are the query's."""

    async def use(self, schema: types.SchemaName) -> AnswerResult:
        """Selects a schema."""

    async def reset(self) -> None:
        """Forgets everything but who connected."""

    async def close(self) -> None:
        """The connection ended."""
