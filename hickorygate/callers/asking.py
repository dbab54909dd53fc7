"""Sends one statement to one database, within its ranks and limits."""

from __future__ import annotations

import asyncio
import dataclasses
import functools

import expression

from hickorygate.callers import dialog_state as states
from hickorygate.callers import surroundings
from hickorygate.core import catalog as catalogs
from hickorygate.core import errors
from hickorygate.core import operation as operations
from hickorygate.core import position as positions
from hickorygate.core import request as request_lib
from hickorygate.upstreams import lender as lenders
from hickorygate.upstreams import request as requests
from hickorygate.upstreams import supervisor as supervisors

__all__ = [
    "Statement",
    "ask",
    "borrow",
    "match",
    "note_commit",
    "statement",
    "terms",
]


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """What a database must run for an operation.

    Attributes:
      body: the statement's text, or the arguments of a prepared one.
      shape: what must be prepared before; None if nothing.
      writes: whether it changes data.
    """

    body: str
    shape: operations.Shape | None = None
    writes: bool = False

    def request(
        self, name: str, floor: positions.Position | None = None
    ) -> requests.Request:
        """Returns what to send under the caller's id of it."""
        if self.shape is None:
            return requests.Run(name, self.body, floor)
        prepared = lenders.shape_name(self.shape)
        return requests.Execute(name, prepared, self.body, floor)


@functools.singledispatch
def statement(
    operation: operations.Operation, state: states.DialogState
) -> Statement:
    """Returns what a database must run for an operation."""
    raise TypeError(f"{operation!r} runs in no database")


@statement.register(operations.Read)
@statement.register(operations.Commit)
def _(
    operation: operations.Read | operations.Commit, state: states.DialogState
) -> Statement:
    return Statement(operation.text)


@statement.register
def _(operation: operations.Write, state: states.DialogState) -> Statement:
    return Statement(operation.text, writes=True)


@statement.register
def _(operation: operations.Execute, state: states.DialogState) -> Statement:
    shape = state.shapes[operation.name]
    return Statement(operation.arguments, shape, shape.writes)


def terms(call: states.Call, route: catalogs.Route) -> request_lib.Request:
    """Returns the terms of service under which a call waits."""
    return request_lib.Request(route.rank, call.arrived, call.deadline)


async def borrow(
    env: surroundings.Surroundings,
    lender: lenders.Lender,
    terms_: request_lib.Request,
    state: states.DialogState,
    shape: operations.Shape | None,
    use: lenders.Use = lenders.Use.SHORT,
) -> lenders.LoanResult:
    """Borrows a connection whose session equals the caller's."""
    borrowed = await lender.borrow(terms_, state.values, use)
    if borrowed.is_error():
        return borrowed
    loan = borrowed.ok
    failure = await match(env, loan, terms_, state, shape)
    if failure is None:
        return borrowed
    loan.end(broken=True)
    return expression.Error(failure)


async def match(
    env: surroundings.Surroundings,
    loan: lenders.Loan,
    terms_: request_lib.Request,
    state: states.DialogState,
    shape: operations.Shape | None,
) -> errors.Failure | None:
    """Makes a connection's session equal to the caller's.

    Returns:
      The failure, which says that the statement wasn't sent; the connection
      must then be closed.
    """
    name = loan.lender.member.id
    left = terms_.time_left(env.clock.now()).total_seconds()
    try:
        async with asyncio.timeout(left):
            failure = await loan.match(state.values, shape)
    except TimeoutError:
        return errors.ConnectFailed(name, "no answer while preparing")
    except asyncio.CancelledError:
        loan.end(broken=True)
        raise
    if failure is None:
        return None
    return errors.ConnectFailed(name, failure.message)


async def ask(
    env: surroundings.Surroundings,
    group: supervisors.Supervisor,
    loan: lenders.Loan,
    request: requests.Request,
    terms_: request_lib.Request,
) -> requests.ReplyResult:
    """Runs a statement on a borrowed connection when its turn comes.

    A connection on which the answer is missing is closed; the caller of this
    function gives the loan back.
    """
    permits = loan.lender.permits
    entered = await permits.enter(terms_)
    if entered.is_error():
        return expression.Error(entered.error)
    began = env.clock.now()
    ran = False
    try:
        left = terms_.time_left(began).total_seconds()
        async with asyncio.timeout(left):
            result = await loan.run(request)
        ran = result.is_ok()
    except TimeoutError:
        loan.connection.close()
        name = loan.lender.member.id
        result = expression.Error(errors.AnswerOverdue(name, "timed out"))
    except asyncio.CancelledError:
        loan.connection.close()
        raise
    finally:
        took = env.clock.now() - began
        permits.leave(entered.ok, took if ran else None)
    loan.lender.grade.note(_failed(result), env.clock.now())
    if result.is_ok():
        group.note(loan.lender.member.id, result.ok.position)
    return result


def _failed(result: requests.ReplyResult) -> bool:
    """Whether the database failed; refusing what it can't run is no failure."""
    if result.is_error():
        return True
    failure = requests.failure_of(result)
    return failure is not None and failure.outcome is not errors.Outcome.NOT_RUN


def note_commit(
    group: supervisors.Supervisor, result: requests.ReplyResult
) -> None:
    """Takes in what became of a commit that was sent to the primary."""
    match result:
        case expression.Result(tag="ok"):
            group.stall.answered()
        case expression.Result(tag="error", error=errors.AnswerOverdue()):
            return
        case _:
            group.stall.broken()
