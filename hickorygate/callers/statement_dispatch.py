"""Decides whether the proxy or a database answers a statement.

The class of the statement determines the decision.
"""

from __future__ import annotations

import datetime
import functools
import re
from typing import TYPE_CHECKING

import expression

from hickorygate.callers import handler
from hickorygate.callers import hints as hints_lib
from hickorygate.core import statement as statements

if TYPE_CHECKING:
    from hickorygate.callers import session_handler as frontends

__all__ = ["answer"]

_SELECT_TOKEN = re.compile(r"SELECT\s+@@hickorygate_token\s*$", re.I)


@functools.singledispatch
async def answer(
    statement: statements.Statement,
    session_handler: frontends.SessionHandler,
    hints: hints_lib.Hints,
    arrived: datetime.datetime,
) -> handler.AnswerResult:
    """Answers a statement.

    Args:
      statement: classified statement of the caller.
      session_handler: handler of the caller's connection.
      hints: hints of the statement's comments and of the query attributes.
      arrived: time at which the proxy received the statement.
    """
    return await session_handler.run(statement, hints, arrived)


@answer.register(statements.Read)
async def _(
    statement: statements.Read,
    session_handler: frontends.SessionHandler,
    hints: hints_lib.Hints,
    arrived: datetime.datetime,
) -> handler.AnswerResult:
    if _SELECT_TOKEN.match(statement.sql):
        return expression.Ok(session_handler.token_table())
    known = session_handler.answer_locally(statement)
    if known is not None:
        return expression.Ok(known)
    return await session_handler.run(statement, hints, arrived)


@answer.register(statements.ConnectionBound)
async def _(
    statement: statements.ConnectionBound,
    session_handler: frontends.SessionHandler,
    hints: hints_lib.Hints,
    arrived: datetime.datetime,
) -> handler.AnswerResult:
    known = session_handler.answer_locally(statement)
    if known is not None:
        return expression.Ok(known)
    return await session_handler.run(statement, hints, arrived)


@answer.register(statements.ShowWarnings)
async def _(
    statement: statements.ShowWarnings,
    session_handler: frontends.SessionHandler,
    hints: hints_lib.Hints,
    arrived: datetime.datetime,
) -> handler.AnswerResult:
    return expression.Ok(session_handler.show_warnings(statement.sql))


@answer.register(statements.SetVariable)
async def _(
    statement: statements.SetVariable,
    session_handler: frontends.SessionHandler,
    hints: hints_lib.Hints,
    arrived: datetime.datetime,
) -> handler.AnswerResult:
    return await session_handler.set_variables(statement, hints, arrived)
