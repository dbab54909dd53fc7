"""The interface between the MySQL front end and statement execution.

The front end implements the client protocol and passes statements to a
handler.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

import expression

from hickorygate.core import errors
from hickorygate.core import types
from hickorygate.upstreams import answer

__all__ = ["AnswerResult", "Handler"]

AnswerResult = expression.Result[answer.Answer, errors.Failure]


class Handler(Protocol):
    """Answers the statements of one connection, one at a time."""

    @property
    def autocommit(self) -> bool:
        """Whether each statement is its own transaction."""

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open."""

    async def connect(
        self, connection_id: int
    ) -> expression.Result[None, errors.Failure]:
        """Accepts or refuses a new connection.

        A failure is sent to the client instead of the greeting.

        Args:
          connection_id: identifier that the greeting announces.
        """

    async def login(
        self, user: types.CallerName, attributes: Mapping[str, str]
    ) -> expression.Result[None, errors.Failure]:
        """Starts the session of a user that has logged in.

        Args:
          user: name of the user.
          attributes: connection attributes that the client sent.
        """

    async def query(
        self, sql: str, attributes: Mapping[str, str]
    ) -> AnswerResult:
        """Answers one statement.

        Args:
          sql: text of the statement.
          attributes: query attributes that the client sent.
        """

    async def select_schema(self, schema: types.SchemaName) -> AnswerResult:
        """Selects a schema."""

    async def reset(self) -> None:
        """Resets the session; the user stays logged in."""

    async def close(self) -> None:
        """Releases what the connection holds, after it has ended."""
